//! The pace of a target: the ratio of its service times to the nominal ones.
//!
//! A pace of 2 means that requests take twice their nominal time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long an earlier pace is remembered. Requests do not wait for a pace that the
/// target has not had for this long. It is four times the 500 ms for which a host of
/// the users' platform keeps its speed.
const RETENTION: Duration = Duration::from_secs(2);

/// Pace of a target that has not reported one.
const NOMINAL_PACE: f64 = 1.0;
/// A target counts as slow when its pace exceeds the best one by this factor.
const SLOW_FACTOR: f64 = 1.5;
/// Assumed mean length of a slow period before one has been observed: the 500 ms for
/// which a host of the users' platform keeps its speed.
const INITIAL_SLOW_PERIOD: Duration = Duration::from_millis(500);
/// Weight of a new slow period in the mean length.
const SLOW_PERIOD_WEIGHT: f64 = 0.2;

/// The current and recent paces of a target.
#[derive(Debug)]
pub(crate) struct PaceHistory {
    /// The current pace, preceded by each earlier one that was lower than all after it.
    samples: VecDeque<PaceSample>,
    /// Start of the current slow period, if the target is slow.
    slow_since: Option<Instant>,
    /// Moving average of the lengths of slow periods.
    slow_period: Duration,
}

impl Default for PaceHistory {
    fn default() -> Self {
        Self { samples: VecDeque::new(), slow_since: None, slow_period: INITIAL_SLOW_PERIOD }
    }
}

#[derive(Debug)]
struct PaceSample {
    pace: f64,
    /// When the next sample replaced this one; `None` for the current pace.
    until: Option<Instant>,
}

impl PaceSample {
    /// Whether the pace is recent enough to be expected again soon.
    fn is_recent(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now.saturating_duration_since(until) < RETENTION)
    }
}

impl PaceHistory {
    /// Records a pace that the target has reported. The target counts as having had the
    /// nominal pace until its first report.
    pub(crate) fn observe(&mut self, now: Instant, pace: f64) {
        match self.samples.back_mut() {
            Some(last) => last.until = Some(now),
            None => self.samples.push_back(PaceSample { pace: NOMINAL_PACE, until: Some(now) }),
        }
        while self.samples.back().is_some_and(|last| last.pace >= pace) {
            self.samples.pop_back();
        }
        self.samples.push_back(PaceSample { pace, until: None });
        while self.samples.front().is_some_and(|sample| !sample.is_recent(now)) {
            self.samples.pop_front();
        }
        self.update_slow_period(now);
    }

    fn update_slow_period(&mut self, now: Instant) {
        let is_slow = self.current() > self.best(now) * SLOW_FACTOR;
        match (is_slow, self.slow_since) {
            (true, None) => self.slow_since = Some(now),
            (false, Some(since)) => {
                let slow_period = now.saturating_duration_since(since);
                self.slow_period = self.slow_period.mul_f64(1.0 - SLOW_PERIOD_WEIGHT)
                    + slow_period.mul_f64(SLOW_PERIOD_WEIGHT);
                self.slow_since = None;
            }
            _ => {}
        }
    }

    /// Estimated time until a slow target is faster again. This is the mean length of
    /// a whole slow period, because the exact start of the current one is not known.
    pub(crate) fn slow_period(&self) -> Duration {
        self.slow_period
    }

    /// The current pace.
    pub(crate) fn current(&self) -> f64 {
        self.samples.back().map_or(NOMINAL_PACE, |sample| sample.pace)
    }

    /// The best pace that the target may soon have again.
    pub(crate) fn best(&self, now: Instant) -> f64 {
        self.samples
            .iter()
            .find(|sample| sample.is_recent(now))
            .map_or(NOMINAL_PACE, |sample| sample.pace)
    }
}
