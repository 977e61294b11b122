//! How many times as long as usual work takes at the target.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a pace counts that the target has had. One that it has not had for
/// this long is not waited for: four times the half second for which the users'
/// platform keeps a host's speed.
const MEMORY: Duration = Duration::from_secs(2);

/// The pace of a target that has told none.
const USUAL: f64 = 1.0;
/// Factor by which a pace is above the best one before the target counts as slow.
const SLOW_FACTOR: f64 = 1.5;
/// Mean time for which a target is slow before it has been slow once: the half second
/// for which the users' platform keeps a host's speed.
const FIRST_SLOW_TIME: Duration = Duration::from_millis(500);
/// Weight of a new time in that mean.
const SLOW_TIME_WEIGHT: f64 = 0.2;

/// The paces of a target.
#[derive(Debug)]
pub(crate) struct Pace {
    /// The present pace and earlier ones that were better than all after them.
    seen: VecDeque<Seen>,
    /// Since when the target has been slow without a break.
    slow_since: Option<Instant>,
    /// Moving average of the times for which it was slow.
    slow_time: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { seen: VecDeque::new(), slow_since: None, slow_time: FIRST_SLOW_TIME }
    }
}

#[derive(Debug)]
struct Seen {
    pace: f64,
    /// When another replaced it; `None` for the present one.
    until: Option<Instant>,
}

impl Seen {
    /// Whether the target may be at this pace again soon.
    fn counts(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now.saturating_duration_since(until) < MEMORY)
    }
}

impl Pace {
    /// Takes in a report of the target. Before the first it counts as one at its usual
    /// pace.
    pub(crate) fn observe(&mut self, now: Instant, pace: f64) {
        match self.seen.back_mut() {
            Some(last) => last.until = Some(now),
            None => self.seen.push_back(Seen { pace: USUAL, until: Some(now) }),
        }
        while self.seen.back().is_some_and(|last| last.pace >= pace) {
            self.seen.pop_back();
        }
        self.seen.push_back(Seen { pace, until: None });
        while self.seen.front().is_some_and(|seen| !seen.counts(now)) {
            self.seen.pop_front();
        }
        self.note_slowness(now);
    }

    fn note_slowness(&mut self, now: Instant) {
        let is_slow = self.present() > self.best(now) * SLOW_FACTOR;
        match (is_slow, self.slow_since) {
            (true, None) => self.slow_since = Some(now),
            (false, Some(since)) => {
                let slow_time = now.saturating_duration_since(since);
                self.slow_time = self.slow_time.mul_f64(1.0 - SLOW_TIME_WEIGHT)
                    + slow_time.mul_f64(SLOW_TIME_WEIGHT);
                self.slow_since = None;
            }
            _ => {}
        }
    }

    /// Time after which a slow target is likely to be at a better pace: the mean time
    /// for which it is slow, since nothing tells when it became so.
    pub(crate) fn slow_time(&self) -> Duration {
        self.slow_time
    }

    /// The present pace.
    pub(crate) fn present(&self) -> f64 {
        self.seen.back().map_or(USUAL, |seen| seen.pace)
    }

    /// The best pace that the target may be at again soon.
    pub(crate) fn best(&self, now: Instant) -> f64 {
        self.seen.iter().find(|seen| seen.counts(now)).map_or(USUAL, |seen| seen.pace)
    }
}
