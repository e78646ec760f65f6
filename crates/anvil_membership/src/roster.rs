//! Whether the members that a fresh node knows were compared with a peer that knows the fleet.

use std::time::Duration;

use anvil_types::{ident, time};

/// Peers that are as fresh as this node and that it compares with before it takes their common
/// knowledge for all there is, if none of them knew of anybody more; whole fleets start together too.
pub const NEWCOMERS_COMPARED: usize = 3;

/// Time after which a fresh node asks another peer for its members.
pub const COMPARE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for a comparison, from the first sign of others on.
pub const COMPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a first sign of others where the store names nobody.
///
/// A store that came back from an older copy has lost the entries of all contacts. Their nodes learn of
/// it within two seconds and enter themselves again.
pub const EMPTY_LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether the members that a fresh node knows were compared.
///
/// Failure: a node joins through another one that has just started, which knows a part of the fleet.
/// Symptom: callers are refused services that dozens of targets offer, until the next exchange of
/// digests seconds later. A peer that serves has compared its own members, so one exchange with it is
/// enough.
#[derive(Clone, Debug)]
pub struct RosterCheck {
    compared: bool,
    newcomers: Vec<ident::NodeId>,
    /// Members known at the last comparison with one of these.
    known: usize,
    begin_at: Option<time::NodeTime>,
}

impl RosterCheck {
    /// Waits for a comparison; a node that is `alone` has none to wait for.
    pub fn new(alone: bool) -> Self {
        Self {
            compared: alone,
            newcomers: Vec::new(),
            known: 0,
            begin_at: None,
        }
    }

    /// Whether the members known are those of the fleet, as far as this node can find out.
    pub fn is_compared(&self) -> bool {
        self.compared
    }

    /// Peers that answered and do not know the fleet either.
    pub fn newcomers(&self) -> &[ident::NodeId] {
        &self.newcomers
    }

    /// Notes the first sign of others, from which the wait for them is counted.
    pub fn expect_others(&mut self, now: time::NodeTime) {
        self.begin_at.get_or_insert(now + COMPARE_TIMEOUT);
    }

    /// Notes that the store names nobody, which it also does for a moment when it has lost the entries.
    ///
    /// Failure: the store comes back from an older copy and a node starts. Symptom: it finds nobody and
    /// serves by the older rules that stand there, which its peers have left behind.
    pub fn expect_empty_list(&mut self, now: time::NodeTime) {
        self.begin_at.get_or_insert(now + EMPTY_LIST_TIMEOUT);
    }

    /// Notes that nothing is missing, or that nobody is there to tell.
    pub fn finish(&mut self) {
        self.compared = true;
        self.newcomers.clear();
        self.begin_at = None;
    }

    /// Notes a comparison with a peer that does not know the fleet either, after which `known` members
    /// are known.
    ///
    /// Failure: two nodes that started a moment ago know only each other. Symptom: both take that for the
    /// fleet, and refuse what all others offer.
    pub fn note_newcomer(&mut self, peer: ident::NodeId, known: usize) {
        if known > self.known {
            self.newcomers.clear();
        }
        self.known = known;
        if !self.newcomers.contains(&peer) {
            self.newcomers.push(peer);
        }
    }

    /// When the wait is over.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        self.begin_at.filter(|_| !self.compared)
    }
}
