//! Which node is the home of an account.
//!
//! Nodes and accounts are points on one ring of numbers; an account's home is the node behind it. A
//! node that joins or ends moves only the accounts between it and the node in front, and no agreement
//! is needed: nodes that know the same members name the same home.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, time};
use xxhash_rust::xxh3;

/// How long a crashed member counts for the share of the quota that the other side of a cut may use.
const LOST_KEPT: Duration = Duration::from_secs(60);

/// How long a node that another one named is kept without a word of membership.
const HINT_KEPT: Duration = Duration::from_secs(10);

/// How long after a loss further ones are expected: a cut shows member by member.
const SHRINKING: Duration = Duration::from_secs(5);

/// A node on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingNode {
    point: u64,
    /// Its identity.
    pub node: ident::NodeId,
    /// Where it accepts datagrams.
    pub address: SocketAddr,
    /// When another node named it, as long as membership has not.
    hinted: Option<time::NodeTime>,
}

impl RingNode {
    fn new(node: ident::NodeId, address: SocketAddr, hinted: Option<time::NodeTime>) -> Self {
        Self {
            point: point_of(node),
            node,
            address,
            hinted,
        }
    }

    fn key(&self) -> (u64, ident::NodeId) {
        (self.point, self.node)
    }
}

fn point_of(node: ident::NodeId) -> u64 {
    xxh3::xxh3_64(&node.0.to_le_bytes())
}

/// A member that ended without a word, and may live on where this node can't see it.
#[derive(Clone, Copy, Debug)]
struct LostNode {
    address: SocketAddr,
    since: time::NodeTime,
}

/// The members that may be homes.
#[derive(Clone, Debug, Default)]
pub struct QuotaRing {
    /// Sorted by point.
    nodes: Vec<RingNode>,
    /// Sorted by address.
    lost: Vec<LostNode>,
}

impl QuotaRing {
    /// Takes in a member, new or at another address.
    pub fn insert(&mut self, node: ident::NodeId, address: SocketAddr) {
        let added = RingNode::new(node, address, None);
        match self.place(added.key()) {
            Ok(place) => self.nodes[place] = added,
            Err(place) => self.nodes.insert(place, added),
        }
        self.lost.retain(|lost| lost.address != address);
    }

    /// Takes in a node that another one named; false where it is known.
    pub fn insert_hinted(
        &mut self,
        now: time::NodeTime,
        node: ident::NodeId,
        address: SocketAddr,
    ) -> bool {
        let added = RingNode::new(node, address, Some(now));
        match self.place(added.key()) {
            Ok(_) => false,
            Err(place) => {
                self.nodes.insert(place, added);
                true
            }
        }
    }

    /// Drops a member that left by its own word.
    pub fn remove(&mut self, node: ident::NodeId) -> Option<RingNode> {
        let place = self.place((point_of(node), node)).ok()?;
        Some(self.nodes.remove(place))
    }

    /// Drops a member that ended without a word.
    pub fn remove_crashed(&mut self, now: time::NodeTime, node: ident::NodeId) {
        let Some(gone) = self.remove(node) else {
            return;
        };
        // Its successor at the same address may be known before its end is.
        if self.nodes.iter().any(|known| known.address == gone.address) {
            return;
        }
        let lost = LostNode {
            address: gone.address,
            since: now,
        };
        match self.lost_place(gone.address) {
            Ok(place) => self.lost[place] = lost,
            Err(place) => self.lost.insert(place, lost),
        }
    }

    /// Forgets members that were lost long ago, unless most are: then this node is on the small side
    /// of a cut, and what it forgot would let both sides use the whole quota.
    ///
    /// A node that was named and that membership doesn't know of later has ended, most likely.
    pub fn remove_expired(&mut self, now: time::NodeTime) {
        let stale = |known: &RingNode| known.hinted.is_some_and(|at| now.since(at) >= HINT_KEPT);
        self.nodes.retain(|known| !stale(known));
        if self.lost.len() < self.nodes.len() {
            self.lost.retain(|lost| now.since(lost.since) < LOST_KEPT);
        }
    }

    /// The nodes behind an account's point, the home first.
    pub fn homes(&self, account: account::AccountId) -> impl Iterator<Item = &RingNode> {
        let start = self.nodes.partition_point(|known| known.point < account.0);
        let (head, tail) = self.nodes.split_at(start);
        tail.iter().chain(head)
    }

    /// The next node on the ring; none where `node` stands on it alone, or not at all.
    pub fn successor(&self, node: ident::NodeId) -> Option<RingNode> {
        let place = self.place((point_of(node), node)).ok()?;
        let next = self.nodes[(place + 1) % self.nodes.len()];
        (next.node != node).then_some(next)
    }

    /// The share of the fleet that this node sees.
    pub fn visible_share(&self) -> f64 {
        let seen = self.nodes.len().max(1) as f64;
        seen / (seen + self.lost.len() as f64)
    }

    /// Whether members were lost a moment ago, so that more may be.
    pub fn has_shrunk(&self, now: time::NodeTime) -> bool {
        let fresh = |lost: &LostNode| now.since(lost.since) < SHRINKING;
        self.lost.iter().any(fresh)
    }

    /// One node's part of the fleet.
    pub fn node_share(&self) -> f64 {
        1.0 / (self.nodes.len() + self.lost.len()).max(1) as f64
    }

    fn place(&self, key: (u64, ident::NodeId)) -> Result<usize, usize> {
        self.nodes.binary_search_by_key(&key, RingNode::key)
    }

    fn lost_place(&self, address: SocketAddr) -> Result<usize, usize> {
        self.lost
            .binary_search_by_key(&address, |lost| lost.address)
    }
}
