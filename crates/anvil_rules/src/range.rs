//! The range of each number that a rule may set.
//!
//! Each bound keeps a typing error from turning into an outage; the reasons and the safe defaults
//! stand in `docs/RULES.md`.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::destination;

/// Retries of a whole chain; more than this is load, not help.
pub const CHAIN_RETRIES: RangeInclusive<i64> = 0..=32;

/// Targets that one call may be sent to; the first attempt is one of them.
pub const ATTEMPTS: RangeInclusive<i64> = 1..=33;

/// Weight of one part of a split.
pub const WEIGHT: RangeInclusive<i64> = 0..=destination::MAX_WEIGHT as i64;

/// Retries that a node may add, in percent of its first attempts.
pub const RETRY_RATIO_PERCENT: RangeInclusive<i64> = 0..=100;

/// Targets that one request may crash; at least one crash must have happened.
pub const CRASH_LIMIT: RangeInclusive<i64> = 1..=10;

/// First pause before a retry.
pub const BACKOFF: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(10);

/// Longest time of a root request.
pub const DEADLINE: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(600);

/// Longest wait in a queue; zero means that nothing waits.
pub const QUEUE_WAIT: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);

/// How long a quarantined request stays refused.
pub const QUARANTINE: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(86_400);

/// Requests a second of one client account.
pub const ACCOUNT_RATE: RangeInclusive<i64> = 0..=10_000_000;

/// Requests of one client account that may come at once beyond its rate.
pub const ACCOUNT_BURST: RangeInclusive<i64> = 0..=100_000_000;

/// Longest pattern, header name or header value, in bytes.
pub const MAX_VALUE_BYTES: usize = 256;

/// Most entries of one list in a condition.
pub const MAX_LIST_ENTRIES: usize = 64;
