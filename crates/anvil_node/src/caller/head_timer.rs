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

    /// Notes that the request is answered; the next head may have begun to arrive.
    pub fn end_serving(&self) {
        let more = self.state.load(Ordering::Relaxed) == SERVING_WITH_MORE;
        let next = if more { self.now() } else { IDLE };
        self.state.store(next, Ordering::Relaxed);
    }

    /// Whether a head began longer than `limit` ago and is still incomplete.
    pub fn is_overdue(&self, limit: Duration) -> bool {
        let state = self.state.load(Ordering::Relaxed);
        let begun = state < SERVING_WITH_MORE;
        begun && self.now().saturating_sub(state) > micros(limit)
    }

    /// Notes that bytes were read.
    pub fn record_read(&self) {
        match self.state.load(Ordering::Relaxed) {
            IDLE => self.state.store(self.now(), Ordering::Relaxed),
            // The socket is read while a request is served, to notice the end of the connection. A
            // head that begins meanwhile would otherwise never be timed.
            SERVING => self.state.store(SERVING_WITH_MORE, Ordering::Relaxed),
            _ => {}
        }
    }

    fn now(&self) -> u64 {
        micros(self.opened_at.elapsed())
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(SERVING_WITH_MORE - 1)
}
