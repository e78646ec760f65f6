//! What membership does to its surroundings, as data.

use std::net::SocketAddr;

use anvil_types::{ident, store};
use anvil_wire::gossip;
use derive_more::Display;

use crate::member;

/// Why a member is no longer there.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum GoneReason {
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
    Gone {
        /// The member.
        node: ident::NodeId,
        /// Why.
        reason: GoneReason,
    },
    /// This node was accused and refuted.
    #[display("refuted: incarnation={incarnation}")]
    Refuted {
        /// The incarnation that refutes.
        incarnation: u32,
    },
    /// This process did not run for a while.
    #[display("paused: millis={millis}")]
    Paused {
        /// For how long.
        millis: u64,
    },
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
    AskStore {
        /// Identity of the question.
        id: store::StoreId,
        /// The question.
        ask: store::StoreAsk,
    },
    /// A member became known alive.
    MemberUp(member::MemberView),
    /// A member that was known alive changed.
    MemberChanged(member::MemberView),
    /// A member is no longer there.
    MemberGone {
        /// The member.
        node: ident::NodeId,
        /// Why.
        reason: GoneReason,
    },
    /// Write a log line.
    Report(FleetReport),
}
