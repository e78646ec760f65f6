//! Frames between nodes over TCP.

use anvil_types::ident;
use serde::{Deserialize, Serialize};

use crate::{call, gossip, key, outcome, suspicion};

/// The version of the protocol; nodes of different versions refuse each other's handshake.
pub const PROTOCOL_VERSION: u16 = 7;

/// The first frame in each direction of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Always [`PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// The sender.
    pub node: ident::NodeId,
    /// Where the sender accepts peer connections.
    pub address: std::net::SocketAddr,
}

/// One frame on a connection between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Run a call at the receiver's target.
    Call(Box<call::PeerCall>),
    /// The end of an attempt.
    Answer(Box<call::PeerAnswer>),
    /// The caller stopped waiting for an attempt.
    Cancel {
        /// The call to stop.
        call: ident::CallId,
        /// The attempt to stop.
        attempt: u16,
    },
    /// Between the owners of idempotency keys.
    Key(Box<key::KeyFrame>),
    /// A target crashed, and these requests were running.
    Suspicion(Box<suspicion::SuspicionNotice>),
    /// Membership and rules in bulk.
    Sync(Box<gossip::SyncMessage>),
    /// What became of attempts whose connection ended.
    Outcome(Box<outcome::OutcomeMessage>),
    /// Asks for a [`PeerFrame::Pong`], since answers are due and nothing came for a while.
    Ping,
    /// Answers a [`PeerFrame::Ping`].
    Pong,
}
