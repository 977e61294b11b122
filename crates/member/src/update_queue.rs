//! Queue of member updates that are still to be gossiped.

use std::collections::{BTreeSet, HashMap};

use crate::Node;

/// Number of times that an update is sent for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Maximum number of updates in one datagram.
pub(crate) const MAX_UPDATES: usize = 10;

/// Nodes with a recently changed state, and how often each is still to be sent.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    remaining: HashMap<Node, u32>,
    /// The same entries, ordered by the remaining number of sends.
    order: BTreeSet<(u32, Node)>,
}

impl UpdateQueue {
    /// Queues the state of `node` in a list of `members` members. A node that is queued
    /// already starts again with the full number of sends.
    pub(crate) fn add(&mut self, node: Node, members: usize) {
        let doublings = (members + 1).ilog2() + 1;
        self.set_remaining(node, SENDS_PER_DOUBLING * doublings);
    }

    /// Returns the nodes for one datagram and counts them as sent once more. Nodes with the
    /// most remaining sends come first.
    pub(crate) fn take(&mut self) -> Vec<Node> {
        let taken: Vec<(u32, Node)> = self.order.iter().rev().take(MAX_UPDATES).copied().collect();
        for (remaining, node) in &taken {
            self.set_remaining(*node, remaining - 1);
        }
        taken.into_iter().map(|(_, node)| node).collect()
    }

    /// Returns the number of queued nodes.
    pub(crate) fn len(&self) -> usize {
        self.remaining.len()
    }

    /// Sets the remaining number of sends of `node`, and removes the node at 0.
    fn set_remaining(&mut self, node: Node, remaining: u32) {
        if let Some(previous) = self.remaining.remove(&node) {
            self.order.remove(&(previous, node));
        }
        if remaining > 0 {
            self.remaining.insert(node, remaining);
            self.order.insert((remaining, node));
        }
    }
}
