//! The entry: receives the calls of callers, sends them to guards and returns the answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ::quota::Admission;
use bytes::Bytes;
use config::{Organisation, PathRule, RouteTable};
use hyper::Response;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use kernel::{Clock, Expired, Kernel, Mailbox};
use route::{Node, TrafficSplits};
use store::Tag;
use web::{BodyError, IncomingRequest, PipelinePosition};
use wire::{Answer, Outcome, Reason};

use crate::adapter::{Destination, FinalAnswer, ProtocolAdapter, Refused, RequestHead};
use crate::attempt::Dispatcher;
use crate::call::{Call, RequestSettings, Resolved, refused};
use crate::claims::{Claims, TaggedRow};
use crate::configuration::{Lookup, MatchedPath};
use crate::journal::{self, Event};
use crate::{configuration, guard, names, quota, router};

/// Time after which a caller should retry while the platform is down or this daemon has no
/// configuration.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Receives and answers the calls of callers.
pub(crate) struct Entry {
    node: Node,
    adapter: ProtocolAdapter,
    max_depth: u8,
    clock: Clock,
    configuration: Mailbox<configuration::Message>,
    router: Mailbox<router::Message>,
    journal: Mailbox<journal::Message>,
    quota: Mailbox<quota::Message>,
    claims: Claims,
    dispatcher: Dispatcher,
    splits: RefCell<TrafficSplits>,
    in_flight: Cell<usize>,
    finished: Cell<u64>,
    shutdown_stage: Cell<ShutdownStage>,
}

/// Result of the wait for earlier requests of the same connection.
enum PipelineWait {
    /// The request may run.
    Ready,
    /// The deadline passed before the earlier requests were answered.
    TimedOut,
}

/// Progress of the entry's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShutdownStage {
    /// Calls are served.
    Serving,
    /// Calls are served, and each connection is closed after its next answer.
    Leaving,
    /// New calls are refused.
    Refusing,
}

impl Entry {
    pub(crate) fn new(
        kernel: &Kernel,
        node: Node,
        adapter: ProtocolAdapter,
        max_depth: u8,
        guard: guard::Handle,
    ) -> Rc<Self> {
        Rc::new(Self {
            node,
            adapter,
            max_depth,
            clock: *kernel.clock(),
            configuration: kernel.service(names::CONFIGURATION),
            router: kernel.service(names::ROUTER),
            journal: kernel.service(names::JOURNAL),
            quota: kernel.service(names::QUOTA),
            claims: Claims::new(kernel),
            dispatcher: Dispatcher::new(kernel, node, guard),
            splits: RefCell::new(TrafficSplits::with_seed(node)),
            in_flight: Cell::new(0),
            finished: Cell::new(0),
            shutdown_stage: Cell::new(ShutdownStage::Serving),
        })
    }

    /// Closes each connection after its next answer from now on.
    pub(crate) fn leave(&self) {
        self.shutdown_stage.set(ShutdownStage::Leaving);
    }

    /// Refuses all new calls from now on.
    pub(crate) fn refuse(&self) {
        self.shutdown_stage.set(ShutdownStage::Refusing);
    }

    /// Returns the number of calls that are not answered yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the number of calls answered since the daemon started.
    pub(crate) fn finished(&self) -> u64 {
        self.finished.get()
    }

    /// Handles one request of a caller.
    pub(crate) async fn handle(self: Rc<Self>, request: IncomingRequest) -> Response<Bytes> {
        let _in_flight_count = InFlightCount::new(&self);
        let arrived = request.position.arrived();
        let final_answer = self.answer(request).await;
        self.finished.set(self.finished.get() + 1);
        let Answer { outcome, reason, .. } = final_answer.answer;
        let mut response = (self.adapter.write_response)(&final_answer);
        if self.shutdown_stage.get() != ShutdownStage::Serving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let status = response.status().as_u16();
        if let Some(id) = final_answer.id {
            let after_ms = self.clock.now() - arrived;
            let is_late = final_answer.is_late;
            self.record(&id, Event::Ended { outcome, reason, status, after_ms, is_late });
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

    async fn answer(&self, request: IncomingRequest) -> FinalAnswer {
        let IncomingRequest { head, body, position } = request;
        let arrived = position.arrived();
        let call = match self.read_call(&head, body).await {
            Ok(call) => call,
            Err(refused) => return self.refusal(None, refused),
        };
        let settings = &call.settings;
        let event = Event::Arrived {
            service: call.service.clone(),
            kind: settings.kind.clone(),
            depth: call.depth,
            revision: settings.revision,
            deadline_ms: call.deadline.as_millis() as u64,
            ahead: position.earlier_unanswered(),
            organisation: call.organisation.as_ref().map(|owner| owner.name.clone()),
        };
        self.record(&call.id, event);
        let mut waiting_caller = WaitingCaller { entry: self, id: Some(call.id.clone()), arrived };
        let deadline = arrived + call.deadline;
        let refusal = match self.wait_for_earlier_requests(&call, &position, deadline).await {
            PipelineWait::Ready => self.check(&call, deadline).await,
            PipelineWait::TimedOut => {
                Some(Answer::refusal(Outcome::NotRun, Reason::Late, self.node))
            }
        };
        let answer = match refusal {
            Some(answer) => self.confirm_not_run(&call, None, answer).await,
            None if call.requires_claim() => self.run_once(&call, deadline).await,
            None => self.dispatcher.dispatch(&call, deadline, "").await,
        };
        waiting_caller.id = None;
        let is_late = self.clock.now() > arrived + call.settings.target_latency;
        let reason = journal::reason_text(answer.reason);
        let outcome = journal::outcome_text(answer.outcome);
        FinalAnswer {
            is_late,
            id: Some(call.id),
            entry: self.node,
            answer,
            text: format!("{outcome}: {reason}\n").into(),
        }
    }

    /// Waits until a pipelined request may run. A request that may run more than once runs
    /// concurrently with the others of its connection. Any other request waits for the
    /// answers to all earlier ones: if one of these answers closes the connection, the caller
    /// assumes that the requests after it did not run.
    async fn wait_for_earlier_requests(
        &self,
        call: &Call,
        position: &PipelinePosition,
        deadline: Instant,
    ) -> PipelineWait {
        if call.is_repeatable() {
            position.allow_concurrency();
            return PipelineWait::Ready;
        }
        let remaining = deadline.saturating_duration_since(self.clock.now());
        match self.clock.timeout(remaining, position.wait_for_earlier()).await {
            Ok(()) => PipelineWait::Ready,
            Err(Expired) => PipelineWait::TimedOut,
        }
    }

    async fn read_call(
        &self,
        head: &Parts,
        body: Result<Bytes, BodyError>,
    ) -> Result<Call, Refused> {
        let mut head = (self.adapter.read_head)(head)?;
        let resolved = self.resolve(&mut head).await?;
        let max_body_bytes = resolved.settings.max_body_bytes;
        match body {
            Ok(body) if body.len() <= max_body_bytes => Call::new(head, resolved, body),
            Ok(_) | Err(BodyError::TooLarge) => {
                let text = format!("the body is larger than {max_body_bytes} bytes");
                Err(refused(Reason::TooLarge, text))
            }
            Err(BodyError::Malformed) => Err(refused(Reason::BadRequest, "the body is malformed")),
            Err(BodyError::TimedOut) => Err(refused(Reason::Slow, "the body did not come in time")),
        }
    }

    /// Looks up the service and the organisation of a request, and the settings that apply to
    /// the request. Leaves the headers that may be forwarded in `head`.
    async fn resolve(&self, head: &mut RequestHead) -> Result<Resolved, Refused> {
        match &head.destination {
            Destination::Service { name } => {
                let message = |reply| configuration::Message::Service { name: name.clone(), reply };
                let found = self.configuration.request(message).await;
                let service = require_found(found, Reason::UnknownService, name)?;
                let settings = RequestSettings::from_rule(&service, head)?;
                Ok(Resolved { service: service.name.clone(), settings, organisation: None })
            }
            Destination::Hostname { hostname } => {
                let message = |reply| configuration::Message::Path {
                    hostname: hostname.clone(),
                    path: head.path.clone(),
                    reply,
                };
                let found = self.configuration.request(message).await;
                let MatchedPath { path, table } =
                    require_found(found, Reason::UnknownPath, hostname)?;
                let organisation = self.identify(head, &path, &table)?;
                let draw = self.splits.borrow_mut().draw(&path.name);
                let service = path.choose_service(draw).ok_or_else(|| {
                    refused(Reason::UnknownPath, format!("{} leads to no service", path.name))
                })?;
                let settings = RequestSettings::from_path_rule(&path, &table);
                Ok(Resolved { service: service.into(), settings, organisation })
            }
        }
    }

    /// Returns the organisation whose key the caller presents, or refuses a request that needs
    /// a key and has no known one. The caller's credentials are not forwarded if organisations
    /// are configured.
    fn identify(
        &self,
        head: &mut RequestHead,
        path: &PathRule,
        table: &RouteTable,
    ) -> Result<Option<Rc<Organisation>>, Refused> {
        let credentials = std::mem::take(&mut head.credentials);
        let Some(organisations) = &table.organisations else {
            head.headers.extend(credentials.into_headers());
            return Ok(None);
        };
        let organisation = credentials.key().and_then(|key| organisations.find(key.as_bytes()));
        if organisation.is_some() || path.is_public {
            return Ok(organisation.cloned());
        }
        metrics::counter!("bronzeport_unknown_keys_total", "path" => path.name.to_string())
            .increment(1);
        if let Some(id) = &head.id {
            self.record(id, Event::UnknownKey { kind: path.name.clone() });
        }
        Err(refused(Reason::UnknownKey, "the request has no key that is in force"))
    }

    /// Returns a refusal for a call that must not be sent to any target.
    async fn check(&self, call: &Call, deadline: Instant) -> Option<Answer> {
        let not_run = |reason| Answer::refusal(Outcome::NotRun, reason, self.node);
        if self.shutdown_stage.get() == ShutdownStage::Refusing {
            return Some(not_run(Reason::Leaving));
        }
        if call.depth >= self.max_depth {
            return Some(not_run(Reason::TooDeep));
        }
        let fingerprint = call.fingerprint;
        let held =
            self.router.request(|reply| router::Message::HeldFor { fingerprint, reply }).await;
        if let Some(remaining) = held.flatten() {
            return Some(Answer { retry_after: remaining, ..not_run(Reason::Held) });
        }
        self.check_quota(call, deadline).await
    }

    /// Takes a token of the organisation's quota for a call. Returns a refusal if the call is
    /// beyond the quota. It is the last check, so that no call that is refused for another reason
    /// counts against a quota.
    async fn check_quota(&self, call: &Call, deadline: Instant) -> Option<Answer> {
        let limited = call.organisation.as_ref().filter(|owner| owner.quota.is_some())?;
        let organisation = limited.name.clone();
        let time_left = deadline.saturating_duration_since(self.clock.now());
        let message =
            |reply| quota::Message::Admit { organisation: organisation.clone(), time_left, reply };
        let admission = self.quota.request(message).await;
        let Some(Admission::Refused { retry_after }) = admission else {
            return None;
        };
        self.record(&call.id, Event::OverQuota { organisation, retry_after_ms: retry_after });
        let refusal = Answer::refusal(Outcome::NotRun, Reason::OverQuota, self.node);
        Some(Answer { retry_after, ..refusal })
    }

    /// Runs a request that may not be repeated. Its row in the store is read first, so that a
    /// refusal of this copy can be distinguished from refusals of other copies.
    async fn run_once(&self, call: &Call, deadline: Instant) -> Answer {
        let Ok(tagged_row) = self.claims.read(&call.service, &call.id).await else {
            return Answer {
                retry_after: STORE_RETRY_AFTER,
                ..Answer::refusal(Outcome::Unknown, Reason::StoreDown, self.node)
            };
        };
        match once::decide_arrival(tagged_row.row.as_ref(), call.fingerprint) {
            once::ArrivalDecision::Conflict => {
                Answer::refusal(Outcome::Unknown, Reason::Conflict, self.node)
            }
            once::ArrivalDecision::Refused => {
                Answer::refusal(Outcome::NotRun, Reason::RefusedBefore, self.node)
            }
            once::ArrivalDecision::Recall { node, ended } => {
                self.recall(call, deadline, node, ended).await
            }
            once::ArrivalDecision::Proceed
                if !self.claims.is_absence_certain(&call.service, tagged_row.tag).await =>
            {
                // The store may have lost the row of a copy that has run.
                Answer {
                    retry_after: STORE_RETRY_AFTER,
                    ..Answer::refusal(Outcome::Unknown, Reason::StoreRestored, self.node)
                }
            }
            once::ArrivalDecision::Proceed => {
                let tag = tagged_row.tag;
                let answer = self.dispatcher.dispatch(call, deadline, &tag.to_string()).await;
                match answer.reason {
                    Reason::InProgress if answer.node != self.node => {
                        self.recall(call, deadline, answer.node, None).await
                    }
                    // The guard has already replaced its claim by a refusal, or has reported
                    // the outcome as unknown because that failed.
                    Reason::RefusedBefore => answer,
                    _ => self.confirm_not_run(call, Some(tag), answer).await,
                }
            }
        }
    }

    /// Requests the outcome of a claimed request from the node that holds the claim. `ended`
    /// is the HTTP status in the row, if the request has ended.
    async fn recall(
        &self,
        call: &Call,
        deadline: Instant,
        node: Node,
        ended: Option<u16>,
    ) -> Answer {
        let answer = self.dispatcher.recall(call, deadline, node).await;
        let is_known = answer.outcome == Outcome::Ran || answer.reason == Reason::InProgress;
        match ended {
            Some(_) if !is_known => Answer::refusal(Outcome::Ran, Reason::AlreadyRan, node),
            _ => answer,
        }
    }

    /// Confirms the outcome `not-run` of a request that may not be repeated. Earlier copies
    /// of the request may still be in flight, so a refusal is written to its row, which keeps
    /// them from claiming it. If this is not possible, the outcome becomes `unknown`.
    async fn confirm_not_run(&self, call: &Call, tag: Option<Tag>, answer: Answer) -> Answer {
        if !call.requires_claim() || answer.outcome != Outcome::NotRun {
            return answer;
        }
        let tag = match tag {
            Some(tag) => Some(tag),
            None => match self.claims.read(&call.service, &call.id).await {
                Ok(TaggedRow { tag, row: None })
                    if self.claims.is_absence_certain(&call.service, tag).await =>
                {
                    Some(tag)
                }
                Ok(TaggedRow { row: Some(row), .. }) if row.state == once::State::Refused => {
                    return answer;
                }
                Ok(_) | Err(_) => None,
            },
        };
        let is_confirmed = match tag {
            Some(tag) => {
                let nonce = fastrand::u64(..);
                let Call { service, id, .. } = call;
                self.claims.refuse(service, id, tag, call.fingerprint, nonce).await
            }
            None => false,
        };
        Answer {
            outcome: match is_confirmed {
                true => Outcome::NotRun,
                false => Outcome::Unknown,
            },
            ..answer
        }
    }

    fn refusal(&self, id: Option<Box<str>>, refused: Refused) -> FinalAnswer {
        FinalAnswer {
            id,
            is_late: false,
            entry: self.node,
            answer: match refused.reason {
                Reason::NotReady => Answer {
                    retry_after: STORE_RETRY_AFTER,
                    ..Answer::refusal(Outcome::Unknown, refused.reason, self.node)
                },
                // The service or path may exist in a newer configuration of another daemon,
                // so a copy of the request may run through that daemon.
                reason @ (Reason::UnknownService | Reason::UnknownPath | Reason::UnknownMethod) => {
                    Answer::refusal(Outcome::Unknown, reason, self.node)
                }
                reason => Answer::refusal(Outcome::NotRun, reason, self.node),
            },
            text: format!("{}\n", refused.text).into(),
        }
    }

    fn record(&self, id: &str, event: Event) {
        let id = id.into();
        self.journal.send(journal::Message::Record { id, event });
    }
}

/// Returns the result of a lookup, or a refusal if `name` was not found. A daemon that has
/// just started and has no configuration yet must not report a service or path as unknown,
/// because another copy of the request may run through a daemon that has it.
fn require_found<T>(found: Option<Lookup<T>>, reason: Reason, name: &str) -> Result<T, Refused> {
    match found {
        Some(Lookup::Found(found)) => Ok(found),
        Some(Lookup::Unknown) => Err(refused(reason, format!("nothing is known of {name}"))),
        Some(Lookup::NotReady) | None => {
            Err(refused(Reason::NotReady, "this daemon has no configuration yet"))
        }
    }
}

/// A caller that waits for its answer. If it disconnects first, the drop records this.
struct WaitingCaller<'a> {
    entry: &'a Entry,
    /// Id of the caller's request; `None` once the answer is available.
    id: Option<Box<str>>,
    arrived: Instant,
}

impl Drop for WaitingCaller<'_> {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            let after_ms = self.entry.clock.now() - self.arrived;
            self.entry.record(id, Event::Left { after_ms });
        }
    }
}

/// Counts a call as in flight until it is dropped.
struct InFlightCount<'a>(&'a Entry);

impl<'a> InFlightCount<'a> {
    fn new(entry: &'a Entry) -> Self {
        entry.in_flight.set(entry.in_flight.get() + 1);
        Self(entry)
    }
}

impl Drop for InFlightCount<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
