//! Shares of the requests of one path among its services.

use std::collections::HashMap;

use crate::Node;

/// Fractional part of the golden ratio. Its multiples fill the range from 0 up to 1
/// evenly after any number of draws (Weyl's sequence), so that even a few requests
/// are close to the shares, also right after the shares have changed.
const STEP: f64 = 0.618_033_988_749_894_9;
/// Most paths that are told apart.
const MAX_PATHS: usize = 4096;

/// Draws for each path.
#[derive(Debug, Default)]
pub struct Splits {
    /// Where the sequences begin.
    first: f64,
    drawn: HashMap<Box<str>, u64>,
}

impl Splits {
    /// Draws that differ from those of other seeds: the sequences of all entries
    /// together must not favour one service.
    pub fn with_seed(seed: Node) -> Self {
        Self { first: fastrand::Rng::with_seed(seed).f64(), drawn: HashMap::new() }
    }

    /// A number from 0 up to 1 for the next request of a path.
    pub fn draw(&mut self, path: &str) -> f64 {
        if self.drawn.len() >= MAX_PATHS && !self.drawn.contains_key(path) {
            // Paths that are gone must not be kept for ever.
            self.drawn.clear();
        }
        let drawn = match self.drawn.get_mut(path) {
            Some(drawn) => drawn,
            None => self.drawn.entry(path.into()).or_default(),
        };
        *drawn += 1;
        (self.first + *drawn as f64 * STEP).fract()
    }
}
