//! What a host has accrued and not transferred to its coordinator yet.

use std::time::{Duration, Instant};

/// Interval at which a host transfers its accrual to its coordinator.
pub const TRANSFER_INTERVAL: Duration = Duration::from_millis(250);
/// Time whose accrual a host keeps at most. A host that was frozen or cut off adds no more than
/// this when it returns.
pub const MAX_ACCRUAL: Duration = Duration::from_millis(500);

/// Accrued time multiplied by the host's share of the fleet. One number counts for the quotas of
/// all organisations.
#[derive(Debug, Clone)]
pub struct Accrual {
    updated: Instant,
    seconds: f64,
}

impl Accrual {
    /// Starts with nothing.
    pub fn new(now: Instant) -> Self {
        Self { updated: now, seconds: 0.0 }
    }

    /// Accrues until `now` as one of `hosts` hosts. While the number of hosts is unknown, the time
    /// is kept for later, up to [`MAX_ACCRUAL`].
    pub fn advance(&mut self, now: Instant, hosts: Option<u32>) {
        let Some(hosts) = hosts else {
            return;
        };
        let elapsed = now.saturating_duration_since(self.updated).min(MAX_ACCRUAL);
        self.updated = now;
        let share = 1.0 / f64::from(hosts.max(1));
        let most = MAX_ACCRUAL.as_secs_f64() * share;
        self.seconds = (self.seconds + elapsed.as_secs_f64() * share).min(most);
    }

    /// Accrues until `now` and removes what has accrued, in seconds.
    pub fn take(&mut self, now: Instant, hosts: Option<u32>) -> f64 {
        self.advance(now, hosts);
        std::mem::take(&mut self.seconds)
    }
}
