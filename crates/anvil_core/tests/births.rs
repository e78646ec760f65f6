//! Targets that start again under the id that they had, and words of their former lives.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{effect, event, incarnations};
use anvil_rules::parse;
use anvil_testkit::test_cases;
use anvil_types::{ident, name, verdict};
use support::{at, replies, started};

/// The end of all tests, well before the announcement's lease is over.
const END: u64 = 60_000;

fn word(born: Option<u64>, sequence: u64) -> event::TargetIncarnation {
    event::TargetIncarnation {
        id: ident::IncarnationId::new("a"),
        started_at_ms: born,
        sequence,
    }
}

fn ready(born: u64, sequence: u64) -> event::NodeEvent {
    let event::NodeEvent::TargetAnnounced(announcement) = support::announcement(4) else {
        unreachable!("it announces");
    };
    event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
        incarnation: Some(word(Some(born), sequence)),
        warm: true,
        ..announcement
    })
}

fn draining(born: u64, sequence: u64) -> event::NodeEvent {
    event::NodeEvent::TargetWithdrawn {
        incarnation: word(Some(born), sequence),
        terminated: false,
    }
}

fn gone(born: Option<u64>) -> event::NodeEvent {
    event::NodeEvent::TargetWithdrawn {
        incarnation: word(born, u64::MAX),
        terminated: true,
    }
}

// A target crashes or leaves and starts again under the id that it had, and its counts start anew.
// Callers are served by it from its first word on, and no word of a former life, however late,
// revives or ends it. Each word stands with the millisecond at which it arrives.
fn births_decide_before_sequences(words: &[(u64, event::NodeEvent)], serves: bool) {
    let mut node = support::entry_node();
    for (when, word) in words {
        support::run_until(&mut node, at(*when));
        node.step(at(*when), word.clone());
    }
    let effects = node.step(at(END), support::peer_call(7, true));
    assert_eq!(started(&effects).len(), usize::from(serves));
}

test_cases! {
    births_decide_before_sequences:
    back_after_a_crash => (&[(1, ready(100, 40)), (2, ready(200, 1))], true),
    back_after_it_left => (
        &[(1, ready(100, 40)), (2, draining(100, 41)), (3, gone(Some(100))), (4, ready(200, 1))], true),
    back_after_an_end_that_names_no_birth => (
        &[(1, ready(100, 40)), (20_000, gone(None)), (21_000, ready(200, 1))], true),
    a_late_word_of_a_former_life_revives_nothing => (
        &[(1, ready(100, 40)), (2, ready(200, 1)), (3, draining(200, 2)), (4, ready(100, 41))], false),
    a_late_leaving_of_a_former_life_binds_nobody => (
        &[(1, ready(100, 40)), (2, ready(200, 1)), (3, draining(100, 41))], true),
    a_late_end_of_a_former_life_binds_nobody => (
        &[(1, ready(100, 40)), (2, ready(200, 1)), (3, gone(Some(100)))], true),
    a_leaving_of_a_later_life_binds_the_id => (
        &[(1, ready(100, 40)), (2, draining(200, 1))], false),
    the_end_of_a_later_life_binds_the_id => (
        &[(1, ready(100, 40)), (2, gone(Some(200))), (3, ready(200, 1)), (4, ready(100, 41))], false),
    sequences_decide_within_a_life => (
        &[(1, ready(200, 1)), (2, draining(200, 3)), (3, ready(200, 2))], false),
    an_end_that_may_mean_a_former_life_binds_at_first => (
        &[(1, ready(100, 40)), (50_000, ready(200, 1)), (51_000, gone(None)), (52_000, ready(200, 2))],
        false),
    an_end_that_meant_a_former_life_is_lifted_by_later_words => (
        &[(1, ready(100, 40)), (20_000, ready(200, 1)), (21_000, gone(None)), (22_000, ready(200, 2)),
          (37_000, ready(200, 12))],
        true),
    an_end_after_a_long_life_is_for_good => (
        &[(1, ready(200, 1)), (16_000, gone(None)), (40_000, ready(200, 9))], false),
    a_clock_that_went_back_between_births_bars_nobody => (
        &[(1, ready(2_400_200, 9)), (2, draining(2_400_200, 10)), (16_000, ready(100, 8))], true),
    a_word_without_a_birth_revives_nothing => (
        &[(1, ready(200, 1)), (2, draining(200, 2)),
          (3, event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
              incarnation: Some(word(None, 99)), ..announcement() }))],
        false),
}

fn announcement() -> event::TargetAnnouncement {
    match support::announcement(4) {
        event::NodeEvent::TargetAnnounced(announcement) => announcement,
        _ => unreachable!("it announces"),
    }
}

#[test]
fn a_run_at_a_former_life_is_told_as_soon_as_the_target_is_back() {
    // A claim runs when its target loses power, without a sign on the connection. The target is back
    // under its id two seconds later. The caller is told then that the claim may have run, and not at
    // the end of its deadline; nothing of that run occupies a slot of the new life.
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
    let effects = node.step(at(2_001), event::NodeEvent::RunEnded { run, outcome });
    let doubt = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);
    assert_eq!(replies(&effects), [(1, doubt)]);
    let calls = (10..14).map(|call| node.step(at(2_002), support::peer_call(call, true)));
    let all: usize = calls.map(|effects| started(&effects).len()).sum();
    assert_eq!(all, 4);
}

#[test]
fn a_run_in_progress_is_kept_through_a_late_word() {
    // A claim runs at its target while a word of its former life arrives, seconds late. The claim is
    // not broken off, and its caller gets the whole answer.
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
    let outcome = support::whole();
    let effects = node.step(at(90), event::NodeEvent::RunEnded { run, outcome });
    assert_eq!(replies(&effects), [(1, verdict::CallVerdict::Answered)]);
}

#[test]
fn words_that_do_not_count_are_told_and_counted() {
    // An operator asks why a target's last word changed nothing; the log names its birth and why.
    let mut node = support::entry_node();
    node.step(at(1), ready(100, 40));
    node.step(at(2), ready(200, 1));
    let effects = node.step(at(3), ready(100, 41));
    let told = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::Report(effect::StateChange::AnnouncementIgnored {
            started_at_ms: born,
            status: standing,
            ..
        }) => Some((*born, *standing)),
        _ => None,
    });
    let earlier = incarnations::AnnouncementStatus::EarlierStart;
    assert_eq!(told, Some((Some(100), earlier)));
}

// Another program announces itself at the node. Where neither the settings nor the rules name its
// service, callers go on being served by the target that is there.
fn only_services_that_are_known_take_the_place(service: &str, taken: bool) {
    let rules = parse::parse_rules("test", RULES).unwrap();
    let mut node = support::entry_node().with_expected_service(support::service());
    assert!(node.adopt_rules(ident::RuleRevision(3), rules));
    node.step(at(1), ready(100, 1));
    let other = event::TargetAnnouncement {
        service: name::ServiceName::new(service).unwrap(),
        incarnation: Some(event::TargetIncarnation {
            id: ident::IncarnationId::new("b"),
            ..word(Some(200), 1)
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
    assert_eq!(ignored, !taken);
    let effects = node.step(at(3), support::peer_call(7, true));
    assert_eq!(started(&effects).len(), usize::from(!taken));
}

const RULES: &str = "rules:
  - name: status
    when: {path: /cases/**}
    then: {send-to: audiencias, idempotent: true, deadline: 5s}
";

test_cases! {
    only_services_that_are_known_take_the_place:
    known_to_nobody => ("printer", false),
    named_by_a_rule => ("audiencias", true),
}
