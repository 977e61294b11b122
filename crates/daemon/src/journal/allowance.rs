//! How many lines about requests may be written.

use std::time::Instant;

/// Lines about requests that are written in a second, and in a burst.
const LINES_PER_SECOND: f64 = 60.0;
const LINES_BURST: f64 = 240.0;
/// Part of the burst that is kept for results alone, a few for each request.
const RESERVED: f64 = 0.75;
/// Results of a request that are written from the reserve: what the guard here made
/// of it and what its caller was told.
const RESULTS: usize = 2;

/// The lines that may still be written.
#[derive(Debug)]
pub(super) struct Allowance {
    lines: f64,
    filled: Instant,
}

impl Allowance {
    pub(super) fn new(now: Instant) -> Self {
        Self { lines: LINES_BURST, filled: now }
    }

    /// Takes what the `count` lines of a request need. Returns the indices of those
    /// to be written: all, or the latest results if many requests go badly.
    pub(super) fn take(
        &mut self,
        now: Instant,
        count: usize,
        is_result: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let earned = (now - self.filled).as_secs_f64() * LINES_PER_SECOND;
        self.lines = (self.lines + earned).min(LINES_BURST);
        self.filled = now;
        let mut chosen: Vec<usize> = (0..count).collect();
        if self.lines < LINES_BURST * RESERVED + count as f64 {
            chosen.retain(|index| is_result(*index));
            let room = RESULTS.min(self.lines as usize);
            chosen.drain(..chosen.len().saturating_sub(room));
        }
        self.lines -= chosen.len() as f64;
        chosen
    }
}
