//! Answers that may not have reached their entry nodes.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{sorted, time};
use anvil_wire::{call, outcome};

use crate::calls;

/// How much is kept, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheBounds {
    /// How long an answer is kept.
    pub retention: Duration,
    /// Bytes of bodies kept at most.
    pub max_bytes: usize,
}

/// For answers to requests that must not run again.
///
/// An entry node notices within a second that a connection has gone silent, and asks three times at
/// most, half a second apart. At 61 answers a second of 4 KB, three seconds take three quarters of the
/// bytes.
pub const NON_IDEMPOTENT_BOUNDS: CacheBounds = CacheBounds {
    retention: Duration::from_secs(3),
    max_bytes: 1024 * 1024,
};

/// For the other answers, which are many and large, and whose requests another target can run: for
/// longer than their entry nodes wait. One bound of 4 MB and three seconds for all answers would take
/// 4.3 MB more of each of 14 nodes under usual load, and these 1.5 MB, for the same whole answers
/// (resident memory over a day of 108 s, once each).
pub const IDEMPOTENT_BOUNDS: CacheBounds = CacheBounds {
    retention: Duration::from_millis(1_500),
    max_bytes: 256 * 1024,
};

/// One kept answer, as its age and size are looked after.
#[derive(Clone, Copy, Debug)]
struct CachedEntry {
    until: time::NodeTime,
    id: outcome::AttemptId,
    bytes: usize,
}

/// The last answers that this node gave to others.
///
/// Failure: a connection ends right behind an answer that was written to it. Symptom: the target has
/// filed the claim, and its caller is told "may have run". The entry node asks again over another
/// connection, and the answer is given once more. What is kept is bounded by age and by bytes; an answer
/// that is gone is told as "may have run", as it is today.
#[derive(Clone, Debug)]
pub struct AnswerCache {
    bounds: CacheBounds,
    answers: sorted::SortedTable<outcome::AttemptId, call::PeerAnswer>,
    order: VecDeque<CachedEntry>,
    bytes: usize,
}

impl AnswerCache {
    /// Keeps nothing yet.
    pub fn new(bounds: CacheBounds) -> Self {
        Self {
            bounds,
            answers: sorted::SortedTable::default(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Keeps an answer for as long as it may be asked for.
    pub fn insert(&mut self, now: time::NodeTime, answer: &call::PeerAnswer) {
        let body = answer.answer.as_ref().map(|whole| &whole.body[..]);
        let bytes = calls::frame_bytes(body.unwrap_or_default()) as usize;
        if bytes > self.bounds.max_bytes {
            return;
        }
        self.bytes += bytes;
        self.evict(now);
        let id = answer.attempt_id();
        let until = now + self.bounds.retention;
        self.order.push_back(CachedEntry { until, id, bytes });
        self.answers.insert(id, answer.clone());
    }

    /// The answer to an attempt, where it is still kept.
    pub fn get(&self, id: outcome::AttemptId) -> Option<&call::PeerAnswer> {
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

    fn evict(&mut self, now: time::NodeTime) {
        while let Some(oldest) = self.order.front().copied() {
            if oldest.until > now && self.bytes <= self.bounds.max_bytes {
                return;
            }
            self.order.pop_front();
            self.bytes -= oldest.bytes;
            self.answers.remove(oldest.id);
        }
    }
}
