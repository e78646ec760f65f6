//! Messages that only a holder of a shared key can make.
//!
//! Whoever reaches a node's port without a key can neither join nor change rules nor learn
//! state. The state machines here work on bytes, with randomness handed in: the edges own the
//! sockets. See `docs/design/peer-authentication.md`.

use derive_more::{Display, Error};

use anvil_types::ident;

pub mod datagram;
pub mod handshake;
pub mod replay;
pub mod ring;
pub mod stream;

/// Bytes of a tag. Half of HMAC-SHA256's output is kept, which leaves a forger one chance in
/// 2^128 for each message.
pub const TAG_BYTES: usize = 16;

/// Why bytes were refused. Each is worth a counter of its own.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SealError {
    /// The bytes are too few, too many, or no message of this version.
    #[display("the bytes are no message: {reason}")]
    Malformed {
        /// What the decoder said.
        #[error(not(source))]
        reason: String,
    },
    /// The message is above its limit.
    #[display("a message of {length} bytes is above the limit of {limit}")]
    Oversized {
        /// Its length.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// This node doesn't hold the key that the peer used.
    #[display("the peer uses key {id}, which this node doesn't hold")]
    UnknownKey {
        /// The key.
        id: ring::KeyId,
    },
    /// The tag doesn't fit: another secret under the same id, or bytes that were changed,
    /// repeated, reordered, or meant for another receiver.
    #[display("the tag doesn't fit the message")]
    Forged,
    /// The datagram was seen before, or is too old to tell.
    #[display("the datagram was seen before, or is too old to tell")]
    Replayed,
    /// The peer speaks another version.
    #[display("the peer speaks version {found}")]
    Version {
        /// Its version.
        found: u16,
    },
    /// The peer is this node itself.
    #[display("the peer is this node itself")]
    OwnIdentity,
    /// Another node than the expected one answers at the address.
    #[display("node {found} answers in place of {expected}")]
    UnexpectedPeer {
        /// Who was expected.
        expected: ident::NodeId,
        /// Who answers.
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
