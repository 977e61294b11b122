//! How many requests run at a time.

use std::time::{Duration, Instant};

/// Weight of a new service time in the moving average.
const SERVICE_WEIGHT: f64 = 0.1;
/// Time without shedding after which one more slot is tried.
const RECOVER_AFTER: Duration = Duration::from_millis(500);
/// Time after which a target that starts gets one more slot, answers or not:
/// requests that wait for further calls of their own may hold all it has.
pub const WARM_STEP: Duration = Duration::from_millis(50);
/// A target that starts gets this part of its slots first.
const COLD_PART: u16 = 4;

/// The number of requests that run at a time, and how long one takes.
#[derive(Debug)]
pub(crate) struct Limit {
    stated: u16,
    current: u16,
    service: Duration,
    is_cold: bool,
    changed: Option<Instant>,
}

impl Limit {
    /// The limit of a target that has just started.
    pub(crate) fn new(stated: u16) -> Self {
        let stated = stated.max(1);
        Self {
            stated,
            current: (stated / COLD_PART).max(1),
            service: Duration::ZERO,
            is_cold: true,
            changed: None,
        }
    }

    /// Lets a target that has just started have more slots with time.
    pub(crate) fn warm_up(&mut self, now: Instant) {
        let since = *self.changed.get_or_insert(now);
        if !self.is_cold || now.duration_since(since) < WARM_STEP {
            return;
        }
        self.changed = Some(now);
        self.current = (self.current + 1).min(self.stated);
        self.is_cold = self.current < self.stated;
    }

    /// Gives all slots at once.
    pub(crate) fn open(&mut self) {
        self.current = self.stated;
        self.is_cold = false;
    }

    pub(crate) fn current(&self) -> u16 {
        self.current
    }

    pub(crate) fn service(&self) -> Duration {
        self.service
    }

    /// A target that starts anew gets few requests until it has answered some.
    pub(crate) fn restart(&mut self) {
        *self = Self { service: self.service, ..Self::new(self.stated) };
    }

    pub(crate) fn observe_answer(&mut self, now: Instant, service: Duration) {
        self.service = if self.service.is_zero() {
            service
        } else {
            self.service.mul_f64(1.0 - SERVICE_WEIGHT) + service.mul_f64(SERVICE_WEIGHT)
        };
        if self.current < self.stated && self.may_grow(now) {
            self.current += 1;
            self.changed = Some(now);
        }
        if self.current == self.stated {
            self.is_cold = false;
        }
    }

    /// The target refused a request while `in_flight` others ran: it has
    /// fewer slots than stated, at least for now.
    pub(crate) fn observe_shed(&mut self, now: Instant, in_flight: usize) {
        let carried = u16::try_from(in_flight).unwrap_or(u16::MAX);
        self.current = self.current.min(carried).max(1);
        self.is_cold = false;
        self.changed = Some(now);
    }

    fn may_grow(&self, now: Instant) -> bool {
        let is_settled = |changed: Instant| now.duration_since(changed) >= RECOVER_AFTER;
        self.is_cold || self.changed.is_none_or(is_settled)
    }
}
