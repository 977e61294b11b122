//! The queue of waiting requests, and the order in which they run.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use crate::Ticket;
use crate::organisation::{Loads, Organisation, ShareLevel};

/// Whether a request may wait behind others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The request may not wait behind patient ones.
    Urgent,
    /// The request may wait until its deadline comes near.
    Patient,
}

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) class: Class,
    /// The organisation on whose behalf the request is sent.
    pub(crate) organisation: Option<Organisation>,
    /// Priority; 0 is the highest.
    pub(crate) rank: u8,
    /// Time after which the answer has lost some of its value.
    pub(crate) soft_deadline: Instant,
    pub(crate) deadline: Instant,
    /// Expected service time at the nominal pace, if known.
    pub(crate) nominal_time: Option<Duration>,
}

impl Waiting {
    fn can_start(&self, conditions: &Conditions) -> bool {
        conditions.can_start(self.nominal_time, self.deadline)
    }
}

/// Primary sort criterion of the queue; the least runs first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// The request can still be answered before its soft deadline, or is patient and due.
    InTime,
    /// The request can only be answered after its soft deadline.
    Late,
    /// The request is patient and not yet due.
    Patient,
}

/// Order of requests: by the priority of their organisations, then by whether they are in time,
/// the share of the guard that their organisations use, and their rank. Patient requests that
/// are not due come last.
type SortKey = (bool, u8, Tier, ShareLevel, u8, Order, Ticket);

/// Order among the requests of the same tier and rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Order {
    /// The earliest deadline runs first.
    EarliestFirst(Instant),
    /// The latest deadline runs first.
    LatestFirst(Reverse<Instant>),
}

/// The state of the target and the queue, on which the order of requests depends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    pub(crate) now: Instant,
    /// A patient request is due when its deadline is at most this far away.
    pub(crate) patient_margin: Duration,
    /// Expected service time of requests whose nominal time is not known.
    pub(crate) service_time: Duration,
    /// Current ratio of service times to nominal ones.
    pub(crate) pace: f64,
    /// The best pace that the target may soon have again.
    pub(crate) best_pace: f64,
    /// Estimated time until a slow target is faster again.
    pub(crate) slow_period: Duration,
    /// Whether the queue is too long for all requests to meet their deadlines.
    pub(crate) is_overloaded: bool,
    /// Number of requests that may run at a time.
    pub(crate) slots: u16,
}

/// Safety factor on the expected service time when checking against a deadline.
const HEADROOM_FACTOR: f64 = 1.25;
/// Number of slow periods that must fit before the deadline of a request that waits for
/// a better pace. One is not enough, because the next pace is often no better.
const SLOW_PERIODS: u32 = 2;

impl Conditions {
    /// Time that a request is expected to need once it has started. A request that does
    /// not finish before its deadline wastes its slot.
    pub(crate) fn time_needed(&self, nominal_time: Option<Duration>) -> Duration {
        self.time_needed_at(nominal_time, self.pace)
    }

    /// Whether a request may start now. While the target is slower than nominal, a
    /// request may not start if it would miss its deadline or if it is likely to end
    /// sooner by waiting for a better pace.
    pub(crate) fn can_start(&self, nominal_time: Option<Duration>, deadline: Instant) -> bool {
        let ends_in_time = self.now + self.time_needed(nominal_time) <= deadline;
        self.pace <= 1.0 || (ends_in_time && !self.gains_by_waiting(nominal_time, deadline))
    }

    /// Whether a request is likely to end sooner if it waits for a better pace, and its
    /// deadline allows that. It then also occupies its slot for a shorter time.
    fn gains_by_waiting(&self, nominal_time: Option<Duration>, deadline: Instant) -> bool {
        let gain = nominal_time.unwrap_or_default().mul_f64(self.pace - self.best_pace);
        let latest = self.now + self.slow_period * SLOW_PERIODS + self.best_case_time(nominal_time);
        gain > self.slow_period && latest <= deadline
    }

    /// Time that a request is expected to need if the target has its best pace by then.
    pub(crate) fn best_case_time(&self, nominal_time: Option<Duration>) -> Duration {
        self.time_needed_at(nominal_time, self.best_pace)
    }

    fn time_needed_at(&self, nominal_time: Option<Duration>, pace: f64) -> Duration {
        let expected = nominal_time.map_or(self.service_time, |nominal| nominal.mul_f64(pace));
        expected.mul_f64(HEADROOM_FACTOR)
    }
}

/// Requests that wait for a slot.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    requests: Vec<Waiting>,
    /// Requests that wait or run, by organisation.
    pub(crate) loads: Loads,
}

impl Queue {
    pub(crate) fn push(&mut self, request: Waiting) {
        self.loads.add(request.organisation);
        self.requests.push(request);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self.requests.iter().position(|request| request.ticket == ticket);
        index.map(|index| self.take(index)).is_some()
    }

    fn take(&mut self, index: usize) -> Waiting {
        let request = self.requests.swap_remove(index);
        self.loads.remove(request.organisation);
        request
    }

    /// Removes and returns the request to run next. Requests that can still meet their
    /// soft deadline go before those that cannot; otherwise, in a queue that is too long,
    /// every request would be late in turn. A patient request counts as urgent once it
    /// must start within the margin to meet its deadline. Requests that cannot end in
    /// time at the current pace are skipped and wait for a better one.
    pub(crate) fn pop(&mut self, conditions: &Conditions) -> Option<Waiting> {
        let requests = self.requests.iter().enumerate();
        let startable = requests.filter(|(_, request)| request.can_start(conditions));
        let first = startable.min_by_key(|(_, request)| self.sort_key(request, conditions))?.0;
        Some(self.take(first))
    }

    /// Whether any request in the queue may start now. The remaining ones wait for a
    /// better pace.
    pub(crate) fn has_startable(&self, conditions: &Conditions) -> bool {
        self.requests.iter().any(|request| request.can_start(conditions))
    }

    /// Removes and returns a request that can no longer be answered before its deadline,
    /// even if the target has its best pace from now on.
    pub(crate) fn pop_infeasible(&mut self, conditions: &Conditions) -> Option<Waiting> {
        let is_infeasible =
            |w: &Waiting| w.deadline < conditions.now + conditions.best_case_time(w.nominal_time);
        let index = self.requests.iter().position(is_infeasible)?;
        Some(self.take(index))
    }

    /// Returns the urgent request that runs last. Patient requests are left out: they
    /// run once they are due, whatever is ahead of them now.
    pub(crate) fn last_urgent(&self, conditions: &Conditions) -> Option<Waiting> {
        let urgent = self.requests.iter().filter(|request| request.class == Class::Urgent);
        urgent.max_by_key(|request| self.sort_key(request, conditions)).copied()
    }

    /// Returns the requests of organisations, the last to run first, each with the number of
    /// requests that run before it. Empty if no request has an organisation.
    pub(crate) fn organisations_from_last(
        &self,
        conditions: &Conditions,
    ) -> impl Iterator<Item = (usize, &Waiting)> {
        let mut order: Vec<(SortKey, &Waiting)> = match self.loads.is_empty() {
            true => Vec::new(),
            false => self
                .requests
                .iter()
                .map(|request| (self.sort_key(request, conditions), request))
                .collect(),
        };
        order.sort_unstable_by_key(|(key, _)| *key);
        let order = order.into_iter().map(|(_, request)| request).enumerate().rev();
        order.filter(|(_, request)| request.organisation.is_some())
    }

    /// Whether `new` goes before `other` because of their organisations, whatever their ranks
    /// and deadlines.
    pub(crate) fn is_preferred(
        &self,
        new: &Waiting,
        other: &Waiting,
        conditions: &Conditions,
    ) -> bool {
        let preference = |request: &Waiting| {
            let level = self.loads.level(request.organisation, conditions.slots);
            (priority_of(request), level)
        };
        preference(new) < preference(other)
    }

    /// Number of queued requests that would run before a new one.
    pub(crate) fn ahead_of(&self, new: &Waiting, conditions: &Conditions) -> usize {
        let new_key = self.sort_key(new, conditions);
        self.requests.iter().filter(|request| self.sort_key(request, conditions) < new_key).count()
    }

    /// The earliest deadline of the queued requests.
    pub(crate) fn earliest_deadline(&self) -> Option<Instant> {
        self.requests.iter().map(|request| request.deadline).min()
    }

    /// Number of queued patient requests.
    pub(crate) fn patient(&self) -> usize {
        self.requests.iter().filter(|request| request.class == Class::Patient).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    fn sort_key(&self, request: &Waiting, conditions: &Conditions) -> SortKey {
        let level = self.loads.level(request.organisation, conditions.slots);
        sort_key(request, level, conditions)
    }
}

/// A request without an organisation has the highest priority.
fn priority_of(request: &Waiting) -> u8 {
    request.organisation.map_or(0, |organisation| organisation.priority)
}

fn sort_key(request: &Waiting, level: ShareLevel, conditions: &Conditions) -> SortKey {
    let is_due = request.deadline <= conditions.now + conditions.patient_margin;
    let ends = conditions.now + conditions.time_needed(request.nominal_time);
    let (tier, order) = match request.class {
        Class::Patient if !is_due => (Tier::Patient, Order::EarliestFirst(request.deadline)),
        // A patient request that is due must start now.
        Class::Patient => (Tier::InTime, Order::EarliestFirst(request.deadline)),
        Class::Urgent if ends <= request.soft_deadline => {
            (Tier::InTime, Order::EarliestFirst(request.soft_deadline))
        }
        // Not all requests can be answered. Those with the latest deadline leave their
        // callers the most time for further work with the answer.
        Class::Urgent if conditions.is_overloaded => {
            (Tier::Late, Order::LatestFirst(Reverse(request.deadline)))
        }
        Class::Urgent => (Tier::Late, Order::EarliestFirst(request.deadline)),
    };
    let rank = match request.class {
        Class::Patient => 0,
        Class::Urgent => request.rank,
    };
    let is_patient = tier == Tier::Patient;
    (is_patient, priority_of(request), tier, level, rank, order, request.ticket)
}
