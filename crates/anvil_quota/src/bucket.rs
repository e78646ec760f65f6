//! Tokens of one account: a share of its rate fills them, requests take them.

use std::time::Duration;

use anvil_types::{account, time};
use serde::Serialize;

/// Seconds of the rate that fit a bucket whose quota states no burst, so that requests which come
/// together by chance aren't refused.
const LEAST_BURST_SECONDS: f64 = 0.2;

/// The most requests that a home may have let in beyond its tokens and still have to earn.
const DEBT_SECONDS: f64 = 1.0;

/// Seconds of the rate that may have run over and still pay for requests told late: as long as they are
/// remembered.
const SPILL_SECONDS: f64 = 5.0;

/// Shortest pause told to a refused caller.
const PAUSE_LEAST: Duration = Duration::from_millis(100);

/// Longest pause told to a refused caller.
const PAUSE_MOST: Duration = Duration::from_secs(30);

/// How fast a bucket fills, and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BucketSize {
    /// Tokens a second.
    pub rate: f64,
    /// Most tokens.
    pub capacity: f64,
}

impl BucketSize {
    /// The bucket of a node that holds `share` of an account's quota.
    pub fn of(quota: account::AccountQuota, share: f64) -> Self {
        let burst = f64::from(quota.burst).max(quota.rate() * LEAST_BURST_SECONDS);
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
    /// Tokens that found the bucket full lately, or were withheld from it.
    spilled: f64,
}

impl TokenBucket {
    /// A bucket with `level` tokens.
    pub const fn new(now: time::NodeTime, level: f64) -> Self {
        Self {
            level,
            filled: now,
            spilled: 0.0,
        }
    }

    /// Adds what the time since the last look has brought.
    pub fn fill(&mut self, now: time::NodeTime, size: BucketSize) {
        let seconds = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        let level = self.level + seconds * size.rate;
        self.level = level.min(size.capacity);
        let spilled = self.spilled + (level - self.level);
        self.spilled = spilled.min(size.rate * SPILL_SECONDS);
    }

    /// Takes tokens for requests that were let in elsewhere while this bucket filled.
    ///
    /// Failure: such requests are told late and all at once, and the bucket has run over meanwhile. Symptom:
    /// an account within its quota is in debt and refused. Had they come here one by one, less would have
    /// run over, so what ran over pays for them first.
    pub fn charge_late(&mut self, count: i32, size: BucketSize) {
        let paid = f64::from(count).min(self.spilled).max(0.0);
        self.spilled -= paid;
        self.charge(count - paid.floor() as i32, size);
    }

    /// Takes one token where there is one.
    pub fn take(&mut self) -> bool {
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }

    /// Takes tokens for requests that were let in already; a negative number gives some back.
    pub fn charge(&mut self, count: i32, size: BucketSize) {
        let debt = size.rate * DEBT_SECONDS + size.capacity;
        self.level = (self.level - f64::from(count)).clamp(-debt, size.capacity);
    }

    /// Withholds tokens beyond `most`; they pay for requests that are told late.
    pub fn cap(&mut self, most: f64) {
        self.spilled = (self.level - most).max(0.0);
        self.level = self.level.min(most);
    }

    /// Tokens left; below zero where more was let in than there were.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Time until there is a token again.
    pub fn time_until_token(&self, size: BucketSize) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let most = PAUSE_MOST.as_secs_f64();
        let seconds = match size.rate > 0.0 {
            true => (missing / size.rate).min(most),
            false => most,
        };
        Duration::from_secs_f64(seconds).max(PAUSE_LEAST)
    }
}
