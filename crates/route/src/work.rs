//! The usual time that requests of each kind take.

use std::collections::HashMap;
use std::time::Duration;

/// Pace of a target that is neither slow nor fast, in percent.
pub const USUAL_PACE: u16 = 100;
/// Factor by which one sample moves a kind's time. Equal steps up and down find
/// the median, on which single slow runs have no effect.
const STEP: f64 = 1.05;
/// Most kinds that are told apart.
const MAX_KINDS: usize = 1024;

/// The usual time that requests of each kind take on a target at its usual pace.
#[derive(Debug, Default)]
pub struct Works {
    kinds: HashMap<Box<str>, Duration>,
}

impl Works {
    /// Takes in the time that a request took at a target with this pace, in
    /// percent; 0 if it is not known.
    pub fn observe(&mut self, kind: &str, service: Duration, pace: u16) {
        let usual = service.mul_f64(1.0 / pace_factor(pace));
        let has_room = self.kinds.len() < MAX_KINDS;
        match self.kinds.get_mut(kind) {
            Some(known) if usual > *known => *known = known.mul_f64(STEP),
            Some(known) => *known = known.mul_f64(1.0 / STEP),
            None if has_room => {
                self.kinds.insert(kind.into(), usual);
            }
            None => {}
        }
    }

    /// The usual time of a kind, if one has been seen.
    pub fn usual(&self, kind: &str) -> Option<Duration> {
        self.kinds.get(kind).copied()
    }
}

/// How many times as long as usual work takes at this pace.
pub fn pace_factor(pace: u16) -> f64 {
    match pace {
        0 => 1.0,
        pace => f64::from(pace) / f64::from(USUAL_PACE),
    }
}
