//! Statements that every member has to hear once, whoever made them.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Most statements that are remembered, told or not. One that is forgotten counts as
/// new when it is heard again, so that there must be room for all that are on their
/// way: those of 40 targets that crash together with all slots in use, eight times over.
const MAX_REMEMBERED: usize = 4096;

/// Statements heard, and how often each is still to be told.
#[derive(Debug)]
pub struct Rumours<T> {
    left: HashMap<T, u32>,
    /// In the order in which they were heard.
    order: VecDeque<T>,
    /// Those that are still to be told, the newest last.
    untold: VecDeque<T>,
    times: u32,
}

impl<T: Copy + Eq + Hash> Rumours<T> {
    /// None yet; each is told `times` times.
    pub fn new(times: u32) -> Self {
        Self { left: HashMap::new(), order: VecDeque::new(), untold: VecDeque::new(), times }
    }

    /// Takes in statements and gives those that were not known.
    pub fn hear(&mut self, statements: impl IntoIterator<Item = T>) -> Vec<T> {
        let mut new = Vec::new();
        for statement in statements {
            if self.left.contains_key(&statement) {
                continue;
            }
            self.left.insert(statement, self.times);
            self.order.push_back(statement);
            self.untold.push_back(statement);
            new.push(statement);
        }
        while self.order.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.left.remove(&oldest);
            }
        }
        new
    }

    /// Whether something is still to be told.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// At most `count` statements for one message. Each has its turn before one is told
    /// again.
    pub fn take(&mut self, count: usize) -> Vec<T> {
        let mut taken = Vec::new();
        for _ in 0..self.untold.len() {
            if taken.len() == count {
                break;
            }
            let Some(statement) = self.untold.pop_front() else {
                break;
            };
            // One that has been forgotten is not told any more.
            let Some(left) = self.left.get_mut(&statement).filter(|left| **left > 0) else {
                continue;
            };
            *left -= 1;
            if *left > 0 {
                self.untold.push_back(statement);
            }
            taken.push(statement);
        }
        taken
    }
}
