//! Which requests a node refuses because targets crashed while they ran them.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{effect, event, reducer};
use anvil_standins::store::fake;
use anvil_types::{ident, store, verdict};
use anvil_wire::{call, frame, gossip, suspicion};

use support::{PEER, answer, answered, arrival, at, peer_call, replies, sent_calls, started};

const QUARANTINED: verdict::CallVerdict =
    verdict::CallVerdict::NotRun(verdict::RefusalReason::Quarantined);

/// Tells `node` of crashes of other targets until it quarantines the request, and collects the
/// effects.
fn quarantine(
    node: &mut reducer::NodeReducer,
    millis: u64,
    fingerprint: ident::RequestFingerprint,
) -> Vec<effect::NodeEffect> {
    hear_crashes(node, millis, fingerprint, 4)
}

/// Tells `node` of so many crashes of other targets.
fn hear_crashes(
    node: &mut reducer::NodeReducer,
    millis: u64,
    fingerprint: ident::RequestFingerprint,
    count: u64,
) -> Vec<effect::NodeEffect> {
    let mut effects = Vec::new();
    for crash in 0..count {
        let notice = suspicion::SuspicionNotice {
            crash: suspicion::CrashId {
                node: ident::NodeId(20 + crash),
                sequence: 1,
            },
            service: support::service(),
            suspects: vec![suspicion::SuspectRequest {
                fingerprint,
                alone: false,
                crash_limit: 2,
                quarantine_seconds: 600,
            }],
        };
        let frame = frame::PeerFrame::Suspicion(Box::new(notice));
        let heard = event::NodeEvent::FrameArrived { peer: PEER, frame };
        effects.extend(node.step(at(millis), heard));
    }
    effects
}

/// The arrival of what a peer refuses and knows to be harmless.
fn peer_list(
    requests: Vec<suspicion::QuarantinedRequest>,
    served: Vec<suspicion::ServedRequest>,
) -> event::NodeEvent {
    event::NodeEvent::DatagramArrived {
        from: support::address(7999),
        message: gossip::GossipMessage {
            head: gossip::GossipHead {
                from: ident::NodeId(9),
                incarnation: 0,
                revision: ident::RuleRevision(0),
                ready: true,
                confirmed: gossip::ConfirmationAge::UNKNOWN,
            },
            kind: gossip::GossipKind::Quarantine { requests, served },
            updates: Vec::new(),
        },
    }
}

/// Whether a run was refused because its request is quarantined.
fn is_refused(effects: &[effect::NodeEffect]) -> bool {
    effects.iter().any(|effect| match effect {
        effect::NodeEffect::SendFrame {
            frame: frame::PeerFrame::Answer(answer),
            ..
        } => answer.verdict == QUARANTINED,
        _ => false,
    })
}

// Guards against a failure that is taken for proof of innocence.
#[test]
fn a_failure_ends_no_quarantine() {
    let mut node = support::entry_node();
    support::add_peer(&mut node, PEER);
    let effects = node.step(at(1), arrival(1, "GET"));
    let (peer, sent) = sent_calls(&effects).remove(0);
    quarantine(&mut node, 2, sent.context.fingerprint);
    let event::NodeEvent::FrameArrived {
        peer,
        frame: frame::PeerFrame::Answer(mut failure),
    } = answer(peer, &sent, verdict::CallVerdict::Answered)
    else {
        unreachable!("the helper returns an answer");
    };
    failure.answer = Some(call::CallAnswer {
        status: 500,
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    });
    let frame = frame::PeerFrame::Answer(failure);
    node.step(at(3), event::NodeEvent::FrameArrived { peer, frame });
    let effects = node.step(at(4), arrival(2, "GET"));
    assert_eq!(replies(&effects), [(2, QUARANTINED)]);
}

// A request is quarantined while it waits in the queue of a target. It is refused and never started.
#[test]
fn a_queued_request_that_is_quarantined_is_not_started() {
    let mut node = support::target_node(1);
    let effects = node.step(at(1), peer_call(1, true));
    let first = started(&effects)[0];
    let effects = node.step(at(2), peer_call(2, true));
    assert!(started(&effects).is_empty(), "the second one waits");
    let mut effects = quarantine(&mut node, 3, ident::RequestFingerprint(2));
    let ended = event::NodeEvent::RunEnded {
        run: first,
        outcome: answered(),
        statement: None,
        exchange: None,
    };
    effects.extend(node.step(at(4), ended));
    assert!(started(&effects).is_empty());
    assert!(is_refused(&effects));
}

/// Fires the node's timers every 10 ms and lets `store` answer its requests, after `effects`.
fn run(
    node: &mut reducer::NodeReducer,
    store: &mut fake::FakeStore<store::StoreId>,
    millis: std::ops::Range<u64>,
    mut effects: Vec<effect::NodeEffect>,
) {
    for now in millis.step_by(10) {
        effects.extend(node.step(at(now), event::NodeEvent::TimerFired));
        while let Some(effect) = effects.pop() {
            let effect::NodeEffect::SendStoreRequest { id, request } = effect else {
                continue;
            };
            if let Some(outcome) = store.carry_out(at(now), id, &request) {
                let answered = event::NodeEvent::StoreAnswered { id, outcome };
                effects.extend(node.step(at(now), answered));
            }
        }
    }
}

/// Lets the target of `node` crash at 30 s as the fourth one that runs the request.
fn crash_target(
    node: &mut reducer::NodeReducer,
    poison: ident::RequestFingerprint,
) -> Vec<effect::NodeEffect> {
    hear_crashes(node, 30_000, poison, 3);
    let effects = node.step(at(30_001), peer_call(7, true));
    let broken = event::NodeEvent::RunEnded {
        run: started(&effects)[0],
        outcome: event::RunOutcome::Broken { in_answer: false },
        statement: None,
        exchange: None,
    };
    let effects = node.step(at(30_002), broken);
    let address = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::ProbeTarget(address) => Some(*address),
        _ => None,
    });
    let refused = event::NodeEvent::TargetProbed {
        address: address.expect("the target is probed"),
        accepted: false,
    };
    node.step(at(30_003), refused)
}

// Guards against a quarantine that is unknown to all nodes that have restarted, since they read the store
// before it showed the entry: the write was carried out late, or the read was seconds old.
#[test]
fn a_quarantine_outlasts_all_nodes_that_read_the_store_too_early() {
    let poison = ident::RequestFingerprint(7);
    let mut store = fake::FakeStore::new(1);
    let mut node = support::target_node(8).with_store();
    run(&mut node, &mut store, 10..30_000, Vec::new());
    let effects = crash_target(&mut node, poison);
    let mut successor = support::target_node(8).with_store();
    run(&mut successor, &mut store, 30_010..31_000, Vec::new());
    run(&mut node, &mut store, 31_000..34_000, effects);
    run(&mut successor, &mut store, 34_000..50_000, Vec::new());
    let effects = successor.step(at(50_001), peer_call(7, true));
    assert!(started(&effects).is_empty());
    assert!(is_refused(&effects));
}

// Guards against a quarantine that ends with the nodes that know of it.
#[test]
fn a_quarantine_outlasts_all_nodes_and_an_outage_of_the_store() {
    let poison = ident::RequestFingerprint(7);
    let mut store = fake::FakeStore::new(1);
    let mut node = support::target_node(8).with_store();
    run(&mut node, &mut store, 10..30_000, Vec::new());
    store.faults.down = true;
    let effects = crash_target(&mut node, poison);
    run(&mut node, &mut store, 30_010..35_000, effects);
    store.faults.down = false;
    store.faults.lost_answers = 50;
    run(&mut node, &mut store, 35_000..90_000, Vec::new());
    store.faults.lost_answers = 0;

    let mut successor = support::target_node(8).with_store();
    run(&mut successor, &mut store, 90_010..120_000, Vec::new());
    let effects = successor.step(at(120_001), peer_call(7, true));
    assert!(started(&effects).is_empty());
    assert!(is_refused(&effects));
}

// Guards against a harmless request that stays refused although a peer serves it.
#[test]
fn a_peer_that_has_served_a_request_ends_its_quarantine() {
    let mut node = support::target_node(8);
    let fingerprint = ident::RequestFingerprint(7);
    quarantine(&mut node, 1_000, fingerprint);
    assert!(is_refused(&node.step(at(1_001), peer_call(7, true))));
    let served = suspicion::ServedRequest {
        fingerprint,
        age_millis: 900,
    };
    node.step(at(1_002), peer_list(Vec::new(), vec![served]));
    let mut again = peer_call(7, true);
    if let event::NodeEvent::FrameArrived {
        frame: frame::PeerFrame::Call(call),
        ..
    } = &mut again
    {
        call.attempt = 2;
    }
    assert_eq!(started(&node.step(at(1_003), again)).len(), 1);
}

// Guards against a node that keeps to itself that a refused request is harmless.
#[test]
fn a_node_that_has_served_a_request_tells_who_refuses_it() {
    let mut node = support::target_node(8);
    let effects = node.step(at(1_000), peer_call(7, true));
    let ended = event::NodeEvent::RunEnded {
        run: started(&effects)[0],
        outcome: answered(),
        statement: None,
        exchange: None,
    };
    node.step(at(1_100), ended);
    let request = suspicion::QuarantinedRequest {
        fingerprint: ident::RequestFingerprint(7),
        crashes: 4,
        crash_limit: 2,
        quarantine_seconds: 600,
        age_millis: 0,
        last: suspicion::CrashId {
            node: ident::NodeId(9),
            sequence: 4,
        },
    };
    let effects = node.step(at(1_200), peer_list(vec![request], Vec::new()));
    let told = effects.iter().any(|effect| match effect {
        effect::NodeEffect::SendDatagram { message, .. } => match &message.kind {
            gossip::GossipKind::Quarantine { served, .. } => served.len() == 1,
            _ => false,
        },
        _ => false,
    });
    assert!(told);
}
