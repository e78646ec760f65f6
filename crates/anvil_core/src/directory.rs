//! Where the targets of each service are.

use std::net::SocketAddr;

use anvil_types::{ident, name, sorted};

/// One node whose target offers a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// Where the node accepts connections.
    pub address: SocketAddr,
    /// The service of its target.
    pub service: name::ServiceName,
    /// Whether the node or its target is leaving.
    pub leaving: bool,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceError {
    /// Nobody ever announced the service.
    Unknown,
    /// Every target of the service is gone, leaving or excluded.
    Nobody,
}

/// All known targets, chosen from in turn.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    peers: sorted::SortedTable<ident::NodeId, PeerRecord>,
    turn: usize,
}

impl PeerDirectory {
    /// Learns or renews a node.
    pub fn upsert(&mut self, node: ident::NodeId, record: PeerRecord) {
        self.peers.insert(node, record);
    }

    /// Forgets a node.
    pub fn remove(&mut self, node: ident::NodeId) {
        self.peers.remove(node);
    }

    /// All known nodes.
    pub fn iter(&self) -> std::slice::Iter<'_, (ident::NodeId, PeerRecord)> {
        self.peers.iter()
    }

    /// Chooses a node for `service` outside of `tried`, or again from all where none is left.
    pub fn choose(
        &mut self,
        service: &name::ServiceName,
        tried: &[ident::NodeId],
    ) -> Result<(ident::NodeId, SocketAddr), ChoiceError> {
        let all: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, record)| record.service == *service)
            .collect();
        if all.is_empty() {
            return Err(ChoiceError::Unknown);
        }
        let mut fit: Vec<_> = all
            .iter()
            .filter(|(node, record)| !record.leaving && !tried.contains(node))
            .collect();
        if fit.is_empty() {
            fit = all.iter().filter(|(_, record)| !record.leaving).collect();
        }
        if fit.is_empty() {
            return Err(ChoiceError::Nobody);
        }
        self.turn = self.turn.wrapping_add(1);
        let (node, record) = fit[self.turn % fit.len()];
        Ok((*node, record.address))
    }
}
