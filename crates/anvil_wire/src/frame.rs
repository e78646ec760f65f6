//! Frames between nodes over TCP.

use anvil_types::ident;
use serde::{Deserialize, Serialize};

use crate::{body, call, gossip, key, outcome, suspicion};

/// The protocol version; nodes of different versions reject each other's handshake.
pub const PROTOCOL_VERSION: u16 = 11;

/// The first frame in each direction of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The sender.
    pub node: ident::NodeId,
    /// Address at which the sender accepts peer connections.
    pub address: std::net::SocketAddr,
}

/// One frame on a connection between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Runs a call at the receiver's target.
    Call(Box<call::PeerCall>),
    /// The result of an attempt.
    Answer(Box<call::PeerAnswer>),
    /// Cancels an attempt that the caller no longer waits for.
    Cancel {
        /// The call to cancel.
        call: ident::CallId,
        /// The attempt to cancel.
        attempt: u16,
    },
    /// A message to or between owners of idempotency keys.
    Key(Box<key::KeyFrame>),
    /// Reports that a target crashed and which of its running requests are suspected.
    Suspicion(Box<suspicion::SuspicionNotice>),
    /// A bulk transfer of membership or rules.
    Sync(Box<gossip::SyncMessage>),
    /// A query or report about attempts whose connection ended.
    Outcome(Box<outcome::OutcomeMessage>),
    /// Requests a [`PeerFrame::Pong`]; sent if answers are due and nothing arrived for a while.
    Ping,
    /// Answers a [`PeerFrame::Ping`].
    Pong,
    /// A part of the body of a frame that follows.
    Body(Box<body::BodyPart>),
}
