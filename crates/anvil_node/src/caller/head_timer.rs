//! Distinguishes a caller that is slow to send a request head from one that is idle between
//! requests.
//!
//! The HTTP library has a single timeout for both. A short one would close the idle connections of
//! callers that send few requests, and each new connection costs them a millisecond. With a long
//! one, a caller that sends its head byte by byte could occupy a connection for just as long.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// State: no byte of the next head has arrived.
const IDLE: u64 = u64::MAX;

/// State: the body of a request is being read.
const READING_BODY: u64 = u64::MAX - 1;

/// State: a complete request is being served, and nothing was received after it.
const SERVING: u64 = u64::MAX - 2;

/// State: a complete request is being served, and the next head has begun to arrive.
const SERVING_WITH_MORE: u64 = u64::MAX - 3;

/// State: the answer is being written, and nothing was received after its request.
const WRITING: u64 = u64::MAX - 4;

/// State: the answer is being written, and the next head has begun to arrive.
const WRITING_WITH_MORE: u64 = u64::MAX - 5;

/// Times the heads of one connection.
///
/// It is shared by the connection's socket and its service. Both run in one task, so no atomic
/// read-modify-write operations are needed.
#[derive(Debug)]
pub struct HeadTimer {
    opened_at: Instant,
    /// One of the states above, or the time at which the head began, in microseconds since
    /// `opened_at`.
    state: AtomicU64,
}

impl HeadTimer {
    /// The timer of a new connection, which has sent nothing.
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            opened_at: Instant::now(),
            state: AtomicU64::new(IDLE),
        })
    }

    /// Notes that a head is complete and its body is being read.
    pub fn begin_body(&self) {
        self.state.store(READING_BODY, Ordering::Relaxed);
    }

    /// Notes that the body is complete and the request is being served.
    pub fn begin_serving(&self) {
        self.state.store(SERVING, Ordering::Relaxed);
    }

    /// Notes that the answer to the request is about to be written; the next head may have begun to
    /// arrive.
    pub fn end_serving(&self) {
        let more = self.state.load(Ordering::Relaxed) == SERVING_WITH_MORE;
        let next = if more { WRITING_WITH_MORE } else { WRITING };
        self.state.store(next, Ordering::Relaxed);
    }

    /// Notes that everything so far is written, so the next head is read from here on.
    ///
    /// The caller may read a long answer slowly. A refusal of the next head that is written
    /// meanwhile would become a part of that answer.
    pub fn record_written(&self) {
        match self.state.load(Ordering::Relaxed) {
            WRITING => self.state.store(IDLE, Ordering::Relaxed),
            WRITING_WITH_MORE => self.state.store(self.now(), Ordering::Relaxed),
            _ => {}
        }
    }

    /// Whether a head began longer than `limit` ago and is still incomplete.
    pub fn is_overdue(&self, limit: Duration) -> bool {
        let state = self.state.load(Ordering::Relaxed);
        let begun = state < WRITING_WITH_MORE;
        begun && self.now().saturating_sub(state) > micros(limit)
    }

    /// Notes that bytes were read.
    pub fn record_read(&self) {
        match self.state.load(Ordering::Relaxed) {
            IDLE => self.state.store(self.now(), Ordering::Relaxed),
            // The socket is read while a request is served, to notice the end of the connection. A
            // head that begins meanwhile would otherwise never be timed.
            SERVING => self.state.store(SERVING_WITH_MORE, Ordering::Relaxed),
            WRITING => self.state.store(WRITING_WITH_MORE, Ordering::Relaxed),
            _ => {}
        }
    }

    fn now(&self) -> u64 {
        micros(self.opened_at.elapsed())
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(WRITING_WITH_MORE - 1)
}
