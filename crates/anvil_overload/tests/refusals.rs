//! Retries of calls that targets refuse although they have free slots, in simulated time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use anvil_overload::{backoff, limit, policy, rank, ratio, refusals};
use anvil_testkit::test_cases;
use anvil_types::{context, time};
use rand_core::{Rng, SeedableRng};

const RAN: refusals::TargetReply = refusals::TargetReply::Ran;
const REFUSED: refusals::TargetReply = refusals::TargetReply::RefusedFree;
const RUN_TIME: Duration = Duration::from_millis(40);
const REFUSAL_TIME: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_millis(700);

fn at(micros: u64) -> time::NodeTime {
    time::NodeTime::START + Duration::from_micros(micros)
}

/// What a node knows of a service that refused every second of `answers` attempts.
fn half_refusing(answers: u32) -> refusals::ServiceRefusals {
    let mut known = refusals::ServiceRefusals::default();
    for answer in 0..answers {
        let (reply, took) = match answer % 2 {
            0 => (RAN, RUN_TIME),
            _ => (REFUSED, REFUSAL_TIME),
        };
        known.record(at(0), reply, took);
    }
    known
}

// A node has restarted while the service refuses half of its calls. After 20 answers it must expect
// about two attempts for each call, and half a minute without answers must end that.
#[test]
fn share_is_learned_within_twenty_answers_and_expires() {
    let known = half_refusing(20);
    let attempts = known.expected_attempts(at(0));
    assert!((1.6..=2.4).contains(&attempts), "{attempts}");
    assert_eq!(known.share(at(30_000_000)), 0.0);
}

// A request whose retries or time will not suffice for its remaining calls must leave the retries
// to others; one that needs a single answer may use its last retry.
fn worth_depends_on_what_is_left(calls_left: u16, allowance: u16, millis: u64, worthwhile: bool) {
    let case = refusals::RetryCase {
        calls_left,
        allowance,
        time_left: Duration::from_millis(millis),
        pause: Duration::from_millis(5),
    };
    let worth = half_refusing(60).judge(at(0), &case);
    let is_worthwhile = matches!(worth, refusals::RetryWorth::Worthwhile { .. });
    assert_eq!(is_worthwhile, worthwhile, "{worth:?}");
}

test_cases! {
    worth_depends_on_what_is_left:
    last_call_with_its_last_retry => (1, 1, 700, true),
    four_calls_with_enough_retries => (4, 12, 700, true),
    four_calls_with_one_retry => (4, 1, 700, false),
    eight_calls_with_four_retries => (8, 4, 700, false),
    four_calls_without_time_for_their_runs => (4, 12, 150, false),
    last_call_without_time_for_its_run => (1, 12, 30, false),
}

/// A request of a simulated fleet: calls to one service, one after the other.
struct FleetRequest {
    node: usize,
    rank: rank::CallRank,
    arrived: u64,
    calls_left: u16,
    retries: u16,
    /// Whether its present call has been refused.
    refused: bool,
    waits: bool,
}

/// Nodes that send requests.
#[derive(Clone, Copy)]
struct FleetLoad {
    nodes: usize,
    per_second: u64,
    /// Calls that each request makes, one after the other.
    calls: u16,
    /// Percent of the requests by class, from the lowest.
    classes: [u64; 4],
}

struct FleetResult {
    /// Completed share of the requests by class.
    completed: [f64; 4],
    /// Repeats beyond a fifth of the requests, in the worst ten seconds.
    excess: f64,
}

/// The nodes of the whole fleet for each node that calls the service.
const FLEET_FACTOR: usize = 3;
const SECONDS: u64 = 40;
/// From second 10 on the targets refuse half of all requests; from second 12 on requests count.
const BEGIN: u64 = 10_000_000;
const COUNTED: u64 = 12_000_000;
const SLICE: u64 = 100_000;

/// Decides on one refused call as the nodes do: with the switch, or by the rules without it.
fn retry(
    request: &mut FleetRequest,
    now: u64,
    switch: bool,
    budget: &mut ratio::RetryBudget,
    known: &refusals::ServiceRefusals,
    source: &mut rand_pcg::Pcg32,
) -> Option<Duration> {
    let left = (at(request.arrived) + DEADLINE).since(at(now));
    if !switch {
        request.retries += 1;
        let pause = backoff::pause(Duration::from_millis(20), request.retries, source);
        let granted = pause < left && budget.spend(at(now), &request.rank);
        return granted.then_some(pause);
    }
    let case = refusals::RetryCase {
        calls_left: request.calls_left,
        allowance: 24 - request.retries,
        time_left: left,
        pause: Duration::from_millis(5),
    };
    let refusals::RetryWorth::Worthwhile { needed } = known.judge(at(now), &case) else {
        return None;
    };
    let claim = ratio::RetryClaim {
        rank: request.rank,
        needed,
        repeated: request.waits,
    };
    let grant = budget.claim(at(now), &claim);
    request.waits = grant == ratio::RetryGrant::Later;
    let longest = match grant {
        ratio::RetryGrant::Granted => Duration::from_millis(5),
        ratio::RetryGrant::Later => Duration::from_millis(25),
        ratio::RetryGrant::Denied => return None,
    };
    request.retries += u16::from(!request.waits);
    Some(backoff::pause(longest, 1, source))
}

fn simulate(load: FleetLoad, switch: bool) -> FleetResult {
    let mut source = rand_pcg::Pcg32::seed_from_u64(7);
    let fleet = load.nodes * FLEET_FACTOR;
    let mut limits = ratio::RatioLimits::shared(66, fleet);
    if switch {
        limits = limits.for_claims(66, fleet);
    }
    let budget = ratio::RetryBudget::with_limits(at(0), limits);
    let mut budgets = vec![budget; load.nodes];
    let mut known = vec![refusals::ServiceRefusals::default(); load.nodes];
    let mut queue = BTreeMap::new();
    let total = load.per_second * SECONDS;
    for number in 0..total {
        let draw = u64::from(source.next_u32() % 100);
        let below = |class: &usize| load.classes[..=*class].iter().sum::<u64>() > draw;
        let class = (0..4).find(below).unwrap_or(3);
        let rank = rank::CallRank {
            class: context::PriorityClass::ALL[class],
            by_rule: None,
            depth: 2,
            lane: Reverse(context::LaneHash(source.next_u32().to_le_bytes()[0])),
        };
        let request = FleetRequest {
            node: source.next_u32() as usize % load.nodes,
            rank,
            arrived: number * 1_000_000 / load.per_second,
            calls_left: load.calls,
            retries: 0,
            refused: false,
            waits: false,
        };
        queue.insert((request.arrived, number), request);
    }
    let (mut arrived, mut completed) = ([0.0; 4], [0.0; 4]);
    let slices = usize::try_from((SECONDS + 2) * 1_000_000 / SLICE).unwrap_or(0);
    let (mut requests, mut repeats) = (vec![0_u32; slices], vec![0_u32; slices]);
    let mut next = total;
    while let Some(((now, _), mut request)) = queue.pop_first() {
        let counts = f64::from(u8::from(request.arrived >= COUNTED));
        let class = request.rank.class as usize;
        let (budget, known) = (&mut budgets[request.node], &mut known[request.node]);
        next += 1;
        if !request.waits {
            let slice = usize::try_from(now / SLICE).unwrap_or(0);
            if request.refused {
                repeats[slice] += 1;
            } else {
                budget.count_first_attempt(at(now), 17);
                requests[slice] += 1;
                if request.calls_left == load.calls {
                    arrived[class] += counts;
                }
            }
            if now < BEGIN || source.next_u32().is_multiple_of(2) {
                known.record(at(now), RAN, RUN_TIME);
                request.calls_left -= 1;
                request.refused = false;
                let end = at(now) + RUN_TIME;
                if request.calls_left > 0 && end < at(request.arrived) + DEADLINE {
                    queue.insert((now + 50_000, next), request);
                } else if end < at(request.arrived) + DEADLINE {
                    completed[class] += counts;
                }
                continue;
            }
            known.record(at(now), REFUSED, REFUSAL_TIME);
            request.refused = true;
        }
        let pause = retry(&mut request, now, switch, budget, known, &mut source);
        if let Some(pause) = pause {
            let micros = u64::try_from((pause + REFUSAL_TIME).as_micros()).unwrap_or(0);
            queue.insert((now + micros, next), request);
        }
    }
    let window = 100;
    let sum = |counts: &[u32], from: usize| counts[from..from + window].iter().sum::<u32>();
    let excess = (window..slices - window).map(|from| {
        let most = [from, from - window / 2, from - window].map(|from| sum(&requests, from));
        let most = most.into_iter().max().unwrap_or(0);
        f64::from(sum(&repeats, from)) - f64::from(most) * 0.2
    });
    FleetResult {
        completed: std::array::from_fn(|class| completed[class] / f64::max(arrived[class], 1.0)),
        excess: excess.fold(f64::MIN, f64::max),
    }
}

// Targets refuse half of all requests for reasons other than load, and a request needs four answers
// in a row within 700 ms. Whatever the number of nodes, repeats stay within a fifth of the requests
// and 110 in any ten seconds, and no class completes less often than the one below, apart from
// chance. The most urgent class completes more of its requests than by the rules without the
// switch, and nearly all of them if the budget covers its demand.
fn fleet_keeps_its_bound_and_order(load: FleetLoad, min_top: f64) {
    let now = simulate(load, true);
    println!(
        "with the switch: {:?}, excess {}",
        now.completed, now.excess
    );
    assert!(now.excess <= 110.0, "{} repeats", now.excess);
    let ordered = now
        .completed
        .windows(2)
        .all(|pair| pair[1] >= pair[0] - 0.03);
    assert!(ordered, "{:?}", now.completed);
    assert!(now.completed[3] >= min_top, "{:?}", now.completed);
    let before = simulate(load, false);
    assert!(
        before.completed[3] * 1.1 < now.completed[3],
        "{:?}",
        before.completed
    );
}

fn load(nodes: usize, per_second: u64, classes: [u64; 4]) -> FleetLoad {
    FleetLoad {
        nodes,
        per_second,
        calls: 4,
        classes,
    }
}

test_cases! {
    fleet_keeps_its_bound_and_order:
    covered_top_class_of_26_nodes => (load(26, 675, [25, 50, 20, 5]), 0.9),
    top_class_beyond_the_budget => (load(26, 675, [20, 50, 20, 10]), 0.0),
    equal_classes => (load(26, 675, [25, 25, 25, 25]), 0.0),
    two_hundred_nodes => (load(200, 2_700, [25, 50, 20, 5]), 0.0),
}

// Six hundred nodes with little traffic each hold a small part of a retry of the shared burst. If
// each might save a whole one, they would send 600 retries when the service begins to refuse.
#[test]
fn many_quiet_nodes_keep_the_bound() {
    let quiet = FleetLoad {
        calls: 1,
        ..load(600, 120, [25, 25, 25, 25])
    };
    let result = simulate(quiet, true);
    assert!(result.excess <= 110.0, "{} repeats", result.excess);
}

/// Drives the limit of a saturated target with `slots` for ten seconds and returns it. A run is
/// refused at random with `share` in 100, and always beyond `capacity` concurrent ones.
fn limit_under_refusals(refusal_retries: bool, share: u32, slots: u32, capacity: u32) -> u32 {
    let policy = policy::OverloadPolicy {
        refusal_retries,
        ..policy::OverloadPolicy::FULL
    };
    let mut source = rand_pcg::Pcg32::seed_from_u64(3);
    let mut limit = limit::ConcurrencyLimit::new(at(0), slots, policy);
    for round in 1..=250 {
        let running = limit.current();
        (1..=running).for_each(|place| limit.run_started(place));
        for place in 1..=running {
            let refused = place > capacity || source.next_u32() % 100 < share;
            let sample = limit::RunSample {
                latency: RUN_TIME,
                downstream: Duration::ZERO,
                end: match refused {
                    true => limit::RunEnd::Refused,
                    false => limit::RunEnd::Completed,
                },
            };
            limit.observe(at(round * 40_000 + u64::from(place)), sample);
        }
    }
    limit.current()
}

// A target that refuses half of its requests at any load must keep its slots; otherwise its node
// would let fewer and fewer requests through, queue the rest and raise the cut line. A target that
// announced more slots than it has must still lose them.
fn limit_settles(refusal_retries: bool, share: u32, capacity: u32, expected: (u32, u32)) {
    let limit = limit_under_refusals(refusal_retries, share, 40, capacity);
    assert!(expected.0 <= limit && limit <= expected.1, "{limit}");
}

test_cases! {
    limit_settles:
    refusals_at_any_load_leave_it => (true, 50, 40, (36, 40)),
    without_the_switch_it_collapses => (false, 50, 40, (1, 4)),
    missing_slots_are_taken => (true, 0, 20, (14, 26)),
    missing_slots_are_taken_beside_other_refusals => (true, 30, 20, (14, 30)),
}
