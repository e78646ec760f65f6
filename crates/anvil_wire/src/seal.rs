//! Authentication of messages between nodes with a shared key.
//!
//! A process that reaches a node's port without a key can neither join the fleet nor change rules
//! nor read state. The state machines here work on bytes and receive their randomness from the
//! caller; the edges own the sockets. Messages are authenticated, not encrypted. See
//! `docs/design/peer-authentication.md`.

use derive_more::{Display, Error};

use anvil_types::ident;

pub mod datagram;
pub mod handshake;
pub mod replay;
pub mod ring;
pub mod stream;

/// Size of an authentication tag, in bytes: HMAC-SHA256 truncated to half its length, which leaves
/// a forger one chance in 2^128 per message.
pub const TAG_BYTES: usize = 16;

/// Why a message was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SealError {
    /// The message has too few or too many bytes, or is not of this protocol version.
    #[display("the bytes are not a valid message: {reason}")]
    Malformed {
        /// The decoder's error.
        #[error(not(source))]
        reason: String,
    },
    /// The message is longer than allowed.
    #[display("a message of {length} bytes is above the limit of {limit}")]
    Oversized {
        /// The length of the message, in bytes.
        length: usize,
        /// The maximum length, in bytes.
        limit: usize,
    },
    /// This node doesn't have the key that the peer used.
    #[display("the peer uses key {id}, which this node doesn't have")]
    UnknownKey {
        /// The key.
        id: ring::KeyId,
    },
    /// The tag doesn't match the message: the sender has another secret under the same key id, or
    /// the bytes were changed, repeated, reordered, or meant for another receiver.
    #[display("the tag doesn't match the message")]
    Forged,
    /// The datagram was received before, or is too old to tell.
    #[display("the datagram was received before, or is too old to tell")]
    Replayed,
    /// The peer uses another protocol version.
    #[display("the peer uses protocol version {found}")]
    Version {
        /// The peer's version.
        found: u16,
    },
    /// The peer is this node itself.
    #[display("the peer is this node itself")]
    OwnIdentity,
    /// A node other than the expected one answered at the address.
    #[display("node {found} answered instead of {expected}")]
    UnexpectedPeer {
        /// The expected node.
        expected: ident::NodeId,
        /// The node that answered.
        found: ident::NodeId,
    },
}

impl SealError {
    pub(crate) fn malformed(error: &postcard::Error) -> Self {
        Self::Malformed {
            reason: error.to_string(),
        }
    }

    pub(crate) fn short(what: &str) -> Self {
        Self::Malformed {
            reason: format!("{what} is too short"),
        }
    }
}
