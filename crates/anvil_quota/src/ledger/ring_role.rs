//! The ledger as a node on the ring: it announces itself to its successor.
//!
//! After all processes were killed, two parts of the fleet may not know each other's members for
//! seconds, and an account has a home in each part. A node that wrongly counts an account comes
//! after the real home on the ring. Each node therefore announces itself to its successor, which
//! answers with any node that it knows to be between the two.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::quota;

use crate::{effect, ledger};

/// Interval between announcements to the successor.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of announcements to a new successor, because datagrams may be lost.
const ANNOUNCEMENTS: u8 = 3;

/// Maximum number of nodes named in answers to one announcement that are notified as well.
///
/// If a process has ended and another one uses its address, each answer may name the same address
/// again. Without a bound, the two would exchange messages at network speed.
const MAX_FOLLOWED_HINTS: u8 = 2;

/// Time for which a starting node repeats its announcement, because it discovers the others
/// gradually.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// State of the announcements to the successor.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RingAnnouncement {
    successor: Option<ident::NodeId>,
    /// Time of the next announcement.
    pub(super) due: Option<time::NodeTime>,
    announcements_left: u8,
    /// Number of nodes named in answers to the last announcement that were notified.
    followed_hints: u8,
    /// End of the startup period; `None` before the node knows another one.
    startup_until: Option<time::NodeTime>,
}

impl ledger::QuotaLedger {
    /// Handles a change of the ring: hands accounts over, and schedules announcements to a new
    /// successor.
    pub(super) fn ring_changed(&mut self, now: time::NodeTime) {
        self.hand_over_moved(now);
        let successor = self.ring.successor(self.node).map(|next| next.node);
        let announcement = &mut self.announcement;
        if successor == announcement.successor {
            return;
        }
        announcement.successor = successor;
        announcement.announcements_left = ANNOUNCEMENTS;
        announcement
            .startup_until
            .get_or_insert(now + STARTUP_PERIOD);
        announcement.due = Some(now);
    }

    /// Announces this node to its successor, if that is due.
    pub(super) fn announce_to_successor(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        if self.announcement.due.is_none_or(|due| now < due) {
            return;
        }
        let announcement = &mut self.announcement;
        announcement.announcements_left = announcement.announcements_left.saturating_sub(1);
        let starting = announcement.startup_until.is_some_and(|until| now < until);
        let continues = starting || announcement.announcements_left > 0;
        announcement.due = continues.then_some(now + ANNOUNCE_INTERVAL);
        announcement.followed_hints = 0;
        if let Some(next) = self.ring.successor(self.node) {
            self.send(next.address, quota::QuotaMessage::SuccessorProbe, out);
        }
    }

    /// Adds the predecessor that announced itself, and names a node that is between the two.
    pub(super) fn on_behind(
        &mut self,
        now: time::NodeTime,
        from: (ident::NodeId, SocketAddr),
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let (node, address) = from;
        let alive = true;
        self.on_hint(
            now,
            quota::HomeHint {
                node,
                address,
                alive,
            },
        );
        let nearer = self.ring.successor(node);
        if let Some(nearer) = nearer.filter(|nearer| nearer.node != self.node) {
            let hint = quota::HomeHint {
                node: nearer.node,
                address: nearer.address,
                alive: false,
            };
            self.send(address, quota::QuotaMessage::CloserSuccessor(hint), out);
        }
    }

    /// Removes the earlier processes at the address of a node that has sent a message.
    ///
    /// The end of such a process is detected seconds after its successor has started. Until then it
    /// would count as a home, and the successor, which gets what is meant for it, would pass that on
    /// to this node again and again. The successor itself becomes a home once it is known as a
    /// member, since it can't decide anything before it has its rules.
    pub(super) fn remove_predecessors(
        &mut self,
        now: time::NodeTime,
        node: ident::NodeId,
        address: SocketAddr,
    ) {
        if node == self.node {
            return;
        }
        let replaced = self.ring.remove_predecessors(node, address);
        if replaced.is_empty() {
            return;
        }
        for predecessor in replaced {
            self.replaced_nodes
                .insert(now, predecessor, ledger::REPLACED_TTL);
        }
        self.ring_changed(now);
    }

    /// Announces this node to a node that is between it and its known successor.
    ///
    /// The named node may have ended, so it is not used as a home before it has sent a message
    /// itself.
    pub(super) fn on_between(&mut self, hint: quota::HomeHint, out: &mut Vec<effect::QuotaEffect>) {
        let announcement = &mut self.announcement;
        if hint.node != self.node && announcement.followed_hints < MAX_FOLLOWED_HINTS {
            announcement.followed_hints += 1;
            self.send(hint.address, quota::QuotaMessage::SuccessorProbe, out);
        }
    }

    /// Adds a node that another one named; returns false if it is already known, or known to have
    /// ended.
    pub(super) fn on_hint(&mut self, now: time::NodeTime, hint: quota::HomeHint) -> bool {
        let added = !self.replaced_nodes.contains(now, hint.node)
            && self.ring.insert_hinted(now, hint.node, hint.address);
        if added {
            self.ring_changed(now);
        }
        added
    }
}
