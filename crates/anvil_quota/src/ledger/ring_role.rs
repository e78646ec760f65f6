//! The ledger as a node on the ring: it makes itself known to the next one.
//!
//! Failure: all processes were killed, and two parts of the fleet don't know each other's members for
//! seconds. Symptom: an account has a home in each part. Whoever counts an account by mistake stands behind
//! its home on the ring; so each node tells the next one of itself, and hears where one stands between.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::quota;

use crate::{effect, ledger};

/// Time between two words to the next node.
const INTERVAL: Duration = Duration::from_millis(200);

/// Words to a node that has become the next one; datagrams are lost now and then.
const WORDS: u8 = 3;

/// Nodes named in answer to a word that are told too.
///
/// Where a process has ended and another one stands at its address, each answer may name the same address
/// again; without a bound the two would go on as fast as the network is.
const NAMED: u8 = 2;

/// How long a fresh node goes on to tell of itself, since it finds the others bit by bit.
const YOUTH: Duration = Duration::from_secs(5);

/// What a node has told the next one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RingIntroduction {
    successor: Option<ident::NodeId>,
    /// When the next word is due.
    pub(super) due: Option<time::NodeTime>,
    words_left: u8,
    /// Nodes named in answer to the last word that were told too.
    named_told: u8,
    /// When the node is no longer fresh; none before it knows another one.
    fresh_until: Option<time::NodeTime>,
}

impl ledger::QuotaLedger {
    /// Follows a change of the ring: accounts are handed over, and a new next node is told.
    pub(super) fn ring_changed(&mut self, now: time::NodeTime) {
        self.note_moves(now);
        let successor = self.ring.successor(self.node).map(|next| next.node);
        let told = &mut self.introduction;
        if successor == told.successor {
            return;
        }
        told.successor = successor;
        told.words_left = WORDS;
        told.fresh_until.get_or_insert(now + YOUTH);
        told.due = Some(now);
    }

    /// Tells the next node on the ring of this one, where that is due.
    pub(super) fn introduce(&mut self, now: time::NodeTime, out: &mut Vec<effect::QuotaEffect>) {
        if self.introduction.due.is_none_or(|due| now < due) {
            return;
        }
        let told = &mut self.introduction;
        told.words_left = told.words_left.saturating_sub(1);
        let fresh = told.fresh_until.is_some_and(|until| now < until);
        let goes_on = fresh || told.words_left > 0;
        told.due = goes_on.then_some(now + INTERVAL);
        told.named_told = 0;
        if let Some(next) = self.ring.successor(self.node) {
            self.send(next.address, quota::QuotaMessage::SuccessorProbe, out);
        }
    }

    /// Takes note of the node in front, and names one that stands between.
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

    /// Makes itself known to a node that stands between this one and the next that it knows.
    ///
    /// The node named may have ended, so it is not taken for a home before it has said something itself.
    pub(super) fn on_between(&mut self, hint: quota::HomeHint, out: &mut Vec<effect::QuotaEffect>) {
        let told = &mut self.introduction;
        if hint.node != self.node && told.named_told < NAMED {
            told.named_told += 1;
            self.send(hint.address, quota::QuotaMessage::SuccessorProbe, out);
        }
    }

    /// Takes in a node that another one named; false where it is known.
    pub(super) fn on_hint(&mut self, now: time::NodeTime, hint: quota::HomeHint) -> bool {
        let added = self.ring.insert_hinted(now, hint.node, hint.address);
        if added {
            self.ring_changed(now);
        }
        added
    }
}
