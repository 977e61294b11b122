//! The request rate that a target accepts from all entries together.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::EntryId;

/// Length of the window over which [`Meter`] counts requests.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of requests that a meter remembers.
const MAX_METERED: usize = 4_096;
/// Time without requests after which the unused part of a limit no longer accumulates.
const BURST: Duration = Duration::from_millis(250);
/// Smallest burst. With less than two requests, the time between a start and the next
/// request of an entry would be lost.
const MIN_BURST: f64 = 2.0;
/// Factor by which entries together are told to send more than the limit, so that the
/// target gets what it accepts although some entries send later than they may.
const OVERBOOKING: f64 = 1.25;
/// Longest time that an entry is told to leave between two requests.
const MAX_PERIOD: Duration = Duration::from_secs(5);
/// Longest delay of a start. Applies to limits close to zero.
const MAX_DELAY: Duration = Duration::from_secs(3_600);
/// Tolerance for rounding when credit is compared with a number of requests.
const ROUNDING: f64 = 1e-6;

/// The number of requests per second that a target accepts from all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit(f64);

/// The number is negative or not finite.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidLimit;

impl TryFrom<f64> for Limit {
    type Error = InvalidLimit;

    fn try_from(per_second: f64) -> Result<Self, InvalidLimit> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self(per_second)),
            false => Err(InvalidLimit),
        }
    }
}

impl Limit {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Largest number of requests that start in [`WINDOW`].
    pub fn per_window(self) -> f64 {
        self.0 * WINDOW.as_secs_f64() + self.burst()
    }

    /// Largest number of requests that may start at once.
    fn burst(self) -> f64 {
        (self.0 * BURST.as_secs_f64()).max(MIN_BURST)
    }
}

/// What an answer of a target states about its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Statement {
    /// The target accepts any rate.
    #[default]
    Unlimited,
    /// The target accepts this rate.
    Limited(Limit),
    /// The statement cannot be read, so that the previous one stays valid.
    Unreadable,
}

/// Where a target states its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// In an answer to a request.
    Answer,
    /// On its health page, which may leave the limit out.
    HealthPage,
}

/// The latest statements of a target process.
#[derive(Debug, Default)]
pub struct Statements {
    in_answers: Option<Limit>,
    on_health_page: Option<Limit>,
}

impl Statements {
    /// Records a statement. A health page that has never named the limit does not end one
    /// that answers name.
    pub fn observe(&mut self, source: Source, stated: Statement) {
        let limit = match stated {
            Statement::Unlimited => None,
            Statement::Limited(limit) => Some(limit),
            Statement::Unreadable => return,
        };
        match source {
            Source::Answer => self.in_answers = limit,
            Source::HealthPage => {
                // A target that accepts no requests states the end of its limit only here.
                if limit.is_none() && self.on_health_page.is_some() {
                    self.in_answers = None;
                }
                self.on_health_page = limit;
            }
        }
    }

    /// The limit in force: the lower one of those stated. A limit that only answers state
    /// allows one request in [`WINDOW`], because only an answer can state its end.
    pub fn limit(&self) -> Option<Limit> {
        let least = 1.0 / WINDOW.as_secs_f64();
        match (self.in_answers, self.on_health_page) {
            (Some(one), Some(other)) => Some(Limit(one.0.min(other.0))),
            (Some(in_answers), None) => Some(Limit(in_answers.0.max(least))),
            (None, on_health_page) => on_health_page,
        }
    }
}

/// Spaces the starts of requests so that a target gets no more than its limit.
#[derive(Debug)]
pub(crate) struct Pacer {
    limit: Limit,
    /// Number of requests that could start at `credited_at`.
    credit: f64,
    credited_at: Instant,
    /// End of the shares of the limit that are reserved for entries.
    reserved_until: Instant,
}

impl Pacer {
    /// Creates a pacer without credit: what the target got before is not known.
    pub(crate) fn new(now: Instant, limit: Limit) -> Self {
        Self { limit, credit: 0.0, credited_at: now, reserved_until: now }
    }

    /// Replaces the limit. Credit that the new limit would not have given is dropped.
    pub(crate) fn set_limit(&mut self, now: Instant, limit: Limit) {
        self.settle(now);
        self.limit = limit;
        self.credit = self.credit.min(limit.burst());
    }

    /// Records the start of a request.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.settle(now);
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Time until `requests` more may have started.
    pub(crate) fn delay(&self, now: Instant, requests: usize) -> Duration {
        let missing = requests as f64 - self.credit(now);
        match missing <= ROUNDING {
            true => Duration::ZERO,
            false => seconds(missing / self.limit.per_second(), MAX_DELAY),
        }
    }

    /// Records that a request of an entry has arrived, for which a share of the limit is
    /// set aside.
    pub(crate) fn record_arrival(&mut self, now: Instant) {
        let share = seconds(1.0 / (self.limit.per_second() * OVERBOOKING), MAX_PERIOD);
        let earliest = now + self.delay(now, 1);
        self.reserved_until = (self.reserved_until + share).max(earliest).min(now + MAX_PERIOD);
    }

    /// Time that an entry leaves between two requests: until then, the limit is shared out
    /// among those that have arrived.
    pub(crate) fn period(&self, now: Instant) -> Duration {
        self.reserved_until.saturating_duration_since(now)
    }

    fn credit(&self, now: Instant) -> f64 {
        let earned = now.saturating_duration_since(self.credited_at).as_secs_f64();
        let earned = earned * self.limit.per_second();
        (self.credit + earned).min(self.limit.burst())
    }

    fn settle(&mut self, now: Instant) {
        self.credit = self.credit(now);
        self.credited_at = now;
    }
}

/// Converts to a duration of at most `max`.
fn seconds(seconds: f64, max: Duration) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(max, |duration| duration.min(max))
}

/// Counts the requests that were sent to a target within [`WINDOW`], by entry.
#[derive(Debug, Default)]
pub struct Meter {
    sent: VecDeque<(Instant, EntryId)>,
}

impl Meter {
    /// Records a request of `entry` that is sent to the target.
    pub fn record(&mut self, now: Instant, entry: EntryId) {
        self.forget_old(now);
        if self.sent.len() == MAX_METERED {
            self.sent.pop_front();
        }
        self.sent.push_back((now, entry));
    }

    /// Number of requests sent within the window before `now`.
    pub fn count(&mut self, now: Instant) -> usize {
        self.forget_old(now);
        self.sent.len()
    }

    /// Number of requests within the window by entry, the largest first.
    pub fn by_entry(&self) -> Vec<(EntryId, usize)> {
        let mut counts = BTreeMap::new();
        for (_, entry) in &self.sent {
            *counts.entry(*entry).or_insert(0) += 1;
        }
        let mut counts: Vec<(EntryId, usize)> = counts.into_iter().collect();
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        counts
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= WINDOW;
        while self.sent.front().is_some_and(|(at, _)| is_old(*at)) {
            self.sent.pop_front();
        }
    }
}
