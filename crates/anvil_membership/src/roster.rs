//! Whether a starting node has compared its members with a peer that knows the fleet.

use std::time::Duration;

use anvil_types::{ident, time};

/// Number of comparisons with peers that are still starting too, after which a node accepts the
/// common members as the whole fleet, if none of the comparisons added a member.
///
/// Whole fleets start together too; without this rule, their nodes would become ready only after
/// [`COMPARE_TIMEOUT`].
pub const STARTING_PEERS_COMPARED: usize = 3;

/// Interval at which a starting node compares its members with another peer.
pub const COMPARE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time to wait for a comparison after the first sign of other nodes.
pub const COMPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time to wait for a first sign of other nodes if the store lists no contacts.
///
/// A store that was restored from an older copy has lost the entries of all contacts. The contacts
/// detect that within two seconds and write their entries again.
pub const EMPTY_LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether the members that a starting node knows were compared with the fleet.
///
/// A node may join through a peer that has just started itself and knows only a part of the fleet.
/// It would then refuse requests for services that dozens of targets offer, until the next digest
/// exchange seconds later. A ready peer has compared its own members, so one exchange with it
/// suffices.
#[derive(Clone, Debug)]
pub struct RosterCheck {
    compared: bool,
    starting_peers: Vec<ident::NodeId>,
    /// Number of known members at the last comparison with one of these.
    known: usize,
    deadline: Option<time::NodeTime>,
}

impl RosterCheck {
    /// Waits for a comparison, unless the node is `standalone`: without a store and without seeds.
    pub fn new(standalone: bool) -> Self {
        Self {
            compared: standalone,
            starting_peers: Vec::new(),
            known: 0,
            deadline: None,
        }
    }

    /// Whether the comparison is done or its deadline has passed.
    pub fn is_compared(&self) -> bool {
        self.compared
    }

    /// Peers that were compared with and are still starting themselves.
    pub fn starting_peers(&self) -> &[ident::NodeId] {
        &self.starting_peers
    }

    /// Records the first sign of other nodes, from which [`COMPARE_TIMEOUT`] is counted.
    pub fn expect_others(&mut self, now: time::NodeTime) {
        self.deadline.get_or_insert(now + COMPARE_TIMEOUT);
    }

    /// Records that the store lists no contacts, from which [`EMPTY_LIST_TIMEOUT`] is counted.
    ///
    /// A store that was restored from an older copy also lists none for a moment. A node that
    /// starts then would consider itself the only one, and serve by the older rules of that copy.
    pub fn expect_empty_list(&mut self, now: time::NodeTime) {
        self.deadline.get_or_insert(now + EMPTY_LIST_TIMEOUT);
    }

    /// Ends the check: no member is missing, or no peer answered in time.
    pub fn finish(&mut self) {
        self.compared = true;
        self.starting_peers.clear();
        self.deadline = None;
    }

    /// Records a comparison with a peer that is still starting itself, after which `known` members
    /// are known.
    ///
    /// One such comparison must not end the check: two nodes that have just started and know only
    /// each other would both accept that as the fleet, and refuse requests for the services of all
    /// others.
    pub fn note_starting_peer(&mut self, peer: ident::NodeId, known: usize) {
        if known > self.known {
            self.starting_peers.clear();
        }
        self.known = known;
        if !self.starting_peers.contains(&peer) {
            self.starting_peers.push(peer);
        }
    }

    /// When the deadline of the check passes.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        self.deadline.filter(|_| !self.compared)
    }
}
