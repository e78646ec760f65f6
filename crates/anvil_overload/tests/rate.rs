//! The rate that a target names, and the requests that pass at it.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_overload::{admission, policy, rank, rate};
use anvil_testkit::test_cases;
use anvil_types::{context, rate as rates, time};
use proptest::prelude::*;

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

fn per_second(rate: f64) -> rates::RequestRate {
    rate.to_string().parse().unwrap()
}

fn call(id: u64, now: time::NodeTime) -> admission::WaitingCall {
    let lane = context::LaneHash(u8::try_from(id % 256).unwrap());
    admission::WaitingCall {
        id,
        rank: rank::CallRank {
            class: context::PriorityClass::Normal,
            by_rule: None,
            depth: 0,
            lane: std::cmp::Reverse(lane),
        },
        deadline: now + Duration::from_secs(5),
        queue_wait: Duration::from_secs(2),
        suspect: false,
    }
}

/// Offers a request every `gap` milliseconds, names the rates at their times, and returns when
/// requests started.
fn starts(gap: u64, named: &[(u64, Option<f64>)], until: u64) -> Vec<time::NodeTime> {
    let policy = policy::OverloadPolicy {
        adaptive_limit: false,
        ..policy::OverloadPolicy::FULL
    };
    let mut queue = admission::AdmissionQueue::warm(at(0), 1_000, policy);
    let (mut started, mut named) = (Vec::new(), named.iter().peekable());
    for millis in 0..until {
        let now = at(millis);
        while let Some((_, stated)) = named.next_if(|(from, _)| *from <= millis) {
            queue.rate_mut().record(now, stated.map(per_second));
        }
        let mut decisions = Vec::new();
        if millis.is_multiple_of(gap) {
            decisions.extend(queue.offer(now, call(millis + 1, now)));
        }
        if queue.next_wake().is_some_and(|wake| wake <= now) {
            decisions.extend(queue.wake(now));
        }
        let is_start = |decision: &&admission::AdmissionDecision| {
            matches!(decision, admission::AdmissionDecision::Start(_))
        };
        started.extend(decisions.iter().filter(is_start).map(|_| now));
    }
    started
}

fn most_in_four_seconds(started: &[time::NodeTime], from: time::NodeTime) -> usize {
    let windows = started.iter().filter(|start| **start >= from).map(|start| {
        let within =
            |other: &&time::NodeTime| *other >= start && other.since(*start) <= rate::RATE_WINDOW;
        started.iter().filter(within).count()
    });
    windows.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(40),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against more starts in any window than the rate named all the time allows.
    #[test]
    fn any_rate_holds_in_any_window(rate in 0.0..60.0_f64, gap in 1..200_u64) {
        let started = starts(gap, &[(1_000, Some(rate))], 14_000);
        let most = most_in_four_seconds(&started, at(1_000));
        prop_assert!(most as f64 <= rate * 6.0 + 5.0, "{most} at {rate}");
    }

    // Guards against more starts than the highest of the rates allows while they change.
    #[test]
    fn changing_rates_hold_in_any_window(
        rates in prop::collection::vec(1.0..20.0_f64, 1..40),
        gap in 1..100_u64,
    ) {
        let named: Vec<_> = (0_u64..).zip(&rates).map(|(step, rate)| (1_000 + step * 250, Some(*rate))).collect();
        let started = starts(gap, &named, 14_000);
        let most = most_in_four_seconds(&started, at(1_000));
        let highest = rates.iter().copied().fold(0.0, f64::max);
        prop_assert!(most as f64 <= highest * 6.0 + 5.0, "{most} at {rates:?}");
    }
}

// Guards against a rate that is given up, or kept, at the wrong time.
fn the_lowest_rate_of_the_window_is_in_force(
    named: &[(u64, Option<f64>)],
    expected: &[(u64, Option<f64>)],
) {
    let mut limit = rate::RateLimit::default();
    for (millis, stated) in named {
        limit.record(at(*millis), stated.map(per_second));
    }
    for (millis, rate) in expected {
        assert_eq!(
            limit.in_force(at(*millis)),
            rate.map(per_second),
            "at {millis} ms"
        );
    }
}

test_cases! {
    the_lowest_rate_of_the_window_is_in_force:
    none_was_named => (&[(0, None)], &[(0, None)]),
    a_lower_one_holds_at_once => (&[(0, Some(9.0)), (1_000, Some(2.0))], &[(1_000, Some(2.0)), (9_000, Some(2.0))]),
    a_higher_one_holds_after_the_window => (&[(0, Some(2.0)), (1_000, Some(9.0))], &[(4_999, Some(2.0)), (5_000, Some(9.0))]),
    none_holds_after_the_window => (&[(0, Some(2.0)), (1_000, None)], &[(4_999, Some(2.0)), (5_000, None)]),
    an_answer_that_came_late_lifts_nothing => (&[(0, Some(2.0)), (1_000, None), (1_001, Some(2.0))], &[(1_001, Some(2.0)), (9_000, Some(2.0))]),
    a_rise_in_two_steps_holds_in_two_steps => (
        &[(0, Some(2.0)), (1_000, Some(5.0)), (2_000, Some(9.0))],
        &[(4_999, Some(2.0)), (5_000, Some(5.0)), (5_999, Some(5.0)), (6_000, Some(9.0))]),
    a_fall_after_a_rise_holds_at_once => (&[(0, Some(5.0)), (1_000, Some(9.0)), (2_000, Some(1.0))], &[(2_000, Some(1.0)), (9_000, Some(1.0))]),
}

#[test]
fn a_target_that_names_nothing_more_than_zero_is_asked_again() {
    let started = starts(50, &[(0, Some(0.0))], 40_000);
    assert!((3..=5).contains(&started.len()), "{started:?}");
}

#[test]
fn a_request_that_waits_too_long_for_a_token_is_refused_with_the_rate() {
    let policy = policy::OverloadPolicy::FULL;
    let mut queue = admission::AdmissionQueue::warm(at(0), 48, policy);
    queue.rate_mut().record(at(0), Some(per_second(0.2)));
    let decisions = queue.offer(at(1), call(1, at(1)));
    let [admission::AdmissionDecision::Refuse { reason, limit, .. }] = decisions[..] else {
        panic!("{decisions:?}");
    };
    assert_eq!(reason, anvil_types::verdict::RefusalReason::RateLimited);
    let anvil_overload::refusal::RefusalLimit::Rate { named, .. } = limit else {
        panic!("{limit:?}");
    };
    assert_eq!(named, per_second(0.2));
}

// Guards against a request that waits for a token of a rate that no longer holds.
#[test]
fn the_end_of_a_held_rate_wakes_the_queue() {
    let mut queue = admission::AdmissionQueue::warm(at(0), 48, policy::OverloadPolicy::FULL);
    queue.rate_mut().record(at(0), Some(per_second(0.1)));
    queue.rate_mut().record(at(1), None);
    let waiting = admission::WaitingCall {
        queue_wait: Duration::from_secs(10),
        deadline: at(20_000),
        ..call(1, at(1_000))
    };
    assert_eq!(queue.offer(at(1_000), waiting), []);
    let wake = queue.next_wake().unwrap();
    assert!(wake <= at(1) + rate::RATE_WINDOW, "{wake:?}");
}
