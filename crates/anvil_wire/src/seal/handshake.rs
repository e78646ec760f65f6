//! Both ends of a new connection prove that they hold a key.
//!
//! The initiator sends a hello with a fresh nonce, the responder answers with a nonce of its own
//! and a tag over both, the initiator proves itself by a tag over all of it. Each tag names its
//! role, so no end's message can be sent back to it. Both sides then derive one key for each
//! direction; see [`super::stream`].
//!
//! Messages leave with a length of [`crate::codec::LENGTH_BYTES`] in front, and come in without
//! it, after [`check_length`].

use serde::{Deserialize, Serialize};

use anvil_types::ident;

use super::{ring, stream};
use crate::{codec, frame, seal};

/// Largest message, in bytes, so that a stranger can't make a node reserve a frame's worth.
pub const MAX_MESSAGE_BYTES: usize = 256;

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 32;

const RESPONDER_ROLE: &[u8] = b"responder";
const INITIATOR_ROLE: &[u8] = b"initiator";
const FORWARD_PURPOSE: &[u8] = b"initiator to responder";
const BACKWARD_PURPOSE: &[u8] = b"responder to initiator";

/// Randomness that never comes twice; two random UUIDs will do.
///
/// A nonce that came twice would let a recorded connection be played back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeNonce(pub [u8; NONCE_BYTES]);

#[derive(Serialize, Deserialize)]
struct HelloMessage {
    hello: frame::PeerHello,
    key: ring::KeyId,
    nonce: HandshakeNonce,
}

#[derive(Serialize, Deserialize)]
struct ChallengeMessage {
    hello: frame::PeerHello,
    nonce: HandshakeNonce,
    tag: ring::Tag,
}

#[derive(Serialize, Deserialize)]
struct ProofMessage {
    tag: ring::Tag,
}

/// The end that opened the connection, while it waits for the challenge.
#[derive(Debug)]
pub struct InitiatorHandshake {
    key: ring::SealKey,
    own: frame::PeerHello,
    /// The hello as sent.
    sent: Vec<u8>,
}

/// The end that accepted the connection, while it waits for the proof.
#[derive(Debug)]
pub struct ResponderHandshake {
    peer: frame::PeerHello,
    keys: SessionKeys,
}

/// Checks the length in front of a message.
pub fn check_length(prefix: [u8; codec::LENGTH_BYTES]) -> Result<usize, seal::SealError> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_MESSAGE_BYTES {
        let limit = MAX_MESSAGE_BYTES;
        return Err(seal::SealError::Oversized { length, limit });
    }
    Ok(length)
}

impl InitiatorHandshake {
    /// Starts a handshake; the bytes are the first to send.
    pub fn begin(
        ring: &ring::KeyRing,
        own: frame::PeerHello,
        nonce: HandshakeNonce,
    ) -> Result<(Self, Vec<u8>), seal::SealError> {
        let key = ring.sending_key().clone();
        let message = HelloMessage {
            hello: own.clone(),
            key: key.id(),
            nonce,
        };
        let bytes = encode(&message)?;
        let sent = bytes[codec::LENGTH_BYTES..].to_vec();
        Ok((Self { key, own, sent }, bytes))
    }

    /// Checks the responder; the bytes are to be sent before any frame.
    ///
    /// `expected` names the node that the connection is meant for, where that is known: another
    /// one at the same address would otherwise be handed its calls.
    pub fn finish(
        self,
        bytes: &[u8],
        expected: Option<ident::NodeId>,
    ) -> Result<(stream::SealedStream, Vec<u8>), seal::SealError> {
        let message: ChallengeMessage = decode(bytes)?;
        let keys = SessionKeys::derive(&self.key, &self.sent, &message)?;
        keys.verify(RESPONDER_ROLE, &message.tag)?;
        check_peer(&self.own, &message.hello)?;
        let found = message.hello.node;
        if let Some(expected) = expected.filter(|expected| *expected != found) {
            return Err(seal::SealError::UnexpectedPeer { expected, found });
        }
        let proof = encode(&ProofMessage {
            tag: keys.tag(INITIATOR_ROLE),
        })?;
        Ok((keys.initiator_stream(message.hello), proof))
    }
}

impl ResponderHandshake {
    /// Answers a hello; the bytes are to be sent back.
    ///
    /// The initiator has proved nothing yet, so the answer tells it no more than this node's
    /// identity and address.
    pub fn begin(
        ring: &ring::KeyRing,
        own: &frame::PeerHello,
        nonce: HandshakeNonce,
        bytes: &[u8],
    ) -> Result<(Self, Vec<u8>), seal::SealError> {
        let message: HelloMessage = decode(bytes)?;
        check_peer(own, &message.hello)?;
        let key = ring.find(message.key)?;
        let mut challenge = ChallengeMessage {
            hello: own.clone(),
            nonce,
            tag: ring::Tag::default(),
        };
        let keys = SessionKeys::derive(key, bytes, &challenge)?;
        challenge.tag = keys.tag(RESPONDER_ROLE);
        let peer = message.hello;
        Ok((Self { peer, keys }, encode(&challenge)?))
    }

    /// Checks the initiator.
    pub fn finish(self, bytes: &[u8]) -> Result<stream::SealedStream, seal::SealError> {
        let message: ProofMessage = decode(bytes)?;
        self.keys.verify(INITIATOR_ROLE, &message.tag)?;
        Ok(self.keys.responder_stream(self.peer))
    }
}

fn check_peer(own: &frame::PeerHello, peer: &frame::PeerHello) -> Result<(), seal::SealError> {
    if peer.version != own.version {
        let found = peer.version;
        return Err(seal::SealError::Version { found });
    }
    if peer.node == own.node {
        return Err(seal::SealError::OwnIdentity);
    }
    Ok(())
}

/// What both ends derive from the key and everything said so far.
#[derive(Debug)]
struct SessionKeys {
    maker: ring::TagMaker,
}

impl SessionKeys {
    /// Both nonces are part of it, so no two connections ever share a session.
    fn derive(
        key: &ring::SealKey,
        hello: &[u8],
        challenge: &ChallengeMessage,
    ) -> Result<Self, seal::SealError> {
        let untagged = ChallengeMessage {
            hello: challenge.hello.clone(),
            nonce: challenge.nonce,
            tag: ring::Tag::default(),
        };
        let answer = postcard::to_allocvec(&untagged);
        let answer = answer.map_err(|error| seal::SealError::malformed(&error))?;
        let length = (hello.len() as u64).to_be_bytes();
        let maker = key.stream().derive(&[&length, hello, &answer]);
        Ok(Self { maker })
    }

    fn tag(&self, role: &[u8]) -> ring::Tag {
        self.maker.tag(&[role])
    }

    fn verify(&self, role: &[u8], tag: &ring::Tag) -> Result<(), seal::SealError> {
        self.maker.verify(&[role], tag)
    }

    fn initiator_stream(&self, peer: frame::PeerHello) -> stream::SealedStream {
        stream::SealedStream {
            peer,
            sealer: stream::FrameSealer::new(self.maker.derive(&[FORWARD_PURPOSE])),
            opener: stream::FrameOpener::new(self.maker.derive(&[BACKWARD_PURPOSE])),
        }
    }

    fn responder_stream(&self, peer: frame::PeerHello) -> stream::SealedStream {
        stream::SealedStream {
            peer,
            sealer: stream::FrameSealer::new(self.maker.derive(&[BACKWARD_PURPOSE])),
            opener: stream::FrameOpener::new(self.maker.derive(&[FORWARD_PURPOSE])),
        }
    }
}

fn encode<T>(message: &T) -> Result<Vec<u8>, seal::SealError>
where
    T: Serialize,
{
    let bytes = postcard::to_extend(message, vec![0; codec::LENGTH_BYTES]);
    let mut bytes = bytes.map_err(|error| seal::SealError::malformed(&error))?;
    let length = bytes.len() - codec::LENGTH_BYTES;
    if length > MAX_MESSAGE_BYTES {
        let limit = MAX_MESSAGE_BYTES;
        return Err(seal::SealError::Oversized { length, limit });
    }
    // The limit is far below what four bytes can tell.
    let prefix = u32::try_from(length).unwrap_or(u32::MAX);
    bytes[..codec::LENGTH_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(bytes)
}

fn decode<'a, T>(bytes: &'a [u8]) -> Result<T, seal::SealError>
where
    T: Deserialize<'a>,
{
    let taken = postcard::take_from_bytes(bytes);
    let (message, rest) = taken.map_err(|error| seal::SealError::malformed(&error))?;
    if !rest.is_empty() {
        return Err(seal::SealError::Malformed {
            reason: format!("{} bytes behind its end", rest.len()),
        });
    }
    Ok(message)
}
