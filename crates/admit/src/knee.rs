//! Whether a target slows down when it is nearly full.

use std::time::Duration;

/// Share of the slots up to which requests do not slow each other down.
const KNEE: f64 = 0.8;
/// Factor by which one sample moves a ratio. Equal steps up and down find the
/// median, on which single slow runs have no effect.
const STEP: f64 = 1.04;
/// Samples on each side of the knee before anything is concluded.
const MIN_SAMPLES: u32 = 24;
/// Samples on one side after which the other counts as not known any more: a target's
/// host changes with time.
const FORGET_AFTER: u32 = 1000;
/// Factor by which requests above the knee must be slower before fewer at a time
/// carry more: the slots gained, and a margin for noise.
const WORTH_IT: f64 = 1.3;

/// The time of requests below and above the knee, in times of their usual.
#[derive(Debug)]
pub(crate) struct Knee {
    below: Side,
    above: Side,
}

#[derive(Debug, Clone, Copy)]
struct Side {
    ratio: f64,
    samples: u32,
    /// Samples on the other side since the last one here.
    others: u32,
}

impl Side {
    fn observe(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.others = 0;
        self.ratio *= if ratio > self.ratio { STEP } else { 1.0 / STEP };
    }

    fn observe_other(&mut self) {
        self.others += 1;
        if self.others > FORGET_AFTER {
            self.samples = 0;
        }
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

impl Default for Knee {
    fn default() -> Self {
        let side = Side { ratio: 1.0, samples: 0, others: 0 };
        Self { below: side, above: side }
    }
}

impl Knee {
    /// Takes in a request that took `service` where `usual` was expected, with
    /// `running` requests at the target, this one included.
    pub(crate) fn observe(
        &mut self,
        service: Duration,
        usual: Duration,
        running: usize,
        slots: u16,
    ) {
        if usual.is_zero() {
            return;
        }
        let ratio = service.as_secs_f64() / usual.as_secs_f64();
        let (side, other) = match is_crowded(running, slots) {
            true => (&mut self.above, &mut self.below),
            false => (&mut self.below, &mut self.above),
        };
        side.observe(ratio);
        other.observe_other();
    }

    /// The slots to use of those that are stated. A target that has been full ever since
    /// it is known is given fewer for a while: nothing else shows what it does then.
    pub(crate) fn slots(&self, stated: u16) -> u16 {
        let uses_below = match (self.below.is_known(), self.above.is_known()) {
            (true, true) => self.above.ratio > self.below.ratio * WORTH_IT,
            (false, true) => true,
            (_, false) => false,
        };
        match uses_below {
            true => u16::try_from(slots_below(stated)).unwrap_or(stated).max(1),
            false => stated,
        }
    }
}

/// Whether requests may slow each other down where this many run.
pub(crate) fn is_crowded(running: usize, slots: u16) -> bool {
    running > slots_below(slots)
}

fn slots_below(slots: u16) -> usize {
    (f64::from(slots) * KNEE) as usize
}
