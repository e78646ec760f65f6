//! The effects that membership requests from the reducer, as data.

use std::net::SocketAddr;

use anvil_types::{ident, store};
use anvil_wire::gossip;
use derive_more::Display;

use crate::{member, proposal};

/// Why a member departed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DepartureReason {
    /// It did not refute a suspicion in time.
    #[display("crashed")]
    Crashed,
    /// It announced that it left.
    #[display("left")]
    Left,
    /// Another node answered at its address.
    #[display("replaced")]
    Replaced,
}

/// How this node obtained a revision of the rules.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RulePath {
    /// A watch of the store, which was waiting for it.
    #[display("watch")]
    Watch,
    /// A read of the store.
    #[display("read")]
    Read,
    /// A message of another node.
    #[display("peer:{_0}")]
    Peer(ident::NodeId),
    /// The write of this node's own change to the store.
    #[display("proposal")]
    Proposal,
}

/// A state change that is logged.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FleetReport {
    /// The node received its first message of another member.
    #[display("joined: members={members}")]
    Joined {
        /// Number of known live members, including this node.
        members: usize,
    },
    /// A member became suspect.
    #[display("suspected: node={node} by={by}")]
    Suspected {
        /// The member.
        node: ident::NodeId,
        /// The first node that accused it.
        by: ident::NodeId,
    },
    /// A member departed.
    #[display("gone: node={node} reason={reason}")]
    Departed {
        /// The member.
        node: ident::NodeId,
        /// Why it departed.
        reason: DepartureReason,
    },
    /// This node refuted a claim about itself.
    #[display("refuted: incarnation={incarnation}")]
    Refuted {
        /// The incarnation of the refutation.
        incarnation: u32,
    },
    /// This node holds a contact slot of its zone.
    #[display("contact: slot={slot}")]
    Contact {
        /// The slot.
        slot: u8,
    },
    /// The lease of this node's contact slot expired.
    #[display("contact lease lapsed")]
    ContactLapsed,
    /// The rules were compared with peers or with the store; the node may serve requests.
    #[display("rules ready: revision={revision}")]
    RulesReady {
        /// The revision held.
        revision: ident::RuleRevision,
    },
    /// A message of another node told of a newer revision than the one held.
    #[display("rules heard: revision={revision} from={from} held={held}")]
    RulesHeard {
        /// The newer revision.
        revision: ident::RuleRevision,
        /// The node that told of it.
        from: ident::NodeId,
        /// The revision held.
        held: ident::RuleRevision,
    },
    /// This node obtained a newer revision, which comes into force now.
    #[display("rules learned: revision={revision} path={path} heard_millis={millis}")]
    RulesLearned {
        /// The revision.
        revision: ident::RuleRevision,
        /// How it was obtained.
        path: RulePath,
        /// Time since a message first told of it or of a later one, in milliseconds; zero if none
        /// did.
        millis: u64,
    },
    /// This node began or ceased to watch the rule document in the store.
    #[display("watches rules: {watching}")]
    RuleWatch {
        /// Whether it watches now; it reads the document now and then in any case.
        watching: bool,
    },
    /// The store stopped answering this node's requests about the rules.
    #[display("rules unconfirmed: revision={revision}")]
    RulesUnconfirmed {
        /// The revision held.
        revision: ident::RuleRevision,
    },
    /// The store answers requests about the rules again.
    #[display("rules confirmed: revision={revision} after_millis={millis}")]
    RulesConfirmed {
        /// The revision held.
        revision: ident::RuleRevision,
        /// Time since the answer before the failures, in milliseconds.
        millis: u64,
    },
    /// This process was paused.
    #[display("paused: millis={millis}")]
    Paused {
        /// Duration of the pause, in milliseconds.
        millis: u64,
    },
}

/// Where an encoded snapshot of the rules goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotDestination {
    /// To a member that lacks more changes than this node retains.
    Peer(ident::NodeId),
    /// Into the store.
    Store,
}

/// An effect that membership requests from the reducer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEffect {
    /// Send a datagram.
    SendDatagram {
        /// The receiver's datagram address.
        to: SocketAddr,
        /// The message.
        message: gossip::GossipMessage,
    },
    /// Send a bulk message.
    SendSync {
        /// The receiver.
        peer: ident::NodeId,
        /// The address at which the receiver accepts connections.
        address: SocketAddr,
        /// The message.
        message: gossip::SyncMessage,
    },
    /// Send a request to the store.
    SendStoreRequest {
        /// The id of the request.
        id: store::StoreId,
        /// The request.
        request: store::StoreRequest,
    },
    /// A member became known alive.
    MemberUp(member::MemberView),
    /// A live member changed.
    MemberChanged(member::MemberView),
    /// A member departed.
    MemberDeparted {
        /// The member.
        node: ident::NodeId,
        /// Why it departed.
        reason: DepartureReason,
    },
    /// Apply the next accepted change to the rules in force.
    AdoptChange(gossip::LoggedChange),
    /// Replace the rules in force by the encoded rules in the body.
    AdoptSnapshot(gossip::LoggedChange),
    /// Encode the rules in force, and pass them to
    /// [`crate::fleet::FleetState::on_snapshot_encoded`].
    EncodeSnapshot {
        /// Where the snapshot goes.
        destination: SnapshotDestination,
    },
    /// The proposal of an operator's change ended.
    ProposalEnded {
        /// The operator's id of the change.
        change: u128,
        /// The revision that the change made or would have made.
        revision: ident::RuleRevision,
        /// How it ended.
        outcome: proposal::ProposalOutcome,
    },
    /// The rules were compared with peers or with the store; the node may serve requests.
    Ready,
    /// Write a log line.
    Report(FleetReport),
}
