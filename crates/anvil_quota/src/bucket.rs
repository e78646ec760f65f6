//! Token bucket of one account, refilled with a share of its rate.

use std::time::Duration;

use anvil_types::{account, time};
use serde::Serialize;

/// Capacity of a bucket whose quota has no burst, in seconds of its rate, so that requests that
/// arrive close together are not refused.
const MIN_BURST_SECONDS: f64 = 0.2;

/// Maximum number of requests that a home may have admitted beyond its tokens and must still earn,
/// in seconds of the rate.
const MAX_DEBT_SECONDS: f64 = 1.0;

/// Maximum overflow that can pay for requests that are reported late, in seconds of the rate;
/// requests are remembered for as long.
const MAX_SPILL_SECONDS: f64 = 5.0;

/// Shortest pause that a refused caller is given.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause that a refused caller is given.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Refill rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BucketSize {
    /// Tokens a second.
    pub rate: f64,
    /// Maximum number of tokens.
    pub capacity: f64,
}

impl BucketSize {
    /// The size for a node that holds `share` of an account's quota.
    pub fn of(quota: account::AccountQuota, share: f64) -> Self {
        let burst = f64::from(quota.burst).max(quota.rate() * MIN_BURST_SECONDS);
        Self {
            rate: quota.rate() * share,
            capacity: (burst * share).max(1.0),
        }
    }
}

/// A token bucket whose size may change.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TokenBucket {
    level: f64,
    filled: time::NodeTime,
    /// Tokens that recently overflowed the full bucket, or were withheld from it.
    spilled: f64,
}

impl TokenBucket {
    /// Creates a bucket with `level` tokens.
    pub const fn new(now: time::NodeTime, level: f64) -> Self {
        Self {
            level,
            filled: now,
            spilled: 0.0,
        }
    }

    /// Adds the tokens that have accrued since the last call.
    pub fn fill(&mut self, now: time::NodeTime, size: BucketSize) {
        let seconds = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        let level = self.level + seconds * size.rate;
        self.level = level.min(size.capacity);
        let spilled = self.spilled + (level - self.level);
        self.spilled = spilled.min(size.rate * MAX_SPILL_SECONDS);
    }

    /// Takes tokens for requests that another node admitted while this bucket was filling.
    ///
    /// Such requests are reported late and all at once, while this bucket may have overflowed. An
    /// account within its quota would then be in debt and refused. Had the requests arrived here
    /// one by one, less would have overflowed, so the overflow pays for them first.
    pub fn charge_late(&mut self, count: i32, size: BucketSize) {
        let paid = f64::from(count).min(self.spilled).max(0.0);
        self.spilled -= paid;
        self.charge(count - paid.floor() as i32, size);
    }

    /// Takes one token; returns false if there is none.
    pub fn take(&mut self) -> bool {
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }

    /// Takes tokens for requests that were already admitted; a negative count returns tokens.
    pub fn charge(&mut self, count: i32, size: BucketSize) {
        let debt = size.rate * MAX_DEBT_SECONDS + size.capacity;
        self.level = (self.level - f64::from(count)).clamp(-debt, size.capacity);
    }

    /// Withholds tokens beyond `max`; they pay for requests that are reported late.
    pub fn cap(&mut self, max: f64) {
        self.spilled = (self.level - max).max(0.0);
        self.level = self.level.min(max);
    }

    /// Tokens left; negative if more requests were admitted than there were tokens.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Time until the next token.
    pub fn time_until_token(&self, size: BucketSize) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let max = MAX_PAUSE.as_secs_f64();
        let seconds = match size.rate > 0.0 {
            true => (missing / size.rate).min(max),
            false => max,
        };
        Duration::from_secs_f64(seconds).max(MIN_PAUSE)
    }
}
