//! What membership does to its surroundings, as data.

use std::net::SocketAddr;

use anvil_types::{ident, store};
use anvil_wire::gossip;
use derive_more::Display;

use crate::{member, proposal};

/// Why a member is no longer there.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DepartureReason {
    /// It did not refute a suspicion in time.
    #[display("crashed")]
    Crashed,
    /// It said that it left.
    #[display("left")]
    Left,
    /// Another node answered at its address.
    #[display("replaced")]
    Replaced,
}

/// A change of state worth a log line.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FleetReport {
    /// The node knows the fleet.
    #[display("joined: members={members}")]
    Joined {
        /// Members known.
        members: usize,
    },
    /// A member stands accused.
    #[display("suspected: node={node} by={by}")]
    Suspected {
        /// The member.
        node: ident::NodeId,
        /// The first accuser.
        by: ident::NodeId,
    },
    /// A member is no longer there.
    #[display("gone: node={node} reason={reason}")]
    Departed {
        /// The member.
        node: ident::NodeId,
        /// Why.
        reason: DepartureReason,
    },
    /// This node was accused and refuted.
    #[display("refuted: incarnation={incarnation}")]
    Refuted {
        /// The incarnation that refutes.
        incarnation: u32,
    },
    /// This node holds a contact slot of its zone.
    #[display("contact: slot={slot}")]
    Contact {
        /// The slot.
        slot: u8,
    },
    /// This node's contact lease ran out.
    #[display("contact lease lapsed")]
    ContactLapsed,
    /// The rules were compared with others or with the store; work may be served.
    #[display("rules ready: revision={revision}")]
    RulesReady {
        /// The revision held.
        revision: ident::RuleRevision,
    },
    /// This process did not run for a while.
    #[display("paused: millis={millis}")]
    Paused {
        /// For how long.
        millis: u64,
    },
}

/// What an encoded document is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotDestination {
    /// A member that missed more than the changes kept.
    Peer(ident::NodeId),
    /// A snapshot in the store.
    Store,
}

/// Everything that membership does to its surroundings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEffect {
    /// Send a datagram.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: gossip::GossipMessage,
    },
    /// Send a bulk message.
    SendSync {
        /// The receiver.
        peer: ident::NodeId,
        /// Where it accepts connections.
        address: SocketAddr,
        /// What.
        message: gossip::SyncMessage,
    },
    /// Ask the platform's store.
    SendStoreRequest {
        /// Identity of the question.
        id: store::StoreId,
        /// The question.
        request: store::StoreRequest,
    },
    /// A member became known alive.
    MemberUp(member::MemberView),
    /// A member that was known alive changed.
    MemberChanged(member::MemberView),
    /// A member is no longer there.
    MemberDeparted {
        /// The member.
        node: ident::NodeId,
        /// Why.
        reason: DepartureReason,
    },
    /// Put the next accepted change in force.
    AdoptChange(gossip::LoggedChange),
    /// Put the whole rules in force; the body holds them encoded.
    AdoptSnapshot(gossip::LoggedChange),
    /// Encode the whole rules held; `give_snapshot` takes them.
    EncodeSnapshot {
        /// What for.
        destination: SnapshotDestination,
    },
    /// The operator's change came to its end.
    ProposalEnded {
        /// The operator's id of the change.
        change: u128,
        /// The revision that it made or would have made.
        revision: ident::RuleRevision,
        /// How it ended.
        outcome: proposal::ProposalOutcome,
    },
    /// The rules were compared; work may be served from now on.
    Ready,
    /// Write a log line.
    Report(FleetReport),
}
