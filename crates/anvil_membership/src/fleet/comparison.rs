//! The comparison of a starting node's members with those of peers, before it becomes ready.

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{effect, fleet, roster};

impl fleet::FleetState {
    /// Ends the check without a comparison if its deadline has passed.
    pub(super) fn end_comparison_when_due(&mut self, now: time::NodeTime) {
        if self.roster.next_wake().is_some_and(|due| due <= now) {
            self.roster.finish();
        }
    }

    /// The peer that a starting node compares its members with: one that is not known to be
    /// starting too.
    ///
    /// Ready peers that already sent messages, such as the contacts or seeds that it joined
    /// through, are chosen last, since many nodes that start together would all choose the same
    /// ones.
    pub(super) fn comparison_peer(&mut self) -> Option<ident::NodeId> {
        let mut except = self.roster.starting_peers().to_vec();
        except.push(self.local);
        except.extend(&self.rules.ready_peers);
        if let Some(drawn) = self.table.draw_live(&mut self.choice, &except) {
            return Some(drawn.node);
        }
        let ready_peers = &self.rules.ready_peers;
        let is_ready =
            |m: &crate::member::MemberRecord| m.state.is_live() && ready_peers.contains(&m.node);
        let drawn = self.table.draw(&mut self.choice, is_ready)?;
        Some(drawn.node)
    }

    /// The claim about itself that a starting node sends with a digest; a peer that does not know
    /// the node yet would have no address to reply to.
    pub(super) fn starting_claim(&self) -> Vec<gossip::MemberUpdate> {
        if self.roster.is_compared() {
            return Vec::new();
        }
        self.claim(self.local).into_iter().collect()
    }

    /// Records that this node now knows all members that the sender of `head` knows.
    pub(super) fn on_members_compared(
        &mut self,
        now: time::NodeTime,
        head: gossip::GossipHead,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.roster.is_compared() {
            return;
        }
        if head.ready {
            self.roster.finish();
        } else {
            self.on_compared_with_starting_peer(now, head.from);
        }
        self.update_readiness(now, out);
    }

    /// Continues with the next peer, or ends the check if all peers that answered are starting too.
    fn on_compared_with_starting_peer(&mut self, now: time::NodeTime, peer: ident::NodeId) {
        self.roster.note_starting_peer(peer, self.table.live());
        let others_ready = !self.rules.ready_peers.is_empty();
        if !others_ready && self.roster.starting_peers().len() >= roster::STARTING_PEERS_COMPARED {
            self.roster.finish();
        } else {
            self.timers.sync = now;
        }
    }
}
