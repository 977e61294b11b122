//! Gossip queue for items that every member has to receive once, from any sender.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Maximum number of items that are remembered, whether or not they are still to be sent.
/// An item that has been evicted counts as new when it arrives again, and would be gossiped
/// for ever. There must therefore be room for all items in circulation: the limit is eight
/// times the number of crash notices of 40 targets that crash together with all slots in use.
const MAX_REMEMBERED: usize = 4096;

/// Items received or created here, and how often each is still to be sent.
#[derive(Debug)]
pub struct GossipQueue<T> {
    remaining: HashMap<T, u32>,
    /// All remembered items, the oldest first.
    order: VecDeque<T>,
    /// Items that are still to be sent. Each one moves to the end after it has been sent.
    pending: VecDeque<T>,
    sends: u32,
}

impl<T: Copy + Eq + Hash> GossipQueue<T> {
    /// Creates an empty queue that sends each item `sends` times.
    pub fn new(sends: u32) -> Self {
        Self { remaining: HashMap::new(), order: VecDeque::new(), pending: VecDeque::new(), sends }
    }

    /// Queues the items that are not remembered yet, and returns them.
    pub fn insert_new(&mut self, items: impl IntoIterator<Item = T>) -> Vec<T> {
        let mut new = Vec::new();
        for item in items {
            if self.remaining.contains_key(&item) {
                continue;
            }
            self.remaining.insert(item, self.sends);
            self.order.push_back(item);
            self.pending.push_back(item);
            new.push(item);
        }
        while self.order.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.remaining.remove(&oldest);
            }
        }
        new
    }

    /// Whether some items are still to be sent.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns at most `count` items for one message and counts them as sent once more. No
    /// item is sent again before all other pending items have had their turn.
    pub fn take(&mut self, count: usize) -> Vec<T> {
        let mut taken = Vec::new();
        for _ in 0..self.pending.len() {
            if taken.len() == count {
                break;
            }
            let Some(item) = self.pending.pop_front() else {
                break;
            };
            // Items that have been evicted are not sent any more.
            let Some(remaining) = self.remaining.get_mut(&item).filter(|remaining| **remaining > 0)
            else {
                continue;
            };
            *remaining -= 1;
            if *remaining > 0 {
                self.pending.push_back(item);
            }
            taken.push(item);
        }
        taken
    }
}
