//! Consistent hashing: which node is the home of an account.
//!
//! Nodes and accounts are points on one ring of numbers; the home of an account is the next node on
//! the ring. A node that joins or ends moves only the accounts between it and the node before it,
//! and no agreement is needed: nodes that know the same members compute the same home.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, time};
use xxhash_rust::xxh3;

/// Time for which a crashed member counts towards the share of the quota that the other side of a
/// network partition may use.
const CRASHED_TTL: Duration = Duration::from_secs(60);

/// Time for which a node that another node named is retained without confirmation by membership.
const HINT_TTL: Duration = Duration::from_secs(10);

/// Time after a loss in which further losses are expected, because a partition is detected member
/// by member.
const SHRINK_PERIOD: Duration = Duration::from_secs(5);

/// A node on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingNode {
    point: u64,
    /// Its id.
    pub node: ident::NodeId,
    /// Address at which it accepts datagrams.
    pub address: SocketAddr,
    /// Time at which another node named it, until membership confirms it.
    hinted_at: Option<time::NodeTime>,
}

impl RingNode {
    fn new(node: ident::NodeId, address: SocketAddr, hinted_at: Option<time::NodeTime>) -> Self {
        Self {
            point: point_of(node),
            node,
            address,
            hinted_at,
        }
    }

    fn key(&self) -> (u64, ident::NodeId) {
        (self.point, self.node)
    }
}

fn point_of(node: ident::NodeId) -> u64 {
    xxh3::xxh3_64(&node.0.to_le_bytes())
}

/// A member that crashed, and that may still be alive on the other side of a partition.
#[derive(Clone, Copy, Debug)]
struct CrashedNode {
    address: SocketAddr,
    since: time::NodeTime,
}

/// The members that can be homes.
#[derive(Clone, Debug, Default)]
pub struct QuotaRing {
    /// Sorted by point.
    nodes: Vec<RingNode>,
    /// Sorted by address.
    crashed: Vec<CrashedNode>,
}

impl QuotaRing {
    /// Adds a member, or updates its address.
    pub fn insert(&mut self, node: ident::NodeId, address: SocketAddr) {
        let added = RingNode::new(node, address, None);
        match self.search(added.key()) {
            Ok(index) => self.nodes[index] = added,
            Err(index) => self.nodes.insert(index, added),
        }
        self.crashed.retain(|crashed| crashed.address != address);
    }

    /// Adds a node that another node named; returns false if it is already known.
    pub fn insert_hinted(
        &mut self,
        now: time::NodeTime,
        node: ident::NodeId,
        address: SocketAddr,
    ) -> bool {
        let added = RingNode::new(node, address, Some(now));
        match self.search(added.key()) {
            Ok(_) => false,
            Err(index) => {
                self.nodes.insert(index, added);
                true
            }
        }
    }

    /// Removes and returns the processes that used the address of `node` before it.
    pub fn remove_predecessors(
        &mut self,
        node: ident::NodeId,
        address: SocketAddr,
    ) -> Vec<ident::NodeId> {
        let is_predecessor = |known: &mut RingNode| known.address == address && known.node != node;
        let removed = self.nodes.extract_if(.., is_predecessor);
        removed.map(|known| known.node).collect()
    }

    /// Removes a member that left the fleet.
    pub fn remove(&mut self, node: ident::NodeId) -> Option<RingNode> {
        let index = self.search((point_of(node), node)).ok()?;
        Some(self.nodes.remove(index))
    }

    /// Removes a member that crashed.
    pub fn remove_crashed(&mut self, now: time::NodeTime, node: ident::NodeId) {
        let Some(removed) = self.remove(node) else {
            return;
        };
        // Its replacement at the same address may be known before the crash is.
        if self
            .nodes
            .iter()
            .any(|known| known.address == removed.address)
        {
            return;
        }
        let crashed = CrashedNode {
            address: removed.address,
            since: now,
        };
        match self.search_crashed(removed.address) {
            Ok(index) => self.crashed[index] = crashed,
            Err(index) => self.crashed.insert(index, crashed),
        }
    }

    /// Removes members that were lost long ago, unless they are the majority: this node is then on
    /// the small side of a partition, and without them both sides would use the whole quota.
    ///
    /// Also removes nodes that were named but not confirmed by membership in time; most likely they
    /// have ended.
    pub fn remove_expired(&mut self, now: time::NodeTime) {
        let stale = |known: &RingNode| known.hinted_at.is_some_and(|at| now.since(at) >= HINT_TTL);
        self.nodes.retain(|known| !stale(known));
        if self.crashed.len() < self.nodes.len() {
            self.crashed
                .retain(|crashed| now.since(crashed.since) < CRASHED_TTL);
        }
    }

    /// The nodes that follow the point of an account, its home first.
    pub fn homes(&self, account: account::AccountId) -> impl Iterator<Item = &RingNode> {
        let start = self.nodes.partition_point(|known| known.point < account.0);
        let (head, tail) = self.nodes.split_at(start);
        tail.iter().chain(head)
    }

    /// The next node on the ring; `None` if `node` is the only one, or is not on the ring.
    pub fn successor(&self, node: ident::NodeId) -> Option<RingNode> {
        let index = self.search((point_of(node), node)).ok()?;
        let next = self.nodes[(index + 1) % self.nodes.len()];
        (next.node != node).then_some(next)
    }

    /// The addresses of up to `count` nodes other than `node`. Points on the ring are random, so
    /// neighbors are a random sample; another `seed` gives another one.
    pub fn sample(&self, node: ident::NodeId, seed: u32, count: usize) -> Vec<SocketAddr> {
        let point = xxh3::xxh3_64_with_seed(&node.0.to_le_bytes(), u64::from(seed));
        let start = self.nodes.partition_point(|known| known.point < point);
        let (head, tail) = self.nodes.split_at(start);
        let others = tail.iter().chain(head).filter(|known| known.node != node);
        others.take(count).map(|known| known.address).collect()
    }

    /// The number of answers from `asked` nodes that show, together with this node, that most of
    /// the fleet can be reached; more than `asked` if most of it has crashed.
    pub fn majority_of(&self, asked: usize) -> usize {
        ((asked + 1) as f64 / (2.0 * self.visible_share())) as usize
    }

    /// Number of members, this node included.
    pub fn live(&self) -> usize {
        self.nodes.len().max(1)
    }

    /// The share of the fleet that this node can see.
    pub fn visible_share(&self) -> f64 {
        let seen = self.nodes.len().max(1) as f64;
        seen / (seen + self.crashed.len() as f64)
    }

    /// Whether members were lost recently, so that more losses are likely.
    pub fn has_shrunk(&self, now: time::NodeTime) -> bool {
        let fresh = |crashed: &CrashedNode| now.since(crashed.since) < SHRINK_PERIOD;
        self.crashed.iter().any(fresh)
    }

    /// The share of one node in the fleet.
    pub fn node_share(&self) -> f64 {
        1.0 / (self.nodes.len() + self.crashed.len()).max(1) as f64
    }

    fn search(&self, key: (u64, ident::NodeId)) -> Result<usize, usize> {
        self.nodes.binary_search_by_key(&key, RingNode::key)
    }

    fn search_crashed(&self, address: SocketAddr) -> Result<usize, usize> {
        self.crashed
            .binary_search_by_key(&address, |crashed| crashed.address)
    }
}
