//! Pauses between attempts that grow, with jitter.

use std::time::Duration;

/// Doublings after which a pause grows no further.
const DOUBLINGS_LIMIT: u32 = 16;

/// Pauses that double from the first one up to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    first: Duration,
    limit: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Starts at `first`; no pause is longer than `limit`.
    pub const fn new(first: Duration, limit: Duration) -> Self {
        Self {
            first,
            limit,
            failures: 0,
        }
    }

    /// The pause after one more failure; `draw` is any random number.
    ///
    /// Half of the pause is random: nodes that failed at the same moment, as in an outage of the
    /// store, would otherwise all come back at the same moment too.
    pub fn next_pause(&mut self, draw: u64) -> Duration {
        let doublings = self.failures.min(DOUBLINGS_LIMIT);
        self.failures = self.failures.saturating_add(1);
        let whole = self.first.saturating_mul(1 << doublings).min(self.limit);
        let half = whole / 2;
        let micros = u64::try_from(half.as_micros()).unwrap_or(u64::MAX);
        half + Duration::from_micros(draw % micros.saturating_add(1))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
