//! Retries of one node as a share of its first attempts; see `docs/design/retries.md`.

use anvil_types::time;
use serde::Serialize;

/// Retries that may come in one burst.
pub const RATIO_BURST: u64 = 20;

/// Retries that a node may add each second however few requests it sends, so that the share
/// does not forbid every retry where traffic is thin.
pub const RATIO_FLOOR_PER_SECOND: u64 = 2;

/// One retry, in the unit of the budget: micro-retries.
const RETRY: u64 = 1_000_000;

/// A token bucket that first attempts fill and retries empty.
///
/// The chain's allowance bounds the retries of one root; this bounds those of many roots
/// together, which could still double the load of a service that refuses most of its requests.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    tokens: u64,
    filled: time::NodeTime,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(now: time::NodeTime) -> Self {
        Self {
            tokens: RATIO_BURST * RETRY,
            filled: now,
        }
    }

    /// Counts a first attempt whose rule allows `percent` retries for each hundred.
    pub fn first_attempt(&mut self, percent: u8) {
        self.add(u64::from(percent) * RETRY / 100);
    }

    /// Spends one retry; false where the share is used up.
    pub fn spend(&mut self, now: time::NodeTime) -> bool {
        let micros = u64::try_from(now.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        self.add(micros.saturating_mul(RATIO_FLOOR_PER_SECOND));
        self.filled = now;
        let allowed = self.tokens >= RETRY;
        if allowed {
            self.tokens -= RETRY;
        }
        allowed
    }

    fn add(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_add(tokens).min(RATIO_BURST * RETRY);
    }
}
