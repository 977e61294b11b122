//! Rate limit of the log lines about requests.

use std::time::Instant;

/// Maximum number of log lines per second, and in a burst.
const LINES_PER_SECOND: f64 = 60.0;
const LINES_BURST: f64 = 240.0;
/// Fraction of the burst that is reserved for results, of which each request gets a few
/// lines.
const RESERVED_SHARE: f64 = 0.75;
/// Maximum number of results of one request that are written from the reserve: the result at
/// this daemon's guard and the answer to the caller.
const MAX_RESERVED_RESULTS: usize = 2;

/// Token bucket in which each log line costs one token.
#[derive(Debug)]
pub(super) struct LineRateLimit {
    tokens: f64,
    refilled_at: Instant,
}

impl LineRateLimit {
    pub(super) fn new(now: Instant) -> Self {
        Self { tokens: LINES_BURST, refilled_at: now }
    }

    /// Selects which of the `count` lines of a request are written, and withdraws a token for
    /// each. Returns the indices of all lines, or of only the latest results if the unreserved
    /// tokens do not suffice.
    pub(super) fn select(
        &mut self,
        now: Instant,
        count: usize,
        is_result: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let refill = (now - self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + refill).min(LINES_BURST);
        self.refilled_at = now;
        let mut chosen: Vec<usize> = (0..count).collect();
        if self.tokens < LINES_BURST * RESERVED_SHARE + count as f64 {
            chosen.retain(|index| is_result(*index));
            let room = MAX_RESERVED_RESULTS.min(self.tokens as usize);
            chosen.drain(..chosen.len().saturating_sub(room));
        }
        self.tokens -= chosen.len() as f64;
        chosen
    }
}
