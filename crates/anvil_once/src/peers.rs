//! The nodes that can own keys, as membership reports them.

use anvil_types::{ident, name, time};
use anvil_wire::key;
use serde::Serialize;

use crate::slots;

/// What membership says about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerHealth {
    /// It answers.
    Alive,
    /// It is stopping and hands over.
    Leaving,
    /// It is suspected or confirmed dead, or left; it may still run, unaware.
    Missing,
}

/// One known node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct KeyPeer {
    /// The node.
    pub node: ident::NodeId,
    /// Its availability zone.
    pub zone: name::ZoneName,
    /// What membership says.
    pub health: PeerHealth,
    /// Since when.
    pub since: time::NodeTime,
}

/// All known nodes but this one, sorted by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PeerTable {
    peers: Vec<KeyPeer>,
}

impl PeerTable {
    /// Takes in what membership says; returns whether anything changed.
    pub fn update(&mut self, peer: KeyPeer) -> bool {
        match self.place(peer.node) {
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

    /// Forgets the nodes that have been missing for `span`; owners among them stay missing.
    pub fn forget(&mut self, now: time::NodeTime, span: std::time::Duration) {
        let keep =
            |peer: &KeyPeer| peer.health != PeerHealth::Missing || now.since(peer.since) < span;
        self.peers.retain(keep);
    }

    /// What is known about `node`.
    pub fn get(&self, node: ident::NodeId) -> Option<&KeyPeer> {
        self.place(node).ok().map(|at| &self.peers[at])
    }

    /// The nodes, sorted by identity.
    pub fn list(&self) -> &[KeyPeer] {
        &self.peers
    }

    /// The live node preferred for `slot`, other than the `taken` ones.
    ///
    /// A node of another zone than `zone` goes before one of the same zone, so that the loss of a
    /// zone never takes both owners while there is a choice.
    pub fn choose(
        &self,
        slot: key::SlotId,
        zone: &name::ZoneName,
        taken: &[ident::NodeId],
    ) -> Option<ident::NodeId> {
        let usable =
            |peer: &&KeyPeer| peer.health == PeerHealth::Alive && !taken.contains(&peer.node);
        let rank = |peer: &&KeyPeer| (peer.zone != *zone, slots::node_weight(slot, peer.node));
        let best = self.peers.iter().filter(usable).max_by_key(rank);
        best.map(|peer| peer.node)
    }

    fn place(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&node, |peer| peer.node)
    }
}
