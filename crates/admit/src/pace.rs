//! How many times as long as usual work takes at the target.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a pace counts that the target has had. One that it has not had for
/// this long is not waited for: four times the half second for which the users'
/// platform keeps a host's speed.
const MEMORY: Duration = Duration::from_secs(2);

/// The pace of a target that has told none.
const USUAL: f64 = 1.0;

/// The paces of a target.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// The present pace and earlier ones that were better than all after them.
    seen: VecDeque<Seen>,
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
