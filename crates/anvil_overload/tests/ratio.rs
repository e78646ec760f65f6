//! Retries of one node and their pauses, in injected time.

use std::time::Duration;

use anvil_overload::{backoff, ratio};
use anvil_testkit::test_cases;
use anvil_types::time;
use rand_core::SeedableRng;

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

/// Retries that are allowed if every first attempt of ten seconds asks for one.
fn allowed(attempts: u64, percent: u8) -> u64 {
    let mut budget = ratio::RetryBudget::new(at(0));
    let mut allowed = 0;
    for attempt in 0..attempts {
        budget.first_attempt(percent);
        allowed += u64::from(budget.spend(at(attempt * 10_000 / attempts)));
    }
    allowed
}

// A service refuses everything and every request would be sent again. The naive version doubles
// the load; the budget adds its share, its burst and two a second.
fn retries_are_a_share(attempts: u64, percent: u8, most: u64) {
    let allowed = allowed(attempts, percent);
    assert!(allowed <= most, "{allowed} of {attempts}");
    assert!(allowed >= most * 9 / 10, "{allowed} of {attempts}");
}

test_cases! {
    retries_are_a_share:
    ten_percent_of_many => (10_000, 10, 1_000 + ratio::RATIO_BURST + 20),
    none_of_many => (10_000, 0, ratio::RATIO_BURST + 20),
    ten_percent_of_few => (100, 10, 10 + ratio::RATIO_BURST + 20),
}

// Quiet hours save no more than the burst.
#[test]
fn savings_are_bounded() {
    let mut budget = ratio::RetryBudget::new(at(0));
    for _ in 0..100_000 {
        budget.first_attempt(100);
    }
    let allowed = (0..100).filter(|_| budget.spend(at(3_600_000))).count();
    assert_eq!(allowed as u64, ratio::RATIO_BURST);
}

// Requests that failed together come back apart, later each time, and never beyond a bound.
#[test]
fn pauses_grow_and_differ() {
    let mut source = rand_pcg::Pcg32::seed_from_u64(3);
    let first = Duration::from_millis(20);
    for (retry, whole) in [(1, 20), (2, 40), (5, 320), (7, 1_280), (60_000, 1_280)] {
        let whole = Duration::from_millis(whole);
        let mut pauses: Vec<Duration> = (0..100)
            .map(|_| backoff::pause(first, retry, &mut source))
            .collect();
        assert!(
            pauses
                .iter()
                .all(|pause| *pause >= whole / 2 && *pause <= whole)
        );
        pauses.sort();
        pauses.dedup();
        assert!(pauses.len() > 90);
    }
}
