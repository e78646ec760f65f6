//! Authenticated frames of a connection.
//!
//! Each frame's tag covers its position in the stream. A frame that is changed, repeated, dropped,
//! moved or copied from another connection therefore ends the connection instead of being
//! processed.

use super::ring;
use crate::{codec, frame, seal};

/// A connection whose ends are authenticated.
#[derive(Debug)]
pub struct SealedStream {
    /// The peer.
    pub peer: frame::PeerHello,
    /// Seals outgoing frames, for the writing thread.
    pub sealer: FrameSealer,
    /// Opens incoming frames, for the reading thread.
    pub opener: FrameOpener,
}

/// Seals (authenticates) the frames of one direction.
#[derive(Debug)]
pub struct FrameSealer {
    maker: ring::TagMaker,
    sequence: u64,
}

/// Opens (verifies) the frames of one direction.
#[derive(Debug)]
pub struct FrameOpener {
    maker: ring::TagMaker,
    sequence: u64,
}

impl FrameSealer {
    pub(super) const fn new(maker: ring::TagMaker) -> Self {
        Self { maker, sequence: 0 }
    }

    /// Appends the tag to a frame that [`codec::encode_frame`] encoded; its length prefix still
    /// counts the frame without the tag. Frames must be sent in the order in which they are sealed.
    pub fn seal(&mut self, encoded: &mut Vec<u8>) {
        let body = encoded.get(codec::LENGTH_BYTES..).unwrap_or_default();
        let tag = self.maker.tag(&[&self.sequence.to_be_bytes(), body]);
        self.sequence += 1;
        encoded.extend_from_slice(&tag);
    }
}

impl FrameOpener {
    pub(super) const fn new(maker: ring::TagMaker) -> Self {
        Self { maker, sequence: 0 }
    }

    /// Number of bytes to read after a length prefix that [`codec::check_length`] accepted.
    pub const fn sealed_length(length: usize) -> usize {
        length + seal::TAG_BYTES
    }

    /// Verifies the bytes after a length prefix and returns those of the frame, for
    /// [`codec::decode_frame`]. After an error the connection must be closed.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<&'a [u8], seal::SealError> {
        let split = sealed.len().checked_sub(seal::TAG_BYTES);
        let at = split.ok_or_else(|| seal::SealError::short("the frame"))?;
        let (body, tag) = sealed.split_at(at);
        let sequence = self.sequence.to_be_bytes();
        self.maker.verify(&[&sequence, body], tag)?;
        self.sequence += 1;
        Ok(body)
    }
}
