//! Nodes that have recently sent requests to this node.

use std::collections::VecDeque;
use std::time::Instant;

use crate::Node;

/// Maximum number of nodes that are remembered.
const MAX_REQUESTERS: usize = 64;

/// Nodes that have sent requests to this node, the most recent first.
#[derive(Debug, Default)]
pub struct RecentRequesters {
    nodes: VecDeque<(Node, Option<Instant>)>,
}

impl RecentRequesters {
    /// Records that a request from `node` has arrived at an unknown time.
    pub fn record(&mut self, node: Node) {
        self.insert(node, None);
    }

    /// Records that a request from `node` has arrived now.
    pub fn record_at(&mut self, now: Instant, node: Node) {
        self.insert(node, Some(now));
    }

    /// Returns the nodes, the most recent first.
    pub fn latest(&self) -> impl Iterator<Item = Node> + '_ {
        self.nodes.iter().map(|(node, _)| *node)
    }

    /// Returns the nodes that have sent a request after `earliest`, the most recent first.
    pub fn since(&self, earliest: Instant) -> impl Iterator<Item = Node> + '_ {
        let recent = self.nodes.iter().filter(move |(_, at)| at.is_some_and(|at| at > earliest));
        recent.map(|(node, _)| *node)
    }

    fn insert(&mut self, node: Node, at: Option<Instant>) {
        match self.nodes.iter().position(|(known, _)| *known == node) {
            Some(position) => drop(self.nodes.remove(position)),
            None => self.nodes.truncate(MAX_REQUESTERS - 1),
        }
        self.nodes.push_front((node, at));
    }
}
