//! The task of the guard: decides which requests the target runs, and reports their results.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admit::{
    AdmissionController, Class, Completion, Decision, HoldTracker, QueueAction, Refusal,
    Registration, Ticket, rate,
};
use config::TargetSettings;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use member::RecentRequesters;
use once::{DuplicateCache, Lookup};
use route::{Load, Node, RequestStats, pace_factor};
use wire::{Answer, Outcome, Reason, Request};

use super::job::{Job, Stage};
use super::notice_log::PageState;
use super::rate_limit::RateObserver;
use super::{Message, PaceReport, Status};
use crate::adapter::{ExecutionStatus, ProtocolAdapter, TargetAnswer};
use crate::claims::Claims;
use crate::journal::{self, Event};
use crate::target::{RunResult, Target};
use crate::{membership, names};

/// Fraction of its slots that a target must use to be considered full when it sheds a
/// request.
const FULL_OCCUPANCY: f64 = 0.8;
/// Retry-after time for a target that is down.
pub(super) const DOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after the deadline at which a running request is abandoned. Targets stop at the
/// deadline; a target that still sends its answer, or sends nothing at all, would otherwise
/// keep the slot forever.
const RUN_GRACE: Duration = Duration::from_millis(100);
/// As [`RUN_GRACE`], for a request whose outcome is kept for later copies of it.
const CLAIMED_RUN_GRACE: Duration = Duration::from_secs(10);

/// The state of the guard's task.
pub(super) struct Task {
    pub(super) kernel: Kernel,
    pub(super) mailbox: Mailbox<Message>,
    pub(super) journal: Mailbox<journal::Message>,
    pub(super) claims: Claims,
    pub(super) node: Node,
    pub(super) adapter: ProtocolAdapter,
    pub(super) is_reachable: bool,
    /// Whether the registered process has been checked since it was registered.
    pub(super) is_checked: bool,
    pub(super) target: Option<Target>,
    /// Service of the target. The handle of the guard shares this value.
    pub(super) service: Rc<RefCell<Box<str>>>,
    /// The registered target process; `None` if the targets of this interface send no
    /// notices.
    pub(super) registration: Option<Registration>,
    /// The configured settings of the targets of each service.
    pub(super) target_settings: Vec<TargetSettings>,
    /// Whether the configured settings are known.
    pub(super) has_settings: bool,
    /// Whether the target was cold when that was last logged.
    pub(super) was_cold: bool,
    /// Since when the data centre is known to be evacuated; `None` if it is not.
    pub(super) evacuated_since: Option<Instant>,
    /// Maximum number of connections to the target by the settings of the daemon, used if
    /// the configuration gives none.
    pub(super) default_connections: u16,
    pub(super) pace_report: Option<PaceReport>,
    /// The daemons that have recently sent requests.
    pub(super) recent_requesters: RecentRequesters,
    /// The load that was last published.
    pub(super) published_load: Load,
    pub(super) request_stats: RequestStats,
    pub(super) controller: AdmissionController,
    pub(super) duplicate_cache: DuplicateCache<Answer>,
    pub(super) holds: HoldTracker,
    pub(super) jobs: HashMap<Ticket, Job>,
    /// Duplicates that wait for a request with the same id to end, by that id.
    pub(super) waiting_duplicates: HashMap<Box<str>, Vec<(Ticket, Reply<Answer>)>>,
    /// Requests that were running at the latest crash and whose results are still to come.
    /// Their failures belong to that crash.
    pub(super) crash_tickets: HashSet<Ticket>,
    pub(super) last_health_check: Option<Instant>,
    /// What the health page said last.
    pub(super) page_state: Option<PageState>,
    pub(super) rate_observer: RateObserver,
}

impl Task {
    /// Handles messages until the mailbox closes.
    pub(super) async fn run(mut self, inbox: Inbox<Message>) {
        while let Some(message) = inbox.receive().await {
            self.handle(message);
            self.start_queued();
            self.publish_load();
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.kernel.clock().now()
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Arrive { ticket, request, reply } => self.arrive(ticket, *request, reply),
            Message::Cancel { ticket } => self.cancel(ticket),
            Message::Expire { ticket } => self.expire(ticket),
            Message::ClaimEnded { ticket, result } => self.finish_claim(ticket, result),
            Message::RunEnded { ticket, result, service_time } => {
                self.finish_run(ticket, result, service_time)
            }
            Message::HealthChecked { instance, result } => {
                self.apply_health_check(&instance, result)
            }
            Message::DueHealthCheck { reply } => drop(reply.send(self.due_health_check())),
            Message::Notice { notice, reply } => {
                let effect = self.apply_notice(notice);
                reply.send(effect);
            }
            Message::TargetSettings(target_settings) => {
                self.target_settings = target_settings;
                self.has_settings = true;
                self.limit_connections();
                self.limit_cold_starts();
                // The settings may name a health page that was unknown so far.
                self.last_health_check = None;
            }
            // `run` starts waiting requests after each message.
            Message::WarmUpStep => {}
            Message::StartDue => self.rate_observer.start_timer = None,
            Message::Holds(holds) => {
                let now = self.now();
                for hold in holds {
                    self.holds.apply(now, hold);
                }
            }
            Message::Load { reply } => drop(reply.send(self.load())),
            Message::Evacuated(is_evacuated) => self.set_evacuated(is_evacuated),
            Message::EvacuationDue => self.refuse_evacuated(),
            Message::Leave => self.controller.leave(),
            Message::CountJobs { reply } => drop(reply.send(self.jobs.len())),
            Message::State { reply } => {
                reply.send(Status {
                    load: self.load(),
                    is_reachable: self.is_reachable,
                    held: self.holds.count_held(self.now()),
                    remembered_claims: self.duplicate_cache.len(),
                });
            }
        }
    }

    /// Records an event of a request in the journal.
    pub(super) fn record_event(&self, id: &str, event: Event) {
        let id = id.into();
        self.journal.send(journal::Message::Record { id, event });
    }

    /// Builds an answer of this guard that no target gave.
    pub(super) fn refusal(
        &self,
        outcome: Outcome,
        reason: Reason,
        retry_after: Duration,
    ) -> Answer {
        Answer { load: self.load(), retry_after, ..Answer::refusal(outcome, reason, self.node) }
    }

    /// Handles a request that an entry has sent.
    fn arrive(&mut self, ticket: Ticket, request: Request, reply: Reply<Answer>) {
        let now = self.now();
        self.recent_requesters.record_at(now, request.entry);
        if let Some(refusal) = self.check(now, &request) {
            self.record_event(
                &request.id,
                Event::Refused {
                    reason: refusal.reason,
                    retry_after_ms: refusal.retry_after,
                    guard_state: self.guard_state(),
                },
            );
            reply.send(refusal);
            return;
        }
        let job = Job {
            deadline: now + request.remaining,
            soft_deadline: now + request.target_latency.min(request.remaining),
            reply: Some(reply),
            stage: Stage::Waiting,
            claim_tag: None,
            nonce: fastrand::u64(..),
            pace_at_start: 0,
            in_flight_at_start: 0,
            instance: "".into(),
            request: Rc::new(request),
            _task: None,
        };
        match job.requires_claim() {
            true => self.deduplicate(ticket, job),
            false => self.admit(ticket, job),
        }
    }

    /// Refuses a request that cannot run here, whatever the load. A request that is
    /// in the duplicate cache, or that only recalls an outcome, is not refused here.
    fn check(&self, now: Instant, request: &Request) -> Option<Answer> {
        let not_run = |reason, after| Some(self.refusal(Outcome::NotRun, reason, after));
        let is_known = !request.repeatable
            && self.duplicate_cache.lookup(&request.id, request.fingerprint) != Lookup::Absent;
        if is_known || request.recall_only {
            return None;
        }
        if self.is_evacuated(now) {
            return not_run(Reason::Evacuated, Duration::ZERO);
        }
        if self.target.is_none() {
            return not_run(Reason::NoTarget, Duration::ZERO);
        }
        if let Some(left) = self.holds.held_for(now, request.fingerprint) {
            return not_run(Reason::Held, left);
        }
        if self.controller.is_leaving() || *request.service != **self.service.borrow() {
            return not_run(Reason::Leaving, Duration::ZERO);
        }
        if !self.is_reachable {
            return not_run(Reason::Unreachable, DOWN_RETRY_AFTER);
        }
        None
    }

    /// Starts, queues or refuses a request, depending on the load.
    pub(super) fn admit(&mut self, ticket: Ticket, job: Job) {
        let now = self.now();
        let arrival = admit::Request {
            ticket,
            class: match job.request.may_wait {
                true => Class::Patient,
                false => Class::Urgent,
            },
            deadline: job.deadline,
            soft_deadline: job.soft_deadline,
            organisation: organisation_of(&job.request),
            rank: job.request.rank,
            nominal_time: self.nominal_time(&job.request),
            may_queue: job.request.may_queue || job.holds_claim(),
        };
        if arrival.may_queue || !self.misses_target_latency(&job.request) {
            self.offer_to_controller(now, arrival, job);
        } else {
            self.refuse(job, Reason::Busy, self.controller.service_time());
        }
    }

    /// Passes a request to the admission controller and carries out its decision.
    fn offer_to_controller(&mut self, now: Instant, arrival: admit::Request, job: Job) {
        let ticket = arrival.ticket;
        let id = job.request.id.clone();
        match self.controller.arrive(now, arrival) {
            Decision::Start => {
                self.record_event(&id, Event::Admitted { guard_state: self.guard_state() });
                self.jobs.insert(ticket, job);
                self.start_run(ticket);
            }
            Decision::Wait => {
                self.record_event(&id, Event::Queued { guard_state: self.guard_state() });
                self.jobs.insert(ticket, job);
            }
            Decision::Refuse(refusal) => {
                let (reason, after) = match refusal {
                    Refusal::Busy { retry_after } => (Reason::Busy, retry_after),
                    Refusal::Late { retry_after } => (self.late_reason(now), retry_after),
                    Refusal::Leaving => (Reason::Leaving, Duration::ZERO),
                };
                self.refuse(job, reason, after);
            }
        }
    }

    /// Starts and expires waiting requests until the admission controller has no more to do.
    fn start_queued(&mut self) {
        loop {
            let now = self.now();
            let late = self.late_reason(now);
            match self.controller.next_action(now) {
                QueueAction::Idle => return,
                QueueAction::Sleep(delay) => return self.wake_after(delay),
                QueueAction::Start(ticket) => self.start_run(ticket),
                QueueAction::Expire(ticket) => self.refuse_withdrawn(ticket, late),
            }
        }
    }

    /// Why a request is refused that cannot be answered in time: a cold target refuses it as
    /// one without a free slot does, so that a warm target gets it.
    fn late_reason(&self, now: Instant) -> Reason {
        match self.controller.is_cold(now) {
            true => Reason::Busy,
            false => Reason::Late,
        }
    }

    /// Sends a request that the admission controller has started to the target.
    fn start_run(&mut self, ticket: Ticket) {
        let (now, pace) = (self.now(), self.pace());
        let (Some(job), Some(target)) = (self.jobs.get_mut(&ticket), self.target.clone()) else {
            self.controller.finish(now, ticket, Completion::Aborted);
            return;
        };
        job.stage = Stage::Running;
        job.pace_at_start = pace;
        job.in_flight_at_start = self.controller.in_flight();
        job.instance = target.identity().instance.clone();
        let (request, deadline) = (job.request.clone(), job.deadline);
        let entry = request.entry;
        let (clock, mailbox) = (*self.kernel.clock(), self.mailbox.clone());
        let grace = match job.requires_claim() {
            true => CLAIMED_RUN_GRACE,
            false => RUN_GRACE,
        };
        job._task = Some(self.kernel.spawn(async move {
            let started = clock.now();
            let result = match deadline.checked_duration_since(started) {
                Some(remaining) => {
                    let running = target.run(&request, remaining);
                    clock.timeout(remaining + grace, running).await.unwrap_or(RunResult::Cut)
                }
                None => RunResult::DeadlinePassed,
            };
            let service_time = clock.now() - started;
            mailbox.send(Message::RunEnded { ticket, result, service_time });
        }));
        let id = job.request.id.clone();
        self.record_event(&id, Event::Started);
        self.record_start(now, entry);
    }

    /// Handles the result of a request that was sent to the target.
    fn finish_run(&mut self, ticket: Ticket, result: RunResult, service_time: Duration) {
        let Some(job) = self.jobs.remove(&ticket) else {
            return;
        };
        let now = self.now();
        let end = match &result {
            RunResult::Answered(answer) if answer.execution == ExecutionStatus::Ran => {
                Completion::Answered(service_time)
            }
            // A target that sheds while it has free slots is not overloaded.
            RunResult::Answered(answer) if reports_free_slots(answer) => Completion::Aborted,
            RunResult::Answered(_) => Completion::Shed,
            RunResult::TooLarge => Completion::Answered(service_time),
            _ => Completion::Aborted,
        };
        self.controller.finish(now, ticket, end);
        match result {
            RunResult::DeadlinePassed => self.refuse(job, Reason::Late, Duration::ZERO),
            RunResult::Unreachable => {
                self.mark_process_unreachable(&job.instance);
                self.refuse(job, Reason::Unreachable, DOWN_RETRY_AFTER);
            }
            RunResult::Answered(answer) => self.handle_answer(now, job, answer, service_time),
            RunResult::TooLarge => {
                let answer = self.refusal(Outcome::Ran, Reason::TooLarge, Duration::ZERO);
                self.finish(job, answer);
            }
            RunResult::Cut => {
                let answer = self.refusal(Outcome::Unknown, Reason::Cut, Duration::ZERO);
                self.finish(job, answer);
            }
            RunResult::Crashed => {
                self.handle_crash(ticket, &job);
                let answer = self.refusal(Outcome::Unknown, Reason::Crashed, DOWN_RETRY_AFTER);
                self.finish(job, answer);
            }
        }
    }

    /// Handles an answer of the target.
    fn handle_answer(
        &mut self,
        now: Instant,
        job: Job,
        answer: TargetAnswer,
        service_time: Duration,
    ) {
        if answer.execution != ExecutionStatus::Misdirected
            && self.is_current_process(&job.instance)
        {
            self.apply_statements(rate::Source::Answer, &answer);
            self.observe_cold_answer(now, &answer);
        }
        self.observe_report(now, &answer);
        match answer.execution {
            ExecutionStatus::Misdirected => {
                self.remove_misdirected(&job.instance);
                self.refuse(job, Reason::Leaving, Duration::ZERO);
            }
            ExecutionStatus::NotRun => {
                let after = answer.retry_after.unwrap_or(self.controller.service_time());
                self.refuse(job, Reason::TargetShed, after);
            }
            ExecutionStatus::Shed | ExecutionStatus::Ran => {
                self.holds.observe_answer(now, job.request.fingerprint);
                let pace = self.pace();
                if pace == job.pace_at_start && answer.status < 500 {
                    self.observe_run(&job, service_time);
                }
                let answer = self.wire_answer(answer, service_time);
                self.finish(job, answer);
            }
        }
    }

    /// Learns from the service time of a request during which the pace did not change.
    fn observe_run(&mut self, job: &Job, service_time: Duration) {
        let kind = &job.request.kind;
        let nominal_time = self.request_stats.nominal_time(kind);
        if let Some(nominal_time) = nominal_time {
            self.controller.observe_slowdown(
                service_time,
                nominal_time.mul_f64(pace_factor(job.pace_at_start)),
                job.in_flight_at_start,
            );
        }
        if nominal_time.is_none() || !self.controller.is_above_knee(job.in_flight_at_start) {
            self.request_stats.observe(kind, service_time, job.pace_at_start);
        }
    }

    /// Converts an answer of the target to the answer for the entry.
    fn wire_answer(&self, answer: TargetAnswer, service_time: Duration) -> Answer {
        let reason = match answer.execution {
            ExecutionStatus::Shed => Reason::TargetShed,
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

    /// Answers a request that was sent to the target, and its duplicates.
    fn finish(&mut self, mut job: Job, answer: Answer) {
        let request = job.request.clone();
        let Answer { outcome, reason, status, service_time, .. } = answer;
        let is_late = self.now() > job.soft_deadline;
        let ran = Event::Ran { outcome, reason, status, service_ms: service_time, is_late };
        self.record_event(&request.id, ran);
        metrics::counter!("bronzeport_guard_ran_total", "outcome" => journal::outcome_text(outcome))
            .increment(1);
        if job.requires_claim() {
            let now = self.now();
            self.duplicate_cache.end(now, &request.id, answer.clone(), answer.body.len() + 512);
            self.answer_duplicates(&request.id, &answer);
            self.record_end(&job, outcome, status);
        }
        job.answer(answer);
    }

    /// Handles a crash of the target. Every request in flight is suspected of having
    /// caused it.
    fn handle_crash(&mut self, ticket: Ticket, job: &Job) {
        self.mark_process_unreachable(&job.instance);
        if self.crash_tickets.remove(&ticket) {
            return;
        }
        let running = self.jobs.iter().filter(|(_, job)| job.stage == Stage::Running);
        self.crash_tickets = running.clone().map(|(ticket, _)| *ticket).collect();
        let fingerprints = running.map(|(_, job)| job.request.fingerprint);
        let mut in_flight: HashSet<u64> = fingerprints.collect();
        in_flight.insert(job.request.fingerprint);
        let crash = fastrand::u64(..);
        log::warn!("the target crashed with {} requests in flight", self.crash_tickets.len() + 1);
        metrics::counter!("bronzeport_target_crashes_total").increment(1);
        let now = self.now();
        let holds = self.holds.observe_crash(now, crash, in_flight);
        membership::notify_holds(&self.kernel, &holds);
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        membership.send(membership::Message::SpreadHolds(holds));
    }

    /// Cancels a request for which its entry no longer waits.
    fn cancel(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            self.remove_duplicate(ticket, None);
            return;
        };
        if job.requires_claim() || (job.request.once && job.stage == Stage::Running) {
            // The request continues: its outcome is kept for later copies of it.
            job.reply = None;
            return;
        }
        let (stage, id) = (job.stage, job.request.id.clone());
        self.record_event(&id, Event::Cancelled);
        self.jobs.remove(&ticket);
        match stage {
            Stage::Running => {
                let now = self.now();
                self.controller.finish(now, ticket, Completion::Aborted);
            }
            Stage::Waiting | Stage::Claiming => drop(self.controller.withdraw(ticket)),
        }
    }

    /// Refuses a request whose deadline has passed if it still waits, also as a duplicate.
    fn expire(&mut self, ticket: Ticket) {
        let stage = self.jobs.get(&ticket).map(|job| job.stage);
        match stage {
            Some(Stage::Waiting) => {
                self.controller.withdraw(ticket);
                self.refuse_withdrawn(ticket, Reason::Late);
            }
            Some(Stage::Claiming | Stage::Running) => {}
            None => {
                let after = self.controller.service_time();
                let answer = self.refusal(Outcome::Unknown, Reason::InProgress, after);
                self.remove_duplicate(ticket, Some(answer));
            }
        }
    }
}

/// Returns the organisation of a request, if it has one.
fn organisation_of(request: &Request) -> Option<admit::Organisation> {
    let Request { organisation, organisation_priority, .. } = request;
    let mut hasher = DefaultHasher::new();
    organisation.hash(&mut hasher);
    let id = hasher.finish();
    let organisation = admit::Organisation { id, priority: *organisation_priority };
    (!request.organisation.is_empty()).then_some(organisation)
}

/// Whether the target reports that it has free slots.
fn reports_free_slots(answer: &TargetAnswer) -> bool {
    answer.report.is_some_and(|report| {
        f64::from(report.running) < f64::from(report.slots) * FULL_OCCUPANCY && report.waiting == 0
    })
}
