//! Nodes of which something holds for a while.

use std::time::Duration;

use anvil_types::{ident, time};

/// A few nodes, each with the time until which it is marked.
#[derive(Clone, Debug, Default)]
pub struct ExpiringNodes {
    marked: Vec<(ident::NodeId, time::NodeTime)>,
}

impl ExpiringNodes {
    /// Marks a node for `span`, from now on.
    pub fn insert(&mut self, now: time::NodeTime, node: ident::NodeId, span: Duration) {
        self.remove(node);
        self.marked.push((node, now + span));
    }

    /// Takes the mark off.
    pub fn remove(&mut self, node: ident::NodeId) {
        self.marked.retain(|(marked, _)| *marked != node);
    }

    /// Whether a node is marked.
    pub fn contains(&self, now: time::NodeTime, node: ident::NodeId) -> bool {
        let mut marked = self.marked.iter();
        marked.any(|(marked, until)| *marked == node && now < *until)
    }

    /// Drops the marks whose time is over.
    pub fn remove_expired(&mut self, now: time::NodeTime) {
        self.marked.retain(|(_, until)| now < *until);
    }

    /// Whether no mark stands, those included whose time is over and that were not dropped yet.
    pub fn is_empty(&self) -> bool {
        self.marked.is_empty()
    }
}
