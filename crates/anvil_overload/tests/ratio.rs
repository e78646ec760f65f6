//! Retry budget of a node and backoff, in simulated time.

use std::cmp::Reverse;
use std::time::Duration;

use anvil_overload::{backoff, rank, ratio};
use anvil_testkit::test_cases;
use anvil_types::{context, name, time};
use proptest::{collection, prelude::*};
use rand_core::{Rng, SeedableRng};

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

fn rank_of(class: context::PriorityClass, lane: u8) -> rank::CallRank {
    rank::CallRank {
        class,
        by_rule: None,
        depth: 0,
        lane: Reverse(context::LaneHash(lane)),
    }
}

/// The highest rank, which may spend the whole budget.
fn top_rank() -> rank::CallRank {
    rank_of(context::PriorityClass::Critical, 0)
}

fn browsing_rank() -> rank::CallRank {
    rank_of(context::PriorityClass::Normal, 0)
}

/// Number of retries allowed if every first attempt of ten seconds requests one.
fn allowed(attempts: u64, percent: u8) -> u64 {
    let mut budget = ratio::RetryBudget::new(at(0));
    let mut allowed = 0;
    for attempt in 0..attempts {
        let now = at(attempt * 10_000 / attempts);
        budget.count_first_attempt(now, percent);
        allowed += u64::from(budget.spend(now, &top_rank()));
    }
    allowed
}

// A service refuses every request, and each refusal requests a retry. Without a budget the load
// doubles; the budget allows its ratio, its burst and two retries a second.
fn retries_are_a_share(attempts: u64, percent: u8, max: u64) {
    let allowed = allowed(attempts, percent);
    assert!(allowed <= max, "{allowed} of {attempts}");
    assert!(allowed >= max * 9 / 10, "{allowed} of {attempts}");
}

test_cases! {
    retries_are_a_share:
    ten_percent_of_many => (10_000, 10, 1_000 + ratio::RATIO_BURST + 20),
    none_of_many => (10_000, 0, ratio::RATIO_BURST + 20),
    ten_percent_of_few => (100, 10, 10 + ratio::RATIO_BURST + 20),
}

// The budget that accrues in idle hours does not exceed the burst.
#[test]
fn idle_budget_is_bounded_by_its_burst() {
    let mut budget = ratio::RetryBudget::new(at(0));
    for _ in 0..100_000 {
        budget.count_first_attempt(at(0), 100);
    }
    let allowed = (0..100)
        .filter(|_| budget.spend(at(3_600_000), &top_rank()))
        .count();
    assert_eq!(allowed as u64, ratio::RATIO_BURST);
}

// Requests that failed together are retried at different times, with growing pauses up to a bound.
#[test]
fn pauses_grow_and_differ() {
    let mut source = rand_pcg::Pcg32::seed_from_u64(3);
    let first = Duration::from_millis(20);
    for (retry, max_pause) in [(1, 20), (2, 40), (5, 320), (7, 1_280), (60_000, 1_280)] {
        let max_pause = Duration::from_millis(max_pause);
        let mut pauses: Vec<Duration> = (0..100)
            .map(|_| backoff::pause(first, retry, &mut source))
            .collect();
        assert!(
            pauses
                .iter()
                .all(|pause| *pause >= max_pause / 2 && *pause <= max_pause)
        );
        pauses.sort();
        pauses.dedup();
        assert!(pauses.len() > 90);
    }
}

fn service(text: &str) -> name::ServiceName {
    name::ServiceName::new(text).expect("a name")
}

// One service refuses most of its requests, and its retries use up its budget. A request to another
// service that loses an answer still gets its second attempt.
#[test]
fn a_failing_service_leaves_the_others_their_retries() {
    let limits = ratio::RatioLimits::shared(32, 16);
    let mut budgets = ratio::ServiceBudgets::default();
    let failing = budgets.get_or_insert(at(0), &service("expediente"), limits);
    while failing.spend(at(0), &top_rank()) {}
    let other = budgets.get_or_insert(at(0), &service("audiencias"), limits);
    assert!(other.spend(at(0), &top_rank()));
}

// Sixteen nodes start at the same time, each with a full budget, and all requests fail. Together
// they send no more retries than the burst of the fleet and the ratio of the requests.
#[test]
fn a_fleet_shares_one_burst() {
    let (nodes, requests) = (16, 100);
    let mut allowed = 0;
    for _ in 0..nodes {
        let limits = ratio::RatioLimits::shared(32, nodes);
        let mut budget = ratio::RetryBudget::with_limits(at(0), limits);
        for request in 0..requests {
            let now = at(request * 10_000 / requests);
            budget.count_first_attempt(now, 17);
            allowed += u64::from(budget.spend(now, &top_rank()));
        }
    }
    let share = nodes as u64 * requests * 17 / 100;
    assert!(allowed <= share + 32, "{allowed} with a share of {share}");
    assert!(allowed >= share, "{allowed} with a share of {share}");
}

// Guards against nodes that together send more than the platform's slack, of which the burst is 60 percent:
// a part below one retry is sent as a whole one by chance.
fn the_parts_of_a_burst_stay_within_the_slack(slack: f64, burst: u32, nodes: u32) {
    let limits = ratio::RatioLimits::shared(burst, nodes as usize);
    let limits = limits.for_claims(burst, nodes as usize);
    let mut allowed = 0;
    for node in 0..nodes {
        let now = at(u64::from(node));
        let mut budget = ratio::RetryBudget::with_limits(now, limits);
        while budget.spend(now, &top_rank()) {
            allowed += 1;
        }
    }
    assert!(f64::from(allowed) <= slack, "{allowed} at {nodes} nodes");
}

test_cases! {
    the_parts_of_a_burst_stay_within_the_slack:
    slack_below_one_retry => (0.4, 0, 16),
    slack_of_one_retry => (1.0, 0, 16),
    slack_with_a_fraction => (21.09, 12, 16),
    burst_beyond_the_nodes => (48.5, 29, 16),
    burst_of_one_node => (48.5, 29, 1),
    burst_below_many_nodes => (106.0, 63, 75),
    burst_below_more_nodes => (213.0, 127, 194),
}

// Browsing and submissions fail alike, and browsing is twice as frequent. Submissions may use the
// budget first, and browsing gets the remainder.
#[test]
fn what_matters_most_is_retried_first() {
    let limits = ratio::RatioLimits::shared(32, 16);
    let mut budget = ratio::RetryBudget::with_limits(at(0), limits);
    let (mut browsing, mut submissions) = (0, 0);
    for request in 0..3_000 {
        budget.count_first_attempt(at(request), 17);
        if request % 3 == 0 {
            submissions += u64::from(budget.spend(at(request), &top_rank()));
        } else {
            browsing += u64::from(budget.spend(at(request), &browsing_rank()));
        }
    }
    assert!(submissions >= 9 * browsing, "{submissions} and {browsing}");
}

// A submission is resent and repeats its five calls. These repeats cannot be held back, so other
// retries to the called service wait until its budget has recovered.
#[test]
fn repeats_from_above_come_out_of_the_share() {
    let limits = ratio::RatioLimits::shared(32, 16);
    let mut budget = ratio::RetryBudget::with_limits(at(0), limits);
    for _ in 0..2 {
        budget.charge_inherited(1);
    }
    assert!(!budget.spend(at(0), &top_rank()));
    for _ in 0..6 {
        budget.count_first_attempt(at(0), 17);
    }
    assert!(budget.spend(at(0), &top_rank()));
}

// A service answers 100 requests a second for ten seconds and then refuses so many calls that only
// 40 requests a second still arrive. The retries that complete these requests must not shrink with
// the arrivals at once.
#[test]
fn the_share_outlasts_a_drop_of_first_attempts() {
    let mut budget = ratio::RetryBudget::with_limits(at(0), ratio::RatioLimits::shared(1, 1));
    for request in 0..1_100 {
        budget.count_first_attempt(at(request * 10), 17);
        budget.spend(at(request * 10), &top_rank());
    }
    let mut allowed = 0;
    for request in 0..200 {
        let now = at(11_000 + request * 25);
        budget.count_first_attempt(now, 17);
        allowed += u64::from(budget.spend(now, &top_rank()));
    }
    // 17% of these 200 requests would be 34; the budget refills with the 17 a second of the time
    // before.
    assert!((60..=85).contains(&allowed), "{allowed}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    // The traffic varies at random and all requests fail. No window of ten seconds has more repeats
    // than the platform allows: a fifth of the requests of that window, of the ten seconds before,
    // or of those that began five seconds earlier, plus the burst.
    #[test]
    fn no_window_has_more_repeats_than_its_bound(rates in collection::vec(0_u64..200, 60)) {
        let (burst, slices_per_second) = (28, 10);
        let limits = ratio::RatioLimits::shared(burst, 1);
        let mut budget = ratio::RetryBudget::with_limits(at(0), limits);
        let mut requests = vec![0_u64; rates.len() * slices_per_second];
        let mut repeats = requests.clone();
        for (second, rate) in rates.iter().enumerate() {
            for request in 0..*rate {
                let millis = second as u64 * 1_000 + request * 1_000 / rate;
                let index = millis as usize / (1_000 / slices_per_second);
                budget.count_first_attempt(at(millis), 17);
                requests[index] += 1;
                while budget.spend(at(millis), &top_rank()) {
                    repeats[index] += 1;
                }
            }
        }
        let window = 10 * slices_per_second;
        let sum = |counts: &[u64], from: usize| counts[from..from + window].iter().sum::<u64>();
        for from in window..requests.len() - window {
            let requests_max = [from, from - window / 2, from - window].map(|from| sum(&requests, from));
            let requests_max = requests_max.into_iter().max().unwrap_or(0);
            let bound = requests_max / 5 + u64::from(burst) + 1;
            let repeats_sum = sum(&repeats, from);
            prop_assert!(repeats_sum <= bound, "{repeats_sum} over {bound} from place {from}");
        }
    }
}

/// Completed and arrived requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct CompletionCount {
    completed: u32,
    arrived: u32,
}

/// Simulates a service that refuses 45 calls in 100. Each request needs eight of its answers, one
/// after the other, and each call may try four targets; a third of the requests are submissions.
fn simulate_refusals<F>(mut allows: F) -> [CompletionCount; 2]
where
    F: FnMut(&mut ratio::RetryBudget, time::NodeTime, &rank::CallRank) -> bool,
{
    let mut source = rand_pcg::Pcg32::seed_from_u64(11);
    let mut budget = ratio::RetryBudget::with_limits(at(0), ratio::RatioLimits::shared(28, 4));
    for call in 0..10_000 {
        budget.count_first_attempt(at(call), 17);
    }
    let mut counts = [CompletionCount::default(); 2];
    for request in 0..800_u64 {
        let now = at(10_000 + request * 10);
        let submits = request % 3 == 0;
        let class = match submits {
            true => context::PriorityClass::Critical,
            false => context::PriorityClass::Normal,
        };
        let lane = source.next_u32().to_le_bytes()[0];
        let rank = rank_of(class, lane);
        let completed = (0..8).all(|_| {
            budget.count_first_attempt(now, 17);
            let served = |source: &mut rand_pcg::Pcg32| source.next_u32() % 100 >= 45;
            served(&mut source)
                || (0..3).any(|_| allows(&mut budget, now, &rank) && served(&mut source))
        });
        let count = &mut counts[usize::from(submits)];
        count.arrived += 1;
        count.completed += u32::from(completed);
    }
    counts
}

// For eight seconds a downstream service refuses 45 calls in 100, and a submission needs eight of
// its answers. Retries granted in order of arrival are spread so thinly that hardly any request
// gets all it needs; granted by rank, they complete more than three times as many submissions.
#[test]
fn retries_by_rank_carry_submissions_through_whole() {
    let [_, first_come] = simulate_refusals(|budget, now, _| budget.spend(now, &top_rank()));
    let [browsing, submissions] = simulate_refusals(|budget, now, rank| budget.spend(now, rank));
    assert!(
        submissions.completed > 3 * first_come.completed,
        "{submissions:?} and {first_come:?}"
    );
    assert!(
        submissions.completed * 100 >= submissions.arrived * 25,
        "{submissions:?}"
    );
    assert!(browsing.completed <= submissions.completed, "{browsing:?}");
}
