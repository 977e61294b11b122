//! Distribution of the requests of one path among its services by weight.

use std::collections::HashMap;

use crate::Node;

/// Fractional part of the golden ratio. Its multiples modulo 1 fill the range [0, 1)
/// evenly after any number of draws (a Weyl sequence), so that even a few requests
/// are close to the weights, including right after the weights have changed.
const STEP: f64 = 0.618_033_988_749_894_9;
/// Maximum number of paths with a sequence of their own.
const MAX_PATHS: usize = 4096;

/// One low-discrepancy sequence of numbers for each path.
#[derive(Debug, Default)]
pub struct TrafficSplits {
    /// Start of all sequences.
    offset: f64,
    draws: HashMap<Box<str>, u64>,
}

impl TrafficSplits {
    /// Creates sequences that start at a point derived from `seed`. Entries use
    /// different seeds, so that their sequences together do not favour one service.
    pub fn with_seed(seed: Node) -> Self {
        Self { offset: fastrand::Rng::with_seed(seed).f64(), draws: HashMap::new() }
    }

    /// Returns a number in [0, 1) for the next request of a path.
    pub fn draw(&mut self, path: &str) -> f64 {
        if self.draws.len() >= MAX_PATHS && !self.draws.contains_key(path) {
            // Drops the entries of paths that no longer exist, so that the map does
            // not grow without limit.
            self.draws.clear();
        }
        let draws = match self.draws.get_mut(path) {
            Some(draws) => draws,
            None => self.draws.entry(path.into()).or_default(),
        };
        *draws += 1;
        (self.offset + *draws as f64 * STEP).fract()
    }
}
