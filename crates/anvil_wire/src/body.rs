//! Large bodies, which cross a connection in parts in front of their frame.
//!
//! A frame that holds its whole body would have to be encoded, sealed and received in one piece: each
//! end would hold the body twice, and no other frame could pass it.

use anvil_types::ident;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::frame;

/// Longest body that a frame holds itself, and longest part of a longer one, in bytes.
pub const MAX_PART_BYTES: usize = 64 * 1024;

/// The frame that a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyOwner {
    /// The call.
    pub call: ident::CallId,
    /// The number of the attempt within the call.
    pub attempt: u16,
    /// Whether it is the answer's body and not the request's.
    pub is_answer: bool,
}

impl BodyOwner {
    /// The owner of the body of `frame`; none if the frame has no body.
    pub fn of(frame: &frame::PeerFrame) -> Option<Self> {
        match frame {
            frame::PeerFrame::Call(call) => Some(Self {
                call: call.call,
                attempt: call.attempt,
                is_answer: false,
            }),
            frame::PeerFrame::Answer(answer) => Some(Self {
                call: answer.call,
                attempt: answer.attempt,
                is_answer: true,
            }),
            _ => None,
        }
    }
}

/// One part of a body; its frame follows the last part on the same connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyPart {
    /// The frame that the body belongs to.
    pub owner: BodyOwner,
    /// Length of the whole body, in bytes.
    pub total: u32,
    /// The part, of at most [`MAX_PART_BYTES`].
    pub bytes: Bytes,
}

/// The body of a frame, to take out or put in; none if the frame has none.
pub fn body_mut(frame: &mut frame::PeerFrame) -> Option<&mut Bytes> {
    match frame {
        frame::PeerFrame::Call(call) => Some(&mut call.request.body),
        frame::PeerFrame::Answer(answer) => answer.answer.as_mut().map(|answer| &mut answer.body),
        _ => None,
    }
}
