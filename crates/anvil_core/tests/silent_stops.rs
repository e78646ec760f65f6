//! Planned stops of a target's node whose connection to an entry node is silent and not yet
//! detected.
//!
//! A request sent on that connection never arrives. The target's node, which does not know of it,
//! exits as planned, and when the entry node detects the silence no process is left that could
//! confirm that the request never ran. So a stopping node queries every member before it exits.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::{config, effect, event, reducer, stopping};
use anvil_types::{ident, name, time, verdict};
use anvil_wire::{frame, gossip, outcome};
use support::variant;

/// One-way latency between the two nodes.
const HOP: Duration = Duration::from_micros(1_500);

/// Time after which an entry node closes a silent connection on which answers are due.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(750);

/// A stop that lasts a second, or until all calls in flight have ended.
const PLAN: stopping::StopPlan = stopping::StopPlan {
    linger: Duration::from_millis(1_000),
    run_linger: Duration::ZERO,
    limit: Some(Duration::from_secs(20)),
};

/// An entry node and a target's node that know each other, and the events in transit between them.
struct SilentPair {
    now: time::NodeTime,
    nodes: Vec<(ident::NodeId, SocketAddr, reducer::NodeReducer)>,
    queue: BTreeMap<(time::NodeTime, u64), (ident::NodeId, event::NodeEvent)>,
    last_sequence: u64,
    /// Whether the connection between the two takes frames and delivers none.
    silent: bool,
    /// Until when datagrams between the two are lost.
    lossy_until: time::NodeTime,
    runs: Vec<event::RunId>,
    verdicts: Vec<verdict::CallVerdict>,
    /// When the target's node exited.
    exited_at: Option<time::NodeTime>,
    cancelled: usize,
}

fn node(
    node: ident::NodeId,
    port: u16,
    seed: u16,
) -> (ident::NodeId, SocketAddr, reducer::NodeReducer) {
    let address = support::address(port);
    let config = config::NodeConfig {
        node,
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        region: name::RegionName::new("ar-centro").unwrap(),
        peer_address: address,
        gossip_address: address,
        seeds: vec![support::address(seed)],
    };
    (
        node,
        address,
        reducer::NodeReducer::with_policy(config, node.0, variant::POLICY).with_stop(PLAN),
    )
}

impl SilentPair {
    /// Starts two nodes that know each other by membership and have exchanged no call.
    fn start() -> Self {
        let mut pair = Self {
            now: time::NodeTime::START,
            nodes: vec![
                node(support::NODE, 7_001, 7_002),
                node(support::PEER, 7_002, 7_001),
            ],
            queue: BTreeMap::new(),
            last_sequence: 0,
            silent: false,
            lossy_until: time::NodeTime::START,
            runs: Vec::new(),
            verdicts: Vec::new(),
            exited_at: None,
            cancelled: 0,
        };
        pair.push(support::NODE, Duration::ZERO, event::NodeEvent::TimerFired);
        pair.push(support::PEER, Duration::ZERO, support::announcement(8));
        pair.run(Duration::from_secs(10));
        pair
    }

    fn push(&mut self, node: ident::NodeId, after: Duration, event: event::NodeEvent) {
        self.last_sequence += 1;
        let key = (self.now + after, self.last_sequence);
        self.queue.insert(key, (node, event));
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        {
            let ((at, _), (node, event)) = entry.remove_entry();
            self.now = at;
            self.step(node, event);
        }
        self.now = until;
    }

    fn step(&mut self, node: ident::NodeId, event: event::NodeEvent) {
        let now = self.now;
        if node == support::PEER && self.exited_at.is_some() {
            return;
        }
        if matches!(event, event::NodeEvent::ConnectionLost { .. }) {
            self.silent = false;
        }
        let entry = self.nodes.iter_mut().find(|entry| entry.0 == node).unwrap();
        let effects = entry.2.step(now, event);
        let wake = entry.2.next_wake();
        for effect in effects {
            self.carry_out(node, effect);
        }
        if let Some(wake) = wake {
            let after = wake.since(now).max(Duration::from_millis(1));
            self.push(node, after, event::NodeEvent::TimerFired);
        }
    }

    fn carry_out(&mut self, node: ident::NodeId, effect: effect::NodeEffect) {
        match effect {
            effect::NodeEffect::SendFrame { peer, frame, .. } => self.send(node, peer, frame),
            effect::NodeEffect::SendDatagram { to, message } => {
                let from = self.nodes.iter().find(|entry| entry.0 == node).unwrap().1;
                let receiver = self.nodes.iter().find(|entry| entry.1 == to);
                if let Some(receiver) = receiver.map(|entry| entry.0)
                    && self.now >= self.lossy_until
                {
                    let event = event::NodeEvent::DatagramArrived { from, message };
                    self.push(receiver, HOP, event);
                }
            }
            effect::NodeEffect::RunTarget(order) => self.runs.push(order.run),
            effect::NodeEffect::ReplyCaller { reply, .. } => self.verdicts.push(reply.verdict),
            effect::NodeEffect::CancelRun(_) => self.cancelled += 1,
            effect::NodeEffect::Exit if node == support::PEER => self.exited_at = Some(self.now),
            _ => {}
        }
    }

    fn send(&mut self, node: ident::NodeId, peer: ident::NodeId, frame: frame::PeerFrame) {
        if peer == support::PEER && self.exited_at.is_some() {
            let unsent = vec![frame];
            self.push(
                node,
                HOP,
                event::NodeEvent::PeerUnreachable { peer, unsent },
            );
            return;
        }
        if !self.silent {
            self.push(
                peer,
                HOP,
                event::NodeEvent::FrameArrived { peer: node, frame },
            );
            return;
        }
        let is_probed = match &frame {
            frame::PeerFrame::Call(_) => true,
            frame::PeerFrame::Outcome(message) => {
                !matches!(**message, outcome::OutcomeMessage::Pending { .. })
            }
            _ => false,
        };
        if is_probed {
            self.push(
                node,
                SILENCE_TIMEOUT,
                event::NodeEvent::ConnectionLost { peer },
            );
        }
    }

    fn call(&mut self, method: &str) {
        let hints = event::CallerHints {
            timeout: Some(Duration::from_secs(20)),
            ..event::CallerHints::default()
        };
        let arrival = event::NodeEvent::CallArrived {
            handle: event::CallerHandle(1),
            request: Box::new(support::request(method)),
            hints,
        };
        self.push(support::NODE, Duration::ZERO, arrival);
    }

    fn end_run(&mut self) {
        let run = self.runs[0];
        let outcome = support::answered();
        let ended = event::NodeEvent::RunEnded {
            run,
            outcome,
            statement: None,
            exchange: None,
        };
        self.push(support::PEER, Duration::ZERO, ended);
    }
}

// Guards against a call that is lost in a silent connection to a node which exits as planned before
// the silence is detected, and which has received nothing from the entry node before.
fn check_lost_call(method: &str, datagrams_after: Duration, called_after: Duration) {
    let mut pair = SilentPair::start();
    pair.silent = true;
    pair.lossy_until = pair.now + datagrams_after;
    pair.push(
        support::PEER,
        Duration::ZERO,
        event::NodeEvent::StopRequested,
    );
    pair.run(called_after);
    pair.call(method);
    pair.run(Duration::from_secs(8));
    assert!(pair.exited_at.is_some(), "the stop did not end");
    assert!(pair.runs.is_empty());
    assert!(
        matches!(pair.verdicts[..], [verdict::CallVerdict::NotRun(_)]),
        "{:?}",
        pair.verdicts
    );
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

anvil_testkit::test_cases! {
    check_lost_call:
    claim_before_the_stop_is_known => ("POST", millis(700), millis(600)),
    claim_just_before_the_end => ("POST", millis(1_000), millis(950)),
    lookup_before_the_stop_is_known => ("GET", millis(700), millis(600)),
    lookup_just_before_the_end => ("GET", millis(1_000), millis(950)),
    claim_while_datagrams_are_lost => ("POST", millis(4_000), millis(950)),
    claim_early_while_datagrams_are_lost => ("POST", millis(4_000), millis(100)),
    lookup_while_datagrams_are_lost => ("GET", millis(4_000), millis(950)),
}

// Guards against the loss of a long run's answer in a silent connection whose last call is long
// past.
#[test]
fn the_answer_of_a_long_run_outlasts_a_silent_connection() {
    let mut pair = SilentPair::start();
    pair.call("POST");
    pair.run(millis(500));
    pair.push(
        support::PEER,
        Duration::ZERO,
        event::NodeEvent::StopRequested,
    );
    pair.run(millis(7_000));
    pair.silent = true;
    pair.end_run();
    pair.run(millis(8_000));
    assert_eq!(pair.verdicts, [verdict::CallVerdict::Answered]);
}

// Guards against a stop that waits forever for members that no longer answer.
#[test]
fn a_stop_does_not_wait_for_unreachable_members() {
    let mut pair = SilentPair::start();
    pair.lossy_until = pair.now + Duration::from_secs(60);
    pair.push(
        support::PEER,
        Duration::ZERO,
        event::NodeEvent::StopRequested,
    );
    let requested_at = pair.now;
    pair.run(Duration::from_secs(8));
    let took = pair.exited_at.unwrap().since(requested_at);
    assert!(took < Duration::from_millis(2_500), "{took:?}");
}

/// Sends `to` a rumour from a third node that `dead` has crashed.
fn send_crash_rumour(pair: &mut SilentPair, to: ident::NodeId, dead: ident::NodeId) {
    let message = gossip::GossipMessage {
        head: gossip::GossipHead {
            from: ident::NodeId(3),
            incarnation: 1,
            revision: ident::RuleRevision(0),
            ready: false,
            confirmed: gossip::ConfirmationAge::UNKNOWN,
        },
        kind: gossip::GossipKind::Rumour,
        updates: vec![gossip::MemberUpdate {
            node: dead,
            incarnation: 1_000,
            status: gossip::MemberStatus::Dead,
        }],
    };
    let from = support::address(7_003);
    let arrived = event::NodeEvent::DatagramArrived { from, message };
    pair.push(to, Duration::ZERO, arrived);
}

// Guards against ending calls because their target's node is wrongly reported dead, although the
// connection to it works and the target is running them, and against cancelling runs because their
// entry node is wrongly reported dead.
fn check_false_crash_rumour(method: &str, misinformed: ident::NodeId, stopping: bool) {
    let mut pair = SilentPair::start();
    pair.call(method);
    pair.run(millis(100));
    if stopping {
        pair.push(
            support::NODE,
            Duration::ZERO,
            event::NodeEvent::StopRequested,
        );
    }
    let other = match misinformed {
        support::NODE => support::PEER,
        _ => support::NODE,
    };
    send_crash_rumour(&mut pair, misinformed, other);
    pair.run(millis(100));
    assert!(pair.verdicts.is_empty(), "{:?}", pair.verdicts);
    assert_eq!(pair.cancelled, 0);
    pair.end_run();
    pair.run(millis(500));
    assert_eq!(pair.verdicts, [verdict::CallVerdict::Answered]);
}

anvil_testkit::test_cases! {
    check_false_crash_rumour:
    claim_with_misinformed_entry_node => ("POST", support::NODE, false),
    lookup_with_misinformed_entry_node => ("GET", support::NODE, false),
    claim_with_misinformed_entry_node_at_a_stop => ("POST", support::NODE, true),
    claim_with_misinformed_target_node => ("POST", support::PEER, false),
    lookup_with_misinformed_target_node => ("GET", support::PEER, false),
}
