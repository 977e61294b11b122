//! Nodes that have recently sent requests to this node.

use std::collections::VecDeque;

use crate::Node;

/// Maximum number of nodes that are remembered.
const MAX_REQUESTERS: usize = 64;

/// Nodes that have sent requests to this node, the most recent first.
#[derive(Debug, Default)]
pub struct RecentRequesters {
    nodes: VecDeque<Node>,
}

impl RecentRequesters {
    /// Records that a request from `node` has arrived.
    pub fn record(&mut self, node: Node) {
        if self.nodes.front() == Some(&node) {
            return;
        }
        match self.nodes.iter().position(|known| *known == node) {
            Some(position) => drop(self.nodes.remove(position)),
            None => self.nodes.truncate(MAX_REQUESTERS - 1),
        }
        self.nodes.push_front(node);
    }

    /// Returns the nodes, the most recent first.
    pub fn latest(&self) -> impl Iterator<Item = Node> + '_ {
        self.nodes.iter().copied()
    }
}
