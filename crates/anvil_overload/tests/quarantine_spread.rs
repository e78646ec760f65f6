//! How quarantined requests spread over a fleet whose nodes also know which requests were served.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use anvil_overload::{policy, quarantine};
use anvil_testkit::test_cases;
use anvil_types::{ident, name, time};
use anvil_wire::suspicion;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const FLEET_SIZE: u64 = 59;

/// Requests that are quarantined at once, as after the loss of several nodes.
const REQUESTS: u64 = 48;

/// Nodes that a node tells at once of a new quarantine.
const FANOUT: u64 = 3;

/// Nodes that have served each of the requests.
const SERVING_NODES: u64 = 3;

/// Time for which the fleet is observed, and the intervals at which each node answers another
/// request and tells another node what it refuses, in milliseconds.
const OBSERVED: u64 = 10_000;
const ANSWER_INTERVAL: u64 = 50;
const REPEAT_INTERVAL: u64 = 1_000;

/// Longest time that a message is under way, in milliseconds.
const MAX_DELAY: u64 = 10;

#[derive(Debug)]
enum SpreadEvent {
    /// Another node tells what it refuses.
    Told {
        from: usize,
        requests: Vec<suspicion::QuarantinedRequest>,
    },
    /// Another node tells what it knows to be harmless.
    Served(Vec<suspicion::ServedRequest>),
    /// The node answers a request that nobody suspects.
    Answers,
    /// The node tells another one what it refuses.
    Repeats,
}

struct SpreadFleet {
    lists: Vec<quarantine::PoisonList>,
    /// Events by time, receiver and index in `events`.
    queue: BinaryHeap<Reverse<(u64, usize, usize)>>,
    events: Vec<SpreadEvent>,
    rng: Pcg32,
    /// How often nodes have quarantined a request that another one told.
    merged: u64,
}

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

impl SpreadFleet {
    fn new(seed: u64) -> Self {
        let list =
            |node| quarantine::PoisonList::new(ident::NodeId(node), policy::OverloadPolicy::FULL);
        Self {
            lists: (0..FLEET_SIZE).map(list).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            rng: Pcg32::seed_from_u64(seed),
            merged: 0,
        }
    }

    fn draw(&mut self, bound: u64) -> u64 {
        u64::from(self.rng.next_u32()) % bound
    }

    fn draw_node(&mut self) -> usize {
        usize::try_from(self.draw(FLEET_SIZE)).expect("a small number")
    }

    fn push(&mut self, millis: u64, node: usize, event: SpreadEvent) {
        self.queue.push(Reverse((millis, node, self.events.len())));
        self.events.push(event);
    }

    fn send(&mut self, now: u64, to: usize, event: SpreadEvent) {
        let delay = 1 + self.draw(MAX_DELAY);
        self.push(now + delay, to, event);
    }

    fn tell_any(&mut self, now: u64, node: usize) {
        let requests = self.lists[node].quarantined(at(now));
        if requests.is_empty() {
            return;
        }
        let to = self.draw_node();
        let from = node;
        self.send(now, to, SpreadEvent::Told { from, requests });
    }

    /// Tells other nodes of what this one has just quarantined.
    fn spread(&mut self, now: u64, node: usize) {
        let new = self.lists[node].take_quarantined();
        if new.is_empty() {
            return;
        }
        self.merged += new.len() as u64;
        for _ in 0..FANOUT {
            self.tell_any(now, node);
        }
    }

    /// Lets some nodes serve each request, and one node learn of crashes that quarantine it.
    fn quarantine_requests(&mut self) {
        for _ in 0..REQUESTS {
            let fingerprint = ident::RequestFingerprint(
                u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32()),
            );
            for _ in 0..SERVING_NODES {
                let serving = self.draw_node();
                self.lists[serving].answered(at(0), fingerprint);
            }
            let node = self.draw_node();
            for crash in 0..4 {
                let notice = suspicion::SuspicionNotice {
                    crash: suspicion::CrashId {
                        node: ident::NodeId(1_000 + self.draw(1_000_000)),
                        sequence: crash + 1,
                    },
                    service: name::ServiceName::new("expediente").expect("a name"),
                    suspects: vec![suspicion::SuspectRequest {
                        fingerprint,
                        alone: false,
                        crash_limit: 2,
                        quarantine_seconds: 600,
                    }],
                };
                self.lists[node].apply_notice(at(1), &notice);
            }
            self.spread(1, node);
        }
    }

    fn run(&mut self, merge_limit: u64) {
        for node in 0..self.lists.len() {
            let first = self.draw(ANSWER_INTERVAL);
            self.push(first, node, SpreadEvent::Answers);
            let first = self.draw(REPEAT_INTERVAL);
            self.push(first, node, SpreadEvent::Repeats);
        }
        while let Some(Reverse((now, node, index))) = self.queue.pop() {
            if now > OBSERVED || self.merged > merge_limit {
                return;
            }
            match std::mem::replace(&mut self.events[index], SpreadEvent::Answers) {
                SpreadEvent::Told { from, requests } => {
                    let served = self.lists[node].served_among(at(now), &requests);
                    if !served.is_empty() {
                        self.send(now, from, SpreadEvent::Served(served));
                    }
                    for request in &requests {
                        self.lists[node].merge(at(now), request);
                    }
                    self.spread(now, node);
                }
                SpreadEvent::Served(served) => {
                    for request in &served {
                        self.lists[node].merge_served(at(now), request);
                    }
                }
                SpreadEvent::Answers => {
                    let other = ident::RequestFingerprint(u64::from(self.rng.next_u32()));
                    self.lists[node].answered(at(now), other);
                    self.push(now + ANSWER_INTERVAL, node, SpreadEvent::Answers);
                }
                SpreadEvent::Repeats => {
                    self.tell_any(now, node);
                    self.push(now + REPEAT_INTERVAL, node, SpreadEvent::Repeats);
                }
            }
        }
    }
}

// Guards against notices of quarantined requests that multiply without end and stall the fleet.
fn each_node_quarantines_a_request_once(seed: u64) {
    let once_each = FLEET_SIZE * REQUESTS;
    let mut fleet = SpreadFleet::new(seed);
    fleet.quarantine_requests();
    fleet.run(once_each * 10);
    let merged = fleet.merged;
    assert!(merged <= once_each, "{merged} times for {once_each}");
}

test_cases! {
    each_node_quarantines_a_request_once:
    with_the_first_seed => (1),
    with_the_second_seed => (2),
    with_the_third_seed => (3),
}
