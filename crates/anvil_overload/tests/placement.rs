//! Choice of targets by expected completion, in simulated time.

mod placement_fleet;

use std::cmp::Reverse;

use anvil_overload::{kind, policy, rank, routing};
use anvil_testkit::test_cases;
use anvil_types::{context, ident, name, time};
use anvil_wire::call;
use placement_fleet::Fleet;

const NORMAL: context::PriorityClass = context::PriorityClass::Normal;

/// The switch of this part with expensive traffic between zones.
const ON: policy::OverloadPolicy = policy::OverloadPolicy {
    expected_completion: true,
    stay_in_zone: true,
    ..policy::OverloadPolicy::FULL
};

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

fn service() -> name::ServiceName {
    name::ServiceName::new("padron").expect("a name")
}

/// A load report of a target with eight slots and a usual run time of 60 ms.
fn load(running: u32, queued: u16, pace_percent: u16) -> call::LoadReport {
    call::LoadReport {
        running,
        queued: [0, 0, queued, 0],
        limit: 8,
        usual_micros: 60_000,
        pace_percent,
        ..call::LoadReport::default()
    }
}

/// A table of a node in zone a that got the report of each target 50 ms ago, at 9 s.
fn table(
    policy: policy::OverloadPolicy,
    seed: u64,
    targets: &[(char, Option<call::LoadReport>)],
) -> routing::RouteTable {
    let zone = |letter: char| name::ZoneName::new(&letter.to_string()).expect("a name");
    let mut table = routing::RouteTable::new(zone('a'), seed, policy);
    for (node, (letter, load)) in (1..).zip(targets) {
        let record = routing::TargetRecord {
            node: ident::NodeId(node),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
            zone: zone(*letter),
            slots: load.map_or(8, |load| load.limit),
            leaving: false,
            announced: 0,
        };
        table.upsert(at(0), &service(), &record);
        if load.is_some() {
            end(
                &mut table,
                node,
                routing::AttemptEnd::Succeeded,
                load.as_ref(),
            );
        }
    }
    table
}

fn end(
    table: &mut routing::RouteTable,
    node: u64,
    end: routing::AttemptEnd,
    load: Option<&call::LoadReport>,
) {
    let report = routing::AttemptReport {
        class: NORMAL,
        kind: kind::CallKind(1),
        end,
        load,
        answer_bytes: None,
    };
    table.attempt_ended(at(9_000), &service(), ident::NodeId(node), report);
}

fn choose(table: &mut routing::RouteTable, millis: u64, bytes: u32) -> Option<u64> {
    let service = service();
    let query = routing::RouteQuery {
        service: &service,
        rank: rank::CallRank {
            class: NORMAL,
            by_rule: None,
            depth: 0,
            lane: Reverse(context::LaneHash(7)),
        },
        kind: kind::CallKind(1),
        bytes,
        exclude: &[],
    };
    match table.choose(at(millis), query) {
        routing::RouteChoice::Target { node, .. } => Some(node.0),
        _ => None,
    }
}

/// How many of 400 requests each target gets from as many nodes with the same reports.
fn shares(
    policy: policy::OverloadPolicy,
    millis: u64,
    bytes: u32,
    targets: &[(char, Option<call::LoadReport>)],
) -> Vec<u32> {
    let mut shares = vec![0; targets.len()];
    for seed in 0..400 {
        let chosen = choose(&mut table(policy, seed, targets), millis, bytes);
        let index = usize::try_from(chosen.expect("a target") - 1).expect("an index");
        shares[index] += 1;
    }
    shares
}

/// The only target of the own zone, as it was seen at a client whose calls were refused there.
fn crowded() -> Option<call::LoadReport> {
    Some(call::LoadReport {
        limit: 159,
        ..load(158, 130, 0)
    })
}

fn idle() -> Option<call::LoadReport> {
    Some(call::LoadReport {
        limit: 159,
        ..load(40, 0, 0)
    })
}

fn seen(running: u32, queued: u16, pace: u16) -> Option<call::LoadReport> {
    Some(load(running, queued, pace))
}

/// Checks how many of 400 requests of `bytes` a target gets.
fn share_is_within(
    bytes: u32,
    targets: &[(char, Option<call::LoadReport>)],
    (target, min, max): (usize, u32, u32),
) {
    let share = shares(ON, 9_050, bytes, targets)[target - 1];
    assert!((min..=max).contains(&share), "{share}");
}

// Guards against calls that wait in the queue of the only target of their zone until they are
// refused, while targets of other zones have free slots.
test_cases! {
    share_is_within:
    a_crowded_target_gets_nothing => (130, &[('a', crowded()), ('b', idle()), ('c', idle())], (1, 0, 0)),
    its_overflow_leaves_whatever_the_bytes => (100_000, &[('a', crowded()), ('b', idle())], (2, 400, 400)),
    its_overflow_goes_to_targets_without_a_report => (130, &[('a', crowded()), ('b', None)], (2, 400, 400)),
}

// Guards against traffic between zones for nothing. Without the switch these requests stay as well.
test_cases! {
    share_is_within:
    requests_stay_while_slots_are_free => (130, &[('a', idle()), ('b', seen(0, 0, 0))], (1, 400, 400)),
    long_requests_stay_at_a_slow_target => (
        2_000, &[('a', seen(4, 0, 250)), ('b', seen(0, 0, 100))], (1, 400, 400)),
    the_own_zone_goes_first => (130, &[('a', seen(8, 9, 0)), ('a', seen(5, 0, 0)), ('b', idle())], (2, 400, 400)),
    equal_queues_keep_their_requests => (130, &[('a', seen(8, 9, 0)), ('b', seen(8, 9, 0))], (1, 400, 400)),
}

// Guards against a target that fails at once, whose free slots attract what other targets have no
// slot for.
#[test]
fn the_overflow_does_not_go_to_a_failing_target() {
    let targets = [('a', crowded()), ('b', idle()), ('c', idle())];
    for seed in 0..100 {
        let mut table = table(ON, seed, &targets);
        for _ in 0..6 {
            end(&mut table, 2, routing::AttemptEnd::Failed, None);
        }
        assert_eq!(choose(&mut table, 9_050, 130), Some(3));
    }
}

// Guards against nodes with the same reports that all choose the same target, and against a target
// with few free slots that gets none of the requests or too many.
fn nodes_with_the_same_reports_spread(running: [u32; 4], bounds: [(u32, u32); 4]) {
    let targets = running.map(|running| ('a', seen(running, 0, 0)));
    let shares = shares(ON, 9_050, 130, &targets);
    for (share, (min, max)) in shares.iter().zip(bounds) {
        assert!((min..=max).contains(share), "{shares:?}");
    }
}

test_cases! {
    nodes_with_the_same_reports_spread:
    by_their_free_slots => ([2, 2, 2, 6], [(80, 160), (80, 160), (80, 160), (20, 60)]),
    to_the_last_free_slots => ([8, 8, 7, 7], [(0, 0), (0, 0), (150, 250), (150, 250)]),
}

// The own zone of five or twenty nodes has one target, and the load of the zone exceeds its
// capacity. Guards against calls of the lowest ranks that are refused in its queue while other zones
// have free slots, against traffic between zones beyond the overflow, and against nodes that leave
// their zone and return to it together: the share that leaves stays near its mean in each tenth of a
// second.
fn a_fleet_sends_the_overflow(nodes: usize, slots: u32, load: f64, (mean, swing): (f64, f64)) {
    let targets = ['a', 'b', 'c', 'd'].map(|zone| (zone, slots, 60));
    let capacity = f64::from(slots) * 0.95 / 0.06;
    let rates = [load, 0.2, 0.2, 0.2].map(|load| load * capacity);
    let mut fleet = Fleet::new(ON, nodes, &targets);
    let result = fleet.play(4_000, &rates);
    assert!(result.refused * 1_000 <= result.sent, "{result:?}");
    let share = |(all, left): (u32, u32)| f64::from(left) / f64::from(all);
    let sum = |(all, left): (u32, u32), next: &(u32, u32)| (all + next.0, left + next.1);
    let left = share(result.left.iter().fold((0, 0), sum));
    assert!(left <= mean, "{left}");
    for tenth in &result.left {
        assert!((share(*tenth) - left).abs() <= swing, "{result:?}");
    }
}

test_cases! {
    a_fleet_sends_the_overflow:
    of_many_slots => (20, 159, 1.3, (0.30, 0.2)),
    of_many_nodes => (78, 40, 1.3, (0.30, 0.25)),
    of_few_slots => (20, 8, 1.3, (0.40, 0.5)),
    of_much_load => (20, 159, 2.5, (0.65, 0.2)),
}
