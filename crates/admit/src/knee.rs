//! Detects whether a target slows down when most of its slots are in use.
//!
//! The knee is the occupancy above which concurrent requests may slow each
//! other down.

use std::time::Duration;

/// Share of the slots up to which requests do not slow each other down.
const KNEE: f64 = 0.8;
/// Factor by which one sample moves a slowdown estimate. Equal steps up and down make
/// the estimate follow the median, on which single slow requests have no effect.
const RATIO_STEP: f64 = 1.04;
/// Minimum number of samples below or above the knee before that estimate is used.
const MIN_SAMPLES: u32 = 24;
/// Number of consecutive samples on one side of the knee after which the estimate for
/// the other side expires, since the target's host changes over time.
const EXPIRE_AFTER: u32 = 1000;
/// How many times slower requests must be above the knee than below it before the
/// target is kept below the knee. Fewer requests at a time raise throughput only if
/// the speed-up outweighs the unused slots; the factor adds a margin for noise.
const MIN_SLOWDOWN: f64 = 1.3;

/// Compares service times below and above the knee, each relative to the expected time.
#[derive(Debug)]
pub(crate) struct Knee {
    below: SlowdownEstimate,
    above: SlowdownEstimate,
}

/// Running median of the ratio of the service time to the expected time.
#[derive(Debug, Clone, Copy)]
struct SlowdownEstimate {
    ratio: f64,
    samples: u32,
    /// Samples on the opposite side of the knee since the last one on this side.
    opposite_samples: u32,
}

impl SlowdownEstimate {
    fn observe(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.opposite_samples = 0;
        self.ratio *= if ratio > self.ratio { RATIO_STEP } else { 1.0 / RATIO_STEP };
    }

    fn observe_opposite(&mut self) {
        self.opposite_samples += 1;
        if self.opposite_samples > EXPIRE_AFTER {
            self.samples = 0;
        }
    }

    fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

impl Default for Knee {
    fn default() -> Self {
        let estimate = SlowdownEstimate { ratio: 1.0, samples: 0, opposite_samples: 0 };
        Self { below: estimate, above: estimate }
    }
}

impl Knee {
    /// Records a request that took `service_time` compared with the `expected` time,
    /// with `running` requests in flight at the target, this one included.
    pub(crate) fn observe(
        &mut self,
        service_time: Duration,
        expected: Duration,
        running: usize,
        slots: u16,
    ) {
        if expected.is_zero() {
            return;
        }
        let ratio = service_time.as_secs_f64() / expected.as_secs_f64();
        let (observed, opposite) = match is_above_knee(running, slots) {
            true => (&mut self.above, &mut self.below),
            false => (&mut self.below, &mut self.above),
        };
        observed.observe(ratio);
        opposite.observe_opposite();
    }

    /// Returns how many of the advertised slots to use. A target that has only been
    /// observed above the knee is kept below it until there are enough samples below the
    /// knee: nothing else shows how it performs with fewer requests.
    pub(crate) fn slots(&self, advertised: u16) -> u16 {
        let stays_below = match (self.below.has_enough_samples(), self.above.has_enough_samples()) {
            (true, true) => self.above.ratio > self.below.ratio * MIN_SLOWDOWN,
            (false, true) => true,
            (_, false) => false,
        };
        match stays_below {
            true => u16::try_from(slots_below_knee(advertised)).unwrap_or(advertised).max(1),
            false => advertised,
        }
    }
}

/// Whether so many requests are running that they may slow each other down.
pub(crate) fn is_above_knee(running: usize, slots: u16) -> bool {
    running > slots_below_knee(slots)
}

fn slots_below_knee(slots: u16) -> usize {
    (f64::from(slots) * KNEE) as usize
}
