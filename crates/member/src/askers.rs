//! Which nodes have lately asked something of this one.

use std::collections::VecDeque;

use crate::Node;

/// Most nodes that are remembered.
const MAX_ASKERS: usize = 64;

/// The nodes whose requests came here, the latest first.
#[derive(Debug, Default)]
pub struct Askers {
    nodes: VecDeque<Node>,
}

impl Askers {
    /// Takes in that a request of a node has come.
    pub fn note(&mut self, node: Node) {
        if self.nodes.front() == Some(&node) {
            return;
        }
        match self.nodes.iter().position(|known| *known == node) {
            Some(place) => drop(self.nodes.remove(place)),
            None => self.nodes.truncate(MAX_ASKERS - 1),
        }
        self.nodes.push_front(node);
    }

    /// The nodes, the latest first.
    pub fn latest(&self) -> impl Iterator<Item = Node> + '_ {
        self.nodes.iter().copied()
    }
}
