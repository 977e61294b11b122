//! The way of a call from its caller to a target and back.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Response;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use kernel::{Clock, Expired, Kernel, Mailbox};
use route::{Node, TrafficSplits};
use web::{BodyError, IncomingRequest, PipelinePosition};
use wire::{Answer, Outcome, Reason};

use crate::attempt::Attempts;
use crate::call::{Call, Treatment, refused};
use crate::claims::Claims;
use crate::configuration::{Found, Lookup};
use crate::edge::{Destination, Edge, Final, Head, Refused};
use crate::journal::{self, Event};
use crate::{configuration, guard, names, router};

/// When to come back while the platform is down.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Takes calls from callers.
pub(crate) struct Entry {
    node: Node,
    edge: Edge,
    max_depth: u8,
    clock: Clock,
    configuration: Mailbox<configuration::Ask>,
    router: Mailbox<router::Ask>,
    journal: Mailbox<journal::Ask>,
    claims: Claims,
    attempts: Attempts,
    splits: RefCell<TrafficSplits>,
    in_flight: Cell<usize>,
    finished: Cell<u64>,
    stage: Cell<Stage>,
}

/// Whether a request may run.
enum Turn {
    Come,
    /// Its time was over before those ahead of it had their answers.
    TooLate,
}

/// How far the entry is from its stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    /// Calls are served and their connections closed.
    Leaving,
    /// New calls are refused.
    Refusing,
}

impl Entry {
    pub(crate) fn new(
        kernel: &Kernel,
        node: Node,
        edge: Edge,
        max_depth: u8,
        guard: guard::Handle,
    ) -> Rc<Self> {
        Rc::new(Self {
            node,
            edge,
            max_depth,
            clock: *kernel.clock(),
            configuration: kernel.service(names::CONFIGURATION),
            router: kernel.service(names::ROUTER),
            journal: kernel.service(names::JOURNAL),
            claims: Claims::new(kernel),
            attempts: Attempts::new(kernel, node, guard),
            splits: RefCell::new(TrafficSplits::with_seed(node)),
            in_flight: Cell::new(0),
            finished: Cell::new(0),
            stage: Cell::new(Stage::Serving),
        })
    }

    /// Closes each connection after its next call.
    pub(crate) fn leave(&self) {
        self.stage.set(Stage::Leaving);
    }

    /// Refuses calls from now on.
    pub(crate) fn refuse(&self) {
        self.stage.set(Stage::Refusing);
    }

    /// Calls that have no answer yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Calls answered since the start.
    pub(crate) fn finished(&self) -> u64 {
        self.finished.get()
    }

    /// Answers one request of a caller.
    pub(crate) async fn handle(self: Rc<Self>, arrival: IncomingRequest) -> Response<Bytes> {
        let _counted = Counted::new(&self);
        let arrived = arrival.position.arrived();
        let last = self.answer(arrival).await;
        self.finished.set(self.finished.get() + 1);
        let Answer { outcome, reason, .. } = last.answer;
        let mut response = (self.edge.write_response)(&last);
        if self.stage.get() != Stage::Serving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let status = response.status().as_u16();
        if let Some(id) = last.id {
            let after_ms = self.clock.now() - arrived;
            let is_late = last.is_late;
            self.note(&id, Event::Ended { outcome, reason, status, after_ms, is_late });
        }
        metrics::counter!(
            "bronzeport_calls_total",
            "outcome" => journal::outcome_text(outcome),
            "reason" => journal::reason_text(reason)
        )
        .increment(1);
        metrics::histogram!("bronzeport_call_seconds")
            .record((self.clock.now() - arrived).as_secs_f64());
        response
    }

    async fn answer(&self, arrival: IncomingRequest) -> Final {
        let IncomingRequest { head, body, position } = arrival;
        let arrived = position.arrived();
        let call = match self.read(&head, body).await {
            Ok(call) => call,
            Err(refused) => return self.refusal(None, refused),
        };
        let treatment = &call.treatment;
        let event = Event::Arrived {
            service: call.service.clone(),
            kind: treatment.kind.clone(),
            depth: call.depth,
            revision: treatment.revision,
            deadline_ms: call.deadline.as_millis() as u64,
            ahead: position.earlier_unanswered(),
        };
        self.note(&call.id, event);
        let mut waiting = Caller { entry: self, id: Some(call.id.clone()), arrived };
        let deadline = arrived + call.deadline;
        let refusal = match self.wait_for_turn(&call, &position, deadline).await {
            Turn::Come => self.check(&call).await,
            Turn::TooLate => Some(Answer::refusal(Outcome::NotRun, Reason::Late, self.node)),
        };
        let answer = match refusal {
            Some(answer) => self.settle_refusal(&call, None, answer).await,
            None if call.is_claimed() => self.run_once(&call, deadline).await,
            None => self.attempts.run(&call, deadline, "").await,
        };
        waiting.id = None;
        let is_late = self.clock.now() > arrived + call.treatment.aim;
        let reason = journal::reason_text(answer.reason);
        let outcome = journal::outcome_text(answer.outcome);
        Final {
            is_late,
            id: Some(call.id),
            entry: self.node,
            answer,
            text: format!("{outcome}: {reason}\n").into(),
        }
    }

    /// A request that may run more than once runs beside the others of its connection.
    /// Any other waits for those before it: once one of their answers closes the
    /// connection, the caller takes those behind it not to have run.
    async fn wait_for_turn(
        &self,
        call: &Call,
        position: &PipelinePosition,
        deadline: Instant,
    ) -> Turn {
        if call.is_repeatable() {
            position.allow_concurrency();
            return Turn::Come;
        }
        let left = deadline.saturating_duration_since(self.clock.now());
        match self.clock.timeout(left, position.wait_for_earlier()).await {
            Ok(()) => Turn::Come,
            Err(Expired) => Turn::TooLate,
        }
    }

    async fn read(&self, head: &Parts, body: Result<Bytes, BodyError>) -> Result<Call, Refused> {
        let head = (self.edge.read_head)(head)?;
        let (service, treatment) = self.treatment(&head).await?;
        let most = treatment.body_bytes;
        match body {
            Ok(body) if body.len() <= most => Call::new(head, service, treatment, body),
            Ok(_) | Err(BodyError::TooLarge) => {
                let text = format!("the body is larger than {most} bytes");
                Err(refused(Reason::TooLarge, text))
            }
            Err(BodyError::Malformed) => Err(refused(Reason::BadRequest, "the body is malformed")),
            Err(BodyError::TimedOut) => Err(refused(Reason::Slow, "the body did not come in time")),
        }
    }

    /// What the configuration says of a request: its service and its treatment.
    async fn treatment(&self, head: &Head) -> Result<(Box<str>, Treatment), Refused> {
        match &head.destination {
            Destination::Service { name } => {
                let ask = |reply| configuration::Ask::Service { name: name.clone(), reply };
                let found = self.configuration.request(ask).await;
                let service = known(found, Reason::UnknownService, name)?;
                Ok((service.name.clone(), Treatment::of_rule(&service, head)?))
            }
            Destination::Address { hostname } => {
                let ask = |reply| configuration::Ask::Path {
                    hostname: hostname.clone(),
                    path: head.path.clone(),
                    reply,
                };
                let found = self.configuration.request(ask).await;
                let Found { path, bounds, revision } = known(found, Reason::UnknownPath, hostname)?;
                let draw = self.splits.borrow_mut().draw(&path.name);
                let service = path.choose_service(draw).ok_or_else(|| {
                    refused(Reason::UnknownPath, format!("{} leads to no service", path.name))
                })?;
                Ok((service.into(), Treatment::of_path(&path, revision, bounds.max_body_bytes)))
            }
        }
    }

    /// Refuses what is sent nowhere.
    async fn check(&self, call: &Call) -> Option<Answer> {
        let not_run = |reason| Answer::refusal(Outcome::NotRun, reason, self.node);
        if self.stage.get() == Stage::Refusing {
            return Some(not_run(Reason::Leaving));
        }
        if call.depth >= self.max_depth {
            return Some(not_run(Reason::TooDeep));
        }
        let fingerprint = call.fingerprint;
        let held = self.router.request(|reply| router::Ask::Held { fingerprint, reply }).await;
        held.flatten().map(|left| Answer { retry_after: left, ..not_run(Reason::Held) })
    }

    /// A request that may not be repeated: its row is read first, so that a
    /// refusal can be told apart from those of other copies.
    async fn run_once(&self, call: &Call, deadline: Instant) -> Answer {
        let Ok(standing) = self.claims.read(&call.service, &call.id).await else {
            return Answer {
                retry_after: STORE_RETRY_AFTER,
                ..Answer::refusal(Outcome::Unknown, Reason::StoreDown, self.node)
            };
        };
        let row = standing.as_ref().map(|standing| &standing.row);
        match once::decide_arrival(row, call.fingerprint) {
            once::ArrivalDecision::Conflict => {
                Answer::refusal(Outcome::Unknown, Reason::Conflict, self.node)
            }
            once::ArrivalDecision::Refused => {
                Answer::refusal(Outcome::NotRun, Reason::RefusedBefore, self.node)
            }
            once::ArrivalDecision::Recall { node, ended } => {
                self.recall(call, deadline, node, ended).await
            }
            once::ArrivalDecision::Proceed => {
                let tag = standing.map(|standing| standing.tag).unwrap_or_default();
                let answer = self.attempts.run(call, deadline, &tag).await;
                match answer.reason {
                    Reason::InProgress if answer.node != self.node => {
                        self.recall(call, deadline, answer.node, None).await
                    }
                    // The guard has given its claim back.
                    Reason::RefusedBefore => answer,
                    _ => self.settle_refusal(call, Some(&tag), answer).await,
                }
            }
        }
    }

    /// Asks the holder of a claim for its outcome.
    async fn recall(
        &self,
        call: &Call,
        deadline: Instant,
        node: Node,
        ended: Option<u16>,
    ) -> Answer {
        let answer = self.attempts.recall(call, deadline, node).await;
        let is_known = answer.outcome == Outcome::Ran || answer.reason == Reason::InProgress;
        match ended {
            Some(_) if !is_known => Answer::refusal(Outcome::Ran, Reason::AlreadyRan, node),
            _ => answer,
        }
    }

    /// `not-run` is told for a request that may not be repeated only when no
    /// copy that arrived before can run any more.
    async fn settle_refusal(&self, call: &Call, tag: Option<&str>, answer: Answer) -> Answer {
        if !call.is_claimed() || answer.outcome != Outcome::NotRun {
            return answer;
        }
        let tag = match tag {
            Some(tag) => Some(tag.into()),
            None => match self.claims.read(&call.service, &call.id).await {
                Ok(None) => Some(Box::from("")),
                Ok(Some(standing)) if standing.row.state == once::State::Refused => {
                    return answer;
                }
                _ => None,
            },
        };
        let is_certain = match tag {
            Some(tag) => {
                let nonce = fastrand::u64(..);
                let Call { service, id, .. } = call;
                self.claims.refuse(service, id, &tag, call.fingerprint, nonce).await
            }
            None => false,
        };
        Answer {
            outcome: match is_certain {
                true => Outcome::NotRun,
                false => Outcome::Unknown,
            },
            ..answer
        }
    }

    fn refusal(&self, id: Option<Box<str>>, refused: Refused) -> Final {
        Final {
            id,
            is_late: false,
            entry: self.node,
            answer: match refused.reason {
                Reason::NotReady => Answer {
                    retry_after: STORE_RETRY_AFTER,
                    ..Answer::refusal(Outcome::Unknown, refused.reason, self.node)
                },
                // A daemon with a newer configuration may know what this one does
                // not, so that a copy of the request may run there.
                reason @ (Reason::UnknownService | Reason::UnknownPath | Reason::UnknownMethod) => {
                    Answer::refusal(Outcome::Unknown, reason, self.node)
                }
                reason => Answer::refusal(Outcome::NotRun, reason, self.node),
            },
            text: format!("{}\n", refused.text).into(),
        }
    }

    fn note(&self, id: &str, event: Event) {
        let id = id.into();
        self.journal.send(journal::Ask::Note { id, event });
    }
}

/// What was found of `name`. A daemon that has just started cannot tell that a service
/// or path does not exist: another copy of the request may run through a daemon that
/// knows it.
fn known<T>(found: Option<Lookup<T>>, reason: Reason, name: &str) -> Result<T, Refused> {
    match found {
        Some(Lookup::Found(found)) => Ok(found),
        Some(Lookup::Unknown) => Err(refused(reason, format!("nothing is known of {name}"))),
        Some(Lookup::NotReady) | None => {
            Err(refused(Reason::NotReady, "this daemon has no configuration yet"))
        }
    }
}

/// A caller that waits for its answer; that it has gone is noted.
struct Caller<'a> {
    entry: &'a Entry,
    /// Id of its request; `None` once the answer is there.
    id: Option<Box<str>>,
    arrived: Instant,
}

impl Drop for Caller<'_> {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            let after_ms = self.entry.clock.now() - self.arrived;
            self.entry.note(id, Event::Left { after_ms });
        }
    }
}

/// Counts a call for as long as its caller waits.
struct Counted<'a>(&'a Entry);

impl<'a> Counted<'a> {
    fn new(entry: &'a Entry) -> Self {
        entry.in_flight.set(entry.in_flight.get() + 1);
        Self(entry)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
