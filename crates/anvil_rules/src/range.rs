//! The accepted range of each number in a rule.
//!
//! The bounds keep a typing error from causing an outage. `docs/RULES.md` gives the reasons and the
//! safe defaults.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::destination;

/// Retries that a whole call chain may use; more would add load and rarely help.
pub const CHAIN_RETRIES: RangeInclusive<i64> = 0..=32;

/// Targets that one call may be sent to, including the first attempt.
pub const ATTEMPTS: RangeInclusive<i64> = 1..=33;

/// Weight of one part of a traffic split.
pub const WEIGHT: RangeInclusive<i64> = 0..=destination::MAX_WEIGHT as i64;

/// Retries that a node may send, in percent of its first attempts.
pub const RETRY_RATIO_PERCENT: RangeInclusive<i64> = 0..=100;

/// Targets that one request may crash before it is quarantined. It can't be zero, because only a
/// crash identifies such a request.
pub const CRASH_LIMIT: RangeInclusive<i64> = 1..=10;

/// First delay before a retry.
pub const BACKOFF: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(10);

/// Deadline of a root request.
pub const DEADLINE: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(600);

/// Longest wait in a queue; zero disables queueing.
pub const QUEUE_WAIT: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);

/// How long a quarantined request is refused.
pub const QUARANTINE: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(86_400);

/// Requests per second of one client account.
pub const ACCOUNT_RATE: RangeInclusive<i64> = 0..=10_000_000;

/// Requests of one client account that may arrive at once beyond its rate.
pub const ACCOUNT_BURST: RangeInclusive<i64> = 0..=100_000_000;

/// Longest text value, such as a pattern or a header value, in bytes.
pub const MAX_VALUE_BYTES: usize = 256;

/// Maximum number of entries of a list in a condition.
pub const MAX_LIST_ENTRIES: usize = 64;
