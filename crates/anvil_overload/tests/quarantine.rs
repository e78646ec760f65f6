//! Quarantine of requests that crash targets, in simulated time.

use std::time::Duration;

use anvil_overload::{policy, quarantine};
use anvil_types::{ident, name, time};
use anvil_wire::suspicion;

use quarantine::{QuarantineStatus, RunEnd};

const RULE: quarantine::CrashRule = quarantine::CrashRule {
    limit: 2,
    quarantine: Duration::from_secs(600),
};

const POISON: ident::RequestFingerprint = ident::RequestFingerprint(99);

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

fn service() -> name::ServiceName {
    name::ServiceName::new("expediente").expect("a name")
}

fn list(node: u64) -> quarantine::PoisonList {
    quarantine::PoisonList::new(ident::NodeId(node), policy::OverloadPolicy::FULL)
}

/// The target accepts no connection after a run broke.
fn refuse_probe(
    list: &mut quarantine::PoisonList,
    now: time::NodeTime,
) -> Option<suspicion::SuspicionNotice> {
    assert!(list.needs_probe());
    assert!(!list.needs_probe(), "one probe is enough");
    list.target_probed(now, false, &service())
}

/// Starts the poison as run 0 beside the runs `others`, and crashes the target.
fn crash(
    list: &mut quarantine::PoisonList,
    now: time::NodeTime,
    others: std::ops::Range<u64>,
) -> suspicion::SuspicionNotice {
    list.run_started(0, POISON, RULE);
    for other in others.clone() {
        list.run_started(other, ident::RequestFingerprint(other), RULE);
    }
    assert_eq!(list.run_broken(now, 0, &service()), None);
    for other in others {
        assert_eq!(list.run_broken(now, other, &service()), None);
    }
    refuse_probe(list, now).expect("a crash")
}

fn is_quarantined(
    list: &quarantine::PoisonList,
    now: time::NodeTime,
    fingerprint: ident::RequestFingerprint,
) -> bool {
    matches!(
        list.status(now, fingerprint),
        QuarantineStatus::Quarantined { .. }
    )
}

// A request crashes a target beside 39 others, is resent through another entry node to another
// target, and crashes that one. The second node has received the notice of the first crash, so no
// other suspect was running. From then on both nodes refuse the request, and no other one.
#[test]
fn second_crash_quarantines_only_the_poison() {
    let (mut first, mut second) = (list(1), list(2));
    let notice = crash(&mut first, at(0), 1..40);
    assert_eq!(first.status(at(1), POISON), QuarantineStatus::Suspect);
    assert!(second.apply_notice(at(2), &notice));
    assert_eq!(second.status(at(3), POISON), QuarantineStatus::Suspect);
    let notice = crash(&mut second, at(5), 100..139);
    assert!(is_quarantined(&second, at(6), POISON));
    assert!(first.apply_notice(at(7), &notice));
    assert!(is_quarantined(&first, at(8), POISON));
    for other in (1..40).chain(100..139) {
        assert!(!is_quarantined(
            &first,
            at(8),
            ident::RequestFingerprint(other)
        ));
    }
    // The others at the second crash are not even suspects, because a known suspect was running.
    let beside = ident::RequestFingerprint(100);
    assert_eq!(first.status(at(8), beside), QuarantineStatus::Clean);
}

// Other requests run beside the poison in two crashes before any notice arrives. Two ambiguous
// crashes quarantine no request; the poison is quarantined after two more at the latest.
#[test]
fn ambiguous_crashes_take_longer_to_quarantine() {
    let mut lists = [list(1), list(2)];
    let notices: Vec<_> = lists
        .iter_mut()
        .map(|list| crash(list, at(0), 1..5))
        .collect();
    lists[0].apply_notice(at(1), &notices[1]);
    assert_eq!(
        lists[0].status(at(2), ident::RequestFingerprint(1)),
        QuarantineStatus::Suspect
    );
    assert_eq!(lists[0].status(at(2), POISON), QuarantineStatus::Suspect);
    crash(&mut lists[0], at(3), 1..5);
    crash(&mut lists[0], at(4), 6..9);
    assert!(is_quarantined(&lists[0], at(5), POISON));
    assert!(!is_quarantined(
        &lists[0],
        at(5),
        ident::RequestFingerprint(6)
    ));
}

// A suspect that is answered is cleared. A quarantine ends after the time of the rule.
#[test]
fn answers_clear_suspects_and_quarantine_expires() {
    let mut list = list(1);
    crash(&mut list, at(0), 1..3);
    list.run_started(7, ident::RequestFingerprint(1), RULE);
    list.run_ended(at(1), 7, RunEnd::Answered, &service());
    assert_eq!(
        list.status(at(1), ident::RequestFingerprint(1)),
        QuarantineStatus::Clean
    );
    crash(&mut list, at(2), 20..23);
    assert!(is_quarantined(&list, at(3), POISON));
    let over = at(2) + RULE.quarantine;
    assert_eq!(list.status(over, POISON), QuarantineStatus::Clean);
}

// A notice that arrives twice counts once.
#[test]
fn repeated_notice_counts_once() {
    let mut list = list(1);
    let notice = crash(&mut self::list(2), at(0), 1..2);
    assert!(list.apply_notice(at(1), &notice));
    assert!(!list.apply_notice(at(2), &notice));
    assert_eq!(list.status(at(3), POISON), QuarantineStatus::Suspect);
}

// A node is lost while it runs requests of this one. The network may be the cause, so one loss only
// makes suspects; a lone suspect that is running at the next lost node is quarantined.
#[test]
fn lost_nodes_quarantine_only_lone_suspects() {
    let mut list = list(1);
    let fingerprints = [(POISON, RULE), (ident::RequestFingerprint(1), RULE)];
    list.peer_lost(at(0), ident::NodeId(2), &service(), &fingerprints);
    assert_eq!(list.status(at(1), POISON), QuarantineStatus::Suspect);
    let fingerprints = [(POISON, RULE), (ident::RequestFingerprint(2), RULE)];
    list.peer_lost(at(2), ident::NodeId(3), &service(), &fingerprints);
    assert!(is_quarantined(&list, at(3), POISON));
    assert!(!is_quarantined(&list, at(3), ident::RequestFingerprint(1)));
    assert!(!is_quarantined(&list, at(3), ident::RequestFingerprint(2)));
}

// Many crashes name new requests: memory stays bounded and quarantined requests are retained.
#[test]
fn memory_is_bounded() {
    let mut list = list(1);
    crash(&mut list, at(0), 1..2);
    crash(&mut list, at(1), 2..3);
    assert!(is_quarantined(&list, at(2), POISON));
    for round in 0..100_u64 {
        let suspect_request = |number| suspicion::SuspectRequest {
            fingerprint: ident::RequestFingerprint(1_000 + round * 100 + number),
            alone: false,
            crash_limit: 2,
            quarantine_seconds: 600,
        };
        let crash = suspicion::CrashId {
            node: ident::NodeId(9),
            sequence: round + 1,
        };
        let notice = suspicion::SuspicionNotice {
            crash,
            service: service(),
            suspects: (0..100).map(suspect_request).collect(),
        };
        list.apply_notice(at(3 + round), &notice);
    }
    assert_eq!(list.len(), quarantine::MAX_SUSPECTS);
    assert!(is_quarantined(&list, at(200), POISON));
}

// One connection breaks and the target still answers other requests: this is not a crash, and there
// is no suspect.
#[test]
fn broken_connection_is_no_crash() {
    let mut list = list(1);
    for run in 0..8 {
        list.run_started(run, ident::RequestFingerprint(run), RULE);
    }
    assert_eq!(list.run_broken(at(1), 0, &service()), None);
    assert_eq!(list.run_ended(at(2), 1, RunEnd::Answered, &service()), None);
    for run in 2..8 {
        assert_eq!(
            list.run_ended(at(3), run, RunEnd::Unknown, &service()),
            None
        );
    }
    assert!(list.is_empty());
}

// A request crashes targets that run nothing else. The broken connections could be caused by the
// network, so it is refused only after two crashes more than the rule's limit.
#[test]
fn poison_in_an_idle_mesh_is_stopped() {
    let mut list = list(1);
    let mut crashes = 0;
    while !is_quarantined(&list, at(crashes), POISON) {
        list.run_started(crashes, POISON, RULE);
        list.run_broken(at(crashes), crashes, &service());
        assert!(refuse_probe(&mut list, at(crashes)).is_some());
        crashes += 1;
    }
    assert_eq!(
        crashes,
        u64::from(RULE.limit + quarantine::AMBIGUOUS_CRASH_MARGIN)
    );
}

// A frequent request is running six times for each of three callers' nodes when a target's node is
// lost, and each of them reports a strike for its own share. One loss counts as one crash, so the
// request is not refused.
#[test]
fn one_loss_strikes_a_request_once_however_often_it_was_out() {
    let lost = ident::NodeId(9);
    let mut lists = [list(1), list(2), list(3)];
    let in_progress = [(POISON, RULE); 6];
    let notices = lists
        .each_mut()
        .map(|list| list.peer_lost(at(0), lost, &service(), &in_progress));
    for list in &mut lists {
        for notice in &notices {
            list.apply_notice(at(1), notice);
        }
        assert_eq!(list.status(at(2), POISON), QuarantineStatus::Suspect);
    }
    // A second node is lost while running it as the only suspect: two crashes, one of them alone.
    lists[0].peer_lost(at(3), ident::NodeId(8), &service(), &in_progress[..1]);
    assert!(is_quarantined(&lists[0], at(4), POISON));
}

// All nodes of a service are lost one after the other, each while it runs the same request, and
// other nodes answer the request in between. A caller's node without a target of that service takes
// the strikes back; otherwise it would refuse, after the fourth loss, a request that all targets
// serve.
#[test]
fn answers_of_other_nodes_take_strikes_back() {
    let mut list = list(1);
    for loss in 0..6 {
        let fingerprints = [(POISON, RULE), (ident::RequestFingerprint(50 + loss), RULE)];
        list.peer_lost(
            at(loss * 1_000),
            ident::NodeId(20 + loss),
            &service(),
            &fingerprints,
        );
        list.answered(at(loss * 1_000 + 500), POISON);
    }
    assert_eq!(list.status(at(6_000), POISON), QuarantineStatus::Clean);
}

// Six nodes are lost within half a second for an unrelated reason, and each was running the same
// frequent request. It was answered just before, so it cannot be the cause and is not refused. A
// request that was never answered is refused after the same losses.
#[test]
fn what_was_answered_lately_is_not_refused_for_a_series_of_losses() {
    let mut list = list(1);
    let page = ident::RequestFingerprint(7);
    list.answered(at(0), page);
    for loss in 0..6 {
        let node = ident::NodeId(20 + loss);
        list.peer_lost(at(100 + loss * 80), node, &service(), &[(page, RULE)]);
        list.peer_lost(at(100 + loss * 80), node, &service(), &[(POISON, RULE)]);
    }
    assert_eq!(list.status(at(700), page), QuarantineStatus::Suspect);
    assert!(is_quarantined(&list, at(700), POISON));
    // It is answered again, and then another request evicts it from the answered ones. It has no
    // strikes left.
    list.answered(at(800), page);
    list.answered(at(900), ident::RequestFingerprint(7 + 256));
    assert_eq!(list.status(at(1_000), page), QuarantineStatus::Clean);
}

// Guards against a crash that is hidden by an answer sent before it.
#[test]
fn an_answer_sent_before_the_crash_hides_no_suspect() {
    let mut list = list(1);
    list.run_started(0, POISON, RULE);
    for run in 1..8 {
        list.run_started(run, ident::RequestFingerprint(run), RULE);
    }
    assert_eq!(list.run_broken(at(1), 0, &service()), None);
    assert_eq!(list.run_ended(at(1), 1, RunEnd::Answered, &service()), None);
    for run in 2..8 {
        list.run_broken(at(1), run, &service());
    }
    // The target does not accept connections after its crash.
    list.run_started(8, ident::RequestFingerprint(8), RULE);
    list.run_ended(at(2), 8, RunEnd::Unreachable, &service());
    assert_eq!(list.status(at(3), POISON), QuarantineStatus::Suspect);
}

// Guards against suspects after one broken connection of a target that is alive.
#[test]
fn an_answer_to_a_later_request_shows_that_the_target_is_alive() {
    let mut list = list(1);
    list.run_started(0, POISON, RULE);
    list.run_started(1, ident::RequestFingerprint(1), RULE);
    assert_eq!(list.run_broken(at(1), 0, &service()), None);
    list.run_started(2, ident::RequestFingerprint(2), RULE);
    list.run_ended(at(2), 1, RunEnd::Answered, &service());
    list.run_ended(at(3), 2, RunEnd::Answered, &service());
    list.run_started(3, ident::RequestFingerprint(3), RULE);
    assert_eq!(
        list.run_ended(at(4), 3, RunEnd::Unreachable, &service()),
        None
    );
    assert_eq!(list.target_ended(at(5), &service()), None);
    assert!(list.is_empty());
}

// Guards against a crash that goes unnoticed until something is sent to the target.
#[test]
fn the_end_of_a_target_decides_that_it_crashed() {
    let mut list = list(1);
    list.run_started(0, POISON, RULE);
    list.run_started(1, ident::RequestFingerprint(1), RULE);
    list.run_broken(at(1), 0, &service());
    assert_eq!(list.run_ended(at(1), 1, RunEnd::Answered, &service()), None);
    assert!(list.target_ended(at(2_000), &service()).is_some());
    assert_eq!(list.status(at(2_001), POISON), QuarantineStatus::Suspect);
}

fn quarantined_elsewhere(age: Duration) -> suspicion::QuarantinedRequest {
    suspicion::QuarantinedRequest {
        fingerprint: POISON,
        crashes: 2,
        crash_limit: RULE.limit,
        quarantine_seconds: 600,
        age_millis: u64::try_from(age.as_millis()).expect("a short time"),
        last: suspicion::CrashId {
            node: ident::NodeId(7),
            sequence: 1,
        },
    }
}

// Guards against a node that runs a quarantined request as it saw no crash itself.
#[test]
fn a_node_that_saw_no_crash_refuses_what_others_refuse() {
    let mut list = list(1);
    let heard = quarantined_elsewhere(Duration::from_secs(100));
    assert!(list.merge(at(200_000), &heard));
    assert!(!list.merge(at(200_000), &heard), "it is known");
    assert_eq!(list.take_quarantined(), [heard]);
    assert!(is_quarantined(&list, at(699_000), POISON));
    assert!(!is_quarantined(&list, at(701_000), POISON));
    let over = quarantined_elsewhere(Duration::from_secs(600));
    assert!(!list.merge(at(702_000), &over));
}

// Guards against a harmless request that is refused because others refuse it.
#[test]
fn what_was_answered_lately_is_not_refused_because_others_do() {
    let mut list = list(1);
    list.answered(at(1_000), POISON);
    assert!(!list.merge(at(2_000), &quarantined_elsewhere(Duration::ZERO)));
    assert_eq!(list.status(at(3_000), POISON), QuarantineStatus::Clean);
}

// Guards against telling others to refuse a request that is not refused here.
#[test]
fn what_is_not_refused_is_told_to_nobody() {
    let mut list = list(1);
    list.answered(at(0), POISON);
    for loss in 0..6 {
        let node = ident::NodeId(20 + loss);
        list.peer_lost(at(100 + loss * 80), node, &service(), &[(POISON, RULE)]);
    }
    assert_eq!(list.status(at(700), POISON), QuarantineStatus::Suspect);
    assert_eq!(list.take_quarantined(), []);
    assert_eq!(list.quarantined(at(700)), []);
}

// Guards against a quarantine that outlasts the answers that other nodes receive.
#[test]
fn what_others_have_served_is_not_refused() {
    let (mut first, mut second) = (list(1), list(2));
    second.answered(at(0), POISON);
    for crash in 0..4 {
        first.run_started(crash, POISON, RULE);
        first.run_broken(at(1_000 + crash), crash, &service());
        refuse_probe(&mut first, at(1_000 + crash));
    }
    assert!(is_quarantined(&first, at(2_000), POISON));
    let served = second.served_among(at(2_000), &first.quarantined(at(2_000)));
    assert_eq!(served.len(), 1);
    first.merge_served(at(2_001), &served[0]);
    assert_eq!(first.status(at(2_002), POISON), QuarantineStatus::Clean);
    for crash in 4..8 {
        first.run_started(crash, POISON, RULE);
        first.run_broken(at(3_000 + crash), crash, &service());
        refuse_probe(&mut first, at(3_000 + crash));
    }
    assert_eq!(first.status(at(4_000), POISON), QuarantineStatus::Suspect);
    // The answer counts from when it arrived.
    assert!(is_quarantined(&first, at(60_500), POISON));
}

// Guards against a request that is suspected because a live target loses its answers.
#[test]
fn lost_answers_make_no_suspects() {
    let mut list = list(1);
    for run in 0..8 {
        list.run_started(run, POISON, RULE);
        assert_eq!(list.run_broken(at(run), run, &service()), None);
        assert!(list.needs_probe());
        assert_eq!(list.target_probed(at(run), true, &service()), None);
    }
    assert!(list.is_empty());
}
