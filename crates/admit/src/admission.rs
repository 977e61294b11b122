//! The admission controller in front of one target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Ticket;
use crate::cold::{self, Coldness};
use crate::knee::{Knee, is_above_knee};
use crate::limit::ConcurrencyLimit;
use crate::organisation::{Organisation, StartRates};
use crate::pace::PaceHistory;
use crate::queue::{Class, Conditions, Queue, Waiting};
use crate::rate::{Limit, Pacer};

/// Maximum number of waiting requests per advertised slot.
const MAX_QUEUED_PER_SLOT: usize = 64;
/// A patient request becomes due when its deadline is this many service times away.
const PATIENT_MARGIN_FACTOR: u32 = 8;
/// Shortest retry-after time that a refusal gives.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Least share of the target that requests of a low priority are expected to find free, which
/// bounds their retry-after time.
const MIN_SHARE_LEFT: f64 = 0.1;

/// Queue discipline: the order of waiting requests, and when they are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    /// Ordered by class and deadline. Requests that cannot be answered before
    /// their deadline are refused immediately.
    Deadline,
    /// First in, first out, ignoring deadlines. Serves as a baseline for comparison.
    Fifo,
}

/// A request to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Identifies the request within this guard.
    pub ticket: Ticket,
    /// Whether the request may wait behind urgent ones.
    pub class: Class,
    /// Time by which the request must be answered.
    pub deadline: Instant,
    /// Time after which the answer has lost some of its value: the arrival time plus
    /// the target latency. Never later than `deadline`.
    pub soft_deadline: Instant,
    /// The organisation on whose behalf the request is sent. A request without one has the
    /// highest priority.
    pub organisation: Option<Organisation>,
    /// Priority among the requests of organisations of the same priority; 0 is the highest.
    pub rank: u8,
    /// Expected service time at the nominal pace, if known.
    pub nominal_time: Option<Duration>,
    /// Whether the request may wait in the queue. If it may not, the caller tries
    /// another target instead.
    pub may_queue: bool,
}

/// The decision on an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now.
    Start,
    /// The request waits in the queue.
    Wait,
    /// The request does not run on this target.
    Refuse(Refusal),
}

/// Why a request does not run on this target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// All slots are in use, and the request cannot be queued.
    Busy {
        /// Estimated time until a slot is free.
        retry_after: Duration,
    },
    /// The request could not be answered before its deadline.
    Late {
        /// Estimated time until the queue is short enough.
        retry_after: Duration,
    },
    /// The target is leaving.
    Leaving,
}

/// The next step for the waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueAction {
    /// Start this request now.
    Start(Ticket),
    /// Refuse this request: it can no longer be answered before its deadline.
    Expire(Ticket),
    /// Nothing to do until a request ends or arrives, or this time has passed.
    Sleep(Duration),
    /// Nothing to do until a request ends or arrives.
    Idle,
}

/// How a request that was started has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered after this service time.
    Answered(Duration),
    /// The target shed the request and asked for less load.
    Shed,
    /// The request was cancelled or cut off, or the target failed. The concurrency
    /// limit does not change.
    Aborted,
}

/// Decides which requests the target of this guard runs, and when.
#[derive(Debug)]
pub struct AdmissionController {
    limit: ConcurrencyLimit,
    knee: Knee,
    advertised_slots: u16,
    /// Upper bound on running requests, whatever the target advertises.
    max_in_flight: u16,
    discipline: Discipline,
    running: BTreeMap<Ticket, Option<Organisation>>,
    start_rates: StartRates,
    queue: Queue,
    /// Waiting requests that later arrivals have delayed past their deadline. They
    /// are refused next.
    displaced: Vec<Ticket>,
    /// Current and recent pace of the target.
    pace: PaceHistory,
    /// Spaces the starts if the target limits its rate.
    pacer: Option<Pacer>,
    /// Limits the starts while the target is cold.
    coldness: Coldness,
    is_leaving: bool,
}

impl AdmissionController {
    /// Creates a controller for a target that has just started and advertises `slots`.
    pub fn new(slots: u16) -> Self {
        Self::with_discipline(slots, Discipline::Deadline)
    }

    /// Creates a controller with the given queue discipline.
    pub fn with_discipline(slots: u16, discipline: Discipline) -> Self {
        Self {
            limit: ConcurrencyLimit::new(slots),
            knee: Knee::default(),
            advertised_slots: slots.max(1),
            max_in_flight: u16::MAX,
            discipline,
            running: BTreeMap::new(),
            start_rates: StartRates::default(),
            queue: Queue::default(),
            displaced: Vec::new(),
            pace: PaceHistory::default(),
            pacer: None,
            coldness: Coldness::default(),
            is_leaving: false,
        }
    }

    /// Starts, queues or refuses an arriving request.
    pub fn arrive(&mut self, now: Instant, request: Request) -> Decision {
        if self.is_leaving {
            return Decision::Refuse(Refusal::Leaving);
        }
        self.limit.warm_up(now);
        if let Some(pacer) = &mut self.pacer {
            pacer.record_arrival(now);
        }
        self.coldness.record_arrival(now);
        let conditions = self.conditions(now);
        let is_first = !self.queue.has_startable(&conditions);
        if self.has_free_slot()
            && self.start_delay(now).is_zero()
            && is_first
            && conditions.can_start(request.nominal_time, request.deadline)
        {
            self.start(now, request.ticket, request.organisation);
            return Decision::Start;
        }
        if self.discipline == Discipline::Fifo {
            let waiting = Waiting {
                ticket: request.ticket,
                class: Class::Urgent,
                organisation: None,
                rank: 0,
                soft_deadline: now,
                deadline: now,
                nominal_time: None,
            };
            self.queue.push(waiting);
            return Decision::Wait;
        }
        self.try_enqueue(now, request)
    }

    /// Records that a running request has ended, and how.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, completion: Completion) {
        let Some(organisation) = self.running.remove(&ticket) else {
            return;
        };
        self.queue.loads.remove(organisation);
        match completion {
            Completion::Answered(service_time) => self.limit.observe_answer(now, service_time),
            Completion::Shed => self.limit.observe_shed(now, self.running.len()),
            Completion::Aborted => {}
        }
    }

    /// Records how long a request took compared with the `expected` time, with `running`
    /// requests in flight at the target, this one included. A target that slows down
    /// when it is nearly full is given fewer requests at a time.
    pub fn observe_slowdown(&mut self, service_time: Duration, expected: Duration, running: usize) {
        self.knee.observe(service_time, expected, running, self.advertised_slots);
    }

    /// Whether so many requests are `running` that they may slow each other down. Their
    /// service times must not be used to learn the nominal time then.
    pub fn is_above_knee(&self, running: usize) -> bool {
        is_above_knee(running, self.advertised_slots)
    }

    /// Removes a waiting request from the queue. Returns `false` if the request is not
    /// waiting, because it runs or has ended.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Returns the next step for the waiting requests. Call it repeatedly until it
    /// returns [`QueueAction::Idle`].
    pub fn next_action(&mut self, now: Instant) -> QueueAction {
        self.limit.warm_up(now);
        while let Some(ticket) = self.displaced.pop() {
            if self.queue.remove(ticket) {
                return QueueAction::Expire(ticket);
            }
        }
        // A new or lower limit also delays requests that already wait.
        if self.discipline == Discipline::Deadline
            && (self.pacer.is_some() || self.coldness.is_cold(now))
            && let Some(ticket) = self.find_displaced(now)
        {
            self.queue.remove(ticket);
            return QueueAction::Expire(ticket);
        }
        if !self.has_free_slot() || self.queue.len() == 0 {
            return QueueAction::Idle;
        }
        let delay = self.start_delay(now);
        if !delay.is_zero() {
            return QueueAction::Sleep(delay);
        }
        let conditions = self.conditions(now);
        if self.discipline == Discipline::Deadline
            && let Some(infeasible) = self.queue.pop_infeasible(&conditions)
        {
            return QueueAction::Expire(infeasible.ticket);
        }
        let Some(next) = self.queue.pop(&conditions) else {
            return QueueAction::Idle;
        };
        self.start(now, next.ticket, next.organisation);
        QueueAction::Start(next.ticket)
    }

    fn start(&mut self, now: Instant, ticket: Ticket, organisation: Option<Organisation>) {
        self.running.insert(ticket, organisation);
        self.queue.loads.add(organisation);
        self.start_rates.record(now, organisation);
        if let Some(pacer) = &mut self.pacer {
            pacer.record_start(now);
        }
        self.coldness.record_start(now);
    }

    /// Sets the rate that the target accepts; `None` if it accepts any. A reset for a
    /// different process ends the limit.
    pub fn set_rate_limit(&mut self, now: Instant, limit: Option<Limit>) {
        match (limit, &mut self.pacer) {
            (None, _) => self.pacer = None,
            (Some(limit), Some(pacer)) => pacer.set_limit(now, limit),
            (Some(limit), None) => self.pacer = Some(Pacer::new(now, limit)),
        }
    }

    /// Time that an entry leaves between two requests so that all entries together keep the
    /// rate that the target accepts; zero if there is no need.
    pub fn start_period(&self, now: Instant) -> Duration {
        let period = self.pacer.as_ref().map_or(Duration::ZERO, |pacer| pacer.period(now));
        period.max(self.coldness.period(now))
    }

    /// Sets the number of requests that the target gets while it is cold; `None` if it gets as
    /// many as at any other time. A reset for a different process does not end the limit.
    pub fn set_cold_limit(&mut self, now: Instant, limit: Option<cold::Limit>) {
        self.coldness.set_limit(now, limit);
    }

    /// Records what the current target process states about being cold.
    pub fn observe_coldness(
        &mut self,
        now: Instant,
        source: cold::Source,
        stated: cold::Statement,
    ) {
        self.coldness.observe(now, source, stated);
    }

    /// Forgets what the target has stated about being cold, because it may be another process
    /// or have been started again.
    pub fn forget_coldness(&mut self, now: Instant) {
        self.coldness.forget(now);
    }

    /// Whether the target gets fewer requests while it is cold.
    pub fn has_cold_limit(&self) -> bool {
        self.coldness.has_limit()
    }

    /// Whether the target is cold and gets fewer requests for that reason. A target of which
    /// nothing is known counts as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.coldness.is_cold(now)
    }

    /// Time until the rates that the target accepts allow another start.
    fn start_delay(&self, now: Instant) -> Duration {
        let delay = self.pacer.as_ref().map_or(Duration::ZERO, |pacer| pacer.delay(now, 1));
        delay.max(self.coldness.start_delay(now))
    }

    /// Records the current pace of the target: the ratio of its service times to the
    /// nominal ones.
    pub fn observe_pace(&mut self, now: Instant, pace: f64) {
        self.pace.observe(now, pace);
    }

    fn conditions(&self, now: Instant) -> Conditions {
        let service_time = self.limit.service_time();
        let last_start = now + self.wait_behind(now, self.queue.len());
        let is_overloaded =
            self.queue.earliest_deadline().is_some_and(|earliest| earliest < last_start);
        Conditions {
            now,
            patient_margin: service_time * PATIENT_MARGIN_FACTOR,
            service_time,
            pace: self.pace.current(),
            best_pace: self.pace.best(now),
            slow_period: self.pace.slow_period(),
            is_overloaded,
            slots: self.slots(),
        }
    }

    /// Refuses new requests from now on. Requests that already wait still run.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Restarts the warm-up after the target process has restarted.
    pub fn restart_warm_up(&mut self) {
        self.limit.restart_warm_up();
    }

    /// Resets the learned state for a different target process, which advertises
    /// `slots`. A cold process starts with few slots and warms up.
    pub fn reset(&mut self, slots: u16, is_cold: bool) {
        self.advertised_slots = slots.max(1);
        self.limit = ConcurrencyLimit::new(slots);
        self.knee = Knee::default();
        self.pace = PaceHistory::default();
        self.pacer = None;
        if !is_cold {
            self.limit.skip_warm_up();
        }
        self.is_leaving = false;
    }

    /// Estimated time until the requests that wait now have started.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.wait_behind(now, self.queue.len()).max(MIN_RETRY_AFTER)
    }

    /// Estimated time until there is room for a request of an organisation with this priority:
    /// until the requests that wait now have started, while those with a higher priority that
    /// still arrive go before it.
    pub fn retry_after_for(&self, now: Instant, priority: u8) -> Duration {
        let per_second = self.start_rates.above(now, priority);
        if per_second <= 0.0 {
            return self.retry_after(now);
        }
        let used = per_second * self.limit.service_time().as_secs_f64() / f64::from(self.slots());
        self.retry_after(now).div_f64((1.0 - used).max(MIN_SHARE_LEFT))
    }

    /// Limits the number of requests that run at a time, for this and later target
    /// processes. At least one request may always run.
    pub fn set_max_in_flight(&mut self, max_in_flight: u16) {
        self.max_in_flight = max_in_flight.max(1);
    }

    /// Makes all advertised slots available immediately.
    pub fn skip_warm_up(&mut self) {
        self.limit.skip_warm_up();
    }

    /// Whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Number of running requests.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting patient requests.
    pub fn patient(&self) -> usize {
        self.queue.patient()
    }

    /// Number of waiting requests, patient ones included.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that the target advertises to run at a time.
    pub fn advertised_slots(&self) -> u16 {
        self.advertised_slots
    }

    /// Number of requests that may currently run at a time.
    pub fn slots(&self) -> u16 {
        self.limit.current().min(self.knee.slots(self.advertised_slots)).min(self.max_in_flight)
    }

    /// Moving average of the service time.
    pub fn service_time(&self) -> Duration {
        self.limit.service_time()
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.slots())
    }

    fn try_enqueue(&mut self, now: Instant, request: Request) -> Decision {
        let waiting = Waiting {
            ticket: request.ticket,
            class: request.class,
            organisation: request.organisation,
            rank: request.rank,
            soft_deadline: request.soft_deadline,
            deadline: request.deadline,
            nominal_time: request.nominal_time,
        };
        let conditions = self.conditions(now);
        let ahead = self.queue.ahead_of(&waiting, &conditions);
        let start = now + self.wait_behind(now, ahead);
        let priority = request.organisation.map_or(0, |organisation| organisation.priority);
        let retry_after = self.retry_after_for(now, priority);
        let is_full = self.queue.len() >= MAX_QUEUED_PER_SLOT * usize::from(self.advertised_slots);
        let last = is_full.then(|| self.queue.last_urgent(&conditions)).flatten();
        let displaced = last.filter(|last| self.queue.is_preferred(&waiting, last, &conditions));
        if !request.may_queue || (is_full && displaced.is_none()) {
            return Decision::Refuse(Refusal::Busy { retry_after });
        }
        if start + conditions.best_case_time(waiting.nominal_time) > request.deadline {
            return Decision::Refuse(Refusal::Late { retry_after });
        }
        self.queue.push(waiting);
        match displaced {
            Some(displaced) => self.displaced.push(displaced.ticket),
            None => self.displaced.extend(self.find_displaced(now)),
        }
        Decision::Wait
    }

    /// Returns the last urgent request in the queue if the requests ahead of it delay
    /// it past its deadline. It need not be the request that has just arrived: under
    /// overload, late requests run latest deadline first.
    ///
    /// Requests of organisations may be delayed past their deadlines by those of a higher
    /// priority although the last one has time left, so any of them may be returned.
    fn find_displaced(&self, now: Instant) -> Option<Ticket> {
        let conditions = self.conditions(now);
        let last = self.queue.last_urgent(&conditions)?;
        let is_infeasible = |ahead: usize, waiting: &Waiting| {
            let start = now + self.wait_behind(now, ahead);
            start + conditions.best_case_time(waiting.nominal_time) > waiting.deadline
        };
        if is_infeasible(self.queue.ahead_of(&last, &conditions), &last) {
            return Some(last.ticket);
        }
        let mut waiting = self.queue.organisations_from_last(&conditions);
        let displaced = waiting.find(|(ahead, waiting)| is_infeasible(*ahead, waiting));
        displaced.map(|(_, waiting)| waiting.ticket)
    }

    /// Estimated time until a request with `ahead` others in front of it starts.
    fn wait_behind(&self, now: Instant, ahead: usize) -> Duration {
        let turns = (ahead as f64 + 1.0) / f64::from(self.slots());
        let for_slot = self.limit.service_time().mul_f64(turns);
        let for_rate =
            self.pacer.as_ref().map_or(Duration::ZERO, |pacer| pacer.delay(now, ahead + 1));
        for_slot.max(for_rate).max(self.coldness.pace_delay(now, ahead + 1))
    }
}
