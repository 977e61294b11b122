//! Limits the requests that a target gets while it is cold: for some time after its start, or
//! again at any moment.
//!
//! In no second a cold target gets more than [`Limit::max_per_second`] requests. It may have
//! become cold right after it last said that it was not. Requests that started since then count
//! for the limit as well, so their number is limited too, whether or not the target is cold.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::rate::{self, Pacer};

/// Length of the window in which the number of requests is limited.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Longest time for which the starts since the last word from the target are counted while it
/// is not known to be cold. After this time a health check has been given up.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(300);
/// Time for which a target that says nothing counts as cold if the configuration does not name
/// the duration of a cold start.
const DEFAULT_COLD_START: Duration = Duration::from_secs(10);
/// Longest time for which one statement makes a target cold.
const MAX_STATED: Duration = Duration::from_secs(3_600);

/// Number of requests that a target gets while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    rate: rate::Limit,
    cold_start: Duration,
}

impl Limit {
    /// Creates a limit of `rate`. `cold_start` is the time for which a target is cold after its
    /// start, if it is known.
    pub fn new(rate: rate::Limit, cold_start: Option<Duration>) -> Self {
        Self { rate, cold_start: cold_start.unwrap_or(DEFAULT_COLD_START) }
    }

    /// The limit while the configuration is not known: half of the 8 requests that a cold
    /// target can get at once, whatever its rate.
    pub fn before_configuration() -> Self {
        Self::new(rate::Limit::try_from(2.0).expect("a valid rate"), Some(MAX_STATED))
    }

    /// Largest number of requests that a cold target may get in any second.
    pub fn max_per_second(self) -> f64 {
        self.rate.per_second() * 1.5 + 8.0
    }

    /// Largest number of starts in one window. The part of [`Limit::max_per_second`] that is
    /// left over is for the first second of the next guard.
    fn allowance(self) -> usize {
        (self.rate.per_second() * 1.25 + 6.0) as usize
    }

    /// Largest number of starts in the first second of a guard. In the same second the previous
    /// guard, of which nothing is known, may have used its allowance.
    fn first_allowance(self) -> usize {
        (self.rate.per_second() * 0.25 + 2.0) as usize
    }
}

/// What a target states about being cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Statement {
    /// It states nothing. On a health page this means that the target is not cold.
    #[default]
    Absent,
    /// The target is cold for this time, and not cold if the time is zero.
    ColdFor(Duration),
    /// The statement cannot be read.
    Unreadable,
}

impl Statement {
    /// The remaining time for which the target states to be cold.
    pub fn remaining(self) -> Duration {
        match self {
            Self::ColdFor(remaining) => remaining,
            Self::Absent | Self::Unreadable => Duration::ZERO,
        }
    }
}

/// Where a target states that it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// In an answer to a request.
    Answer,
    /// In a notice.
    Notice,
    /// On its health page, in the answer to a check that was sent at this time.
    HealthPage {
        /// When the check was sent; `None` if unknown.
        sent_at: Option<Instant>,
    },
}

/// A start that counts for the limit.
#[derive(Debug, Clone, Copy)]
struct Start {
    at: Instant,
    /// Whether the target was cold, as far as known.
    was_cold: bool,
}

/// What is known about a target being cold, and the starts that count for its limit.
#[derive(Debug, Default)]
pub(crate) struct Coldness {
    limit: Option<Limit>,
    /// Until when the target is cold, by each source; `None` if the source has said nothing.
    by_answer: Option<Instant>,
    by_notice: Option<Instant>,
    by_page: Option<Instant>,
    /// When a limit was first set.
    opened_at: Option<Instant>,
    /// Since when nothing is known of the target.
    unknown_since: Option<Instant>,
    /// The latest time at which the target was certainly not cold.
    warm_at: Option<Instant>,
    /// Starts within [`WINDOW`] while the target was or may have been cold, the oldest first.
    starts: VecDeque<Start>,
    /// Spaces the starts while the target is cold.
    pacer: Option<Pacer>,
}

impl Coldness {
    /// Sets the limit; `None` if a cold target gets as many requests as any other.
    pub(crate) fn set_limit(&mut self, now: Instant, limit: Option<Limit>) {
        self.limit = limit;
        self.opened_at.get_or_insert(now);
        self.unknown_since.get_or_insert(now);
        match (limit, &mut self.pacer) {
            (None, _) => {
                self.pacer = None;
                self.starts.clear();
            }
            (Some(limit), Some(pacer)) => pacer.set_limit(now, limit.rate),
            (Some(limit), None) => self.pacer = Some(Pacer::new(now, limit.rate)),
        }
    }

    pub(crate) fn has_limit(&self) -> bool {
        self.limit.is_some()
    }

    /// Forgets what the target has stated, because another process may answer for it now.
    pub(crate) fn forget(&mut self, now: Instant) {
        self.unknown_since = Some(now);
        (self.by_answer, self.by_notice, self.by_page) = (None, None, None);
    }

    /// Records a statement of the current target process.
    pub(crate) fn observe(&mut self, now: Instant, source: Source, stated: Statement) {
        let until = match (source, stated) {
            (_, Statement::ColdFor(remaining)) => now + remaining.min(MAX_STATED),
            (Source::HealthPage { .. }, Statement::Absent) => now,
            (_, Statement::Absent | Statement::Unreadable) => return,
        };
        match source {
            // Answers may arrive in another order than they were sent in.
            Source::Answer => self.by_answer = self.by_answer.max(Some(until)),
            Source::Notice => self.by_notice = Some(until),
            Source::HealthPage { sent_at } => {
                self.by_page = Some(until);
                if until <= now && !self.is_cold(now) {
                    self.warm_at = self.warm_at.max(sent_at);
                    self.forget_old_starts(now);
                }
            }
        }
    }

    /// Whether the target is cold, as far as known. A target of which nothing is known counts
    /// as cold for the duration of a cold start.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until(now)
    }

    /// Records the arrival of a request.
    pub(crate) fn record_arrival(&mut self, now: Instant) {
        if self.is_cold(now)
            && let Some(pacer) = &mut self.pacer
        {
            pacer.record_arrival(now);
        }
    }

    /// Records the start of a request.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.forget_old_starts(now);
        let was_cold = self.is_cold(now);
        if let Some(pacer) = &mut self.pacer {
            pacer.record_start(now);
            self.starts.push_back(Start { at: now, was_cold });
        }
    }

    /// Time until another request may start.
    pub(crate) fn start_delay(&self, now: Instant) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let cold_until = self.cold_until(now);
        let is_cold = now < cold_until;
        let for_window = self.window_delay(now, is_cold, self.allowance(now, limit));
        match is_cold {
            true => for_window.max(self.pace_delay(now, 1)).min(cold_until - now),
            false => for_window,
        }
    }

    /// Time until `requests` more may have started at the rate of a cold target; zero if the
    /// target is not cold.
    pub(crate) fn pace_delay(&self, now: Instant, requests: usize) -> Duration {
        let pacer = self.pacer.as_ref().filter(|_| self.is_cold(now));
        pacer.map_or(Duration::ZERO, |pacer| pacer.delay(now, requests))
    }

    /// Time that an entry leaves between two requests to a cold target; zero if the target is
    /// not cold.
    pub(crate) fn period(&self, now: Instant) -> Duration {
        let pacer = self.pacer.as_ref().filter(|_| self.is_cold(now));
        pacer.map_or(Duration::ZERO, |pacer| pacer.period(now).max(self.start_delay(now)))
    }

    fn cold_until(&self, now: Instant) -> Instant {
        let Some(limit) = self.limit else {
            return now;
        };
        let stated = self.by_answer.max(self.by_notice).max(self.by_page);
        stated.unwrap_or(self.unknown_since.unwrap_or(now) + limit.cold_start)
    }

    fn allowance(&self, now: Instant, limit: Limit) -> usize {
        let is_first_second = self.opened_at.is_some_and(|at| now < at + WINDOW);
        match is_first_second {
            true => limit.first_allowance(),
            false => limit.allowance(),
        }
    }

    /// Time until fewer than `allowance` starts count.
    fn window_delay(&self, now: Instant, is_cold: bool, allowance: usize) -> Duration {
        if self.starts.len() < allowance {
            return Duration::ZERO;
        }
        let counts_for = |start: &Start| {
            let window = if is_cold || start.was_cold { WINDOW } else { MAX_UNCONFIRMED };
            (start.at + window).saturating_duration_since(now)
        };
        let mut left: Vec<Duration> = self.starts.iter().map(counts_for).collect();
        left.retain(|left| !left.is_zero());
        left.sort_unstable();
        // The starts that have to stop counting before another one is allowed.
        let excess = (left.len() + 1).saturating_sub(allowance.max(1));
        excess.checked_sub(1).map_or(Duration::ZERO, |last| left[last])
    }

    fn forget_old_starts(&mut self, now: Instant) {
        let warm_at = self.warm_at;
        self.starts.retain(|start| {
            let was_warm = !start.was_cold && warm_at.is_some_and(|warm| start.at < warm);
            !was_warm && now.saturating_duration_since(start.at) < WINDOW
        });
    }
}
