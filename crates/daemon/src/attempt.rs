//! The attempts of one call: sent, hedged, sent again, given up.

use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use kernel::{Clock, Kernel, Mailbox};
use route::{AttemptHistory, AttemptResult, Failure, Node, RetryContext, RetryDecision};
use wire::{Answer, Outcome, Reason, Request};

use crate::call::Call;
use crate::journal::{self, Event};
use crate::router::Route;
use crate::{guard, headers, names, peers, router};

/// Time before the deadline at which a guard refuses what still waits, so that
/// the proof is here in time.
const GUARD_MARGIN: Duration = Duration::from_millis(3);
/// Least time in which another attempt can be answered.
const ATTEMPT_NEEDS: Duration = Duration::from_millis(3);

/// Longest wait for a first target to be known, and its part of the time left.
const TARGET_WAIT_MAX: Duration = Duration::from_millis(250);
const TARGET_WAIT_PART: u32 = 3;
/// Time between two looks for one: above the time in which a list of members
/// reaches the router.
const TARGET_LOOK_EVERY: Duration = Duration::from_millis(20);

/// A late answer deep in a chain makes all calls above it late. So only the
/// first layers hedge, and only the first by the retry budget: the calls of a
/// chain grow by the product of the shares of those layers.
const MAX_HEDGED_DEPTH: u8 = 3;
/// Further wait for an answer, in times of the first, before the retry budget
/// pays for an attempt beside it.
const VERY_LATE: u32 = 2;

/// Sends calls to guards.
pub(crate) struct Attempts {
    node: Node,
    clock: Clock,
    router: Mailbox<router::Ask>,
    peers: Mailbox<peers::Ask>,
    journal: Mailbox<journal::Ask>,
    guard: guard::Handle,
}

/// What has happened to one call so far.
struct Progress {
    past: AttemptHistory,
    redirects: usize,
    retries: u32,
    crashes: u32,
    /// Targets that the call may have reached.
    reached: u32,
    may_have_run: bool,
    /// A target's answer that tells of its own failure.
    ran: Option<Answer>,
}

impl Attempts {
    pub(crate) fn new(kernel: &Kernel, node: Node, guard: guard::Handle) -> Self {
        Self {
            node,
            clock: *kernel.clock(),
            router: kernel.service(names::ROUTER),
            peers: kernel.service(names::PEERS),
            journal: kernel.service(names::JOURNAL),
            guard,
        }
    }

    /// What a guard is sent for a call.
    fn request_of(&self, call: &Call, remaining: Duration) -> Request {
        let treatment = &call.treatment;
        let spent = call.deadline.saturating_sub(remaining);
        Request {
            id: call.id.clone(),
            service: call.service.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            remaining,
            depth: call.depth,
            may_wait: treatment.may_wait,
            may_queue: true,
            repeatable: call.is_repeatable(),
            crashes: 0,
            claim_tag: "".into(),
            recall_only: false,
            fingerprint: call.fingerprint,
            caller: self.guard.service(),
            kind: treatment.kind.clone(),
            rank: treatment.rank,
            target_latency: treatment.aim.saturating_sub(spent),
            once: !call.is_repeatable() && !call.is_claimed(),
            entry: self.node,
        }
    }

    /// Sends a call until it is answered, refused for good, or its time is
    /// over. `claim_tag` is the tag of its row, if it may not be repeated.
    pub(crate) async fn run(&self, call: &Call, deadline: Instant, claim_tag: &str) -> Answer {
        let mut progress = Progress {
            past: AttemptHistory::default(),
            redirects: 0,
            retries: 0,
            crashes: 0,
            reached: 0,
            may_have_run: false,
            ran: None,
        };
        let mut last = None;
        loop {
            let is_first = last.is_none();
            let Some(route) = self.find(call, deadline, &progress.past, is_first).await else {
                let none = || Answer::refusal(Outcome::NotRun, Reason::NoTarget, self.node);
                return progress.conclude(last.unwrap_or_else(none));
            };
            let node = route.node;
            let attempted = self.attempt(call, deadline, claim_tag, route, &mut progress).await;
            let Some(answer) = attempted else {
                return progress.expire(self.node);
            };
            let Some(failure) = failure_of(&answer) else {
                return answer;
            };
            progress.note(node, failure, &answer);
            let situation = progress.situation(call, failure, deadline, self.clock.now());
            if self.decide(call, situation).await == RetryDecision::GiveUp {
                return progress.conclude(answer);
            }
            last = Some(answer);
        }
    }

    /// Asks one guard for the outcome of an earlier copy of a call.
    pub(crate) async fn recall(&self, call: &Call, deadline: Instant, node: Node) -> Answer {
        let unknown = |reason| Answer::refusal(Outcome::Unknown, reason, node);
        let remaining = deadline.saturating_duration_since(self.clock.now());
        let request = Request { recall_only: true, ..self.request_of(call, remaining) };
        let address =
            self.router.request(|reply| router::Ask::Address { node, reply }).await.flatten();
        let Some(address) = address else {
            return unknown(Reason::Unreachable);
        };
        match self.clock.timeout(remaining, self.deliver(node, address, request)).await {
            Ok(answer) if answer.outcome == Outcome::NotRun => unknown(answer.reason),
            Ok(answer) => answer,
            Err(_) => unknown(Reason::InProgress),
        }
    }

    /// Chooses a target. Where none is known at all, as in the first moments of a
    /// daemon or of a service, it waits a little for one.
    async fn find(
        &self,
        call: &Call,
        deadline: Instant,
        past: &AttemptHistory,
        is_first: bool,
    ) -> Option<Route> {
        let remaining = deadline.saturating_duration_since(self.clock.now());
        let until = self.clock.now() + (remaining / TARGET_WAIT_PART).min(TARGET_WAIT_MAX);
        let mut is_first = is_first;
        loop {
            let route = self.choose(call, past, is_first).await;
            let is_new = *past == AttemptHistory::default();
            if route.is_some() || !is_new || self.clock.now() >= until {
                return route;
            }
            is_first = false;
            self.clock.sleep(TARGET_LOOK_EVERY).await;
        }
    }

    async fn choose(&self, call: &Call, past: &AttemptHistory, is_first: bool) -> Option<Route> {
        let (service, past) = (call.service.clone(), past.clone());
        let call = choice_of(call);
        let ask = |reply| router::Ask::Choose { service, past, is_first, call, reply };
        self.router.request(ask).await.flatten()
    }

    async fn decide(&self, call: &Call, situation: RetryContext) -> RetryDecision {
        let service = call.service.clone();
        let ask = |reply| router::Ask::Retry { service, situation, reply };
        let decision = self.router.request(ask).await.unwrap_or(RetryDecision::GiveUp);
        if decision == RetryDecision::AnotherTarget {
            let kind = match situation.failure {
                Failure::Busy | Failure::Leaving => "bronzeport_redirects_total",
                _ => "bronzeport_retries_total",
            };
            metrics::counter!(kind).increment(1);
        }
        decision
    }

    /// Sends a call to one guard, and to a second one when the first is late
    /// and the call may run twice. `None` when the deadline has passed.
    async fn attempt(
        &self,
        call: &Call,
        deadline: Instant,
        claim_tag: &str,
        route: Route,
        progress: &mut Progress,
    ) -> Option<Answer> {
        let crashes = progress.crashes as u8;
        let hedge_after =
            route.hedge_after.filter(|_| call.is_repeatable() && call.depth < MAX_HEDGED_DEPTH);
        let hedge_after =
            hedge_after.filter(|_| progress.reached + 2 <= call.treatment.max_attempts);
        let node = route.node;
        let may_queue = route.may_queue;
        self.note(call, Event::Sent { to: node, may_queue, belief: route.belief });
        let first = self.send(call, deadline, claim_tag, route, crashes);
        let both = async {
            let Some(hedge_after) = hedge_after else {
                return first.await;
            };
            self.hedge(call, deadline, hedge_after, first, node, progress).await
        };
        let remaining = deadline.saturating_duration_since(self.clock.now());
        self.clock.timeout(remaining, both).await.ok()
    }

    /// Waits for the first attempt, and when it is late, for one beside it; the
    /// first good answer counts and the other attempt is cancelled. A call that
    /// the hedge budget does not cover gets a second chance by the retry budget
    /// when its answer is later still.
    async fn hedge(
        &self,
        call: &Call,
        deadline: Instant,
        hedge_after: Duration,
        first: impl Future<Output = Answer>,
        first_node: Node,
        progress: &mut Progress,
    ) -> Answer {
        let mut first = Box::pin(first);
        for (wait, is_very_late) in [(hedge_after, false), (hedge_after * VERY_LATE, true)] {
            if is_very_late && call.depth > 0 {
                break;
            }
            let timer = Box::pin(self.clock.sleep(wait));
            first = match select(first, timer).await {
                Either::Left((answer, _)) => return answer,
                Either::Right(((), first)) => first,
            };
            let Some(route) = self.choose_hedge(call, progress, first_node, is_very_late).await
            else {
                continue;
            };
            let crashes = progress.crashes as u8;
            let second = Box::pin(self.send(call, deadline, "", route, crashes));
            return match select(first, second).await {
                Either::Left((one, other)) => better(one, other).await,
                Either::Right((one, other)) => better(one, other).await,
            };
        }
        first.await
    }

    async fn choose_hedge(
        &self,
        call: &Call,
        progress: &mut Progress,
        first: Node,
        is_very_late: bool,
    ) -> Option<Route> {
        let service = call.service.clone();
        let tried = [&progress.past.reached[..], &progress.past.refused, &[first]].concat();
        let choice = choice_of(call);
        let ask = |reply| router::Ask::Hedge { service, call: choice, tried, is_very_late, reply };
        let route = self.router.request(ask).await.flatten()?;
        let counter = match is_very_late {
            true => "bronzeport_retries_total",
            false => "bronzeport_hedges_total",
        };
        metrics::counter!(counter).increment(1);
        self.note(call, Event::Hedged { to: route.node, belief: route.belief });
        progress.past.reached.push(route.node);
        progress.reached += 1;
        Some(route)
    }

    /// Sends a call to one guard and tells the router how it ended.
    async fn send(
        &self,
        call: &Call,
        deadline: Instant,
        claim_tag: &str,
        route: Route,
        crashes: u8,
    ) -> Answer {
        let mut sent = Sent {
            router: self.router.clone(),
            service: call.service.clone(),
            kind: call.treatment.kind.clone(),
            node: route.node,
            attempt: route.attempt,
            is_open: true,
        };
        let remaining = deadline.saturating_duration_since(self.clock.now());
        let remaining = remaining.saturating_sub(GUARD_MARGIN);
        let request = Request {
            may_queue: route.may_queue,
            crashes,
            claim_tag: claim_tag.into(),
            ..self.request_of(call, remaining)
        };
        let answer = self.deliver(route.node, route.address, request).await;
        sent.end(&answer);
        self.note(call, event_of(route.node, &answer));
        if answer.outcome == Outcome::Ran {
            let fingerprint = call.fingerprint;
            self.router.send(router::Ask::Harmless { fingerprint });
        }
        answer
    }

    async fn deliver(&self, node: Node, address: Box<str>, request: Request) -> Answer {
        let unknown = |reason| Answer::refusal(Outcome::Unknown, reason, node);
        if node == self.node {
            let answer = self.guard.run(request).await;
            return answer.unwrap_or_else(|| unknown(Reason::Cut));
        }
        let ask = |reply| peers::Ask::Link { address, reply };
        let Some(link) = self.peers.request(ask).await.flatten() else {
            return Answer::refusal(Outcome::NotRun, Reason::Unreachable, node);
        };
        match link.call(&request).await {
            Ok(answer) => answer,
            Err(_) => unknown(Reason::Cut),
        }
    }

    fn note(&self, call: &Call, event: Event) {
        let id = call.id.clone();
        self.journal.send(journal::Ask::Note { id, event });
    }
}

impl Progress {
    fn note(&mut self, node: Node, failure: Failure, answer: &Answer) {
        match failure {
            Failure::Busy => self.past.refused.push(node),
            _ if !self.past.reached.contains(&node) => self.past.reached.push(node),
            _ => {}
        }
        match failure {
            Failure::Busy | Failure::Leaving => self.redirects += 1,
            Failure::Unreachable if answer.outcome == Outcome::NotRun => self.retries += 1,
            _ => {
                self.retries += 1;
                self.reached += 1;
            }
        }
        if answer.reason == Reason::Crashed {
            self.crashes += 1;
        }
        if answer.outcome != Outcome::NotRun {
            self.may_have_run = true;
        }
        if answer.outcome == Outcome::Ran {
            self.ran = Some(answer.clone());
        }
    }

    fn situation(
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
            attempts_left: call.treatment.max_attempts.saturating_sub(self.reached),
            redirects: self.redirects,
            retries: self.retries,
            crashes: self.crashes,
            remaining: deadline.saturating_duration_since(now),
            min_attempt_time: ATTEMPT_NEEDS,
        }
    }

    /// A refusal proves that the last attempt did not run, and says nothing of
    /// the earlier ones. An answer that a target gave goes before a refusal.
    fn conclude(&mut self, answer: Answer) -> Answer {
        if let Some(ran) = self.ran.take().filter(|_| answer.outcome != Outcome::Ran) {
            return ran;
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

/// Ends an attempt in the router's books, also when it is dropped.
struct Sent {
    router: Mailbox<router::Ask>,
    service: Box<str>,
    kind: Box<str>,
    node: Node,
    attempt: route::AttemptId,
    is_open: bool,
}

impl Sent {
    fn end(&mut self, answer: &Answer) {
        self.is_open = false;
        self.tell(ending_of(answer), Some(answer.load), answer.body.len());
    }

    fn tell(&self, ending: AttemptResult, load: Option<route::Load>, bytes: usize) {
        self.router.send(router::Ask::End {
            service: self.service.clone(),
            kind: self.kind.clone(),
            node: self.node,
            attempt: self.attempt,
            ending,
            load: load.filter(|load| load.slots > 0),
            bytes,
        });
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if self.is_open {
            self.tell(AttemptResult::Abandoned, None, 0);
        }
    }
}

/// The better of an attempt that has ended and one that is under way.
async fn better(one: Answer, other: Pin<Box<impl Future<Output = Answer>>>) -> Answer {
    if failure_of(&one).is_none() {
        return one;
    }
    let other = other.await;
    match failure_of(&other) {
        // What may have run outweighs a refusal.
        Some(_) if other.outcome == Outcome::NotRun => one,
        _ => other,
    }
}

/// What the choice of a target depends on.
fn choice_of(call: &Call) -> route::Call {
    route::Call {
        may_wait: call.treatment.may_wait,
        repeatable: call.is_repeatable(),
        kind: call.treatment.kind.clone(),
        target_latency: call.treatment.aim,
    }
}

/// Whether a target's answer is one of its own failure, which another target
/// may not share. A deeper layer has retried its own failures already.
fn is_own_failure(answer: &Answer) -> bool {
    matches!(answer.status, 500 | 502 | 503 | 504) && !headers::is_from_below(&answer.headers)
}

fn failure_of(answer: &Answer) -> Option<Failure> {
    if answer.outcome == Outcome::Ran {
        let is_failure = is_own_failure(answer);
        return match answer.reason {
            Reason::TargetShed => Some(Failure::MayHaveRun),
            Reason::TooLarge => Some(Failure::Permanent),
            _ => is_failure.then_some(Failure::MayHaveRun),
        };
    }
    Some(match answer.reason {
        Reason::Busy => Failure::Busy,
        Reason::Leaving | Reason::NoTarget => Failure::Leaving,
        Reason::Unreachable => Failure::Unreachable,
        Reason::TargetShed => Failure::Shed,
        Reason::Cut => Failure::MayHaveRun,
        Reason::Crashed => Failure::Crashed,
        _ => Failure::Permanent,
    })
}

fn ending_of(answer: &Answer) -> AttemptResult {
    match (answer.outcome, answer.reason) {
        (Outcome::Ran, Reason::TargetShed) => AttemptResult::Inconclusive,
        (Outcome::Ran, _) if is_own_failure(answer) => AttemptResult::Failed,
        (Outcome::Ran, _) => AttemptResult::Answered(answer.service_time),
        (_, Reason::Unreachable | Reason::Cut | Reason::Crashed) => AttemptResult::Failed,
        _ => AttemptResult::Inconclusive,
    }
}

fn event_of(node: Node, answer: &Answer) -> Event {
    let Answer { outcome, reason, status, service_time, .. } = *answer;
    match outcome {
        Outcome::Ran => Event::Answered { from: node, status, service_ms: service_time },
        _ => Event::Failed { from: node, reason, outcome },
    }
}
