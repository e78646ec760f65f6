//! A set of nodes whose entries expire.

use std::time::Duration;

use anvil_types::{ident, time};

/// A few nodes, each with the time until which it is in the set.
#[derive(Clone, Debug, Default)]
pub struct ExpiringNodes {
    nodes: Vec<(ident::NodeId, time::NodeTime)>,
}

impl ExpiringNodes {
    /// Adds a node for `span`, from now on.
    pub fn insert(&mut self, now: time::NodeTime, node: ident::NodeId, span: Duration) {
        self.remove(node);
        self.nodes.push((node, now + span));
    }

    /// Removes a node.
    pub fn remove(&mut self, node: ident::NodeId) {
        self.nodes.retain(|(known, _)| *known != node);
    }

    /// Whether the set contains a node.
    pub fn contains(&self, now: time::NodeTime, node: ident::NodeId) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.any(|(known, until)| *known == node && now < *until)
    }

    /// Removes expired entries.
    pub fn remove_expired(&mut self, now: time::NodeTime) {
        self.nodes.retain(|(_, until)| now < *until);
    }

    /// Whether the set has no entries; expired entries count until they are removed.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}
