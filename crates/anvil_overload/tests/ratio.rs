//! Retries of one node and their pauses, in injected time.

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

fn of_class(class: context::PriorityClass, lane: u8) -> rank::CallRank {
    rank::CallRank {
        class,
        by_rule: None,
        depth: 0,
        lane: Reverse(context::LaneHash(lane)),
    }
}

/// The rank that may spend a budget to its end.
fn first() -> rank::CallRank {
    of_class(context::PriorityClass::Critical, 0)
}

fn browsing_rank() -> rank::CallRank {
    of_class(context::PriorityClass::Normal, 0)
}

/// Retries that are allowed if every first attempt of ten seconds asks for one.
fn allowed(attempts: u64, percent: u8) -> u64 {
    let mut budget = ratio::RetryBudget::new(at(0));
    let mut allowed = 0;
    for attempt in 0..attempts {
        let now = at(attempt * 10_000 / attempts);
        budget.count_first_attempt(now, percent);
        allowed += u64::from(budget.spend(now, &first()));
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
        budget.count_first_attempt(at(0), 100);
    }
    let allowed = (0..100)
        .filter(|_| budget.spend(at(3_600_000), &first()))
        .count();
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

fn service(text: &str) -> name::ServiceName {
    name::ServiceName::new(text).expect("a name")
}

// One service refuses most of its requests, and its retries use up what the node may add. Another
// one loses an answer now and then; its callers still get their second attempt.
#[test]
fn a_failing_service_leaves_the_others_their_retries() {
    let limits = ratio::RatioLimits::shared(32, 16);
    let mut budgets = ratio::ServiceBudgets::default();
    let failing = budgets.get_or_insert(at(0), &service("expediente"), limits);
    while failing.spend(at(0), &first()) {}
    let other = budgets.get_or_insert(at(0), &service("audiencias"), limits);
    assert!(other.spend(at(0), &first()));
}

// Sixteen nodes begin at the same moment, each with a full budget, and everything fails. Together
// they send no more than the burst that the fleet has, and the share of the requests.
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
            allowed += u64::from(budget.spend(now, &first()));
        }
    }
    let share = nodes as u64 * requests * 17 / 100;
    assert!(allowed <= share + 32, "{allowed} with a share of {share}");
    assert!(allowed >= share, "{allowed} with a share of {share}");
}

// Browsing and submissions fail alike, and browsing comes twice as often. The budget goes to the
// submissions first; browsing gets what they leave.
#[test]
fn what_matters_most_is_retried_first() {
    let limits = ratio::RatioLimits::shared(32, 16);
    let mut budget = ratio::RetryBudget::with_limits(at(0), limits);
    let (mut browsing, mut submissions) = (0, 0);
    for request in 0..3_000 {
        budget.count_first_attempt(at(request), 17);
        if request % 3 == 0 {
            submissions += u64::from(budget.spend(at(request), &first()));
        } else {
            browsing += u64::from(budget.spend(at(request), &browsing_rank()));
        }
    }
    assert!(submissions >= 9 * browsing, "{submissions} and {browsing}");
}

// A submission is sent once more and makes its five calls again. These can't be held back, so the
// retries of the calls' own service wait until its share has made up for them.
#[test]
fn repeats_from_above_come_out_of_the_share() {
    let limits = ratio::RatioLimits::shared(32, 16);
    let mut budget = ratio::RetryBudget::with_limits(at(0), limits);
    for _ in 0..2 {
        budget.charge_inherited();
    }
    assert!(!budget.spend(at(0), &first()));
    for _ in 0..6 {
        budget.count_first_attempt(at(0), 17);
    }
    assert!(budget.spend(at(0), &first()));
}

// A service serves 100 requests a second for ten seconds and then refuses so many of the calls that
// each request needs that only 40 a second still come. The retries that would carry requests through
// don't shrink with them at once.
#[test]
fn the_share_outlasts_a_drop_of_first_attempts() {
    let mut budget = ratio::RetryBudget::with_limits(at(0), ratio::RatioLimits::shared(1, 1));
    for request in 0..1_100 {
        budget.count_first_attempt(at(request * 10), 17);
        budget.spend(at(request * 10), &first());
    }
    let mut allowed = 0;
    for request in 0..200 {
        let now = at(11_000 + request * 25);
        budget.count_first_attempt(now, 17);
        allowed += u64::from(budget.spend(now, &first()));
    }
    // 17% of the 200 alone would be 34; 17 a second were given out before.
    assert!((60..=85).contains(&allowed), "{allowed}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    // Traffic comes and goes as it likes and everything fails. In no ten seconds are there more
    // repeats than the platform allows: a fifth of the requests of that time, of the ten seconds
    // before, or of those that began five seconds earlier, and the burst.
    #[test]
    fn no_window_has_more_repeats_than_its_bound(rates in collection::vec(0_u64..200, 60)) {
        let (burst, fine) = (28, 10);
        let limits = ratio::RatioLimits::shared(burst, 1);
        let mut budget = ratio::RetryBudget::with_limits(at(0), limits);
        let mut requests = vec![0_u64; rates.len() * fine];
        let mut repeats = requests.clone();
        for (second, rate) in rates.iter().enumerate() {
            for request in 0..*rate {
                let millis = second as u64 * 1_000 + request * 1_000 / rate;
                let place = millis as usize / (1_000 / fine);
                budget.count_first_attempt(at(millis), 17);
                requests[place] += 1;
                while budget.spend(at(millis), &first()) {
                    repeats[place] += 1;
                }
            }
        }
        let window = 10 * fine;
        let sum = |counts: &[u64], from: usize| counts[from..from + window].iter().sum::<u64>();
        for from in window..requests.len() - window {
            let most = [from, from - window / 2, from - window].map(|from| sum(&requests, from));
            let most = most.into_iter().max().unwrap_or(0);
            let bound = most / 5 + u64::from(burst) + 1;
            let came = sum(&repeats, from);
            prop_assert!(came <= bound, "{came} over {bound} from place {from}");
        }
    }
}

/// Requests of one class that come through whole, of those that came.
#[derive(Clone, Copy, Debug, Default)]
struct WholeCount {
    whole: u32,
    came: u32,
}

/// Plays a service that refuses 45 calls in 100. Requests need eight of its answers one after the
/// other, and each call may go to four targets; a third of the requests are submissions.
fn play_refusals<F>(mut allows: F) -> [WholeCount; 2]
where
    F: FnMut(&mut ratio::RetryBudget, time::NodeTime, &rank::CallRank) -> bool,
{
    let mut source = rand_pcg::Pcg32::seed_from_u64(11);
    let mut budget = ratio::RetryBudget::with_limits(at(0), ratio::RatioLimits::shared(28, 4));
    for call in 0..10_000 {
        budget.count_first_attempt(at(call), 17);
    }
    let mut counts = [WholeCount::default(); 2];
    for request in 0..800_u64 {
        let now = at(10_000 + request * 10);
        let submits = request % 3 == 0;
        let class = match submits {
            true => context::PriorityClass::Critical,
            false => context::PriorityClass::Normal,
        };
        let lane = source.next_u32().to_le_bytes()[0];
        let rank = of_class(class, lane);
        let whole = (0..8).all(|_| {
            budget.count_first_attempt(now, 17);
            let served = |source: &mut rand_pcg::Pcg32| source.next_u32() % 100 >= 45;
            served(&mut source)
                || (0..3).any(|_| allows(&mut budget, now, &rank) && served(&mut source))
        });
        let count = &mut counts[usize::from(submits)];
        count.came += 1;
        count.whole += u32::from(whole);
    }
    counts
}

// For eight seconds a deep service refuses 45 calls in 100, and a submission needs eight of its
// answers. Given to whoever asks first, retries are spread so thin that hardly any request gets all
// that it needs; given by rank, they carry more than three times as many submissions through.
#[test]
fn retries_by_rank_carry_submissions_through_whole() {
    let [_, first_come] = play_refusals(|budget, now, _| budget.spend(now, &first()));
    let [browsing, submissions] = play_refusals(|budget, now, rank| budget.spend(now, rank));
    assert!(
        submissions.whole > 3 * first_come.whole,
        "{submissions:?} and {first_come:?}"
    );
    assert!(
        submissions.whole * 100 >= submissions.came * 25,
        "{submissions:?}"
    );
    assert!(browsing.whole <= submissions.whole, "{browsing:?}");
}
