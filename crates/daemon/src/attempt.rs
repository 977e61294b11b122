//! Sends a call to guards: first attempt, hedges, retries and redirects.

use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use kernel::{Clock, Kernel, Mailbox};
use route::{AttemptHistory, AttemptResult, Departure, Failure, Node, RetryContext, RetryDecision};
use wire::{Answer, Outcome, Reason, Request};

use crate::call::Call;
use crate::journal::{self, Event, HedgeCause};
use crate::router::{HedgePlan, Route};
use crate::{guard, headers, membership, names, peers, router};

/// Margin by which the deadline sent to a guard is earlier than the call's deadline. A
/// guard refuses a request that is still queued at its deadline, and this refusal, which
/// proves that the request did not run, must reach the entry in time.
const GUARD_DEADLINE_MARGIN: Duration = Duration::from_millis(3);
/// Minimum time in which another attempt can be answered.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(3);

/// Limits of the wait for a service's first target: a maximum time, and the divisor that
/// gives the allowed fraction of the time left until the deadline.
const TARGET_WAIT_MAX: Duration = Duration::from_millis(250);
const TARGET_WAIT_DIVISOR: u32 = 3;
/// Time between two checks for a target. It is longer than the time in which a new member
/// list reaches the router.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of layers of a call chain that send hedges, counted from its start. A late answer
/// deep in a chain makes all calls above it late, so if every layer hedged, the number of
/// calls would grow by the product of the hedge shares of all layers. For the same reason,
/// only the first layer sends hedges that the retry budget pays for.
const HEDGING_LAYERS: u8 = 3;
/// Additional wait for an answer before the retry budget pays for a hedge, as a multiple of
/// the hedge delay.
const VERY_LATE_FACTOR: u32 = 2;

/// Sends calls to guards and decides on hedges and retries.
pub(crate) struct Dispatcher {
    node: Node,
    clock: Clock,
    router: Mailbox<router::Message>,
    peers: Mailbox<peers::Message>,
    journal: Mailbox<journal::Message>,
    membership: Mailbox<membership::Message>,
    guard: guard::Handle,
}

/// State of one call across its attempts.
struct Progress {
    history: AttemptHistory,
    redirects: usize,
    retries: u32,
    crashes: u32,
    /// Number of targets that the call may have reached.
    targets_reached: u32,
    may_have_run: bool,
    /// The last answer in which a target reported an error of its own.
    failed_answer: Option<Answer>,
}

impl Dispatcher {
    pub(crate) fn new(kernel: &Kernel, node: Node, guard: guard::Handle) -> Self {
        Self {
            node,
            clock: *kernel.clock(),
            router: kernel.service(names::ROUTER),
            peers: kernel.service(names::PEERS),
            journal: kernel.service(names::JOURNAL),
            membership: kernel.service(names::MEMBERSHIP),
            guard,
        }
    }

    /// Builds the request that is sent to a guard.
    fn build_request(&self, call: &Call, remaining: Duration) -> Request {
        let settings = &call.settings;
        let spent = call.deadline.saturating_sub(remaining);
        let organisation = call.organisation.as_deref();
        Request {
            id: call.id.clone(),
            service: call.service.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            remaining,
            depth: call.depth,
            may_wait: settings.may_wait,
            may_queue: true,
            repeatable: call.is_repeatable(),
            crashes: 0,
            claim_tag: "".into(),
            recall_only: false,
            fingerprint: call.fingerprint,
            caller: self.guard.service(),
            kind: settings.kind.clone(),
            rank: settings.rank,
            target_latency: settings.target_latency.saturating_sub(spent),
            once: !call.is_repeatable() && !call.requires_claim(),
            entry: self.node,
            organisation: organisation.map_or_else(Box::default, |owner| owner.name.clone()),
            // A call without an organisation, such as one that a target makes, has the highest
            // priority: it must not starve behind the requests that caused it.
            organisation_priority: organisation.map_or(0, |owner| owner.priority),
        }
    }

    /// Sends a call until it is answered, is refused permanently, or its deadline passes.
    /// For a call that may not be repeated, `claim_tag` is the version tag of its row in the
    /// store; empty if there is no row.
    pub(crate) async fn dispatch(&self, call: &Call, deadline: Instant, claim_tag: &str) -> Answer {
        let mut progress = Progress {
            history: AttemptHistory::default(),
            redirects: 0,
            retries: 0,
            crashes: 0,
            targets_reached: 0,
            may_have_run: false,
            failed_answer: None,
        };
        let mut last = None;
        loop {
            let is_first = last.is_none();
            let Some(route) =
                self.wait_for_target(call, deadline, &progress.history, is_first).await
            else {
                let reason = match last.is_none() && self.is_evacuated(call).await {
                    true => Reason::Evacuated,
                    false => Reason::NoTarget,
                };
                let no_target = || Answer::refusal(Outcome::NotRun, reason, self.node);
                return progress.conclude(last.unwrap_or_else(no_target));
            };
            let node = route.node;
            let attempted = self.attempt(call, deadline, claim_tag, route, &mut progress).await;
            let Some(answer) = attempted else {
                return progress.expire(self.node);
            };
            let Some(failure) = classify_failure(&answer) else {
                return answer;
            };
            progress.record_failure(node, failure, &answer);
            let context = progress.retry_context(call, failure, deadline, self.clock.now());
            if self.decide_retry(call, context).await == RetryDecision::GiveUp {
                return progress.conclude(answer);
            }
            last = Some(answer);
        }
    }

    /// Requests the outcome of an earlier copy of a call from the guard at `node`.
    pub(crate) async fn recall(&self, call: &Call, deadline: Instant, node: Node) -> Answer {
        let unknown = |reason| Answer::refusal(Outcome::Unknown, reason, node);
        let remaining = deadline.saturating_duration_since(self.clock.now());
        let request = Request { recall_only: true, ..self.build_request(call, remaining) };
        let address =
            self.router.request(|reply| router::Message::Address { node, reply }).await.flatten();
        let Some(address) = address else {
            return unknown(Reason::Unreachable);
        };
        match self.clock.timeout(remaining, self.deliver(node, address, request)).await {
            Ok(answer) if answer.outcome == Outcome::NotRun => unknown(answer.reason),
            Ok(answer) => answer,
            Err(_) => unknown(Reason::InProgress),
        }
    }

    /// Chooses a target. Before the first attempt, waits for a limited time if the service
    /// has no targets, as shortly after a daemon or a service has started, unless all of them
    /// are in evacuated data centres.
    async fn wait_for_target(
        &self,
        call: &Call,
        deadline: Instant,
        history: &AttemptHistory,
        is_first: bool,
    ) -> Option<Route> {
        let remaining = deadline.saturating_duration_since(self.clock.now());
        let until = self.clock.now() + (remaining / TARGET_WAIT_DIVISOR).min(TARGET_WAIT_MAX);
        let mut is_first = is_first;
        loop {
            let route = self.choose_target(call, history, is_first).await;
            let is_untried = *history == AttemptHistory::default();
            let is_final = route.is_some() || !is_untried || self.clock.now() >= until;
            if is_final || self.is_evacuated(call).await {
                return route;
            }
            is_first = false;
            self.clock.sleep(TARGET_POLL_INTERVAL).await;
        }
    }

    /// Whether a call is refused because all targets of its service are in evacuated data centres.
    async fn is_evacuated(&self, call: &Call) -> bool {
        let service = call.service.clone();
        let message = |reply| router::Message::IsEvacuated { service, reply };
        self.router.request(message).await.unwrap_or(false)
    }

    async fn choose_target(
        &self,
        call: &Call,
        history: &AttemptHistory,
        is_first: bool,
    ) -> Option<Route> {
        let (service, history) = (call.service.clone(), history.clone());
        let call = routing_call(call);
        let message = |reply| router::Message::Choose { service, history, is_first, call, reply };
        self.router.request(message).await.flatten()
    }

    async fn decide_retry(&self, call: &Call, context: RetryContext) -> RetryDecision {
        let service = call.service.clone();
        let message = |reply| router::Message::Retry { service, context, reply };
        let decision = self.router.request(message).await.unwrap_or(RetryDecision::GiveUp);
        if decision == RetryDecision::AnotherTarget {
            let kind = match context.failure {
                Failure::Busy | Failure::Leaving => "bronzeport_redirects_total",
                _ => "bronzeport_retries_total",
            };
            metrics::counter!(kind).increment(1);
        }
        decision
    }

    /// Sends a call to one guard, and hedges it if the answer is late and the call may run
    /// more than once. Returns `None` if the deadline passes first.
    async fn attempt(
        &self,
        call: &Call,
        deadline: Instant,
        claim_tag: &str,
        route: Route,
        progress: &mut Progress,
    ) -> Option<Answer> {
        let crashes = progress.crashes as u8;
        let hedge = route.hedge.filter(|_| call.is_repeatable() && call.depth < HEDGING_LAYERS);
        let hedge = hedge.filter(|_| progress.targets_reached + 2 <= call.settings.max_attempts);
        let node = route.node;
        let may_queue = route.may_queue;
        let left_data_centre = route.departure.map(Departure::name);
        let estimate = route.estimate;
        self.record(call, Event::Sent { to: node, may_queue, left_data_centre, estimate });
        let first = self.send(call, deadline, claim_tag, route, crashes);
        let with_hedge = async {
            let Some(hedge) = hedge else {
                return first.await;
            };
            self.hedge(call, deadline, hedge, first, node, progress).await
        };
        let remaining = deadline.saturating_duration_since(self.clock.now());
        self.clock.timeout(remaining, with_hedge).await.ok()
    }

    /// Waits for the first attempt, and sends a second one if the first is late. The first
    /// usable answer is returned and the other attempt is cancelled. If the hedge budget has
    /// no token, the call is hedged from the retry budget when the answer is very late, or,
    /// under an operator's limit, from the hedge budget.
    async fn hedge(
        &self,
        call: &Call,
        deadline: Instant,
        plan: HedgePlan,
        first: impl Future<Output = Answer>,
        first_node: Node,
        progress: &mut Progress,
    ) -> Answer {
        let first_sent_at = self.clock.now();
        let mut first = Box::pin(first);
        for (wait, cause) in
            [(plan.after, HedgeCause::Late), (plan.after * VERY_LATE_FACTOR, HedgeCause::VeryLate)]
        {
            if cause == HedgeCause::VeryLate && call.depth > 0 && !plan.is_limited {
                break;
            }
            let timer = Box::pin(self.clock.sleep(wait));
            first = match select(first, timer).await {
                Either::Left((answer, _)) => return answer,
                Either::Right(((), first)) => first,
            };
            let Some(route) = self.choose_hedge_target(call, progress, first_node, cause).await
            else {
                continue;
            };
            let hedge_sent_at = self.clock.now();
            let counter = match cause {
                HedgeCause::VeryLate if !plan.is_limited => "bronzeport_retries_total",
                _ => "bronzeport_hedges_total",
            };
            metrics::counter!(counter).increment(1);
            let after_ms = hedge_sent_at - first_sent_at;
            let to = route.node;
            self.record(call, Event::Hedged { to, cause, after_ms, estimate: route.estimate });
            let crashes = progress.crashes as u8;
            let second = Box::pin(self.send(call, deadline, "", route, crashes));
            let answer = match select(first, second).await {
                Either::Left((answer, pending)) => better_answer(answer, pending).await,
                Either::Right((answer, pending)) => better_answer(answer, pending).await,
            };
            let (loser, loser_sent_at) = match answer.node == to {
                true => (first_node, first_sent_at),
                false => (to, hedge_sent_at),
            };
            self.record_hedge_end(call, answer.node == to, loser, loser_sent_at);
            return answer;
        }
        first.await
    }

    async fn choose_hedge_target(
        &self,
        call: &Call,
        progress: &mut Progress,
        first: Node,
        cause: HedgeCause,
    ) -> Option<Route> {
        let service = call.service.clone();
        let tried = [&progress.history.reached[..], &progress.history.refused, &[first]].concat();
        let routing = routing_call(call);
        let is_very_late = cause == HedgeCause::VeryLate;
        let message =
            |reply| router::Message::Hedge { service, call: routing, tried, is_very_late, reply };
        let route = self.router.request(message).await.flatten()?;
        progress.history.reached.push(route.node);
        progress.targets_reached += 1;
        Some(route)
    }

    /// Records which of two concurrent attempts was answered, and the time spent on the other.
    fn record_hedge_end(&self, call: &Call, hedge_won: bool, loser: Node, loser_sent_at: Instant) {
        let wasted = self.clock.now() - loser_sent_at;
        if hedge_won {
            metrics::counter!("bronzeport_hedges_won_total").increment(1);
        }
        metrics::counter!("bronzeport_hedge_wasted_ms_total").increment(wasted.as_millis() as u64);
        self.record(call, Event::HedgeEnded { hedge_won, loser, wasted_ms: wasted });
    }

    /// Sends a call to one guard and reports the result to the router.
    async fn send(
        &self,
        call: &Call,
        deadline: Instant,
        claim_tag: &str,
        route: Route,
        crashes: u8,
    ) -> Answer {
        let mut open_attempt = OpenAttempt {
            router: self.router.clone(),
            service: call.service.clone(),
            kind: call.settings.kind.clone(),
            node: route.node,
            attempt: route.attempt,
            request_bytes: 0,
            is_open: true,
        };
        let remaining = deadline.saturating_duration_since(self.clock.now());
        let remaining = remaining.saturating_sub(GUARD_DEADLINE_MARGIN);
        let request = Request {
            may_queue: route.may_queue,
            crashes,
            claim_tag: claim_tag.into(),
            ..self.build_request(call, remaining)
        };
        open_attempt.request_bytes = request.wire_size();
        let answer = self.deliver(route.node, route.address, request).await;
        open_attempt.finish(&answer);
        self.record(call, answer_event(route.node, &answer));
        if answer.outcome == Outcome::Ran {
            let fingerprint = call.fingerprint;
            self.router.send(router::Message::Harmless { fingerprint });
        }
        answer
    }

    async fn deliver(&self, node: Node, address: Box<str>, request: Request) -> Answer {
        let unknown = |reason| Answer::refusal(Outcome::Unknown, reason, node);
        if node == self.node {
            let answer = self.guard.run(request).await;
            return answer.unwrap_or_else(|| unknown(Reason::Cut));
        }
        let message = |reply| peers::Message::Connect { address, reply };
        let Some(client) = self.peers.request(message).await.flatten() else {
            return Answer::refusal(Outcome::NotRun, Reason::Unreachable, node);
        };
        let (kind, peer, bytes) = ("calls", membership::Peer::Node(node), request.wire_size());
        self.membership.send(membership::Message::Transferred { kind, peer, bytes });
        match client.call(&request).await {
            Ok(answer) => answer,
            Err(_) => unknown(Reason::Cut),
        }
    }

    fn record(&self, call: &Call, event: Event) {
        let id = call.id.clone();
        self.journal.send(journal::Message::Record { id, event });
    }
}

impl Progress {
    fn record_failure(&mut self, node: Node, failure: Failure, answer: &Answer) {
        match failure {
            Failure::Busy => self.history.refused.push(node),
            _ if !self.history.reached.contains(&node) => self.history.reached.push(node),
            _ => {}
        }
        match failure {
            Failure::Busy | Failure::Leaving => self.redirects += 1,
            Failure::Unreachable if answer.outcome == Outcome::NotRun => self.retries += 1,
            _ => {
                self.retries += 1;
                self.targets_reached += 1;
            }
        }
        if answer.reason == Reason::Crashed {
            self.crashes += 1;
        }
        if answer.outcome != Outcome::NotRun {
            self.may_have_run = true;
        }
        if answer.outcome == Outcome::Ran {
            self.failed_answer = Some(answer.clone());
        }
    }

    fn retry_context(
        &self,
        call: &Call,
        failure: Failure,
        deadline: Instant,
        now: Instant,
    ) -> RetryContext {
        RetryContext {
            failure,
            repeatable: call.is_repeatable(),
            may_have_run: self.may_have_run,
            attempts_left: call.settings.max_attempts.saturating_sub(self.targets_reached),
            redirects: self.redirects,
            retries: self.retries,
            crashes: self.crashes,
            remaining: deadline.saturating_duration_since(now),
            min_attempt_time: MIN_ATTEMPT_TIME,
        }
    }

    /// Returns the final answer of a call that is given up. A refusal proves only that the
    /// last attempt did not run, so the outcome is unknown if an earlier attempt may have
    /// run. A target's answer takes precedence over a refusal.
    fn conclude(&mut self, answer: Answer) -> Answer {
        if let Some(failed_answer) =
            self.failed_answer.take().filter(|_| answer.outcome != Outcome::Ran)
        {
            return failed_answer;
        }
        let outcome = match answer.outcome {
            Outcome::NotRun if self.may_have_run => Outcome::Unknown,
            outcome => outcome,
        };
        Answer { outcome, ..answer }
    }

    fn expire(&self, node: Node) -> Answer {
        Answer::refusal(Outcome::Unknown, Reason::Expired, node)
    }
}

/// An attempt whose end is not yet reported to the router. It is reported as abandoned on
/// drop.
struct OpenAttempt {
    router: Mailbox<router::Message>,
    service: Box<str>,
    kind: Box<str>,
    node: Node,
    attempt: route::AttemptId,
    request_bytes: usize,
    is_open: bool,
}

impl OpenAttempt {
    fn finish(&mut self, answer: &Answer) {
        self.is_open = false;
        self.report(attempt_result(answer), Some(answer.load), answer.body.len());
    }

    fn report(&self, result: AttemptResult, load: Option<route::Load>, bytes: usize) {
        self.router.send(router::Message::AttemptEnded {
            service: self.service.clone(),
            kind: self.kind.clone(),
            node: self.node,
            attempt: self.attempt,
            result,
            load: load.filter(|load| load.slots > 0),
            request_bytes: self.request_bytes,
            bytes,
        });
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        if self.is_open {
            self.report(AttemptResult::Abandoned, None, 0);
        }
    }
}

/// Returns the more useful answer of an attempt that has ended and one in flight.
async fn better_answer(answer: Answer, pending: Pin<Box<impl Future<Output = Answer>>>) -> Answer {
    if classify_failure(&answer).is_none() {
        return answer;
    }
    let second = pending.await;
    match classify_failure(&second) {
        // The answer of an attempt that may have run takes precedence over a refusal.
        Some(_) if second.outcome == Outcome::NotRun => answer,
        _ => second,
    }
}

/// Returns the properties of a call that the choice of its target depends on.
fn routing_call(call: &Call) -> route::Call {
    route::Call {
        may_wait: call.settings.may_wait,
        repeatable: call.is_repeatable(),
        kind: call.settings.kind.clone(),
        target_latency: call.settings.target_latency,
    }
}

/// Whether an answer reports an error of the target itself, so that another target may
/// succeed. An error that the target passes on from a deeper layer of the chain does not
/// count: that layer has already retried it.
fn is_target_error(answer: &Answer) -> bool {
    matches!(answer.status, 500 | 502 | 503 | 504)
        && !headers::is_from_deeper_layer(&answer.headers)
}

fn classify_failure(answer: &Answer) -> Option<Failure> {
    if answer.outcome == Outcome::Ran {
        let is_error = is_target_error(answer);
        return match answer.reason {
            Reason::TargetShed => Some(Failure::MayHaveRun),
            Reason::TooLarge => Some(Failure::Permanent),
            _ => is_error.then_some(Failure::MayHaveRun),
        };
    }
    Some(match answer.reason {
        Reason::Busy => Failure::Busy,
        Reason::Leaving | Reason::NoTarget | Reason::Evacuated => Failure::Leaving,
        Reason::Unreachable => Failure::Unreachable,
        Reason::TargetShed => Failure::Shed,
        Reason::Cut => Failure::MayHaveRun,
        Reason::Crashed => Failure::Crashed,
        _ => Failure::Permanent,
    })
}

fn attempt_result(answer: &Answer) -> AttemptResult {
    match (answer.outcome, answer.reason) {
        (Outcome::Ran, Reason::TargetShed) => AttemptResult::Inconclusive,
        (Outcome::Ran, _) if is_target_error(answer) => AttemptResult::Failed,
        (Outcome::Ran, _) => AttemptResult::Answered(answer.service_time),
        (_, Reason::Unreachable | Reason::Cut | Reason::Crashed) => AttemptResult::Failed,
        _ => AttemptResult::Inconclusive,
    }
}

fn answer_event(node: Node, answer: &Answer) -> Event {
    let Answer { outcome, reason, status, service_time, .. } = *answer;
    match outcome {
        Outcome::Ran => Event::Answered { from: node, status, service_ms: service_time },
        _ => Event::Failed { from: node, reason, outcome },
    }
}
