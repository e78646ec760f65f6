//! Choice of targets, in simulated time.

use std::cmp::Reverse;
use std::time::Duration;

use anvil_overload::{cut, kind, pacing, policy, rank, routing};
use anvil_testkit::test_cases;
use anvil_types::{context, ident, name, rate, time};
use anvil_wire::call;

const NORMAL: context::PriorityClass = context::PriorityClass::Normal;

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

fn service() -> name::ServiceName {
    name::ServiceName::new("expediente").expect("a name")
}

fn zone(letter: char) -> name::ZoneName {
    name::ZoneName::new(&format!("ar-centro-{letter}")).expect("a name")
}

fn record(node: u64, letter: char, slots: u32) -> routing::TargetRecord {
    routing::TargetRecord {
        node: ident::NodeId(node),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
        zone: zone(letter),
        slots,
        leaving: false,
        announced: 0,
    }
}

/// A table in zone a that has known `targets` for a long time.
fn table(policy: policy::OverloadPolicy, targets: &[(u64, char, u32)]) -> routing::RouteTable {
    let mut table = routing::RouteTable::new(zone('a'), 5, policy);
    for (node, letter, slots) in targets {
        table.upsert(at(0), &service(), &record(*node, *letter, *slots));
    }
    table
}

fn choose(table: &mut routing::RouteTable, now: time::NodeTime, lane: u8) -> routing::RouteChoice {
    choose_excluding(table, now, lane, &[])
}

fn choose_excluding(
    table: &mut routing::RouteTable,
    now: time::NodeTime,
    lane: u8,
    exclude: &[ident::NodeId],
) -> routing::RouteChoice {
    let service = service();
    table.choose(now, query(&service, lane, 130, exclude))
}

fn query<'a>(
    service: &'a name::ServiceName,
    lane: u8,
    bytes: u32,
    exclude: &'a [ident::NodeId],
) -> routing::RouteQuery<'a> {
    routing::RouteQuery {
        service,
        rank: rank::CallRank {
            class: NORMAL,
            by_rule: None,
            depth: 0,
            lane: Reverse(context::LaneHash(lane)),
        },
        kind: kind::CallKind(1),
        bytes,
        exclude,
    }
}

fn node_of(choice: routing::RouteChoice) -> Option<u64> {
    match choice {
        routing::RouteChoice::Target { node, .. } => Some(node.0),
        _ => None,
    }
}

fn end(
    table: &mut routing::RouteTable,
    now: time::NodeTime,
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
    table.attempt_ended(now, &service(), ident::NodeId(node), report);
}

/// Sends `count` requests that stay in flight, and counts them by target.
fn send(table: &mut routing::RouteTable, now: time::NodeTime, count: u32) -> Vec<(u64, u32)> {
    let mut sent: Vec<(u64, u32)> = Vec::new();
    for _ in 0..count {
        let Some(node) = node_of(choose(table, now, 0)) else {
            continue;
        };
        table.request_sent(&service(), ident::NodeId(node), NORMAL);
        match sent.binary_search_by_key(&node, |(known, _)| *known) {
            Ok(index) => sent[index].1 += 1,
            Err(index) => sent.insert(index, (node, 1)),
        }
    }
    sent
}

fn count_of(sent: &[(u64, u32)], node: u64) -> u32 {
    let index = sent.binary_search_by_key(&node, |(known, _)| *known);
    index.map_or(0, |index| sent[index].1)
}

// Two targets have forty slots and two have eight. Routing in turn gives the small ones as many
// requests as the large ones; the better of two follows the slots.
#[test]
fn uneven_targets_get_uneven_shares() {
    let targets = [(1, 'a', 40), (2, 'a', 40), (3, 'a', 8), (4, 'a', 8)];
    let sent = send(
        &mut table(policy::OverloadPolicy::FULL, &targets),
        at(9_000),
        96,
    );
    assert!(
        count_of(&sent, 1) > 30 && count_of(&sent, 3) < 12,
        "{sent:?}"
    );
    let sent = send(
        &mut table(policy::OverloadPolicy::NAIVE, &targets),
        at(9_000),
        96,
    );
    assert_eq!(count_of(&sent, 3), 24);
}

// The own zone has one small target. It is used first, and requests beyond its capacity go to other
// zones.
#[test]
fn short_zone_spills() {
    let targets = [(1, 'a', 8), (2, 'b', 8), (3, 'b', 8)];
    let mut table = table(policy::OverloadPolicy::FULL, &targets);
    let few = send(&mut table, at(9_000), 2);
    assert_eq!(few, [(1, 2)]);
    let many = send(&mut table, at(9_000), 20);
    assert!(count_of(&many, 1) <= 10, "{many:?}");
    assert!(count_of(&many, 2) + count_of(&many, 3) >= 10, "{many:?}");
}

/// A table with expensive traffic between zones. The target of the own zone has `waiting` requests
/// queued and the target of the other zone is free; a run takes 30 ms at both.
fn busy_own_zone(waiting: u16) -> routing::RouteTable {
    let policy = policy::OverloadPolicy {
        stay_in_zone: true,
        ..policy::OverloadPolicy::FULL
    };
    let mut table = table(policy, &[(1, 'a', 8), (2, 'b', 8)]);
    for (node, running, queued) in [(1, 8, waiting), (2, 1, 0)] {
        let load = call::LoadReport {
            running,
            queued: [0, 0, queued, 0],
            limit: 8,
            usual_micros: 30_000,
            ..call::LoadReport::default()
        };
        end(
            &mut table,
            at(9_000),
            node,
            routing::AttemptEnd::Succeeded,
            Some(&load),
        );
    }
    table
}

// A short call waits for a while in its own zone and then goes to a free target elsewhere. A claim
// of 10 KB waits ten times as long: a hundred of them across zones cost as much as a lookup is
// worth.
fn bytes_are_weighed_against_the_wait(bytes: u32, answer: u32, waiting: u16, node: u64) {
    let mut table = busy_own_zone(waiting);
    let report = routing::AttemptReport {
        class: NORMAL,
        kind: kind::CallKind(1),
        end: routing::AttemptEnd::Succeeded,
        load: None,
        answer_bytes: Some(answer),
    };
    table.attempt_ended(at(9_000), &service(), ident::NodeId(2), report);
    let service = service();
    let choice = table.choose(at(9_050), query(&service, 7, bytes, &[]));
    assert_eq!(node_of(choice), Some(node));
}

test_cases! {
    bytes_are_weighed_against_the_wait:
    a_short_call_stays_for_a_short_wait => (130, 300, 2, 1),
    a_short_call_leaves_a_long_queue => (130, 300, 60, 2),
    a_long_request_stays => (10_000, 300, 60, 1),
    a_call_with_a_long_answer_stays => (130, 10_000, 60, 1),
}

/// Target 1 answers that it is leaving, with its node's announcement number `announced`.
fn report_leaving(table: &mut routing::RouteTable, now: time::NodeTime, announced: u32) {
    let refused = call::LoadReport {
        leaving: true,
        announced,
        ..call::LoadReport::default()
    };
    end(
        table,
        now,
        1,
        routing::AttemptEnd::Succeeded,
        Some(&refused),
    );
}

// An answer reports that its target is leaving; membership does not know it yet and updates the
// target as serving. The target gets no request after that answer.
#[test]
fn leaving_target_gets_nothing_at_once() {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8), (2, 'b', 8)]);
    report_leaving(&mut table, at(9_000), 0);
    table.upsert(at(9_001), &service(), &record(1, 'a', 8));
    let sent = send(&mut table, at(9_002), 40);
    assert_eq!(count_of(&sent, 1), 0);
}

// A target leaves and its successor is announced 400 ms later, as in a release. The refusal that
// reported the leaving is delayed on a slow connection and arrives before or even after the
// announcement. If it were taken for newer, this node would never send to the target again, because
// no answer could correct it.
fn a_successor_is_used_at_once(refusal: u64, announcement: u64) {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8), (2, 'a', 8)]);
    let successor = routing::TargetRecord {
        announced: 8,
        ..record(1, 'a', 8)
    };
    for now in [at(9_000), at(9_400)] {
        if now == at(refusal) {
            report_leaving(&mut table, now, 7);
        }
        if now == at(announcement) {
            table.upsert(now, &service(), &successor);
        }
    }
    let sent = send(&mut table, at(9_500), 40);
    assert!(count_of(&sent, 1) > 0, "{sent:?}");
}

test_cases! {
    a_successor_is_used_at_once:
    announced_behind_the_refusal => (9_000, 9_400),
    announced_before_the_refusal_arrives => (9_400, 9_000),
}

// An answer reports that its target is leaving, and no announcement of it ever reaches this node,
// because its datagrams are lost. The target is tried again after a while, and its answer then
// decides.
#[test]
fn unconfirmed_leaving_expires() {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8), (2, 'a', 8)]);
    report_leaving(&mut table, at(9_000), 0);
    assert_eq!(count_of(&send(&mut table, at(18_000), 40), 1), 0);
    assert!(count_of(&send(&mut table, at(19_100), 80), 1) > 0);
}

// A target answers every request immediately with a server error. It has the fewest requests in
// flight and would attract all of them; it is ejected and tried again later.
#[test]
fn fast_failing_target_is_left_out() {
    let mut table = table(
        policy::OverloadPolicy::FULL,
        &[(1, 'a', 8), (2, 'a', 8), (3, 'a', 8)],
    );
    for _ in 0..40 {
        end(&mut table, at(9_000), 1, routing::AttemptEnd::Failed, None);
        end(
            &mut table,
            at(9_000),
            2,
            routing::AttemptEnd::Succeeded,
            None,
        );
        end(
            &mut table,
            at(9_000),
            3,
            routing::AttemptEnd::Succeeded,
            None,
        );
    }
    let sent = send(&mut table, at(9_001), 40);
    assert_eq!(count_of(&sent, 1), 0);
    let later = at(9_000) + routing::MAX_EJECTION;
    assert!(count_of(&send(&mut table, later, 40), 1) > 0);
}

// All targets fail alike, because a common dependency or this node's own network is down. Ejecting
// targets does not help; at least half of them stay in use.
#[test]
fn ejections_never_empty_a_service() {
    let mut table = table(
        policy::OverloadPolicy::FULL,
        &[(1, 'a', 8), (2, 'a', 8), (3, 'a', 8)],
    );
    for node in [1, 2, 3] {
        for _ in 0..40 {
            end(
                &mut table,
                at(9_000),
                node,
                routing::AttemptEnd::Unreachable,
                None,
            );
        }
    }
    let sent = send(&mut table, at(9_001), 60);
    assert!(sent.len() >= 2, "{sent:?}");
}

// A report that is one second old says that a target is full. The requests of this node count at
// once, and the stale report is ignored.
#[test]
fn stale_load_counts_no_more() {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8), (2, 'a', 8)]);
    let full = call::LoadReport {
        running: 8,
        queued: [0, 40, 0, 0],
        limit: 8,
        ..call::LoadReport::default()
    };
    end(
        &mut table,
        at(9_000),
        1,
        routing::AttemptEnd::Succeeded,
        Some(&full),
    );
    assert_eq!(count_of(&send(&mut table, at(9_010), 4), 1), 0);
    let later = at(9_000) + routing::LOAD_EXPIRY;
    assert!(count_of(&send(&mut table, later, 8), 1) >= 4);
}

// A retry goes to a target that has not been tried; if none is left, the choice is `NoTarget`.
#[test]
fn tried_targets_are_excluded() {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8), (2, 'b', 8)]);
    let choice = choose_excluding(&mut table, at(9_000), 0, &[ident::NodeId(1)]);
    assert_eq!(node_of(choice), Some(2));
    let both = [ident::NodeId(1), ident::NodeId(2)];
    let choice = choose_excluding(&mut table, at(9_000), 0, &both);
    assert_eq!(choice, routing::RouteChoice::NoTarget);
}

// One target of three reports a cut line. Requests below it go to the others. Once two targets
// report it, the service as a whole refuses them, and after the line has expired it accepts them
// again.
#[test]
fn lines_refuse_only_what_most_targets_refuse() {
    let targets = [(1, 'a', 8), (2, 'a', 8), (3, 'a', 8)];
    let mut table = table(policy::OverloadPolicy::FULL, &targets);
    let line = call::CutLine {
        class: NORMAL,
        lane: context::LaneHash(100),
    };
    let load = call::LoadReport {
        limit: 8,
        cut: Some(line),
        ..call::LoadReport::default()
    };
    end(
        &mut table,
        at(9_000),
        1,
        routing::AttemptEnd::Succeeded,
        Some(&load),
    );
    for _ in 0..20 {
        let node = node_of(choose(&mut table, at(9_000), 200));
        assert!(node == Some(2) || node == Some(3));
    }
    end(
        &mut table,
        at(9_000),
        2,
        routing::AttemptEnd::Succeeded,
        Some(&load),
    );
    let shed = routing::RouteChoice::Shed(line);
    assert_eq!(choose(&mut table, at(9_000), 200), shed);
    assert!(node_of(choose(&mut table, at(9_000), 50)).is_some());
    let later = at(9_000) + cut::MIN_CUT_EXPIRY;
    assert!(node_of(choose(&mut table, later, 255)).is_some());
    let without_early_refusal = policy::OverloadPolicy {
        early_refusal: false,
        ..policy::OverloadPolicy::FULL
    };
    assert!(
        node_of(choose(
            &mut self::table(without_early_refusal, &targets),
            at(9_000),
            255
        ))
        .is_some()
    );
}

// A service has forty targets, and a node has answers from five of them, which all refuse low
// levels. A request of a low level is refused at once: the others are assumed to be as busy, and
// trying them one by one would only take time. A line of a single target says nothing about the
// others.
#[test]
fn targets_never_heard_are_taken_to_be_as_the_others() {
    let targets: Vec<_> = (1..=40).map(|node| (node, 'a', 8)).collect();
    let mut table = table(policy::OverloadPolicy::FULL, &targets);
    let line = call::CutLine {
        class: NORMAL,
        lane: context::LaneHash(100),
    };
    let load = call::LoadReport {
        limit: 8,
        cut: Some(line),
        ..call::LoadReport::default()
    };
    let report_line = |table: &mut routing::RouteTable, node| {
        let succeeded = routing::AttemptEnd::Succeeded;
        end(table, at(9_000), node, succeeded, Some(&load));
    };
    report_line(&mut table, 1);
    assert!(node_of(choose(&mut table, at(9_000), 200)).is_some());
    (2..=5).for_each(|node| report_line(&mut table, node));
    let shed = routing::RouteChoice::Shed(line);
    assert_eq!(choose(&mut table, at(9_000), 200), shed);
    assert!(node_of(choose(&mut table, at(9_000), 50)).is_some());
}

// A node of a large fleet sends three requests of one kind a second. The line that an answer
// reports for downstream services applies to the next requests, so that those below it are not
// started in between. At a node that sends often the line expires sooner, and no line outlives its
// last answer by more than a few seconds.
fn line_lasts_for_some_requests(gap: u64, holds: u64, expired: u64) {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8)]);
    let line = call::CutLine {
        class: NORMAL,
        lane: context::LaneHash(100),
    };
    let load = call::LoadReport {
        limit: 8,
        deep: Some(line),
        ..call::LoadReport::default()
    };
    let last = 9_000 + 20 * gap;
    for request in 0..=20 {
        let now = at(9_000 + request * gap);
        choose(&mut table, now, 50);
        end(
            &mut table,
            now,
            1,
            routing::AttemptEnd::Succeeded,
            Some(&load),
        );
    }
    let shed = routing::RouteChoice::Shed(line);
    assert_eq!(choose(&mut table.clone(), at(last + holds), 156), shed);
    assert!(node_of(choose(&mut table, at(last + expired), 255)).is_some());
}

test_cases! {
    line_lasts_for_some_requests:
    sent_fifty_times_a_second => (20, 200, 900),
    sent_three_times_a_second => (333, 600, 2_500),
    sent_every_other_second => (2_000, 1_000, 3_000),
}

// Guards against hops that each apply what is left of a line in full, so that requests are refused
// for seconds after the overload.
#[test]
fn a_falling_line_decays_at_once() {
    let level = |lines: &[u8]| {
        let mut cut = cut::DecayingCut::default();
        for lane in lines {
            let line = call::CutLine {
                class: NORMAL,
                lane: context::LaneHash(*lane),
            };
            cut.update(at(9_000), Some(&line));
        }
        cut.level(at(9_100))
    };
    let falling = level(&[0, 100]);
    assert_eq!(level(&[100]), level(&[100, 100]));
    assert!(falling < level(&[100]), "{falling}");
}

// An admitted lookup makes eight calls to a downstream service whose line differs by some lanes
// from target to target. Its calls pass slightly below the line; otherwise it would fail at the
// highest of eight lines with most of its work done. Requests that have not begun are refused, and
// so are those far below the line or in a lower class.
fn line_favors_admitted_requests(
    line: (context::PriorityClass, u8),
    (depth, lane): (u8, u8),
    admitted: bool,
) {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8)]);
    let line = call::CutLine {
        class: line.0,
        lane: context::LaneHash(line.1),
    };
    let load = call::LoadReport {
        limit: 8,
        cut: Some(line),
        ..call::LoadReport::default()
    };
    let now = at(9_000);
    end(
        &mut table,
        now,
        1,
        routing::AttemptEnd::Succeeded,
        Some(&load),
    );
    let service = service();
    let mut query = query(&service, lane, 130, &[]);
    query.rank.depth = depth;
    let chosen = node_of(table.choose(now, query)).is_some();
    assert_eq!(chosen, admitted);
    assert_eq!(rank::admits(Some(&line), &query.rank), admitted);
}

test_cases! {
    line_favors_admitted_requests:
    admitted_just_below_passes => ((NORMAL, 100), (3, 150), true),
    new_request_is_refused => ((NORMAL, 100), (0, 150), false),
    admitted_far_below_is_refused => ((NORMAL, 100), (3, 170), false),
    admitted_of_the_class_below_is_refused => (
        (context::PriorityClass::High, 255), (3, 0), false),
}

// A new target gets only a part of its share at first.
#[test]
fn new_target_starts_slowly() {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 40), (2, 'a', 40)]);
    table.upsert(at(9_000), &service(), &record(3, 'a', 40));
    let sent = send(&mut table, at(9_000), 60);
    assert!(count_of(&sent, 3) <= 6, "{sent:?}");
    let later = at(9_000) + routing::SLOW_START + Duration::from_secs(1);
    let sent = send(&mut table, later, 60);
    assert!(count_of(&sent, 3) >= 20, "{sent:?}");
}

/// The node's answer tells that its target names a rate and gives a pause.
fn report_pause(table: &mut routing::RouteTable, now: time::NodeTime, node: u64, pause: Duration) {
    let notice = call::TargetNotice {
        incarnation: ident::IncarnationDigest(7),
        rate: Some(rate::RequestRate::from_millionths(2_000_000)),
        leaving: false,
    };
    let load = call::LoadReport {
        limit: 8,
        notice: (!pause.is_zero()).then_some(notice),
        pause_micros: u32::try_from(pause.as_micros()).expect("a short pause"),
        cut: (!pause.is_zero()).then_some(call::CutLine {
            class: context::PriorityClass::Critical,
            lane: context::LaneHash(0),
        }),
        ..call::LoadReport::default()
    };
    end(
        table,
        now,
        node,
        routing::AttemptEnd::Succeeded,
        Some(&load),
    );
}

// Guards against requests that are refused at a limited target, or for its sake at all of them.
#[test]
fn a_limited_target_is_passed_over_for_its_pause() {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8), (2, 'b', 8)]);
    report_pause(&mut table, at(9_000), 1, Duration::from_millis(500));
    report_pause(&mut table, at(9_000), 2, Duration::ZERO);
    let sent = send(&mut table, at(9_100), 40);
    assert_eq!(sent, [(2, 40)]);
    assert_eq!(table.pause_left(at(9_100), &service()), Duration::ZERO);
}

// Guards against a service that refuses everything because each of its targets gave a pause.
#[test]
fn the_shortest_pause_is_used_where_all_targets_are_limited() {
    let policy = policy::OverloadPolicy {
        early_refusal: false,
        ..policy::OverloadPolicy::FULL
    };
    let mut table = table(policy, &[(1, 'a', 8), (2, 'a', 8)]);
    report_pause(&mut table, at(9_000), 1, Duration::from_millis(2_000));
    report_pause(&mut table, at(9_000), 2, Duration::from_millis(500));
    assert_eq!(
        table.pause_left(at(9_100), &service()),
        Duration::from_millis(400)
    );
    assert_eq!(node_of(choose(&mut table, at(9_100), 7)), Some(2));
}

// Guards against a node that exceeds its share while no answer arrives.
#[test]
fn the_pause_is_repeated_for_each_request_without_an_answer() {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8)]);
    report_pause(&mut table, at(9_000), 1, Duration::from_millis(500));
    table.request_sent(&service(), ident::NodeId(1), NORMAL);
    table.request_sent(&service(), ident::NodeId(1), NORMAL);
    assert_eq!(
        table.pause_left(at(9_000), &service()),
        Duration::from_millis(1_500)
    );
}

// Guards against callers who are told to come back long after a limit may have been lifted.
#[test]
fn a_pause_ends_with_the_longest_one_however_much_was_sent() {
    let mut table = table(policy::OverloadPolicy::FULL, &[(1, 'a', 8)]);
    report_pause(&mut table, at(9_000), 1, Duration::from_millis(1_500));
    for _ in 0..40 {
        table.request_sent(&service(), ident::NodeId(1), NORMAL);
    }
    let left = table.pause_left(at(9_000), &service());
    assert_eq!(left, pacing::MAX_PAUSE);
}
