//! Answers that may not have reached their entry nodes.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{sorted, time};
use anvil_wire::{call, fate};

use crate::calls;

/// How long an answer is kept.
///
/// An entry node notices within a second that a connection has gone silent, and asks three times at
/// most, half a second apart.
pub const KEEP: Duration = Duration::from_secs(3);

/// Bytes kept at most; at 61 answers a second of 4 KB, three seconds take a fifth of it.
pub const KEEP_BYTES: usize = 4 * 1024 * 1024;

/// One kept answer, as its age and size are looked after.
#[derive(Clone, Copy, Debug)]
struct KeptPlace {
    until: time::NodeTime,
    id: fate::AttemptId,
    bytes: usize,
}

/// The last answers that this node gave to others.
///
/// Failure: a connection ends right behind an answer that was written to it. Symptom: the target has
/// filed the claim, and its caller is told "may have run". The entry node asks again over another
/// connection, and the answer is given once more. What is kept is bounded by age and by bytes; an answer
/// that is gone is told as "may have run", as it is today.
#[derive(Clone, Debug, Default)]
pub struct AnswerKeep {
    answers: sorted::SortedTable<fate::AttemptId, call::PeerAnswer>,
    order: VecDeque<KeptPlace>,
    bytes: usize,
}

impl AnswerKeep {
    /// Keeps an answer for as long as it may be asked for.
    pub fn keep(&mut self, now: time::NodeTime, answer: &call::PeerAnswer) {
        let body = answer.answer.as_ref().map(|whole| &whole.body[..]);
        let bytes = calls::frame_bytes(body.unwrap_or_default()) as usize;
        if bytes > KEEP_BYTES {
            return;
        }
        self.bytes += bytes;
        self.forget(now);
        let id = fate::AttemptId {
            call: answer.call,
            attempt: answer.attempt,
        };
        let until = now + KEEP;
        self.order.push_back(KeptPlace { until, id, bytes });
        self.answers.insert(id, answer.clone());
    }

    /// The answer to an attempt, where it is still kept.
    pub fn get(&self, id: fate::AttemptId) -> Option<&call::PeerAnswer> {
        self.answers.get(id)
    }

    /// Number of answers kept.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no answer is kept.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn forget(&mut self, now: time::NodeTime) {
        while let Some(oldest) = self.order.front().copied() {
            if oldest.until > now && self.bytes <= KEEP_BYTES {
                return;
            }
            self.order.pop_front();
            self.bytes -= oldest.bytes;
            self.answers.remove(oldest.id);
        }
    }
}
