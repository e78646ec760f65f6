//! A cache of sent answers, which may not have reached their entry nodes.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{sorted, time};
use anvil_wire::{call, outcome};

use crate::calls;

/// The bounds of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheBounds {
    /// How long an answer is retained.
    pub retention: Duration,
    /// Maximum number of bytes of retained answers.
    pub max_bytes: usize,
}

/// The bounds for answers to non-idempotent requests.
///
/// An entry node detects a silent connection within a second and then queries the outcome up to
/// three times, half a second apart. At 61 answers of 4 KB per second, three seconds use three
/// quarters of the bytes.
pub const NON_IDEMPOTENT_BOUNDS: CacheBounds = CacheBounds {
    retention: Duration::from_secs(3),
    max_bytes: 1024 * 1024,
};

/// The bounds for answers to idempotent requests.
///
/// These answers are many and large, and another target can run their requests, so they are only
/// retained for longer than their entry nodes wait: a silent connection is detected within a second,
/// and its query is answered within a quarter of one. At 400 answers of 2 KB per second, the bytes
/// hold the answers of 1.3 s.
pub const IDEMPOTENT_BOUNDS: CacheBounds = CacheBounds {
    retention: Duration::from_millis(1_500),
    max_bytes: 1024 * 1024,
};

/// The expiry and size of one cached answer.
#[derive(Clone, Copy, Debug)]
struct CachedEntry {
    until: time::NodeTime,
    id: outcome::AttemptId,
    bytes: usize,
}

/// The latest answers that this node sent to other nodes.
///
/// If a connection ends right after an answer was written to it, the answer is lost, and the caller
/// of a request that succeeded would be told that it may have run. With the cache, the entry node
/// queries the outcome over another connection and receives the answer again. The cache is bounded
/// by age and by bytes; an attempt whose answer was evicted is reported as "may have run".
#[derive(Clone, Debug)]
pub struct AnswerCache {
    bounds: CacheBounds,
    answers: sorted::SortedTable<outcome::AttemptId, call::PeerAnswer>,
    order: VecDeque<CachedEntry>,
    bytes: usize,
    evicted_early: u64,
}

impl AnswerCache {
    /// An empty cache.
    pub fn new(bounds: CacheBounds) -> Self {
        Self {
            bounds,
            answers: sorted::SortedTable::default(),
            order: VecDeque::new(),
            bytes: 0,
            evicted_early: 0,
        }
    }

    /// Adds an answer. One that exceeds the bound by itself is not cached.
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

    /// The answer to an attempt, if it is still cached.
    pub fn get(&self, id: outcome::AttemptId) -> Option<&call::PeerAnswer> {
        self.answers.get(id)
    }

    /// Number of answers that were evicted before their retention had ended, since the start.
    pub fn evicted_early(&self) -> u64 {
        self.evicted_early
    }

    /// Number of cached answers.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no answer is cached.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn evict(&mut self, now: time::NodeTime) {
        while let Some(oldest) = self.order.front().copied() {
            if oldest.until > now && self.bytes <= self.bounds.max_bytes {
                return;
            }
            self.order.pop_front();
            self.evicted_early += u64::from(oldest.until > now);
            self.bytes -= oldest.bytes;
            self.answers.remove(oldest.id);
        }
    }
}
