//! Adaptive limit on the number of requests that run at a time.

use std::time::{Duration, Instant};

/// Weight of a new service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Time without shedding after which the limit grows by one slot.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a cold target gets one more slot, even if it has answered nothing:
/// all of its slots may be held by requests that wait for further calls of their own.
pub const WARM_UP_STEP: Duration = Duration::from_millis(50);
/// A cold target first gets its advertised slots divided by this number.
const COLD_SLOTS_DIVISOR: u16 = 4;

/// The current limit, and the average service time.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    advertised: u16,
    current: u16,
    service_time: Duration,
    is_cold: bool,
    last_change: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that has just started.
    pub(crate) fn new(advertised: u16) -> Self {
        let advertised = advertised.max(1);
        Self {
            advertised,
            current: (advertised / COLD_SLOTS_DIVISOR).max(1),
            service_time: Duration::ZERO,
            is_cold: true,
            last_change: None,
        }
    }

    /// Gives a cold target one more slot if [`WARM_UP_STEP`] has passed.
    pub(crate) fn warm_up(&mut self, now: Instant) {
        let since = *self.last_change.get_or_insert(now);
        if !self.is_cold || now.duration_since(since) < WARM_UP_STEP {
            return;
        }
        self.last_change = Some(now);
        self.current = (self.current + 1).min(self.advertised);
        self.is_cold = self.current < self.advertised;
    }

    /// Makes all advertised slots available immediately.
    pub(crate) fn skip_warm_up(&mut self) {
        self.current = self.advertised;
        self.is_cold = false;
    }

    pub(crate) fn current(&self) -> u16 {
        self.current
    }

    pub(crate) fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Lowers the limit to that of a cold target. Keeps the average service time.
    pub(crate) fn restart_warm_up(&mut self) {
        *self = Self { service_time: self.service_time, ..Self::new(self.advertised) };
    }

    pub(crate) fn observe_answer(&mut self, now: Instant, service_time: Duration) {
        self.service_time = if self.service_time.is_zero() {
            service_time
        } else {
            self.service_time.mul_f64(1.0 - SERVICE_TIME_WEIGHT)
                + service_time.mul_f64(SERVICE_TIME_WEIGHT)
        };
        if self.current < self.advertised && self.may_grow(now) {
            self.current += 1;
            self.last_change = Some(now);
        }
        if self.current == self.advertised {
            self.is_cold = false;
        }
    }

    /// Lowers the limit after the target shed a request while `in_flight` others ran:
    /// it currently has fewer slots than it advertises.
    pub(crate) fn observe_shed(&mut self, now: Instant, in_flight: usize) {
        let sustained = u16::try_from(in_flight).unwrap_or(u16::MAX);
        self.current = self.current.min(sustained).max(1);
        self.is_cold = false;
        self.last_change = Some(now);
    }

    fn may_grow(&self, now: Instant) -> bool {
        let has_recovered = |changed: Instant| now.duration_since(changed) >= RECOVERY_INTERVAL;
        self.is_cold || self.last_change.is_none_or(has_recovered)
    }
}
