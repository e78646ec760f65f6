//! Exponential backoff with jitter.

use std::time::Duration;

/// Number of doublings after which a pause stops growing.
const MAX_DOUBLINGS: u32 = 16;

/// Computes retry pauses that double from an initial value up to a maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Starts with a pause of `initial`; no pause is longer than `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Records a failure and returns the pause before the next attempt; `random` is any random
    /// number.
    ///
    /// Half of the pause is jitter: nodes that failed at the same moment, as in an outage of the
    /// store, would otherwise all retry at the same moment too.
    pub fn next_pause(&mut self, random: u64) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let pause = self.initial.saturating_mul(1 << doublings).min(self.max);
        let half = pause / 2;
        let micros = u64::try_from(half.as_micros()).unwrap_or(u64::MAX);
        half + Duration::from_micros(random % micros.saturating_add(1))
    }

    /// Resets the pause to its initial value after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Number of failures since the last success.
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
