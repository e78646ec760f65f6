//! Frames of one connection, made small by what went before them on it.
//!
//! Requests of one route differ in their ids and the end of their paths; the rest, from the header lines
//! to the treatment that the rules decided, is the same each time. Both ends keep the latest frames of a
//! direction, and what repeats in them crosses as a reference. Bytes between zones fell by a fifth, 0.032
//! to 0.025 GB on a heavy day of Reclamo Simple; see `docs/design/edges.md`.

use std::borrow::Cow;

use lz4_flex::block;

use crate::codec;

/// The first byte of a packed frame. Plain frames begin with the number of their kind, of which there are
/// fewer than this.
const PACKED: u8 = 0x80;

/// Bytes of the plain length behind [`PACKED`], big-endian; they can tell [`PACKED_LIMIT`].
const PLAIN_LENGTH_BYTES: usize = 2;

/// Frames above this length cross as they are: what makes them long is a body, which is rarely like others.
const PACKED_LIMIT: usize = 2_048;

/// Bytes kept of the beginning and of the end of a frame, where what repeats stands; a body between them
/// would only push the rest out.
const KEPT_HEAD: usize = 320;
/// See [`KEPT_HEAD`].
const KEPT_TAIL: usize = 64;

/// Bytes kept of the latest frames: some ten requests, so each of the usual routes is among them.
const HISTORY_BYTES: usize = 4_096;

/// What both ends remember of one direction.
#[derive(Clone, Debug, Default)]
struct FrameHistory {
    bytes: Vec<u8>,
}

impl FrameHistory {
    fn keep(&mut self, plain: &[u8]) {
        if plain.len() > PACKED_LIMIT {
            return;
        }
        if plain.len() <= KEPT_HEAD + KEPT_TAIL {
            self.bytes.extend_from_slice(plain);
        } else {
            self.bytes.extend_from_slice(&plain[..KEPT_HEAD]);
            self.bytes
                .extend_from_slice(&plain[plain.len() - KEPT_TAIL..]);
        }
        let beyond = self.bytes.len().saturating_sub(HISTORY_BYTES);
        self.bytes.drain(..beyond);
    }
}

/// Packs the frames of one direction, in the order in which they leave.
#[derive(Debug, Default)]
pub struct FrameCompressor {
    history: FrameHistory,
}

impl FrameCompressor {
    /// Packs a frame as [`codec::encode_frame`] made it, with its length in front, where that makes it
    /// smaller. Frames must leave in the order in which they are packed.
    pub fn compress(&mut self, encoded: Vec<u8>) -> Vec<u8> {
        let plain = encoded.get(codec::LENGTH_BYTES..).unwrap_or_default();
        let packed = self.packed(plain);
        self.history.keep(plain);
        match packed {
            Some(packed) if packed.len() < encoded.len() => packed,
            _ => encoded,
        }
    }

    fn packed(&self, plain: &[u8]) -> Option<Vec<u8>> {
        if plain.len() > PACKED_LIMIT {
            return None;
        }
        let block = block::compress_with_dict(plain, &self.history.bytes);
        let length = 1 + PLAIN_LENGTH_BYTES + block.len();
        let mut packed = Vec::with_capacity(codec::LENGTH_BYTES + length);
        packed.extend_from_slice(&u32::try_from(length).ok()?.to_be_bytes());
        packed.push(PACKED);
        packed.extend_from_slice(&u16::try_from(plain.len()).ok()?.to_be_bytes());
        packed.extend_from_slice(&block);
        Some(packed)
    }
}

/// Unpacks the frames of one direction, in the order in which they came.
#[derive(Debug, Default)]
pub struct FrameDecompressor {
    history: FrameHistory,
}

impl FrameDecompressor {
    /// The plain bytes of a frame, for [`codec::decode_frame`]. After an error the connection must be
    /// closed, since what follows refers to what was lost.
    pub fn decompress<'a>(&mut self, bytes: &'a [u8]) -> Result<Cow<'a, [u8]>, codec::FrameError> {
        let plain = match bytes.split_first() {
            Some((&PACKED, rest)) => Cow::Owned(self.unpacked(rest)?),
            _ => Cow::Borrowed(bytes),
        };
        self.history.keep(&plain);
        Ok(plain)
    }

    fn unpacked(&self, rest: &[u8]) -> Result<Vec<u8>, codec::FrameError> {
        let malformed = |reason: String| codec::FrameError::Malformed { reason };
        let split = rest.split_first_chunk::<PLAIN_LENGTH_BYTES>();
        let Some((length, block)) = split else {
            return Err(malformed("a packed frame without its length".to_owned()));
        };
        let length = usize::from(u16::from_be_bytes(*length));
        // A few bytes can stand for millions; no sender packs more than this.
        if length > PACKED_LIMIT {
            return Err(codec::FrameError::Oversized { length });
        }
        let plain = block::decompress_with_dict(block, length, &self.history.bytes)
            .map_err(|error| malformed(error.to_string()))?;
        if plain.len() == length {
            Ok(plain)
        } else {
            let found = plain.len();
            Err(malformed(format!(
                "{found} bytes unpacked, {length} announced"
            )))
        }
    }
}
