//! The nodes that can own slots, as membership reports them.

use anvil_types::{ident, name, time};
use anvil_wire::key;
use serde::Serialize;

use crate::slots;

/// What membership reports about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerHealth {
    /// It is alive.
    Alive,
    /// It is stopping and hands over its slots.
    Leaving,
    /// It is suspected, confirmed dead or has left. It may still be running without knowing this.
    Missing,
}

/// One known node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct KeyPeer {
    /// The node.
    pub node: ident::NodeId,
    /// Its availability zone.
    pub zone: name::ZoneName,
    /// What membership reports.
    pub health: PeerHealth,
    /// When this was first reported.
    pub since: time::NodeTime,
}

/// All known nodes but this one, sorted by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PeerTable {
    peers: Vec<KeyPeer>,
}

impl PeerTable {
    /// Applies a report of membership; returns whether the health of the node changed.
    pub fn update(&mut self, peer: KeyPeer) -> bool {
        match self.position(peer.node) {
            Ok(at) if self.peers[at].health == peer.health => false,
            Ok(at) => {
                self.peers[at] = peer;
                true
            }
            Err(at) => {
                self.peers.insert(at, peer);
                true
            }
        }
    }

    /// Removes the nodes that have been missing for `span`.
    ///
    /// An owner among them still counts as missing, since an unknown owner does too.
    pub fn remove_missing(&mut self, now: time::NodeTime, span: std::time::Duration) {
        let retained =
            |peer: &KeyPeer| peer.health != PeerHealth::Missing || now.since(peer.since) < span;
        self.peers.retain(retained);
    }

    /// The last report about `node`.
    pub fn get(&self, node: ident::NodeId) -> Option<&KeyPeer> {
        self.position(node).ok().map(|at| &self.peers[at])
    }

    /// The nodes, sorted by identity.
    pub fn list(&self) -> &[KeyPeer] {
        &self.peers
    }

    /// The preferred live node for `slot`, except those in `excluded`.
    ///
    /// Nodes outside `zone` are preferred, so that the loss of an availability zone never takes
    /// both owners if that can be avoided.
    pub fn choose(
        &self,
        slot: key::SlotId,
        zone: &name::ZoneName,
        excluded: &[ident::NodeId],
    ) -> Option<ident::NodeId> {
        let usable =
            |peer: &&KeyPeer| peer.health == PeerHealth::Alive && !excluded.contains(&peer.node);
        let rank = |peer: &&KeyPeer| (peer.zone != *zone, slots::node_weight(slot, peer.node));
        let best = self.peers.iter().filter(usable).max_by_key(rank);
        best.map(|peer| peer.node)
    }

    fn position(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&node, |peer| peer.node)
    }
}
