//! The budget of one node's store calls, and the backoff after failures.

use std::time::Duration;

use anvil_store::budget;
use anvil_types::{backoff, time};

fn limits() -> budget::BudgetLimits {
    budget::BudgetLimits {
        interval: Duration::from_millis(100),
        burst: 3,
        concurrent: 2,
    }
}

#[test]
fn calls_beyond_the_burst_wait_for_the_rate() {
    let start = time::NodeTime::from_millis(0);
    let mut budget = budget::CallBudget::new(limits(), start);
    for _ in 0..3 {
        assert_eq!(budget.begin(start), Ok(()));
        budget.end();
    }
    let until = time::NodeTime::from_millis(100);
    assert_eq!(
        budget.begin(start),
        Err(budget::BudgetRefusal::Spent { until })
    );
    assert_eq!(budget.begin(until), Ok(()));
}

#[test]
fn an_hour_of_demand_stays_within_the_rate() {
    let mut budget = budget::CallBudget::new(limits(), time::NodeTime::START);
    let mut calls = 0;
    for millis in 0..3_600_000 {
        if budget.begin(time::NodeTime::from_millis(millis)).is_ok() {
            budget.end();
            calls += 1;
        }
    }
    assert!((35_990..=36_003).contains(&calls), "{calls} calls");
}

#[test]
fn concurrent_calls_are_limited() {
    let now = time::NodeTime::from_millis(5);
    let mut budget = budget::CallBudget::new(limits(), now);
    assert_eq!(budget.begin(now), Ok(()));
    assert_eq!(budget.begin(now), Ok(()));
    assert_eq!(budget.begin(now), Err(budget::BudgetRefusal::Busy));
    budget.end();
    assert_eq!(budget.begin(now), Ok(()));
}

#[test]
fn pauses_double_up_to_the_limit_and_are_spread() {
    let limit = Duration::from_secs(2);
    let mut backoff = backoff::RetryBackoff::new(Duration::from_millis(100), limit);
    let pauses: Vec<_> = (0..8).map(|_| backoff.next_pause(u64::MAX / 3)).collect();
    for (index, pause) in pauses.iter().enumerate() {
        let full = limit.min(Duration::from_millis(100 << index));
        assert!(
            *pause >= full / 2 && *pause <= full,
            "{pause:?} of {full:?}"
        );
    }
    let mut other = backoff::RetryBackoff::new(Duration::from_millis(100), limit);
    assert_ne!(
        other.next_pause(1_234),
        pauses[0],
        "the pauses of two nodes must differ"
    );
    backoff.reset();
    assert!(backoff.next_pause(0) <= Duration::from_millis(100));
}
