//! Nominal time and mean answer size of the requests of each kind.

use std::collections::HashMap;
use std::time::Duration;

/// Pace of a target that is neither slow nor fast, in percent.
pub const NOMINAL_PACE: u16 = 100;
/// Factor by which one sample moves the time of a kind up or down. Equal steps in
/// both directions converge to the median, on which single slow runs have no effect.
const STEP: f64 = 1.05;
/// Addition to [`STEP`], divided by the number of samples. The larger steps of the
/// first samples quickly correct a first sample that is an outlier.
const INITIAL_STEP: f64 = 0.5;
/// Maximum number of kinds with statistics of their own.
const MAX_KINDS: usize = 1024;

/// Weight of a new answer in the moving average of the answer size.
const SIZE_WEIGHT: f64 = 0.05;

/// Statistics of the requests of each kind.
#[derive(Debug, Default)]
pub struct RequestStats {
    kinds: HashMap<Box<str>, KindStats>,
}

#[derive(Debug, Clone, Copy)]
struct KindStats {
    /// Time on a target at nominal pace.
    nominal_time: Duration,
    samples: u32,
    /// Moving averages of the sizes of request and answer, in bytes.
    request_size: f64,
    answer_size: f64,
}

impl KindStats {
    fn observe(&mut self, nominal_time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let step = STEP + INITIAL_STEP / f64::from(self.samples);
        let factor = if nominal_time > self.nominal_time { step } else { 1.0 / step };
        self.nominal_time = self.nominal_time.mul_f64(factor);
    }
}

impl RequestStats {
    /// Records the service time of a request on a target with this pace. The pace
    /// is in percent, and 0 if unknown.
    pub fn observe(&mut self, kind: &str, service_time: Duration, pace: u16) {
        let sample = service_time.mul_f64(1.0 / pace_factor(pace));
        let has_room = self.kinds.len() < MAX_KINDS;
        match self.kinds.get_mut(kind) {
            Some(known) => known.observe(sample),
            None if has_room => {
                self.kinds.insert(
                    kind.into(),
                    KindStats {
                        nominal_time: sample,
                        samples: 1,
                        request_size: 0.0,
                        answer_size: 0.0,
                    },
                );
            }
            None => {}
        }
    }

    /// Records the size of an answer in bytes.
    pub fn observe_answer_size(&mut self, kind: &str, bytes: usize) {
        if let Some(known) = self.kinds.get_mut(kind) {
            known.answer_size = moving_average(known.answer_size, bytes);
        }
    }

    /// Records the size of a request in bytes.
    pub fn observe_request_size(&mut self, kind: &str, bytes: usize) {
        if let Some(known) = self.kinds.get_mut(kind) {
            known.request_size = moving_average(known.request_size, bytes);
        }
    }

    /// Returns the mean size of a request and its answer of a kind together in bytes, or 0 if
    /// none has been recorded.
    pub fn mean_size(&self, kind: &str) -> f64 {
        self.kinds.get(kind).map_or(0.0, |stats| stats.request_size + stats.answer_size)
    }

    /// Returns the time of a kind at nominal pace, or `None` if no request of the
    /// kind has been recorded.
    pub fn nominal_time(&self, kind: &str) -> Option<Duration> {
        self.kinds.get(kind).map(|stats| stats.nominal_time)
    }

    /// Returns the mean answer size of a kind in bytes, or 0 if none has been
    /// recorded.
    pub fn mean_answer_size(&self, kind: &str) -> f64 {
        self.kinds.get(kind).map_or(0.0, |stats| stats.answer_size)
    }
}

fn moving_average(mean: f64, bytes: usize) -> f64 {
    match mean {
        0.0 => bytes as f64,
        mean => mean + (bytes as f64 - mean) * SIZE_WEIGHT,
    }
}

/// Ratio of the target latency to the assumed nominal time of a kind without
/// samples. Operators set the target latency to about three times the nominal time.
const TARGET_LATENCY_FACTOR: u32 = 3;

/// Returns the assumed nominal time of a kind for which only the target latency is
/// known.
pub fn default_nominal_time(target_latency: Duration) -> Duration {
    target_latency / TARGET_LATENCY_FACTOR
}

/// Returns the factor by which a request takes longer at this pace than at nominal
/// pace. The pace is in percent; an unknown pace (0) counts as nominal.
pub fn pace_factor(pace: u16) -> f64 {
    match pace {
        0 => 1.0,
        pace => f64::from(pace) / f64::from(NOMINAL_PACE),
    }
}
