//! The circuit breaker of one platform client.

use std::time::{Duration, Instant};

/// Failures in a row that open the circuit.
const OPEN_AFTER: u32 = 3;
/// First and longest time for which it stays open.
const OPEN_MIN: Duration = Duration::from_millis(200);
const OPEN_MAX: Duration = Duration::from_secs(5);

/// Stops calls to a platform that does not answer, and lets one through now
/// and then.
#[derive(Debug, Default)]
pub struct Circuit {
    failures: u32,
    open_until: Option<Instant>,
}

impl Circuit {
    /// Whether a call may be made now. One call is let through when the time
    /// is over; the others wait for its result.
    pub fn allows(&mut self, now: Instant) -> bool {
        match self.open_until {
            None => true,
            Some(until) if now < until => false,
            Some(_) => {
                self.open_until = Some(now + self.wait());
                true
            }
        }
    }

    /// Whether the platform is taken to be down.
    pub fn is_open(&self) -> bool {
        self.open_until.is_some()
    }

    /// Notes an answer of the platform.
    pub fn observe_answer(&mut self) {
        *self = Self::default();
    }

    /// Notes a call without an answer. `jitter` from 0 to 1 keeps the
    /// processes of a fleet apart.
    pub fn observe_failure(&mut self, now: Instant, jitter: f64) {
        self.failures += 1;
        if self.failures >= OPEN_AFTER {
            self.open_until = Some(now + self.wait().mul_f64(0.5 + jitter));
        }
    }

    fn wait(&self) -> Duration {
        let doublings = self.failures.saturating_sub(OPEN_AFTER).min(8);
        OPEN_MIN.saturating_mul(1 << doublings).min(OPEN_MAX)
    }
}
