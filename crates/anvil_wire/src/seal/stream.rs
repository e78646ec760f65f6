//! Sealed frames of one connection.
//!
//! Each frame's tag covers its place in the stream, so a frame that is changed, repeated, left
//! out, moved or brought from another connection ends the connection instead of being run.

use super::ring;
use crate::{codec, frame, seal};

/// A connection whose ends have proved themselves.
#[derive(Debug)]
pub struct SealedStream {
    /// The other end.
    pub peer: frame::PeerHello,
    /// For the thread that writes.
    pub sealer: FrameSealer,
    /// For the thread that reads.
    pub opener: FrameOpener,
}

/// Seals the frames of one direction.
#[derive(Debug)]
pub struct FrameSealer {
    maker: ring::TagMaker,
    sequence: u64,
}

/// Opens the frames of one direction.
#[derive(Debug)]
pub struct FrameOpener {
    maker: ring::TagMaker,
    sequence: u64,
}

impl FrameSealer {
    pub(super) const fn new(maker: ring::TagMaker) -> Self {
        Self { maker, sequence: 0 }
    }

    /// Appends the tag to a frame as [`codec::encode_frame`] made it; the length in front stays
    /// that of the frame alone. Frames must leave in the order in which they are sealed.
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

    /// Bytes to read behind a length that [`codec::check_length`] accepted.
    pub const fn sealed_length(length: usize) -> usize {
        length + seal::TAG_BYTES
    }

    /// Checks the bytes behind a length and gives those of the frame, for
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
