//! The pipelined requests of one connection, in the order of their arrival.

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

use crate::answer::AnswerFormat;

/// Maximum number of requests of one connection that are in flight at a time.
pub(crate) const MAX_IN_FLIGHT: usize = 16;
/// Total size in bytes of the answers that are held until earlier ones are sent, from which
/// on no further request of the connection is started.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// Position of a request among the pipelined requests of its connection.
#[derive(Debug)]
pub struct PipelinePosition {
    state: Rc<PipelineState>,
    number: u64,
    arrived: Instant,
}

/// State that a connection shares with the handlers of its requests.
#[derive(Debug, Default)]
struct PipelineState {
    /// Number of requests whose answers have been sent.
    answered: Cell<u64>,
    /// Number of requests that have been started.
    started: Cell<u64>,
    /// Whether the latest request lets later ones start before it has its answer.
    allows_concurrency: Cell<bool>,
    held_bytes: Cell<usize>,
    changed: Notify,
}

/// The requests of a connection that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Pipeline {
    state: Rc<PipelineState>,
    pending: VecDeque<PendingRequest>,
}

#[derive(Debug)]
struct PendingRequest {
    format: AnswerFormat,
    answer: PendingAnswer,
}

#[derive(Debug)]
enum PendingAnswer {
    /// The handler's task. It returns the answer and the time at which the answer was ready.
    Running(Task<(Response<Bytes>, Instant)>),
    Ready(Option<Response<Bytes>>),
}

impl PipelinePosition {
    /// Number of earlier requests of the connection whose answers have not been sent.
    pub fn earlier_unanswered(&self) -> u64 {
        self.number.saturating_sub(self.state.answered.get())
    }

    /// Time at which the request had been received completely.
    pub fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Lets later requests of the connection start before this one has its answer. Has no
    /// effect if a later request has started.
    pub fn allow_concurrency(&self) {
        if self.state.started.get() == self.number + 1 {
            self.state.allows_concurrency.set(true);
            self.state.changed.notify_waiters();
        }
    }

    /// Waits until the answers to all earlier requests of the connection have been sent.
    pub async fn wait_for_earlier(&self) {
        while self.earlier_unanswered() > 0 {
            self.state.changed.notified().await;
        }
    }
}

impl Pipeline {
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether another request may start.
    pub(crate) fn has_room(&self) -> bool {
        let may_overlap = self.pending.is_empty() || self.state.allows_concurrency.get();
        let is_within_held_bytes = self.state.held_bytes.get() < MAX_HELD_BYTES;
        may_overlap && is_within_held_bytes && self.pending.len() < MAX_IN_FLIGHT
    }

    /// Counts a request as started and returns its position. `arrived` is the time at which
    /// the request had been received completely.
    pub(crate) fn next_position(&self, arrived: Instant) -> PipelinePosition {
        let number = self.state.started.get();
        self.state.started.set(number + 1);
        self.state.allows_concurrency.set(false);
        PipelinePosition { state: self.state.clone(), number, arrived }
    }

    /// Adds a request at the end and runs its handler as a task.
    pub(crate) fn push(
        &mut self,
        format: AnswerFormat,
        kernel: &Kernel,
        answer: Pin<Box<dyn Future<Output = Response<Bytes>>>>,
    ) {
        let (state, clock) = (self.state.clone(), *kernel.clock());
        let answer = PendingAnswer::Running(kernel.spawn(async move {
            let answer = answer.await;
            state.add_held_bytes(answer.body().len());
            (answer, clock.now())
        }));
        self.pending.push_back(PendingRequest { format, answer });
    }

    /// Adds a ready answer to an invalid request at the end.
    pub(crate) fn push_answer(&mut self, format: AnswerFormat, answer: Response<Bytes>) {
        self.state.started.set(self.state.started.get() + 1);
        self.state.add_held_bytes(answer.body().len());
        self.pending
            .push_back(PendingRequest { format, answer: PendingAnswer::Ready(Some(answer)) });
    }

    /// Waits for the answer to the first pending request, and removes that request.
    pub(crate) async fn next(&mut self, clock: Clock) -> (AnswerFormat, Response<Bytes>) {
        let Some(first) = self.pending.front_mut() else {
            return std::future::pending().await;
        };
        let format = first.format;
        let answer = poll_fn(|context| match &mut first.answer {
            PendingAnswer::Running(task) => Pin::new(task).poll(context),
            PendingAnswer::Ready(answer) => {
                answer.take().map_or(Poll::Pending, |answer| Poll::Ready((answer, clock.now())))
            }
        });
        let (answer, ready_at) = answer.await;
        metrics::histogram!("bronzeport_answer_held_seconds")
            .record((clock.now() - ready_at).as_secs_f64());
        self.pending.pop_front();
        self.state.held_bytes.set(self.state.held_bytes.get() - answer.body().len());
        (format, answer)
    }

    /// Records that all answers which [`Self::next`] has returned have been sent.
    pub(crate) fn mark_answers_sent(&self) {
        let answered = self.state.started.get() - self.pending.len() as u64;
        if self.state.answered.replace(answered) != answered {
            self.state.changed.notify_waiters();
        }
    }

    /// Completes at the next change of the shared state, such as a request that allows
    /// concurrency.
    pub(crate) fn changed(&self) -> impl Future<Output = ()> + use<> {
        let state = self.state.clone();
        async move { state.changed.notified().await }
    }
}

impl PipelineState {
    fn add_held_bytes(&self, bytes: usize) {
        self.held_bytes.set(self.held_bytes.get() + bytes);
    }
}
