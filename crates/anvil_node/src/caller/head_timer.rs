//! Tells a caller that is slow with a request's head from one that merely rests between requests.
//!
//! The HTTP library has one limit for both. Short, it would close the kept connections of callers
//! that ask seldom, and each new one costs them a millisecond; long, a caller that sends its head
//! byte by byte would hold its place for as long.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// No byte of the next head has arrived.
const RESTING: u64 = u64::MAX;

/// The body of a request is being read.
const READING_BODY: u64 = u64::MAX - 1;

/// A whole request is being served, and nothing came behind it.
const SERVING: u64 = u64::MAX - 2;

/// A whole request is being served, and the next head has begun.
const SERVING_WITH_MORE: u64 = u64::MAX - 3;

/// Where the reading of heads stands; shared by a connection's socket and its service, which run in
/// one task, so that plain loads and stores suffice.
#[derive(Debug)]
pub struct HeadTimer {
    opened: Instant,
    /// One of the states above, or when the head began, in microseconds since `opened`.
    state: AtomicU64,
}

impl HeadTimer {
    /// Starts with a connection that has sent nothing.
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            opened: Instant::now(),
            state: AtomicU64::new(RESTING),
        })
    }

    /// The head is whole and its body is read.
    pub fn begin_body(&self) {
        self.state.store(READING_BODY, Ordering::Relaxed);
    }

    /// The body is whole and the request is served.
    pub fn begin_serving(&self) {
        self.state.store(SERVING, Ordering::Relaxed);
    }

    /// The request is answered; the next head may come, or has begun.
    pub fn end_serving(&self) {
        let more = self.state.load(Ordering::Relaxed) == SERVING_WITH_MORE;
        let next = if more { self.now() } else { RESTING };
        self.state.store(next, Ordering::Relaxed);
    }

    /// Whether a head began longer than `limit` ago and is not whole yet.
    pub fn is_overdue(&self, limit: Duration) -> bool {
        let state = self.state.load(Ordering::Relaxed);
        let begun = state < SERVING_WITH_MORE;
        begun && self.now().saturating_sub(state) > micros(limit)
    }

    /// Bytes have come.
    pub fn record_read(&self) {
        match self.state.load(Ordering::Relaxed) {
            RESTING => self.state.store(self.now(), Ordering::Relaxed),
            // The library reads on while a request is served, to see the connection's end; a head
            // that begins then would otherwise never count.
            SERVING => self.state.store(SERVING_WITH_MORE, Ordering::Relaxed),
            _ => {}
        }
    }

    fn now(&self) -> u64 {
        micros(self.opened.elapsed())
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(SERVING_WITH_MORE - 1)
}
