//! Sum of what was recorded within a recent span of time.

use std::time::{Duration, Instant};

/// Approximate sum over a sliding window. It is kept as the sums of two adjoining fixed windows,
/// of which the earlier one counts by the part that the sliding window still covers.
#[derive(Debug, Clone)]
pub(crate) struct Recent {
    span: Duration,
    start: Option<Instant>,
    current: f64,
    previous: f64,
}

impl Recent {
    pub(crate) fn new(span: Duration) -> Self {
        Self { span, start: None, current: 0.0, previous: 0.0 }
    }

    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        self.advance(now);
        self.current += amount;
    }

    /// Returns the sum over the last `span`.
    pub(crate) fn sum(&mut self, now: Instant) -> f64 {
        let elapsed = self.advance(now);
        let covered = 1.0 - (elapsed.as_secs_f64() / self.span.as_secs_f64()).min(1.0);
        self.previous * covered + self.current
    }

    /// Returns the mean per second over the last `span`.
    pub(crate) fn per_second(&mut self, now: Instant) -> f64 {
        self.sum(now) / self.span.as_secs_f64()
    }

    /// Moves the fixed windows up to `now` and returns the time since the start of the current
    /// one.
    fn advance(&mut self, now: Instant) -> Duration {
        let start = *self.start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < self.span {
            return elapsed;
        }
        let is_adjoining = elapsed < 2 * self.span;
        self.previous = if is_adjoining { self.current } else { 0.0 };
        self.current = 0.0;
        self.start = Some(if is_adjoining { start + self.span } else { now });
        if is_adjoining { elapsed - self.span } else { Duration::ZERO }
    }
}
