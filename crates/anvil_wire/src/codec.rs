//! Length-prefixed `postcard` frames.

use derive_more::{Display, Error};

use crate::frame;

/// Largest body of a request or an answer, in bytes; see `docs/OPERATIONS.md`.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Largest encoded frame, in bytes: a body at its limit, its headers and the context.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 256 * 1024;

/// Bytes of the length that precedes each frame, big-endian.
pub const LENGTH_BYTES: usize = 4;

/// Why a frame was refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FrameError {
    /// The length is above [`MAX_FRAME_BYTES`].
    #[display("a frame of {length} bytes is above the limit")]
    Oversized {
        /// The length announced.
        length: usize,
    },
    /// The bytes are no frame of this version.
    #[display("the bytes are no frame: {reason}")]
    Malformed {
        /// What the decoder said.
        #[error(not(source))]
        reason: String,
    },
}

/// Encodes one frame with its length in front.
///
/// Fails where the frame is above [`MAX_FRAME_BYTES`].
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

/// Checks the length in front of a frame, so that no peer makes a node reserve more.
pub fn check_length(prefix: [u8; LENGTH_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Oversized { length });
    }
    Ok(length)
}

/// Decodes the bytes behind a length; trailing bytes are an error.
pub fn decode_frame(bytes: &[u8]) -> Result<frame::PeerFrame, FrameError> {
    let (frame, rest) = postcard::take_from_bytes(bytes).map_err(|error| malformed(&error))?;
    if !rest.is_empty() {
        let reason = format!("{} bytes behind its end", rest.len());
        return Err(FrameError::Malformed { reason });
    }
    Ok(frame)
}

pub(crate) fn malformed(error: &postcard::Error) -> FrameError {
    FrameError::Malformed {
        reason: error.to_string(),
    }
}
