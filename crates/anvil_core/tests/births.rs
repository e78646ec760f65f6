//! Targets that restart under the same id, and late announcements of their earlier starts.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{effect, event, incarnations};
use anvil_rules::parse;
use anvil_testkit::test_cases;
use anvil_types::{ident, name, verdict};
use support::{at, replies, started};

/// When every case checks the result, in milliseconds; the announcement's lease lasts longer.
const CHECKED_AT_MS: u64 = 60_000;

fn incarnation(started_at_ms: Option<u64>, sequence: u64) -> event::TargetIncarnation {
    event::TargetIncarnation {
        id: ident::IncarnationId::new("a"),
        started_at_ms,
        sequence,
    }
}

fn ready(started_at_ms: u64, sequence: u64) -> event::NodeEvent {
    let event::NodeEvent::TargetAnnounced(announcement) = support::announcement(4) else {
        unreachable!("announcement() returns an announcement");
    };
    event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
        incarnation: Some(incarnation(Some(started_at_ms), sequence)),
        warm: true,
        ..announcement
    })
}

fn draining(started_at_ms: u64, sequence: u64) -> event::NodeEvent {
    event::NodeEvent::TargetWithdrawn {
        incarnation: incarnation(Some(started_at_ms), sequence),
        terminated: false,
    }
}

fn terminated(started_at_ms: Option<u64>) -> event::NodeEvent {
    event::NodeEvent::TargetWithdrawn {
        incarnation: incarnation(started_at_ms, u64::MAX),
        terminated: true,
    }
}

// A target crashes or leaves and restarts under the same id, with its sequence numbers reset. It
// must serve callers from its first announcement on, and no late announcement of an earlier start
// may revive or end it. Each announcement is given with its arrival time in milliseconds.
fn births_decide_before_sequences(announcements: &[(u64, event::NodeEvent)], serves: bool) {
    let mut node = support::entry_node();
    for (arrives_at, announcement) in announcements {
        support::run_until(&mut node, at(*arrives_at));
        node.step(at(*arrives_at), announcement.clone());
    }
    let effects = node.step(at(CHECKED_AT_MS), support::peer_call(7, true));
    assert_eq!(started(&effects).len(), usize::from(serves));
}

test_cases! {
    births_decide_before_sequences:
    restarted_after_a_crash => (&[(1, ready(100, 40)), (2, ready(200, 1))], true),
    restarted_after_leaving => (
        &[(1, ready(100, 40)), (2, draining(100, 41)), (3, terminated(Some(100))), (4, ready(200, 1))], true),
    restarted_after_a_termination_without_start_time => (
        &[(1, ready(100, 40)), (20_000, terminated(None)), (21_000, ready(200, 1))], true),
    late_announcement_of_an_earlier_start_is_ignored => (
        &[(1, ready(100, 40)), (2, ready(200, 1)), (3, draining(200, 2)), (4, ready(100, 41))], false),
    late_drain_of_an_earlier_start_is_ignored => (
        &[(1, ready(100, 40)), (2, ready(200, 1)), (3, draining(100, 41))], true),
    late_termination_of_an_earlier_start_is_ignored => (
        &[(1, ready(100, 40)), (2, ready(200, 1)), (3, terminated(Some(100)))], true),
    drain_of_a_later_start_applies => (
        &[(1, ready(100, 40)), (2, draining(200, 1))], false),
    termination_of_a_later_start_applies => (
        &[(1, ready(100, 40)), (2, terminated(Some(200))), (3, ready(200, 1)), (4, ready(100, 41))], false),
    sequences_decide_within_one_start => (
        &[(1, ready(200, 1)), (2, draining(200, 3)), (3, ready(200, 2))], false),
    termination_without_start_time_applies_at_first => (
        &[(1, ready(100, 40)), (50_000, ready(200, 1)), (51_000, terminated(None)), (52_000, ready(200, 2))],
        false),
    termination_without_start_time_is_lifted_by_later_announcements => (
        &[(1, ready(100, 40)), (20_000, ready(200, 1)), (21_000, terminated(None)), (22_000, ready(200, 2)),
          (37_000, ready(200, 12))],
        true),
    termination_long_after_the_start_is_final => (
        &[(1, ready(200, 1)), (16_000, terminated(None)), (40_000, ready(200, 9))], false),
    clock_set_back_between_starts_blocks_nothing => (
        &[(1, ready(2_400_200, 9)), (2, draining(2_400_200, 10)), (16_000, ready(100, 8))], true),
    announcement_without_start_time_is_ignored => (
        &[(1, ready(200, 1)), (2, draining(200, 2)),
          (3, event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
              incarnation: Some(incarnation(None, 99)), ..announcement() }))],
        false),
}

fn announcement() -> event::TargetAnnouncement {
    match support::announcement(4) {
        event::NodeEvent::TargetAnnounced(announcement) => announcement,
        _ => unreachable!("announcement() returns an announcement"),
    }
}

#[test]
fn a_run_at_a_former_life_is_told_as_soon_as_the_target_is_back() {
    // A claim is running when its target loses power, which the connection does not show. The
    // target restarts under the same id two seconds later. The caller must be told then, and not at
    // its deadline, that the claim may have run, and the run must occupy no slot of the new start.
    let mut node = support::entry_node();
    node.step(at(1), ready(100, 40));
    let effects = node.step(at(2), support::arrival(1, "POST"));
    let run = started(&effects)[0];
    let effects = node.step(at(2_000), ready(200, 1));
    let cancelled = effects
        .iter()
        .any(|effect| matches!(effect, effect::NodeEffect::CancelRun(id) if *id == run));
    assert!(cancelled);
    let outcome = event::RunOutcome::Cancelled;
    let effects = node.step(
        at(2_001),
        event::NodeEvent::RunEnded {
            run,
            outcome,
            statement: None,
            exchange: None,
        },
    );
    let may_have_run = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);
    assert_eq!(replies(&effects), [(1, may_have_run)]);
    let calls = (10..14).map(|call| node.step(at(2_002), support::peer_call(call, true)));
    let runs: usize = calls.map(|effects| started(&effects).len()).sum();
    assert_eq!(runs, 4);
}

#[test]
fn a_late_announcement_does_not_cancel_a_run_in_progress() {
    // An announcement of an earlier start arrives seconds late, while a claim is running. The claim
    // must not be cancelled, and its caller gets the full answer.
    let mut node = support::entry_node();
    node.step(at(1), ready(100, 40));
    node.step(at(2), ready(200, 1));
    let effects = node.step(at(3), support::arrival(1, "POST"));
    let run = started(&effects)[0];
    let effects = node.step(at(4), ready(100, 41));
    let cancelled = effects
        .iter()
        .any(|effect| matches!(effect, effect::NodeEffect::CancelRun(_)));
    assert!(!cancelled);
    let outcome = support::answered();
    let effects = node.step(
        at(90),
        event::NodeEvent::RunEnded {
            run,
            outcome,
            statement: None,
            exchange: None,
        },
    );
    assert_eq!(replies(&effects), [(1, verdict::CallVerdict::Answered)]);
}

#[test]
fn ignored_announcements_are_logged_with_their_start_time() {
    // For an announcement that changed nothing, the log must give its start time and the reason.
    let mut node = support::entry_node();
    node.step(at(1), ready(100, 40));
    node.step(at(2), ready(200, 1));
    let effects = node.step(at(3), ready(100, 41));
    let logged = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::Report(effect::StateChange::AnnouncementIgnored { report, status }) => {
            Some((report.started_at_ms, *status))
        }
        _ => None,
    });
    let earlier = incarnations::AnnouncementStatus::EarlierStart;
    assert_eq!(logged, Some((Some(100), earlier)));
}

// Another program announces itself at the node. If neither the settings nor the rules name its
// service, the present target must keep serving callers.
fn only_services_that_are_known_take_the_place(service: &str, replaced: bool) {
    let rules = parse::parse_rules("test", RULES).unwrap();
    let mut node = support::entry_node().with_expected_service(support::service());
    assert!(node.adopt_rules(ident::RuleRevision(3), rules));
    node.step(at(1), ready(100, 1));
    let other = event::TargetAnnouncement {
        service: name::ServiceName::new(service).unwrap(),
        incarnation: Some(event::TargetIncarnation {
            id: ident::IncarnationId::new("b"),
            ..incarnation(Some(200), 1)
        }),
        ..announcement()
    };
    let effects = node.step(at(2), event::NodeEvent::TargetAnnounced(other));
    let ignored = effects.iter().any(|effect| {
        let effect::NodeEffect::Report(change) = effect else {
            return false;
        };
        matches!(change, effect::StateChange::AnnouncementIgnored { .. })
    });
    assert_eq!(ignored, !replaced);
    let effects = node.step(at(3), support::peer_call(7, true));
    assert_eq!(started(&effects).len(), usize::from(!replaced));
}

const RULES: &str = "rules:
  - name: status
    when: {path: /cases/**}
    then: {send-to: audiencias, idempotent: true, deadline: 5s}
";

test_cases! {
    only_services_that_are_known_take_the_place:
    unknown_service => ("printer", false),
    service_named_by_a_rule => ("audiencias", true),
}
