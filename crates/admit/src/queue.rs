//! Requests that wait in the guard, in the order in which they run.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use crate::Ticket;

/// Whether a request may wait behind others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It may not wait behind patient ones.
    Urgent,
    /// It may wait until its deadline comes near.
    Patient,
}

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) class: Class,
    /// Urgency; 0 goes before all others.
    pub(crate) rank: u8,
    /// When its answer ceases to be of full use.
    pub(crate) aim: Instant,
    pub(crate) deadline: Instant,
    /// Time that such requests take at the usual pace, if it is known.
    pub(crate) work: Option<Duration>,
}

impl Waiting {
    fn may_start(&self, present: &Present) -> bool {
        present.fits(self.work, self.deadline)
    }
}

/// What decides the order, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Its answer can still be of full use.
    InTime,
    /// It can only be answered late.
    Late,
    /// It waits behind all others.
    Patient,
}

type Key = (Stage, u8, Turn, Ticket);

/// Order among requests of one stage and rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// The earliest first.
    Earliest(Instant),
    /// The latest first.
    Latest(Reverse<Instant>),
}

/// What the order depends on beside the requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Present {
    pub(crate) now: Instant,
    /// Time before its deadline at which a patient request is due.
    pub(crate) margin: Duration,
    /// Time of a request of unknown work.
    pub(crate) service: Duration,
    /// How many times as long as usual work takes.
    pub(crate) pace: f64,
    /// The same at the best pace that the target may be at again soon.
    pub(crate) best_pace: f64,
    /// Time after which a target that is slow now is likely to be at a better pace.
    pub(crate) slow_time: Duration,
    /// Whether more wait than can be answered before their deadlines.
    pub(crate) is_overfull: bool,
}

/// Time that a request is given, in times of what it is expected to take.
const NEEDED_FACTOR: f64 = 1.25;
/// Times for which a target is slow that a request must be able to wait before it may:
/// so often the next pace is no better than this one.
const SLOW_TIMES: u32 = 2;

impl Present {
    /// Time that a request needs once it has started. A start that is not
    /// finished in time takes a slot for nothing.
    pub(crate) fn needed(&self, work: Option<Duration>) -> Duration {
        self.needed_at(work, self.pace)
    }

    /// Whether a request may start now: at a pace slower than usual, one that
    /// could not end before its deadline may not, nor one that ends sooner if it waits
    /// for a better pace.
    pub(crate) fn fits(&self, work: Option<Duration>, deadline: Instant) -> bool {
        let ends_in_time = self.now + self.needed(work) <= deadline;
        self.pace <= 1.0 || (ends_in_time && !self.gains_by_waiting(work, deadline))
    }

    /// Whether a request is likely to end sooner if it waits for a better pace, and has
    /// the time for it. It also holds its slot for less.
    fn gains_by_waiting(&self, work: Option<Duration>, deadline: Instant) -> bool {
        let gain = work.unwrap_or_default().mul_f64(self.pace - self.best_pace);
        let latest = self.now + self.slow_time * SLOW_TIMES + self.needed_at_best(work);
        gain > self.slow_time && latest <= deadline
    }

    /// Time that a request needs if the target is at its best pace by then.
    pub(crate) fn needed_at_best(&self, work: Option<Duration>) -> Duration {
        self.needed_at(work, self.best_pace)
    }

    fn needed_at(&self, work: Option<Duration>, pace: f64) -> Duration {
        let expected = work.map_or(self.service, |work| work.mul_f64(pace));
        expected.mul_f64(NEEDED_FACTOR)
    }
}

/// Waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let place = self.waiting.iter().position(|waiting| waiting.ticket == ticket);
        place.map(|place| self.waiting.swap_remove(place)).is_some()
    }

    /// Takes the request to run next. In a queue that is too long for all, those
    /// whose answers can still be of full use go before those that are late
    /// already: else each would be late in turn. A patient one counts as urgent
    /// when it must start within the margin to be in time. One that could not end
    /// at the present pace waits for a better one.
    pub(crate) fn pop(&mut self, present: &Present) -> Option<Waiting> {
        let waiting = self.waiting.iter().enumerate();
        let keyed = waiting.filter(|(_, waiting)| waiting.may_start(present));
        let first = keyed.min_by_key(|(_, waiting)| key_of(waiting, present))?.0;
        Some(self.waiting.swap_remove(first))
    }

    /// Whether a request waits that could start now. Others wait for a better pace.
    pub(crate) fn has_startable(&self, present: &Present) -> bool {
        self.waiting.iter().any(|waiting| waiting.may_start(present))
    }

    /// Takes a request that cannot be answered before its deadline any more, even
    /// if the target is at its best pace from now on.
    pub(crate) fn pop_overdue(&mut self, present: &Present) -> Option<Waiting> {
        let is_overdue = |w: &Waiting| w.deadline < present.now + present.needed_at_best(w.work);
        let place = self.waiting.iter().position(is_overdue)?;
        Some(self.waiting.swap_remove(place))
    }

    /// The urgent request that runs last. A patient one has its turn once it is due,
    /// whatever comes before it now.
    pub(crate) fn last_urgent(&self, present: &Present) -> Option<Waiting> {
        let urgent = self.waiting.iter().filter(|waiting| waiting.class == Class::Urgent);
        urgent.max_by_key(|waiting| key_of(waiting, present)).copied()
    }

    /// Requests that would run before a new one.
    pub(crate) fn ahead_of(&self, new: &Waiting, present: &Present) -> usize {
        let own = key_of(new, present);
        self.waiting.iter().filter(|waiting| key_of(waiting, present) < own).count()
    }

    /// The earliest deadline of those that wait.
    pub(crate) fn first_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiting| waiting.deadline).min()
    }

    pub(crate) fn patient(&self) -> usize {
        self.waiting.iter().filter(|waiting| waiting.class == Class::Patient).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}

fn key_of(waiting: &Waiting, present: &Present) -> Key {
    let is_due = waiting.deadline <= present.now + present.margin;
    let ends = present.now + present.needed(waiting.work);
    let (stage, by) = match waiting.class {
        Class::Patient if !is_due => (Stage::Patient, Turn::Earliest(waiting.deadline)),
        // A patient one that is due must start now.
        Class::Patient => (Stage::InTime, Turn::Earliest(waiting.deadline)),
        Class::Urgent if ends <= waiting.aim => (Stage::InTime, Turn::Earliest(waiting.aim)),
        // Not all can be answered. The latest to come have the most time left for
        // what their callers still do with the answer.
        Class::Urgent if present.is_overfull => {
            (Stage::Late, Turn::Latest(Reverse(waiting.deadline)))
        }
        Class::Urgent => (Stage::Late, Turn::Earliest(waiting.deadline)),
    };
    let rank = match waiting.class {
        Class::Patient => 0,
        Class::Urgent => waiting.rank,
    };
    (stage, rank, by, waiting.ticket)
}
