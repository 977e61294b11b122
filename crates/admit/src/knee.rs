//! Whether a target slows down when it is nearly full.

use std::time::Duration;

/// Share of the slots up to which requests do not slow each other down.
const KNEE: f64 = 0.8;
/// Factor by which one sample moves a ratio. Equal steps up and down find the
/// median, on which single slow runs have no effect.
const STEP: f64 = 1.04;
/// Samples on each side of the knee before anything is concluded.
const MIN_SAMPLES: u32 = 24;
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
}

impl Side {
    fn observe(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.ratio *= if ratio > self.ratio { STEP } else { 1.0 / STEP };
    }
}

impl Default for Knee {
    fn default() -> Self {
        let side = Side { ratio: 1.0, samples: 0 };
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
        match running > slots_below(slots) {
            true => self.above.observe(ratio),
            false => self.below.observe(ratio),
        }
    }

    /// The slots to use of those that are stated.
    pub(crate) fn slots(&self, stated: u16) -> u16 {
        let is_known = self.below.samples.min(self.above.samples) >= MIN_SAMPLES;
        match is_known && self.above.ratio > self.below.ratio * WORTH_IT {
            true => u16::try_from(slots_below(stated)).unwrap_or(stated).max(1),
            false => stated,
        }
    }
}

fn slots_below(slots: u16) -> usize {
    (f64::from(slots) * KNEE) as usize
}
