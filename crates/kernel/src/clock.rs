//! The clock that all tasks use for the time and for timers. It is the clock of
//! the async runtime, which tests can pause and advance.

use std::future::Future;
use std::time::{Duration, Instant};

/// A source of time and of timers.
#[derive(Debug, Clone, Copy)]
pub struct Clock(pub(crate) ());

/// Error of [`Clock::timeout`]: the time limit passed before the work completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expired;

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    /// Advances a paused clock and wakes the tasks whose timers have expired.
    ///
    /// # Panics
    ///
    /// Panics if the clock is not paused.
    pub async fn advance(&self, by: Duration) {
        tokio::time::advance(by).await;
    }

    /// Waits until `duration` has passed on this clock.
    pub async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }

    /// Runs `work` for at most `limit`. When the limit passes, `work` is dropped.
    pub async fn timeout<T>(
        &self,
        limit: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, Expired> {
        tokio::time::timeout(limit, work).await.map_err(|_| Expired)
    }
}
