//! Service times of a stand-in target.

use std::time::{Duration, Instant};

/// Constant share of a service time; the rest is exponential. The small random share makes
/// visible the waiting that results from the choice of targets.
const FIXED_PART: f64 = 0.9;
/// Slowdown caused by a noisy neighbour.
const NOISY_FACTOR: f64 = 6.0;
/// Mean durations of a neighbour's quiet and noisy periods.
const QUIET_FOR: Duration = Duration::from_millis(40);
const NOISY_FOR: Duration = Duration::from_millis(15);
/// Slowdown of a cold target at its first request.
const COLD_FACTOR: f64 = 10.0;

/// A seeded sequence of service times.
#[derive(Debug)]
pub struct ServiceTime {
    mean: Duration,
    random: fastrand::Rng,
    /// Factor by which service times are multiplied, as for a straggler.
    pub factor: f64,
    /// Whether a noisy neighbour slows the target down.
    pub is_noisy: bool,
    /// Number of requests until the target is warm.
    pub cold_requests: u32,
    cold_left: u32,
    noise_factor: f64,
    noise_until: Instant,
}

impl ServiceTime {
    /// Returns a sequence of service times with this mean.
    pub fn new(mean: Duration, seed: u64) -> Self {
        Self {
            mean,
            random: fastrand::Rng::with_seed(seed),
            factor: 1.0,
            is_noisy: false,
            cold_requests: 0,
            cold_left: 0,
            noise_factor: 1.0,
            noise_until: Instant::now(),
        }
    }

    /// Makes the target cold for the next `requests` requests.
    pub fn make_cold(&mut self, requests: u32) {
        self.cold_requests = requests;
        self.cold_left = requests;
    }

    /// Returns the service time of the next request.
    #[expect(clippy::should_implement_trait, reason = "it never ends")]
    pub fn next(&mut self) -> Duration {
        let exponential = -(1.0 - self.random.f64()).ln();
        let share = FIXED_PART + (1.0 - FIXED_PART) * exponential;
        self.mean.mul_f64(share * self.factor * self.cold_factor())
    }

    fn cold_factor(&mut self) -> f64 {
        if self.cold_left == 0 {
            return 1.0;
        }
        let part = f64::from(self.cold_left) / f64::from(self.cold_requests);
        self.cold_left -= 1;
        1.0 + (COLD_FACTOR - 1.0) * part
    }

    /// Returns the current slowdown relative to the nominal pace. A noisy neighbour slows
    /// down all requests that run at that time.
    pub fn slowdown(&mut self) -> f64 {
        if !self.is_noisy {
            return 1.0;
        }
        let now = Instant::now();
        while now >= self.noise_until {
            let was_quiet = self.noise_factor == 1.0;
            self.noise_factor = if was_quiet { NOISY_FACTOR } else { 1.0 };
            let mean = if was_quiet { NOISY_FOR } else { QUIET_FOR };
            let exponential = -(1.0 - self.random.f64()).ln();
            self.noise_until += mean.mul_f64(exponential);
        }
        self.noise_factor
    }
}
