//! The guard's task: which requests its target runs, and how they end.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admit::{
    AdmissionController, Class, Completion, Decision, HoldTracker, QueueAction, Refusal,
    Registration, Ticket,
};
use config::TargetSettings;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use member::RecentRequesters;
use once::{DuplicateCache, Lookup};
use route::{Load, Node, RequestStats, pace_factor};
use wire::{Answer, Outcome, Reason, Request};

use super::job::{Job, Stage};
use super::{Ask, Heard, Status};
use crate::claims::Claims;
use crate::edge::{Edge, Fate, TargetAnswer};
use crate::journal::{self, Event};
use crate::target::{Run, Target};
use crate::{membership, names};

/// Share of its slots up to which a target that sheds is not taken to be full.
const FULL_SHARE: f64 = 0.8;
/// When to come back to a target that is down.
pub(super) const DOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time beyond a request's deadline after which its run is given up: targets stop at the
/// deadline, and one that still sends, or nothing at all, would hold its slot for ever.
const RUN_GRACE: Duration = Duration::from_millis(100);
/// The same for a request whose outcome is kept for its caller's next copy.
const CLAIMED_RUN_GRACE: Duration = Duration::from_secs(10);

/// The guard's task and what it owns.
pub(super) struct Task {
    pub(super) kernel: Kernel,
    pub(super) mailbox: Mailbox<Ask>,
    pub(super) journal: Mailbox<journal::Message>,
    pub(super) claims: Claims,
    pub(super) node: Node,
    pub(super) edge: Edge,
    pub(super) is_reachable: bool,
    pub(super) target: Option<Target>,
    /// Service of the target, which the entry of this daemon reads, too.
    pub(super) service: Rc<RefCell<Box<str>>>,
    /// Which start of the target is served, where targets say so themselves.
    pub(super) standing: Option<Registration>,
    /// What the configuration states of the targets of each service.
    pub(super) endpoints: Vec<TargetSettings>,
    /// Connections that the target takes by the settings, where the configuration
    /// does not say it.
    pub(super) connections: u16,
    pub(super) report: Option<Heard>,
    /// The daemons whose requests came here lately.
    pub(super) askers: RecentRequesters,
    /// The load that other daemons have been told last.
    pub(super) told: Load,
    pub(super) works: RequestStats,
    pub(super) gate: AdmissionController,
    pub(super) ledger: DuplicateCache<Answer>,
    pub(super) holds: HoldTracker,
    pub(super) jobs: HashMap<Ticket, Job>,
    /// Copies that wait for the end of another with the same id.
    pub(super) joined: HashMap<Box<str>, Vec<(Ticket, Reply<Answer>)>>,
    /// Requests in flight at the latest crash, whose own end is still to come.
    pub(super) crash: HashSet<Ticket>,
    pub(super) looked_at: Option<Instant>,
}

impl Task {
    pub(super) async fn run(mut self, inbox: Inbox<Ask>) {
        while let Some(ask) = inbox.receive().await {
            self.take(ask);
            self.start_waiting();
            self.tell_load();
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.kernel.clock().now()
    }

    fn take(&mut self, ask: Ask) {
        match ask {
            Ask::Arrive { ticket, request, reply } => self.arrive(ticket, *request, reply),
            Ask::Cancel { ticket } => self.cancel(ticket),
            Ask::Expire { ticket } => self.expire(ticket),
            Ask::Claimed { ticket, claimed } => self.claimed(ticket, claimed),
            Ask::Ran { ticket, run, service } => self.ran(ticket, run, service),
            Ask::Looked { instance, look } => self.looked(&instance, look),
            Ask::Due { reply } => drop(reply.send(self.due_look())),
            Ask::Notice { notice, reply } => {
                self.notice(notice);
                reply.send(());
            }
            Ask::Endpoints(endpoints) => {
                self.endpoints = endpoints;
                self.bound_connections();
                // The health page may have become known by it.
                self.looked_at = None;
            }
            // What waits is looked at after each message.
            Ask::WarmUp => {}
            Ask::Holds(holds) => {
                let now = self.now();
                for hold in holds {
                    self.holds.apply(now, hold);
                }
            }
            Ask::Load { reply } => drop(reply.send(self.load())),
            Ask::Leave => self.gate.leave(),
            Ask::Busy { reply } => drop(reply.send(self.jobs.len())),
            Ask::State { reply } => {
                reply.send(Status {
                    load: self.load(),
                    is_reachable: self.is_reachable,
                    held: self.holds.count_held(self.now()),
                    ledger: self.ledger.len(),
                });
            }
        }
    }

    pub(super) fn note(&self, id: &str, event: Event) {
        let id = id.into();
        self.journal.send(journal::Message::Record { id, event });
    }

    pub(super) fn refusal(
        &self,
        outcome: Outcome,
        reason: Reason,
        retry_after: Duration,
    ) -> Answer {
        Answer { load: self.load(), retry_after, ..Answer::refusal(outcome, reason, self.node) }
    }

    fn arrive(&mut self, ticket: Ticket, request: Request, reply: Reply<Answer>) {
        let now = self.now();
        self.askers.record(request.entry);
        if let Some(refusal) = self.check(now, &request) {
            self.note(
                &request.id,
                Event::Refused {
                    reason: refusal.reason,
                    retry_after_ms: refusal.retry_after,
                    guard_state: self.inside(),
                },
            );
            reply.send(refusal);
            return;
        }
        let job = Job {
            deadline: now + request.remaining,
            aim: now + request.target_latency.min(request.remaining),
            reply: Some(reply),
            stage: Stage::Waiting,
            claim_tag: "".into(),
            nonce: fastrand::u64(..),
            pace: 0,
            running: 0,
            instance: "".into(),
            request: Rc::new(request),
            _work: None,
        };
        match job.is_for_claim() {
            true => self.arrive_once(ticket, job),
            false => self.admit(ticket, job),
        }
    }

    /// Refuses what cannot run here whatever the load is.
    fn check(&self, now: Instant, request: &Request) -> Option<Answer> {
        let not_run = |reason, after| Some(self.refusal(Outcome::NotRun, reason, after));
        let is_known = !request.repeatable
            && self.ledger.lookup(&request.id, request.fingerprint) != Lookup::Absent;
        if is_known || request.recall_only {
            return None;
        }
        if self.target.is_none() {
            return not_run(Reason::NoTarget, Duration::ZERO);
        }
        if let Some(left) = self.holds.held_for(now, request.fingerprint) {
            return not_run(Reason::Held, left);
        }
        if self.gate.is_leaving() || *request.service != **self.service.borrow() {
            return not_run(Reason::Leaving, Duration::ZERO);
        }
        if !self.is_reachable {
            return not_run(Reason::Unreachable, DOWN_RETRY_AFTER);
        }
        None
    }

    /// Lets a request run, wait or be refused by the load here.
    pub(super) fn admit(&mut self, ticket: Ticket, job: Job) {
        let now = self.now();
        let arrival = admit::Request {
            ticket,
            class: match job.request.may_wait {
                true => Class::Patient,
                false => Class::Urgent,
            },
            deadline: job.deadline,
            soft_deadline: job.aim,
            rank: job.request.rank,
            nominal_time: self.usual(&job.request),
            may_queue: job.request.may_queue || job.is_claimed(),
        };
        if arrival.may_queue || !self.misses_aim(&job.request) {
            self.arrive_at_gate(now, arrival, job);
        } else {
            self.refuse(job, Reason::Busy, self.gate.service_time());
        }
    }

    fn arrive_at_gate(&mut self, now: Instant, arrival: admit::Request, job: Job) {
        let ticket = arrival.ticket;
        let id = job.request.id.clone();
        match self.gate.arrive(now, arrival) {
            Decision::Start => {
                self.note(&id, Event::Admitted { guard_state: self.inside() });
                self.jobs.insert(ticket, job);
                self.start_run(ticket);
            }
            Decision::Wait => {
                self.note(&id, Event::Queued { guard_state: self.inside() });
                self.jobs.insert(ticket, job);
            }
            Decision::Refuse(refusal) => {
                let (reason, after) = match refusal {
                    Refusal::Busy { retry_after } => (Reason::Busy, retry_after),
                    Refusal::Late { retry_after } => (Reason::Late, retry_after),
                    Refusal::Leaving => (Reason::Leaving, Duration::ZERO),
                };
                self.refuse(job, reason, after);
            }
        }
    }

    fn start_waiting(&mut self) {
        loop {
            let now = self.now();
            match self.gate.next_action(now) {
                QueueAction::Idle => return,
                QueueAction::Start(ticket) => self.start_run(ticket),
                QueueAction::Expire(ticket) => self.refuse_withdrawn(ticket, Reason::Late),
            }
        }
    }

    /// Starts the work of a request that the gate let through.
    fn start_run(&mut self, ticket: Ticket) {
        let (now, pace) = (self.now(), self.pace());
        let (Some(job), Some(target)) = (self.jobs.get_mut(&ticket), self.target.clone()) else {
            self.gate.finish(now, ticket, Completion::Aborted);
            return;
        };
        job.stage = Stage::Running;
        job.pace = pace;
        job.running = self.gate.in_flight();
        job.instance = target.identity().instance.clone();
        let (request, deadline) = (job.request.clone(), job.deadline);
        let (clock, mailbox) = (*self.kernel.clock(), self.mailbox.clone());
        let grace = match job.is_for_claim() {
            true => CLAIMED_RUN_GRACE,
            false => RUN_GRACE,
        };
        job._work = Some(self.kernel.spawn(async move {
            let started = clock.now();
            let run = match deadline.checked_duration_since(started) {
                Some(remaining) => {
                    let running = target.run(&request, remaining);
                    clock.timeout(remaining + grace, running).await.unwrap_or(Run::Cut)
                }
                None => Run::Overdue,
            };
            let service = clock.now() - started;
            mailbox.send(Ask::Ran { ticket, run, service });
        }));
        let id = job.request.id.clone();
        self.note(&id, Event::Started);
    }

    fn ran(&mut self, ticket: Ticket, run: Run, service: Duration) {
        let Some(job) = self.jobs.remove(&ticket) else {
            return;
        };
        let now = self.now();
        let end = match &run {
            Run::Answered(answer) if answer.fate == Fate::Ran => Completion::Answered(service),
            // A target that sheds with slots free is not overloaded.
            Run::Answered(answer) if has_room(answer) => Completion::Aborted,
            Run::Answered(_) => Completion::Shed,
            Run::TooLarge => Completion::Answered(service),
            _ => Completion::Aborted,
        };
        self.gate.finish(now, ticket, end);
        match run {
            Run::Overdue => self.refuse(job, Reason::Late, Duration::ZERO),
            Run::Unreachable => {
                self.found_unreachable(&job.instance);
                self.refuse(job, Reason::Unreachable, DOWN_RETRY_AFTER);
            }
            Run::Answered(answer) => self.answered(now, job, answer, service),
            Run::TooLarge => {
                let answer = self.refusal(Outcome::Ran, Reason::TooLarge, Duration::ZERO);
                self.finish(job, answer);
            }
            Run::Cut => {
                let answer = self.refusal(Outcome::Unknown, Reason::Cut, Duration::ZERO);
                self.finish(job, answer);
            }
            Run::Crashed => {
                self.crashed(ticket, &job);
                let answer = self.refusal(Outcome::Unknown, Reason::Crashed, DOWN_RETRY_AFTER);
                self.finish(job, answer);
            }
        }
    }

    fn answered(&mut self, now: Instant, job: Job, answer: TargetAnswer, service: Duration) {
        self.observe_report(now, &answer);
        match answer.fate {
            Fate::Moved => {
                self.moved(&job.instance);
                self.refuse(job, Reason::Leaving, Duration::ZERO);
            }
            Fate::NotRun => {
                let after = answer.retry_after.unwrap_or(self.gate.service_time());
                self.refuse(job, Reason::TargetShed, after);
            }
            Fate::Shed | Fate::Ran => {
                self.holds.observe_answer(now, job.request.fingerprint);
                let pace = self.pace();
                if pace == job.pace && answer.status < 500 {
                    self.observe_run(&job, service);
                }
                let answer = self.answer_of(answer, service);
                self.finish(job, answer);
            }
        }
    }

    /// Learns from a run during which the pace has not changed.
    fn observe_run(&mut self, job: &Job, service: Duration) {
        let kind = &job.request.kind;
        let usual = self.works.nominal_time(kind);
        if let Some(usual) = usual {
            self.gate.observe_slowdown(service, usual.mul_f64(pace_factor(job.pace)), job.running);
        }
        if usual.is_none() || !self.gate.is_above_knee(job.running) {
            self.works.observe(kind, service, job.pace);
        }
    }

    fn answer_of(&self, answer: TargetAnswer, service_time: Duration) -> Answer {
        let reason = match answer.fate {
            Fate::Shed => Reason::TargetShed,
            _ => Reason::None,
        };
        Answer {
            outcome: Outcome::Ran,
            reason,
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
            load: self.load(),
            retry_after: answer.retry_after.unwrap_or_default(),
            node: self.node,
            service_time,
        }
    }

    /// Answers a request that went to the target, and its copies.
    fn finish(&mut self, mut job: Job, answer: Answer) {
        let request = job.request.clone();
        let Answer { outcome, reason, status, service_time, .. } = answer;
        let is_late = self.now() > job.aim;
        let ran = Event::Ran { outcome, reason, status, service_ms: service_time, is_late };
        self.note(&request.id, ran);
        metrics::counter!("bronzeport_guard_ran_total", "outcome" => journal::outcome_text(outcome))
            .increment(1);
        if job.is_for_claim() {
            let now = self.now();
            self.ledger.end(now, &request.id, answer.clone(), answer.body.len() + 512);
            self.answer_joined(&request.id, &answer);
            self.record_end(&job, outcome, status);
        }
        job.answer(answer);
    }

    /// The target died. All requests in flight are suspected of it.
    fn crashed(&mut self, ticket: Ticket, job: &Job) {
        self.found_unreachable(&job.instance);
        if self.crash.remove(&ticket) {
            return;
        }
        let running = self.jobs.iter().filter(|(_, job)| job.stage == Stage::Running);
        self.crash = running.clone().map(|(ticket, _)| *ticket).collect();
        let others = running.map(|(_, job)| job.request.fingerprint);
        let mut in_flight: HashSet<u64> = others.collect();
        in_flight.insert(job.request.fingerprint);
        let crash = fastrand::u64(..);
        log::warn!("the target crashed with {} requests in flight", self.crash.len() + 1);
        metrics::counter!("bronzeport_target_crashes_total").increment(1);
        let now = self.now();
        let holds = self.holds.observe_crash(now, crash, in_flight);
        membership::notify_holds(&self.kernel, &holds);
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        membership.send(membership::Message::SpreadHolds(holds));
    }

    fn cancel(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            self.leave_joined(ticket, None);
            return;
        };
        if job.is_for_claim() || (job.request.once && job.stage == Stage::Running) {
            // It goes on: its outcome is kept for the caller's next copy.
            job.reply = None;
            return;
        }
        let (stage, id) = (job.stage, job.request.id.clone());
        self.note(&id, Event::Cancelled);
        self.jobs.remove(&ticket);
        match stage {
            Stage::Running => {
                let now = self.now();
                self.gate.finish(now, ticket, Completion::Aborted);
            }
            Stage::Waiting | Stage::Claiming => drop(self.gate.withdraw(ticket)),
        }
    }

    fn expire(&mut self, ticket: Ticket) {
        let stage = self.jobs.get(&ticket).map(|job| job.stage);
        match stage {
            Some(Stage::Waiting) => {
                self.gate.withdraw(ticket);
                self.refuse_withdrawn(ticket, Reason::Late);
            }
            Some(Stage::Claiming | Stage::Running) => {}
            None => {
                let after = self.gate.service_time();
                let answer = self.refusal(Outcome::Unknown, Reason::InProgress, after);
                self.leave_joined(ticket, Some(answer));
            }
        }
    }
}

/// Whether a target says that it has slots free.
fn has_room(answer: &TargetAnswer) -> bool {
    answer.report.is_some_and(|report| {
        f64::from(report.running) < f64::from(report.slots) * FULL_SHARE && report.waiting == 0
    })
}
