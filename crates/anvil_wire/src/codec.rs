//! Length-prefixed `postcard` frames.

use derive_more::{Display, Error};

use crate::frame;

/// Maximum size of the body of a request or answer, in bytes; see `docs/OPERATIONS.md`.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of an encoded frame, in bytes: a body of maximum size, its headers and the context.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 256 * 1024;

/// Size of the big-endian length prefix of each frame, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Why a frame was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`], or longer than a compressed frame may be.
    #[display("a frame of {length} bytes is above the limit")]
    Oversized {
        /// The length of the frame, in bytes.
        length: usize,
    },
    /// The bytes are not a frame of this protocol version.
    #[display("the bytes are not a valid frame: {reason}")]
    Malformed {
        /// The decoder's error.
        #[error(not(source))]
        reason: String,
    },
}

/// Encodes a frame with its length prefix.
///
/// Fails if the frame is longer than [`MAX_FRAME_BYTES`].
pub fn encode_frame(frame: &frame::PeerFrame) -> Result<Vec<u8>, FrameError> {
    let bytes = postcard::to_extend(frame, vec![0; LENGTH_BYTES]);
    let mut bytes = bytes.map_err(|error| malformed(&error))?;
    let length = bytes.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Oversized { length });
    }
    let prefix = u32::try_from(length).map_err(|_| FrameError::Oversized { length })?;
    bytes[..LENGTH_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(bytes)
}

/// Decodes and checks a length prefix, so that no peer can make a node allocate more than a frame.
pub fn check_length(prefix: [u8; LENGTH_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Oversized { length });
    }
    Ok(length)
}

/// Decodes the bytes after a length prefix; trailing bytes are an error.
pub fn decode_frame(bytes: &[u8]) -> Result<frame::PeerFrame, FrameError> {
    let (frame, rest) = postcard::take_from_bytes(bytes).map_err(|error| malformed(&error))?;
    if !rest.is_empty() {
        let reason = format!("{} trailing bytes", rest.len());
        return Err(FrameError::Malformed { reason });
    }
    Ok(frame)
}

pub(crate) fn malformed(error: &postcard::Error) -> FrameError {
    FrameError::Malformed {
        reason: error.to_string(),
    }
}
