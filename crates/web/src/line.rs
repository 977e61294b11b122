//! The requests of one connection, in the order in which they came.

use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use hyper::Response;
use kernel::{Clock, Kernel, Task};
use tokio::sync::Notify;

use crate::answer::Asked;

/// Most requests of a connection that are under way at a time.
pub(crate) const MAX_UNDER_WAY: usize = 16;
/// Bytes of answers that wait for those before them, from which on no request is started.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// The place of a request among those of its connection.
#[derive(Debug)]
pub struct Place {
    state: Rc<State>,
    number: u64,
    arrived: Instant,
}

/// What a connection and the handlers of its requests share.
#[derive(Debug, Default)]
struct State {
    /// Requests whose answers have been written.
    answered: Cell<u64>,
    /// Requests that have been started.
    started: Cell<u64>,
    /// Whether the latest one lets others start beside it.
    is_shared: Cell<bool>,
    held_bytes: Cell<usize>,
    changed: Notify,
}

/// The requests of a connection that have no answer yet.
#[derive(Debug, Default)]
pub(crate) struct Line {
    state: Rc<State>,
    pending: VecDeque<Pending>,
}

#[derive(Debug)]
struct Pending {
    asked: Asked,
    work: Work,
}

#[derive(Debug)]
enum Work {
    /// The answer, and when it was there.
    Running(Task<(Response<Bytes>, Instant)>),
    Done(Option<Response<Bytes>>),
}

impl Place {
    /// Requests before it that have no answer yet.
    pub fn ahead(&self) -> u64 {
        self.number.saturating_sub(self.state.answered.get())
    }

    /// When it had come.
    pub fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Lets the requests behind this one start before it has its answer.
    pub fn share(&self) {
        if self.state.started.get() == self.number + 1 {
            self.state.is_shared.set(true);
            self.state.changed.notify_waiters();
        }
    }

    /// Completes when all requests before this one have their answers.
    pub async fn first(&self) {
        while self.ahead() > 0 {
            self.state.changed.notified().await;
        }
    }
}

impl Line {
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the next request may start.
    pub(crate) fn has_room(&self) -> bool {
        let has_turn = self.pending.is_empty() || self.state.is_shared.get();
        let holds_little = self.state.held_bytes.get() < MAX_HELD_BYTES;
        has_turn && holds_little && self.pending.len() < MAX_UNDER_WAY
    }

    /// The place of the request that starts next.
    pub(crate) fn next_place(&self, arrived: Instant) -> Place {
        let number = self.state.started.get();
        self.state.started.set(number + 1);
        self.state.is_shared.set(false);
        Place { state: self.state.clone(), number, arrived }
    }

    /// Has a request run, behind all others.
    pub(crate) fn push(
        &mut self,
        asked: Asked,
        kernel: &Kernel,
        answer: Pin<Box<dyn Future<Output = Response<Bytes>>>>,
    ) {
        let (state, clock) = (self.state.clone(), *kernel.clock());
        let work = Work::Running(kernel.spawn(async move {
            let answer = answer.await;
            state.hold(answer.body().len());
            (answer, clock.now())
        }));
        self.pending.push_back(Pending { asked, work });
    }

    /// Puts an answer to what is no request behind all others.
    pub(crate) fn push_answer(&mut self, asked: Asked, answer: Response<Bytes>) {
        self.state.started.set(self.state.started.get() + 1);
        self.state.hold(answer.body().len());
        self.pending.push_back(Pending { asked, work: Work::Done(Some(answer)) });
    }

    /// Waits for the answer that is due next.
    pub(crate) async fn next(&mut self, clock: Clock) -> (Asked, Response<Bytes>) {
        let Some(first) = self.pending.front_mut() else {
            return std::future::pending().await;
        };
        let asked = first.asked;
        let answer = poll_fn(|context| match &mut first.work {
            Work::Running(task) => Pin::new(task).poll(context),
            Work::Done(answer) => {
                answer.take().map_or(Poll::Pending, |answer| Poll::Ready((answer, clock.now())))
            }
        });
        let (answer, ready) = answer.await;
        metrics::histogram!("bronzeport_answer_held_seconds")
            .record((clock.now() - ready).as_secs_f64());
        self.pending.pop_front();
        self.state.held_bytes.set(self.state.held_bytes.get() - answer.body().len());
        (asked, answer)
    }

    /// Notes that all answers given out have been written.
    pub(crate) fn note_written(&self) {
        let answered = self.state.started.get() - self.pending.len() as u64;
        if self.state.answered.replace(answered) != answered {
            self.state.changed.notify_waiters();
        }
    }

    /// Completes when a request has let others start beside it.
    pub(crate) fn changed(&self) -> impl Future<Output = ()> + use<> {
        let state = self.state.clone();
        async move { state.changed.notified().await }
    }
}

impl State {
    fn hold(&self, bytes: usize) {
        self.held_bytes.set(self.held_bytes.get() + bytes);
    }
}
