//! The request rate that a target accepts from all entries together.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::EntryId;

/// Length of the window over which [`Meter`] counts requests.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of requests that a meter remembers.
const MAX_METERED: usize = 4_096;

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

    /// Number of requests allowed in [`WINDOW`].
    pub fn per_window(self) -> f64 {
        self.0 * WINDOW.as_secs_f64()
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
