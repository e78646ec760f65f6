//! Exponential backoff before retries; see `docs/design/retries.md`.

use std::time::Duration;

use rand_core::Rng;

/// Number of doublings after which the pause no longer grows.
pub const DOUBLINGS: u32 = 6;

/// Returns the pause before retry number `retry`, counted from one: `first` doubled for each
/// earlier retry, of which a random share between a half and one is used.
///
/// Without jitter, requests that failed together would be retried together.
pub fn pause<Source>(first: Duration, retry: u16, source: &mut Source) -> Duration
where
    Source: Rng,
{
    let doublings = u32::from(retry.saturating_sub(1)).min(DOUBLINGS);
    let whole = first.saturating_mul(1 << doublings);
    let micros = u64::try_from(whole.as_micros()).unwrap_or(u64::MAX / 2);
    let jitter = source.next_u64() % (micros / 2 + 1);
    Duration::from_micros(micros / 2 + jitter)
}
