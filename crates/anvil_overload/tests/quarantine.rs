//! Which requests are blamed for crashes, in injected time.

use std::time::Duration;

use anvil_overload::{policy, quarantine};
use anvil_types::{ident, name, time};
use anvil_wire::suspicion;

use quarantine::PrintStatus;

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

/// Starts the poison as run 0 beside `crowd` innocents and crashes the target.
fn crash(
    list: &mut quarantine::PoisonList,
    now: time::NodeTime,
    crowd: std::ops::Range<u64>,
) -> suspicion::SuspicionNotice {
    list.run_started(0, POISON, RULE);
    for innocent in crowd.clone() {
        list.run_started(innocent, ident::RequestFingerprint(innocent), RULE);
    }
    let mut notice = list.run_broken(now, 0, &service());
    for innocent in crowd {
        assert_eq!(notice, None);
        notice = list.run_broken(now, innocent, &service());
    }
    notice.expect("a crash")
}

fn condemned(
    list: &quarantine::PoisonList,
    now: time::NodeTime,
    print: ident::RequestFingerprint,
) -> bool {
    matches!(list.status(now, print), PrintStatus::Quarantined { .. })
}

// A request crashes the target beside 39 others, is sent again through another entry node to
// another target, and crashes that one. The second node has heard of the first crash, so no other
// suspect ran beside it. From then on it is refused at both, and nobody else is.
#[test]
fn second_crash_condemns_the_poison_alone() {
    let (mut first, mut second) = (list(1), list(2));
    let notice = crash(&mut first, at(0), 1..40);
    assert_eq!(first.status(at(1), POISON), PrintStatus::Suspect);
    assert!(second.apply_notice(at(2), &notice));
    assert_eq!(second.status(at(3), POISON), PrintStatus::Suspect);
    let notice = crash(&mut second, at(5), 100..139);
    assert!(condemned(&second, at(6), POISON));
    assert!(first.apply_notice(at(7), &notice));
    assert!(condemned(&first, at(8), POISON));
    for innocent in (1..40).chain(100..139) {
        assert!(!condemned(
            &first,
            at(8),
            ident::RequestFingerprint(innocent)
        ));
    }
    // Those beside the second crash are not even suspects: one was running.
    let beside = ident::RequestFingerprint(100);
    assert_eq!(first.status(at(8), beside), PrintStatus::Clean);
}

// An innocent runs beside the poison twice before any notice arrives. Two crashes in a crowd
// condemn nobody; the poison itself is condemned after two more at the latest.
#[test]
fn crowds_take_longer_to_condemn() {
    let mut lists = [list(1), list(2)];
    let notices: Vec<_> = lists
        .iter_mut()
        .map(|list| crash(list, at(0), 1..5))
        .collect();
    lists[0].apply_notice(at(1), &notices[1]);
    assert_eq!(
        lists[0].status(at(2), ident::RequestFingerprint(1)),
        PrintStatus::Suspect
    );
    assert_eq!(lists[0].status(at(2), POISON), PrintStatus::Suspect);
    crash(&mut lists[0], at(3), 1..5);
    crash(&mut lists[0], at(4), 6..9);
    assert!(condemned(&lists[0], at(5), POISON));
    assert!(!condemned(&lists[0], at(5), ident::RequestFingerprint(6)));
}

// A suspect runs to its end: it is cleared. Quarantine ends with the rule's time.
#[test]
fn whole_answers_clear_and_time_ends_it() {
    let mut list = list(1);
    crash(&mut list, at(0), 1..3);
    list.run_started(7, ident::RequestFingerprint(1), RULE);
    list.run_ended(at(1), 7, true, &service());
    assert_eq!(
        list.status(at(1), ident::RequestFingerprint(1)),
        PrintStatus::Clean
    );
    crash(&mut list, at(2), 20..23);
    assert!(condemned(&list, at(3), POISON));
    let over = at(2) + RULE.quarantine;
    assert_eq!(list.status(over, POISON), PrintStatus::Clean);
}

// The same notice comes by two ways and counts once.
#[test]
fn repeated_notice_counts_once() {
    let mut list = list(1);
    let notice = crash(&mut self::list(2), at(0), 1..2);
    assert!(list.apply_notice(at(1), &notice));
    assert!(!list.apply_notice(at(2), &notice));
    assert_eq!(list.status(at(3), POISON), PrintStatus::Suspect);
}

// A node is lost with requests of this one out on it. That may be the network, so one loss makes
// suspects only; a lone suspect that is out at the next lost node is condemned.
#[test]
fn lost_nodes_count_with_care() {
    let mut list = list(1);
    let prints = [(POISON, RULE), (ident::RequestFingerprint(1), RULE)];
    list.peer_lost(at(0), ident::NodeId(2), &service(), &prints);
    assert_eq!(list.status(at(1), POISON), PrintStatus::Suspect);
    let prints = [(POISON, RULE), (ident::RequestFingerprint(2), RULE)];
    list.peer_lost(at(2), ident::NodeId(3), &service(), &prints);
    assert!(condemned(&list, at(3), POISON));
    assert!(!condemned(&list, at(3), ident::RequestFingerprint(1)));
    assert!(!condemned(&list, at(3), ident::RequestFingerprint(2)));
}

// Crash after crash names new requests; memory stays bounded and keeps the condemned.
#[test]
fn memory_is_bounded() {
    let mut list = list(1);
    crash(&mut list, at(0), 1..2);
    crash(&mut list, at(1), 2..3);
    assert!(condemned(&list, at(2), POISON));
    for round in 0..100_u64 {
        let strike = |print| suspicion::SuspectRequest {
            fingerprint: ident::RequestFingerprint(1_000 + round * 100 + print),
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
            suspects: (0..100).map(strike).collect(),
        };
        list.apply_notice(at(3 + round), &notice);
    }
    assert_eq!(list.len(), quarantine::MAX_SUSPECTS);
    assert!(condemned(&list, at(200), POISON));
}

// One connection breaks and the target goes on to answer the others: no crash, no suspect.
#[test]
fn broken_connection_is_no_crash() {
    let mut list = list(1);
    for run in 0..8 {
        list.run_started(run, ident::RequestFingerprint(run), RULE);
    }
    assert_eq!(list.run_broken(at(1), 0, &service()), None);
    assert_eq!(list.run_ended(at(2), 1, true, &service()), None);
    for run in 2..8 {
        assert_eq!(list.run_ended(at(3), run, false, &service()), None);
    }
    assert!(list.is_empty());
}

// A request crashes targets that run nothing else. Its breaks could be the network's, so it takes
// the rule's crashes and two more until it is refused.
#[test]
fn poison_in_an_idle_mesh_is_stopped() {
    let mut list = list(1);
    let mut crashes = 0;
    while !condemned(&list, at(crashes), POISON) {
        list.run_started(crashes, POISON, RULE);
        assert!(list.run_broken(at(crashes), crashes, &service()).is_some());
        crashes += 1;
    }
    assert_eq!(
        crashes,
        u64::from(RULE.limit + quarantine::AMBIGUOUS_CRASH_MARGIN)
    );
}

// A page that everybody asks for is out six times from each of three callers' nodes when a target's node is
// lost. Each of them strikes it for its own share. One loss is one crash: the page stays in service.
#[test]
fn one_loss_strikes_a_request_once_however_often_it_was_out() {
    let lost = ident::NodeId(9);
    let mut lists = [list(1), list(2), list(3)];
    let out = [(POISON, RULE); 6];
    let notices = lists
        .each_mut()
        .map(|list| list.peer_lost(at(0), lost, &service(), &out));
    for list in &mut lists {
        for notice in &notices {
            list.apply_notice(at(1), notice);
        }
        assert_eq!(list.status(at(2), POISON), PrintStatus::Suspect);
    }
    // A second node is lost with it, and it was the only suspect there: two crashes, one alone.
    lists[0].peer_lost(at(3), ident::NodeId(8), &service(), &out[..1]);
    assert!(condemned(&lists[0], at(4), POISON));
}

// All nodes of a service are lost one after the other, each while the same page is out at it, and in
// between the page is answered by others. A caller's node without a target of that service takes the
// strikes back, or it would refuse after the fourth loss what all targets serve.
#[test]
fn answers_of_other_nodes_take_strikes_back() {
    let mut list = list(1);
    for loss in 0..6 {
        let crowd = [(POISON, RULE), (ident::RequestFingerprint(50 + loss), RULE)];
        list.peer_lost(
            at(loss * 1_000),
            ident::NodeId(20 + loss),
            &service(),
            &crowd,
        );
        list.answered(at(loss * 1_000 + 500), POISON);
    }
    assert_eq!(list.status(at(6_000), POISON), PrintStatus::Clean);
}

// Six nodes are lost within half a second, by a fault of their own, and a page that everybody asks for was
// out at each of them. It was answered just before, so it can't be what ended them: it stays in service. A
// request that was never answered whole is refused after the same losses.
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
    assert_eq!(list.status(at(700), page), PrintStatus::Suspect);
    assert!(condemned(&list, at(700), POISON));
    // It is answered once more, and then other requests push it out of what is remembered. Nothing is held
    // against it any more.
    list.answered(at(800), page);
    list.answered(at(900), ident::RequestFingerprint(7 + 256));
    assert_eq!(list.status(at(1_000), page), PrintStatus::Clean);
}
