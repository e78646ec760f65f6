//! Rule changes that operators apply through a node and the platform's store.

#![allow(clippy::unwrap_used)]

mod variant;

use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::{answer, config, effect, event, reducer};
use anvil_rules::parse;
use anvil_standins::store::fake;
use anvil_types::{ident, name, store, time};
use serde_json::Value;

const FIRST: &str = "rules: [{name: bids, then: {class: critical}}]";
const SECOND: &str = "rules: [{name: awards, then: {class: high}}]";

type OperatorResult = Result<answer::OperatorAnswer, answer::OperatorRefusal>;

/// Nodes of one fleet that share a store, on a network without losses.
struct StoreFleet {
    nodes: Vec<reducer::NodeReducer>,
    store: fake::FakeStore<(usize, store::StoreId)>,
    now: time::NodeTime,
    answers: Vec<OperatorResult>,
    /// Events in transit, each with the index of the node that receives it.
    network: Vec<(usize, event::NodeEvent)>,
}

fn address(index: usize) -> SocketAddr {
    let port = 7_000 + u16::try_from(index).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn node(index: usize) -> reducer::NodeReducer {
    let address = address(index);
    let config = config::NodeConfig {
        node: ident::NodeId(index as u64 + 1),
        zone: name::ZoneName::new("brest-hall").unwrap(),
        region: name::RegionName::new("bzh-west").unwrap(),
        peer_address: address,
        gossip_address: address,
        seeds: Vec::new(),
    };
    reducer::NodeReducer::with_policy(config, index as u64, variant::POLICY).with_store()
}

impl StoreFleet {
    /// Starts `count` nodes and lets them read the rules from the store.
    fn start(count: usize) -> Self {
        let mut fleet = Self {
            nodes: (0..count).map(node).collect(),
            store: fake::FakeStore::new(1),
            now: time::NodeTime::START,
            answers: Vec::new(),
            network: Vec::new(),
        };
        fleet.run(10_000);
        fleet
    }

    /// Runs for `millis` milliseconds and fires every node's timer each 10 ms.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + Duration::from_millis(10);
            for ((index, id), outcome) in self.store.due_watches(self.now) {
                self.step(index, event::NodeEvent::StoreAnswered { id, outcome });
            }
            for (index, event) in std::mem::take(&mut self.network) {
                self.step(index, event);
            }
            for index in 0..self.nodes.len() {
                self.step(index, event::NodeEvent::TimerFired);
            }
        }
    }

    fn step(&mut self, index: usize, event: event::NodeEvent) {
        let effects = self.nodes[index].step(self.now, event);
        for effect in effects {
            match effect {
                effect::NodeEffect::SendStoreRequest { id, request } => {
                    let outcome = self.store.carry_out(self.now, (index, id), &request);
                    if let Some(outcome) = outcome {
                        self.step(index, event::NodeEvent::StoreAnswered { id, outcome });
                    }
                }
                effect::NodeEffect::SendDatagram { to, message } => {
                    let from = address(index);
                    let arrived = event::NodeEvent::DatagramArrived { from, message };
                    self.send(to, arrived);
                }
                effect::NodeEffect::SendFrame { address, frame, .. } => {
                    let peer = ident::NodeId(index as u64 + 1);
                    self.send(address, event::NodeEvent::FrameArrived { peer, frame });
                }
                effect::NodeEffect::AnswerOperator { answer, .. } => self.answers.push(answer),
                _ => {}
            }
        }
    }

    fn send(&mut self, to: SocketAddr, event: event::NodeEvent) {
        let receiver = (0..self.nodes.len()).find(|index| address(*index) == to);
        self.network.push((receiver.unwrap(), event));
    }

    fn send_request(&mut self, index: usize, request: event::OperatorRequest) {
        let handle = event::OperatorHandle(1);
        self.step(
            index,
            event::NodeEvent::OperatorRequestArrived { handle, request },
        );
    }

    /// Applies rules through a node; the answer may arrive later.
    fn apply(&mut self, index: usize, text: &str, change: u128, base: u64) {
        let request = event::OperatorRequest::Apply {
            rules: parse::parse_rules("test", text).unwrap(),
            change,
            author: "ana".to_owned(),
            base: ident::RuleRevision(base),
        };
        self.send_request(index, request);
    }

    fn answer(&mut self) -> OperatorResult {
        assert_eq!(self.answers.len(), 1, "expected one answer for one request");
        self.answers.remove(0)
    }

    /// The revision under which a change was accepted.
    fn accepted_revision(&mut self) -> u64 {
        let answer = self.answer().unwrap();
        let body: Value = serde_json::from_str(&answer.text()).unwrap();
        body["revision"].as_u64().unwrap()
    }

    fn rules(&mut self, index: usize) -> (String, u64) {
        self.send_request(index, event::OperatorRequest::Rules);
        let answer = self.answer().unwrap();
        let revision = answer.revision.0;
        (answer.text(), revision)
    }
}

#[test]
fn an_accepted_change_is_in_force_and_in_the_history() {
    let mut fleet = StoreFleet::start(2);
    fleet.apply(0, FIRST, 0xa, 0);
    assert_eq!(fleet.accepted_revision(), 1);
    fleet.run(2_000);
    for index in 0..2 {
        let (text, revision) = fleet.rules(index);
        assert_eq!(revision, 1);
        assert!(text.contains("bids"), "{text}");
    }
    fleet.send_request(0, event::OperatorRequest::Status);
    let status: Value = serde_json::from_str(&fleet.answer().unwrap().text()).unwrap();
    assert_eq!(status["rules"]["members"], 2, "{status}");
    fleet.send_request(0, event::OperatorRequest::History);
    let history: Value = serde_json::from_str(&fleet.answer().unwrap().text()).unwrap();
    assert_eq!(history["changes"][0]["author"], "ana");
    assert_eq!(history["changes"][0]["edits"][0], "put bids at the end");
}

#[test]
fn an_operator_with_an_older_base_is_shown_the_other_change() {
    // Two operators start from the same revision, and the second one applies after the first one's
    // change is in force. The second change must be rejected whole, with the first one shown.
    let mut fleet = StoreFleet::start(1);
    fleet.apply(0, FIRST, 0xa, 0);
    fleet.accepted_revision();
    fleet.apply(0, SECOND, 0xb, 0);
    let refusal = fleet.answer().unwrap_err();
    let answer::OperatorRefusal::Conflict {
        revision, others, ..
    } = refusal
    else {
        panic!("{refusal}");
    };
    assert_eq!((revision.0, others.len(), others[0].revision.0), (1, 1, 1));
    assert!(fleet.rules(0).0.contains("bids"));
}

#[test]
fn the_loser_of_two_concurrent_changes_is_shown_the_accepted_one() {
    // Two operators apply through two nodes at the same time, before either node has seen the
    // other's change. The store accepts one; the other operator is shown that change.
    let mut fleet = StoreFleet::start(2);
    fleet.apply(0, FIRST, 0xa, 0);
    fleet.apply(1, SECOND, 0xb, 0);
    assert_eq!(fleet.answers.len(), 2);
    assert!(fleet.answers.remove(0).is_ok());
    let refusal = fleet.answer().unwrap_err();
    let answer::OperatorRefusal::Conflict { others, .. } = refusal else {
        panic!("{refusal}");
    };
    assert!(others[0].change.ends_with('a'), "{others:?}");
}

#[test]
fn a_change_resent_under_its_id_is_applied_once() {
    // The operator never received the answer and sends the change again. Another change was
    // accepted in between, and applying the first one twice would undo it.
    let mut fleet = StoreFleet::start(1);
    fleet.apply(0, FIRST, 0xa, 0);
    fleet.accepted_revision();
    fleet.apply(0, SECOND, 0xb, 1);
    fleet.accepted_revision();
    fleet.apply(0, FIRST, 0xa, 2);
    assert_eq!(fleet.accepted_revision(), 1);
    let (text, revision) = fleet.rules(0);
    assert_eq!(revision, 2);
    assert!(text.contains("awards"), "{text}");
}

#[test]
fn a_write_whose_store_answer_is_lost_is_reported_as_accepted() {
    let mut fleet = StoreFleet::start(1);
    fleet.store.faults.lost_answers = 100;
    fleet.apply(0, FIRST, 0xa, 0);
    fleet.store.faults.lost_answers = 0;
    fleet.run(5_000);
    assert_eq!(fleet.accepted_revision(), 1);
}

#[test]
fn a_change_is_refused_as_not_applied_while_the_store_is_down() {
    let mut fleet = StoreFleet::start(1);
    fleet.store.faults.down = true;
    fleet.apply(0, FIRST, 0xa, 0);
    fleet.run(30_000);
    let refusal = fleet.answer().unwrap_err();
    assert!(
        matches!(refusal, answer::OperatorRefusal::NotApplied { .. }),
        "{refusal}"
    );
    fleet.store.faults.down = false;
    fleet.run(60_000);
    assert_eq!(fleet.rules(0), ("rules: []\n".to_owned(), 0));
}

#[test]
fn rules_that_are_already_in_force_create_no_revision() {
    let mut fleet = StoreFleet::start(1);
    fleet.apply(0, FIRST, 0xa, 0);
    fleet.accepted_revision();
    fleet.apply(0, FIRST, 0xb, 1);
    assert_eq!(fleet.accepted_revision(), 1);
}
