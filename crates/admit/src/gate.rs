//! The gate before one target.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::Ticket;
use crate::knee::{Knee, is_crowded};
use crate::limit::Limit;
use crate::pace::Pace;
use crate::queue::{Class, Present, Queue, Waiting};

/// Most requests that wait, for each stated slot.
const MAX_QUEUED_PER_SLOT: usize = 64;
/// A patient request is due when this many service times are left.
const DUE_FACTOR: u32 = 8;
/// Shortest time to come back after.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// How waiting requests are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    /// By class and deadline; what cannot be in time is refused at once.
    Deadline,
    /// First come, first served, without regard to deadlines: a baseline.
    Fifo,
}

/// A request at the gate.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Its number.
    pub ticket: Ticket,
    /// Whether it may wait behind others.
    pub class: Class,
    /// When its answer is due.
    pub deadline: Instant,
    /// When its answer ceases to be of full use; not after the deadline.
    pub aim: Instant,
    /// Urgency; 0 goes before all others.
    pub rank: u8,
    /// Time that such requests take at the usual pace, if it is known.
    pub work: Option<Duration>,
    /// Whether it may wait at all; if not, another target is tried.
    pub may_queue: bool,
}

/// What happens to a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now.
    Start,
    /// It waits.
    Wait,
    /// It does not run here.
    Refuse(Refusal),
}

/// Why a request does not run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// All slots are taken.
    Busy {
        /// When a slot is likely to be free.
        retry_after: Duration,
    },
    /// It could not be answered in time.
    Late {
        /// When the queue is likely to be short enough.
        retry_after: Duration,
    },
    /// The target is leaving.
    Leaving,
}

/// What the gate does next with waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// This one runs now.
    Start(Ticket),
    /// This one is refused: it could not be answered in time any more.
    Expire(Ticket),
    /// Nothing to do until a request ends or arrives.
    Idle,
}

/// How a request that ran has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target answered after this time.
    Answered(Duration),
    /// The target refused it and asked for less load.
    Shed,
    /// It was cancelled, cut, or the target failed.
    Broken,
}

/// The gate before one target.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    knee: Knee,
    stated: u16,
    /// Bound of the requests that run, whatever the target states.
    bound: u16,
    discipline: Discipline,
    running: BTreeSet<Ticket>,
    queue: Queue,
    /// Requests that later ones have pushed back too far, to be refused next.
    pushed_back: Vec<Ticket>,
    /// How many times as long as usual work takes now and has taken lately.
    pace: Pace,
    is_leaving: bool,
}

impl Gate {
    /// A gate for a target that has just started and states `slots`.
    pub fn new(slots: u16) -> Self {
        Self::with_discipline(slots, Discipline::Deadline)
    }

    /// A gate with a given discipline.
    pub fn with_discipline(slots: u16, discipline: Discipline) -> Self {
        Self {
            limit: Limit::new(slots),
            knee: Knee::default(),
            stated: slots.max(1),
            bound: u16::MAX,
            discipline,
            running: BTreeSet::new(),
            queue: Queue::default(),
            pushed_back: Vec::new(),
            pace: Pace::default(),
            is_leaving: false,
        }
    }

    /// Decides about a request that arrives.
    pub fn arrive(&mut self, now: Instant, request: Request) -> Verdict {
        if self.is_leaving {
            return Verdict::Refuse(Refusal::Leaving);
        }
        self.limit.warm_up(now);
        let present = self.present(now);
        let is_first = !self.queue.has_startable(&present);
        if self.has_free_slot() && is_first && present.fits(request.work, request.deadline) {
            self.running.insert(request.ticket);
            return Verdict::Start;
        }
        if self.discipline == Discipline::Fifo {
            let waiting = Waiting {
                ticket: request.ticket,
                class: Class::Urgent,
                rank: 0,
                aim: now,
                deadline: now,
                work: None,
            };
            self.queue.push(waiting);
            return Verdict::Wait;
        }
        self.admit_to_queue(now, request)
    }

    /// Notes how a request that ran has ended.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, end: End) {
        if !self.running.remove(&ticket) {
            return;
        }
        match end {
            End::Answered(service) => self.limit.observe_answer(now, service),
            End::Shed => self.limit.observe_shed(now, self.running.len()),
            End::Broken => {}
        }
    }

    /// Takes in how long a request ran beside others, `running` with it, where
    /// `usual` was expected. A target that slows down when it is nearly full is
    /// given fewer requests at a time.
    pub fn observe_usual(&mut self, service: Duration, usual: Duration, running: usize) {
        self.knee.observe(service, usual, running, self.stated);
    }

    /// Whether requests that run beside each other, `running` of them, may slow each
    /// other down: the time of one tells nothing then of what is usual.
    pub fn is_crowded(&self, running: usize) -> bool {
        is_crowded(running, self.stated)
    }

    /// Takes a waiting request out. `false` when it does not wait: it runs or
    /// has ended.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// What to do with waiting requests now. Call until it is [`Next::Idle`].
    pub fn next(&mut self, now: Instant) -> Next {
        self.limit.warm_up(now);
        while let Some(ticket) = self.pushed_back.pop() {
            if self.queue.remove(ticket) {
                return Next::Expire(ticket);
            }
        }
        if !self.has_free_slot() {
            return Next::Idle;
        }
        let present = self.present(now);
        if self.discipline == Discipline::Deadline
            && let Some(overdue) = self.queue.pop_overdue(&present)
        {
            return Next::Expire(overdue.ticket);
        }
        let Some(next) = self.queue.pop(&present) else {
            return Next::Idle;
        };
        self.running.insert(next.ticket);
        Next::Start(next.ticket)
    }

    /// Takes in how many times as long as usual work takes now.
    pub fn observe_pace(&mut self, now: Instant, pace: f64) {
        self.pace.observe(now, pace);
    }

    fn present(&self, now: Instant) -> Present {
        let service = self.limit.service();
        let last_start = now + self.wait_behind(self.queue.len());
        let is_overfull = self.queue.first_deadline().is_some_and(|first| first < last_start);
        Present {
            now,
            margin: service * DUE_FACTOR,
            service,
            pace: self.pace.present(),
            best_pace: self.pace.best(now),
            slow_time: self.pace.slow_time(),
            is_overfull,
        }
    }

    /// Refuses new requests from now on. Those that wait still run.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// The target has started anew.
    pub fn restart(&mut self) {
        self.limit.restart();
    }

    /// Another start of the target is served, which states `slots`. One that is
    /// cold gets few requests first.
    pub fn reopen(&mut self, slots: u16, is_cold: bool) {
        self.stated = slots.max(1);
        self.limit = Limit::new(slots);
        self.knee = Knee::default();
        self.pace = Pace::default();
        if !is_cold {
            self.limit.open();
        }
        self.is_leaving = false;
    }

    /// When a request that comes then is likely to find the queue empty.
    pub fn retry_after(&self) -> Duration {
        self.wait_behind(self.queue.len()).max(MIN_RETRY_AFTER)
    }

    /// Bounds the requests that run at a time, also for later starts of the target.
    /// One always may.
    pub fn set_bound(&mut self, bound: u16) {
        self.bound = bound.max(1);
    }

    /// Gives all stated slots at once.
    pub fn open(&mut self) {
        self.limit.open();
    }

    /// Whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Requests that run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait behind all others.
    pub fn patient(&self) -> usize {
        self.queue.patient()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Requests that the target states to run at a time.
    pub fn stated_slots(&self) -> u16 {
        self.stated
    }

    /// Requests that may run at a time at present.
    pub fn slots(&self) -> u16 {
        self.limit.current().min(self.knee.slots(self.stated)).min(self.bound)
    }

    /// Moving average of the service time.
    pub fn service(&self) -> Duration {
        self.limit.service()
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.slots())
    }

    fn admit_to_queue(&mut self, now: Instant, request: Request) -> Verdict {
        let waiting = Waiting {
            ticket: request.ticket,
            class: request.class,
            rank: request.rank,
            aim: request.aim,
            deadline: request.deadline,
            work: request.work,
        };
        let present = self.present(now);
        let ahead = self.queue.ahead_of(&waiting, &present);
        let start = now + self.wait_behind(ahead);
        let retry_after = self.retry_after();
        let is_full = self.queue.len() >= MAX_QUEUED_PER_SLOT * usize::from(self.stated);
        if !request.may_queue || is_full {
            return Verdict::Refuse(Refusal::Busy { retry_after });
        }
        if start + present.needed_at_best(waiting.work) > request.deadline {
            return Verdict::Refuse(Refusal::Late { retry_after });
        }
        self.queue.push(waiting);
        self.pushed_back.extend(self.last_in_vain(now));
        Verdict::Wait
    }

    /// The urgent request that runs last, if the others leave it no time. Where the
    /// latest go first it is not the one that has just arrived.
    fn last_in_vain(&self, now: Instant) -> Option<Ticket> {
        let present = self.present(now);
        let last = self.queue.last_urgent(&present)?;
        let start = now + self.wait_behind(self.queue.ahead_of(&last, &present));
        let is_in_vain = start + present.needed_at_best(last.work) > last.deadline;
        is_in_vain.then_some(last.ticket)
    }

    /// Time until a request with `ahead` others before it starts.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let turns = (ahead as f64 + 1.0) / f64::from(self.slots());
        self.limit.service().mul_f64(turns)
    }
}
