//! One member as this node knows it.

use anvil_types::{ident, time};
use anvil_wire::gossip;

/// How a member stands, without what belongs to the claim only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Alive.
    Alive,
    /// Accused and not yet refuted.
    Suspect,
    /// Did not refute.
    Gone,
    /// Left by its own word.
    Left,
}

impl MemberState {
    /// Whether requests may still go to it.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// The state that a claim asserts.
pub fn claimed_state(standing: &gossip::MemberStatus) -> MemberState {
    match standing {
        gossip::MemberStatus::Alive(_) => MemberState::Alive,
        gossip::MemberStatus::Suspect { .. } => MemberState::Suspect,
        gossip::MemberStatus::Dead => MemberState::Gone,
        gossip::MemberStatus::Left => MemberState::Left,
    }
}

/// One member in the table.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The member.
    pub node: ident::NodeId,
    /// Its incarnation.
    pub incarnation: u32,
    /// The incarnation that told the facts; a suspicion may arrive before them.
    pub facts_incarnation: u32,
    /// How it stands.
    pub state: MemberState,
    /// Datagrams that shall still carry the claim.
    pub relays: u8,
    /// The claim's place in the queue of claims to repeat.
    pub relay_serial: u32,
    /// When its state last changed.
    pub since: time::NodeTime,
    /// The rule revision it last told this node itself; zero where it never did.
    pub revision: ident::RuleRevision,
    /// What it told about itself.
    pub facts: gossip::MemberFacts,
}

impl MemberRecord {
    /// The place of the present claim in the order of claims.
    pub fn rank(&self) -> (u32, MemberState) {
        (self.incarnation, self.state)
    }

    /// The member as the other state modules see it.
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

/// A member that is alive, as routing and the operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member.
    pub node: ident::NodeId,
    /// What it told about itself.
    pub facts: gossip::MemberFacts,
    /// Whether it stands accused; new work had better go elsewhere.
    pub suspected: bool,
    /// The rule revision it last told this node itself; zero where it never did.
    pub revision: ident::RuleRevision,
    /// Which of its announcements told the facts.
    pub facts_incarnation: u32,
}
