//! Planned stops of a target's node whose connection to an entry node is silent without a sign.
//!
//! A caller's request goes out on that connection and never arrives. The target's node has not heard of
//! it, ends as planned, and when the entry node notices the silence nobody is left who could say that the
//! request never ran. So a node that stops asks every member before it ends.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::{config, effect, event, reducer, stopping};
use anvil_types::{ident, name, time, verdict};
use anvil_wire::{frame, gossip, outcome};

/// One way between the two nodes.
const HOP: Duration = Duration::from_micros(1_500);

/// Time after which an entry node gives up a silent connection on which answers are due.
const SILENCE: Duration = Duration::from_millis(750);

/// A stop of a second, or of as long as what is out takes.
const PLAN: stopping::StopPlan = stopping::StopPlan {
    linger: Duration::from_millis(1_000),
    run_linger: Duration::ZERO,
    limit: Some(Duration::from_secs(20)),
};

/// An entry node and a target's node that have met, and what is under way between them.
struct SilentPair {
    now: time::NodeTime,
    nodes: Vec<(ident::NodeId, SocketAddr, reducer::NodeReducer)>,
    queue: BTreeMap<(time::NodeTime, u64), (ident::NodeId, event::NodeEvent)>,
    pushed: u64,
    /// Whether the connection between the two takes frames and delivers none.
    silent: bool,
    /// Until when datagrams between the two are lost.
    lossy_until: time::NodeTime,
    runs: Vec<event::RunId>,
    told: Vec<verdict::CallVerdict>,
    gone: Option<time::NodeTime>,
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
        reducer::NodeReducer::new(config, node.0).with_stop(PLAN),
    )
}

impl SilentPair {
    /// The two know each other by membership, and no call has crossed between them.
    fn start() -> Self {
        let mut pair = Self {
            now: time::NodeTime::START,
            nodes: vec![
                node(support::NODE, 7_001, 7_002),
                node(support::PEER, 7_002, 7_001),
            ],
            queue: BTreeMap::new(),
            pushed: 0,
            silent: false,
            lossy_until: time::NodeTime::START,
            runs: Vec::new(),
            told: Vec::new(),
            gone: None,
            cancelled: 0,
        };
        pair.push(support::NODE, Duration::ZERO, event::NodeEvent::TimerFired);
        pair.push(support::PEER, Duration::ZERO, support::announcement(8));
        pair.run(Duration::from_secs(10));
        pair
    }

    fn push(&mut self, node: ident::NodeId, after: Duration, event: event::NodeEvent) {
        self.pushed += 1;
        let key = (self.now + after, self.pushed);
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
        if node == support::PEER && self.gone.is_some() {
            return;
        }
        if matches!(event, event::NodeEvent::ConnectionLost { .. }) {
            self.silent = false;
        }
        let held = self.nodes.iter_mut().find(|held| held.0 == node).unwrap();
        let effects = held.2.step(now, event);
        let wake = held.2.next_wake();
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
                let from = self.nodes.iter().find(|held| held.0 == node).unwrap().1;
                let receiver = self.nodes.iter().find(|held| held.1 == to);
                if let Some(receiver) = receiver.map(|held| held.0)
                    && self.now >= self.lossy_until
                {
                    let event = event::NodeEvent::DatagramArrived { from, message };
                    self.push(receiver, HOP, event);
                }
            }
            effect::NodeEffect::RunTarget(order) => self.runs.push(order.run),
            effect::NodeEffect::ReplyCaller { reply, .. } => self.told.push(reply.verdict),
            effect::NodeEffect::CancelRun(_) => self.cancelled += 1,
            effect::NodeEffect::Exit if node == support::PEER => self.gone = Some(self.now),
            _ => {}
        }
    }

    fn send(&mut self, node: ident::NodeId, peer: ident::NodeId, frame: frame::PeerFrame) {
        if peer == support::PEER && self.gone.is_some() {
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
            self.push(node, SILENCE, event::NodeEvent::ConnectionLost { peer });
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
        let outcome = support::whole();
        let ended = event::NodeEvent::RunEnded { run, outcome };
        self.push(support::PEER, Duration::ZERO, ended);
    }
}

// Guards against a call that is lost in a silent connection to a node which ends as planned before the
// silence shows, and has heard nothing of its entry node before.
fn check_lost_call(method: &str, heard_after: Duration, called_after: Duration) {
    let mut pair = SilentPair::start();
    pair.silent = true;
    pair.lossy_until = pair.now + heard_after;
    pair.push(
        support::PEER,
        Duration::ZERO,
        event::NodeEvent::StopRequested,
    );
    pair.run(called_after);
    pair.call(method);
    pair.run(Duration::from_secs(8));
    assert!(pair.gone.is_some(), "the stop comes to its end");
    assert!(pair.runs.is_empty());
    assert!(
        matches!(pair.told[..], [verdict::CallVerdict::NotRun(_)]),
        "{:?}",
        pair.told
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
}

// Guards against the answer of a long run that is lost in a silent connection, as its call came long ago.
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
    assert_eq!(pair.told, [verdict::CallVerdict::Answered]);
}

// Guards against a stop that waits without end for members that are gone.
#[test]
fn a_stop_waits_for_no_lost_member() {
    let mut pair = SilentPair::start();
    pair.lossy_until = pair.now + Duration::from_secs(60);
    pair.push(
        support::PEER,
        Duration::ZERO,
        event::NodeEvent::StopRequested,
    );
    let asked = pair.now;
    pair.run(Duration::from_secs(8));
    let took = pair.gone.unwrap().since(asked);
    assert!(took < Duration::from_millis(2_500), "{took:?}");
}

/// Tells `to`, as a third node would, that `gone` has crashed.
fn accuse(pair: &mut SilentPair, to: ident::NodeId, gone: ident::NodeId) {
    let message = gossip::GossipMessage {
        head: gossip::GossipHead {
            from: ident::NodeId(3),
            incarnation: 1,
            revision: ident::RuleRevision(0),
            ready: false,
        },
        kind: gossip::GossipKind::Rumour,
        updates: vec![gossip::MemberUpdate {
            node: gone,
            incarnation: 1_000,
            status: gossip::MemberStatus::Dead,
        }],
    };
    let from = support::address(7_003);
    let arrived = event::NodeEvent::DatagramArrived { from, message };
    pair.push(to, Duration::ZERO, arrived);
}

// Guards against calls that are given up as their target's node is believed gone, while the connection
// there works and the target is at work; and against runs that are cancelled as their entry node is.
fn check_wrong_belief(method: &str, believer: ident::NodeId, stopping: bool) {
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
    let other = match believer {
        support::NODE => support::PEER,
        _ => support::NODE,
    };
    accuse(&mut pair, believer, other);
    pair.run(millis(100));
    assert!(pair.told.is_empty(), "{:?}", pair.told);
    assert_eq!(pair.cancelled, 0);
    pair.end_run();
    pair.run(millis(500));
    assert_eq!(pair.told, [verdict::CallVerdict::Answered]);
}

anvil_testkit::test_cases! {
    check_wrong_belief:
    of_the_entry_node_claim => ("POST", support::NODE, false),
    of_the_entry_node_lookup => ("GET", support::NODE, false),
    of_the_entry_node_at_a_stop => ("POST", support::NODE, true),
    of_the_targets_node_claim => ("POST", support::PEER, false),
    of_the_targets_node_lookup => ("GET", support::PEER, false),
}
