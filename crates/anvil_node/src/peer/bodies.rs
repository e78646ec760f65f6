//! Sends large bodies in parts, and puts received ones together.

use std::collections::VecDeque;

use anvil_wire::{body, frame};
use bytes::Bytes;

use crate::{counters, memory};

/// A frame whose large body is sent in front of it.
#[derive(Debug)]
struct LargeFrame {
    /// The frame without its body.
    frame: frame::PeerFrame,
    owner: body::BodyOwner,
    body: Bytes,
    sent: usize,
}

/// The frames of a connection that wait for their bodies to be sent, oldest first.
///
/// Other frames pass them, so that a small request does not wait for the large ones.
#[derive(Debug, Default)]
pub struct LargeFrames {
    waiting: VecDeque<LargeFrame>,
}

impl LargeFrames {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes a frame whose body is too large for it; returns any other frame.
    pub fn take(&mut self, mut frame: frame::PeerFrame) -> Option<frame::PeerFrame> {
        if let frame::PeerFrame::Cancel { call, attempt } = frame {
            let cancelled = body::BodyOwner {
                call,
                attempt,
                is_answer: false,
            };
            self.waiting.retain(|large| large.owner != cancelled);
            return Some(frame);
        }
        let Some(owner) = body::BodyOwner::of(&frame) else {
            return Some(frame);
        };
        match body::body_mut(&mut frame) {
            Some(content) if content.len() > body::MAX_PART_BYTES => {
                let content = std::mem::take(content);
                self.waiting.push_back(LargeFrame {
                    frame,
                    owner,
                    body: content,
                    sent: 0,
                });
                None
            }
            _ => Some(frame),
        }
    }

    /// The next frame to send: a part of the oldest body, or the frame itself after the last part.
    pub fn next_frame(&mut self) -> Option<frame::PeerFrame> {
        let large = self.waiting.front_mut()?;
        if large.sent == large.body.len() {
            return self.waiting.pop_front().map(|large| large.frame);
        }
        let end = large.body.len().min(large.sent + body::MAX_PART_BYTES);
        let part = body::BodyPart {
            owner: large.owner,
            total: u32::try_from(large.body.len()).unwrap_or(u32::MAX),
            bytes: large.body.slice(large.sent..end),
        };
        large.sent = end;
        Some(frame::PeerFrame::Body(Box::new(part)))
    }

    /// The waiting frames with their bodies. The other side has none of them, since a frame comes
    /// after its body.
    pub fn into_unsent(self) -> Vec<frame::PeerFrame> {
        let restored = self.waiting.into_iter().map(|mut large| {
            if let Some(content) = body::body_mut(&mut large.frame) {
                *content = large.body;
            }
            large.frame
        });
        restored.collect()
    }
}

/// A body of which parts have been received.
#[derive(Debug)]
struct PartialBody {
    owner: body::BodyOwner,
    total: usize,
    /// None if no memory was left for it.
    buffer: Option<memory::BodyBuffer>,
}

/// A received frame with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceivedFrame {
    /// It is complete.
    Whole(frame::PeerFrame),
    /// No memory was left for its body.
    WithoutBody(frame::PeerFrame),
}

/// Puts the bodies together that a connection receives in parts.
#[derive(Debug)]
pub struct BodyAssembly {
    memory: memory::BodyMemory,
    partial: Option<PartialBody>,
}

impl BodyAssembly {
    /// Keeps bodies in `memory`.
    pub fn new(memory: memory::BodyMemory) -> Self {
        let partial = None;
        Self { memory, partial }
    }

    /// Adds a part. Parts of two bodies never alternate, so one of another body replaces what there
    /// was, whose call was cancelled.
    pub fn add(&mut self, part: &body::BodyPart) {
        if self
            .partial
            .as_ref()
            .is_none_or(|partial| partial.owner != part.owner)
        {
            let total = usize::try_from(part.total).unwrap_or(usize::MAX);
            let buffer = memory::BodyBuffer::new(&self.memory, kind_of(part.owner), total);
            self.partial = Some(PartialBody {
                owner: part.owner,
                total,
                buffer: Some(buffer),
            });
        }
        let Some(partial) = &mut self.partial else {
            return;
        };
        if let Some(buffer) = &mut partial.buffer
            && (buffer.len() + part.bytes.len() > partial.total
                || buffer.try_push(&part.bytes).is_err())
        {
            partial.buffer = None;
        }
    }

    /// Completes a frame with the body that was received in front of it, or gives its own body a
    /// lease.
    pub fn complete(&mut self, mut frame: frame::PeerFrame) -> ReceivedFrame {
        if let frame::PeerFrame::Cancel { call, attempt } = frame {
            let is_cancelled = |partial: &mut PartialBody| {
                let owner = partial.owner;
                owner.call == call && owner.attempt == attempt && !owner.is_answer
            };
            self.partial.take_if(is_cancelled);
            return ReceivedFrame::Whole(frame);
        }
        let Some(owner) = body::BodyOwner::of(&frame) else {
            return ReceivedFrame::Whole(frame);
        };
        let partial = self.partial.take_if(|partial| partial.owner == owner);
        let Some(content) = body::body_mut(&mut frame) else {
            return ReceivedFrame::Whole(frame);
        };
        let whole = match partial {
            Some(PartialBody { total, buffer, .. }) => {
                let buffer = buffer.filter(|buffer| buffer.len() == total);
                buffer.and_then(|buffer| buffer.finish().ok())
            }
            None => self
                .memory
                .own(kind_of(owner), std::mem::take(content))
                .ok(),
        };
        if let Some(whole) = whole {
            *content = whole;
            return ReceivedFrame::Whole(frame);
        }
        self.memory.record_refusal(match owner.is_answer {
            true => counters::EdgeCause::PeerAnswerNoMemory,
            false => counters::EdgeCause::PeerCallNoMemory,
        });
        ReceivedFrame::WithoutBody(frame)
    }
}

fn kind_of(owner: body::BodyOwner) -> memory::BodyKind {
    match owner.is_answer {
        true => memory::BodyKind::Answer,
        false => memory::BodyKind::Request,
    }
}
