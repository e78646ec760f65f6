//! One member of the fleet as this node knows it.

use anvil_types::{ident, time};
use anvil_wire::gossip;

/// The state of a member; unlike a claim, it carries no facts or accuser.
///
/// The dump shows the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Alive.
    Alive,
    /// Accused, and not refuted yet.
    Suspect,
    /// Dead: it did not refute in time, or another node answered at its address.
    Gone,
    /// It announced that it left.
    Left,
}

impl MemberState {
    /// Whether requests may still be sent to the member.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// The state that a claim asserts.
pub fn claimed_state(status: &gossip::MemberStatus) -> MemberState {
    match status {
        gossip::MemberStatus::Alive(_) => MemberState::Alive,
        gossip::MemberStatus::Suspect { .. } => MemberState::Suspect,
        gossip::MemberStatus::Dead => MemberState::Gone,
        gossip::MemberStatus::Left => MemberState::Left,
    }
}

/// One member in the table.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The member's id.
    pub node: ident::NodeId,
    /// Its incarnation.
    pub incarnation: u32,
    /// The incarnation whose facts are held; lower than `incarnation` if a suspicion arrived before
    /// the facts of its incarnation.
    pub facts_incarnation: u32,
    /// Its state.
    pub state: MemberState,
    /// Number of datagrams that the claim is still to be piggybacked on.
    pub relays: u8,
    /// The serial of the claim's valid entry in the relay queue.
    pub relay_serial: u32,
    /// When its state last changed.
    pub since: time::NodeTime,
    /// The latest rule revision in the member's own messages to this node; zero if there were none.
    pub revision: ident::RuleRevision,
    /// The facts that it announced about itself.
    pub facts: gossip::MemberFacts,
}

impl MemberRecord {
    /// The precedence of the current claim; a claim with a higher rank replaces it.
    pub fn rank(&self) -> (u32, MemberState) {
        (self.incarnation, self.state)
    }

    /// The member as the other parts of the node see it.
    pub fn view(&self) -> MemberView {
        MemberView {
            node: self.node,
            facts: self.facts.clone(),
            suspected: self.state == MemberState::Suspect,
            revision: self.revision,
            facts_incarnation: self.facts_incarnation,
        }
    }
}

/// A live member, as routing and operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member's id.
    pub node: ident::NodeId,
    /// The facts that it announced about itself.
    pub facts: gossip::MemberFacts,
    /// Whether it is suspect; new requests should prefer other members.
    pub suspected: bool,
    /// The latest rule revision in the member's own messages to this node; zero if there were none.
    pub revision: ident::RuleRevision,
    /// The incarnation whose facts are held.
    pub facts_incarnation: u32,
}
