//! The usual time and size of requests of each kind.

use std::collections::HashMap;
use std::time::Duration;

/// Pace of a target that is neither slow nor fast, in percent.
pub const USUAL_PACE: u16 = 100;
/// Factor by which one sample moves a kind's time. Equal steps up and down find
/// the median, on which single slow runs have no effect.
const STEP: f64 = 1.05;
/// What the step of the second sample has beyond that; it falls with the number of
/// samples, so that an odd first one is soon outweighed.
const FIRST_STEP: f64 = 0.5;
/// Most kinds that are told apart.
const MAX_KINDS: usize = 1024;

/// Weight of a new answer in the mean size.
const SIZE_WEIGHT: f64 = 0.05;

/// What is usual for requests of each kind.
#[derive(Debug, Default)]
pub struct Works {
    kinds: HashMap<Box<str>, Usual>,
}

#[derive(Debug, Clone, Copy)]
struct Usual {
    /// Time on a target at its usual pace.
    time: Duration,
    samples: u32,
    /// Bytes of the answer.
    bytes: f64,
}

impl Usual {
    fn observe(&mut self, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let step = STEP + FIRST_STEP / f64::from(self.samples);
        let factor = if time > self.time { step } else { 1.0 / step };
        self.time = self.time.mul_f64(factor);
    }
}

impl Works {
    /// Takes in the time that a request took at a target with this pace, in
    /// percent; 0 if it is not known.
    pub fn observe(&mut self, kind: &str, service: Duration, pace: u16) {
        let usual = service.mul_f64(1.0 / pace_factor(pace));
        let has_room = self.kinds.len() < MAX_KINDS;
        match self.kinds.get_mut(kind) {
            Some(known) => known.observe(usual),
            None if has_room => {
                self.kinds.insert(kind.into(), Usual { time: usual, samples: 1, bytes: 0.0 });
            }
            None => {}
        }
    }

    /// Takes in the size of an answer.
    pub fn observe_bytes(&mut self, kind: &str, bytes: usize) {
        if let Some(known) = self.kinds.get_mut(kind) {
            known.bytes = match known.bytes {
                0.0 => bytes as f64,
                mean => mean + (bytes as f64 - mean) * SIZE_WEIGHT,
            };
        }
    }

    /// The usual time of a kind, if one has been seen.
    pub fn usual(&self, kind: &str) -> Option<Duration> {
        self.kinds.get(kind).map(|usual| usual.time)
    }

    /// The mean size of a kind's answers in bytes; 0 if none has been seen.
    pub fn bytes(&self, kind: &str) -> f64 {
        self.kinds.get(kind).map_or(0.0, |usual| usual.bytes)
    }
}

/// Part of its aim that a request is taken to need before one of its kind has
/// been seen: operators state aims of about three times the usual time.
const AIM_PART: u32 = 3;

/// The usual time of a kind of which only the aim is known.
pub fn guess_work(aim: Duration) -> Duration {
    aim / AIM_PART
}

/// How many times as long as usual work takes at this pace.
pub fn pace_factor(pace: u16) -> f64 {
    match pace {
        0 => 1.0,
        pace => f64::from(pace) / f64::from(USUAL_PACE),
    }
}
