//! A primary, its backup and an entry node in injected time.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_once::{effect, event, owner, peers, policy, slots};
use anvil_types::{ident, name, time, verdict};
use anvil_wire::{call, key};

const PRIMARY: ident::NodeId = ident::NodeId(1);
const BACKUP: ident::NodeId = ident::NodeId(2);
/// Asks for the calls of its callers, and has just started: the other two have not heard of it.
const ENTRY: ident::NodeId = ident::NodeId(3);

/// Three nodes and a store, whose messages arrive at once and in order.
struct Pair {
    now: time::NodeTime,
    nodes: Vec<(ident::NodeId, owner::KeyOwner)>,
    records: Vec<(key::SlotView, u64)>,
    store_down: bool,
    calls: u64,
    dispatched: Vec<ident::CallId>,
    /// Whether what the entry node hears and says is lost.
    deaf: bool,
    mute: bool,
    told: Vec<effect::KeyVerdict>,
}

impl Pair {
    fn start(policy: policy::KeyPolicy) -> Self {
        let zone = name::ZoneName::new("brest-hall").unwrap();
        let build = |node| {
            let start = time::NodeTime::START;
            (
                node,
                owner::KeyOwner::new(start, node, zone.clone(), policy),
            )
        };
        let mut pair = Self {
            now: time::NodeTime::START,
            nodes: [PRIMARY, BACKUP, ENTRY].map(build).into(),
            records: Vec::new(),
            store_down: false,
            calls: 0,
            dispatched: Vec::new(),
            deaf: false,
            mute: false,
            told: Vec::new(),
        };
        let known = [
            (PRIMARY, BACKUP),
            (BACKUP, PRIMARY),
            (ENTRY, PRIMARY),
            (ENTRY, BACKUP),
        ];
        for (node, other) in known {
            pair.step(node, health(other, peers::PeerHealth::Alive));
        }
        pair
    }

    /// Asks at `node` until the call runs or is told a verdict; an answer ends each run.
    fn submit(&mut self, node: ident::NodeId, key: u128, print: u64) -> Option<effect::KeyVerdict> {
        self.calls += 1;
        let call = ident::CallId {
            node,
            sequence: self.calls,
        };
        let told = self.told.len();
        let ask = event::KeyEvent::Request {
            call,
            key: ident::RequestKey(key),
            fingerprint: ident::RequestFingerprint(print),
            wait: Duration::from_secs(2),
        };
        self.step(node, ask);
        self.pass(Duration::from_secs(3));
        if self.dispatched.contains(&call) {
            let outcome = event::CallOutcome::Answered(Box::new(answer()));
            self.step(node, event::KeyEvent::Ended { call, outcome });
        }
        self.told.get(told).cloned()
    }

    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = until.min(self.now + Duration::from_millis(100));
            for node in [PRIMARY, BACKUP, ENTRY] {
                self.step(node, event::KeyEvent::Tick);
            }
        }
    }

    fn step(&mut self, node: ident::NodeId, event: event::KeyEvent) {
        let Some(at) = self.nodes.iter().position(|held| held.0 == node) else {
            return;
        };
        for effect in self.nodes[at].1.step(self.now, event) {
            match effect {
                effect::KeyEffect::Send { to, .. }
                    if (self.deaf && to == ENTRY) || (self.mute && node == ENTRY) => {}
                effect::KeyEffect::Send { to, message } => {
                    let from = node;
                    self.step(to, event::KeyEvent::Message { from, message });
                }
                effect::KeyEffect::Dispatch { call } => self.dispatched.push(call),
                effect::KeyEffect::Decide { verdict, .. } => self.told.push(verdict),
                effect::KeyEffect::RequestSlot { id, request: ask } => {
                    let reply = self.store(&ask);
                    self.step(node, event::KeyEvent::StoreReplied { id, reply });
                }
                effect::KeyEffect::Report(_) => {}
            }
        }
    }

    fn store(&mut self, ask: &effect::SlotRequest) -> event::SlotReply {
        if self.store_down {
            return event::SlotReply::Unknown;
        }
        let find = |slot| self.records.iter().position(|record| record.0.slot == slot);
        match *ask {
            effect::SlotRequest::Read { slot } => {
                event::SlotReply::Found(find(slot).map(|at| self.records[at]))
            }
            effect::SlotRequest::Swap { expected, view } => match (find(view.slot), expected) {
                (None, None) => {
                    self.records.push((view, 1));
                    event::SlotReply::Swapped { version: 1 }
                }
                (Some(at), Some(version)) if self.records[at].1 == version => {
                    let version = version + 1;
                    self.records[at] = (view, version);
                    event::SlotReply::Swapped { version }
                }
                (at, _) => event::SlotReply::Conflict(at.map(|at| self.records[at])),
            },
        }
    }

    fn owner(&self, node: ident::NodeId) -> &owner::KeyOwner {
        &self.nodes.iter().find(|held| held.0 == node).unwrap().1
    }

    /// The node that grants the keys of the one slot in use.
    fn primary(&self) -> ident::NodeId {
        let grants = |node: &ident::NodeId| {
            let dump = self.owner(*node).dump();
            dump.owned.iter().any(|slot| slot.role == "primary")
        };
        [PRIMARY, BACKUP].into_iter().find(grants).unwrap()
    }

    /// The records of `node` over all its slots.
    fn records_of(&self, node: ident::NodeId) -> usize {
        self.owner(node)
            .dump()
            .owned
            .iter()
            .map(|slot| slot.records)
            .sum()
    }
}

fn on_demand() -> policy::KeyPolicy {
    policy::KeyPolicy {
        claim_scan_slots: 0,
        copy_part_records: 2,
        ..policy::KeyPolicy::default()
    }
}

fn health(node: ident::NodeId, health: peers::PeerHealth) -> event::KeyEvent {
    event::KeyEvent::Peer(peers::KeyPeer {
        node,
        zone: name::ZoneName::new("lorient-hall").unwrap(),
        health,
        since: time::NodeTime::START,
    })
}

fn answer() -> call::CallAnswer {
    call::CallAnswer {
        status: 201,
        headers: Vec::new(),
        body: bytes::Bytes::from_static(b"bid 1"),
    }
}

fn not_run(reason: verdict::RefusalReason) -> Option<effect::KeyVerdict> {
    Some(effect::KeyVerdict::NotRun(reason))
}

fn answered() -> Option<effect::KeyVerdict> {
    Some(effect::KeyVerdict::Answered(Box::new(answer())))
}

fn other_than(node: ident::NodeId) -> ident::NodeId {
    if node == PRIMARY { BACKUP } else { PRIMARY }
}

/// The `count`-th key of slot 0.
fn key_of_slot(count: u128) -> u128 {
    count * u128::from(slots::SLOT_COUNT)
}

// A workshop's client uses one key for two different bids. The second one is refused as not run,
// because answering it with the first bid's receipt would lose the second bid.
#[test]
fn key_of_another_request_is_refused() {
    let mut pair = Pair::start(on_demand());
    assert_eq!(pair.submit(PRIMARY, 7, 1), None);
    assert_eq!(
        pair.submit(BACKUP, 7, 2),
        not_run(verdict::RefusalReason::KeyMismatch)
    );
    assert_eq!(pair.submit(BACKUP, 7, 1), answered());
    assert_eq!(pair.dispatched.len(), 1);
}

// The store is out for longer than a primary may go on unconfirmed. By then a third node may have
// taken the slot, so new keys are refused as not run; known ones are still answered.
#[test]
fn primary_without_the_store_stops_in_time() {
    let mut pair = Pair::start(on_demand());
    assert_eq!(pair.submit(PRIMARY, 7, 1), None);
    pair.store_down = true;
    pair.pass(Duration::from_secs(600));
    assert_eq!(pair.submit(BACKUP, key_of_slot(1) + 7, 1), None);
    pair.pass(Duration::from_secs(1_300));
    let unavailable = not_run(verdict::RefusalReason::KeyUnavailable);
    assert_eq!(pair.submit(BACKUP, key_of_slot(2) + 7, 1), unavailable);
    assert_eq!(pair.submit(BACKUP, 7, 1), answered());
    pair.store_down = false;
    pair.pass(Duration::from_secs(5));
    assert_eq!(pair.submit(BACKUP, key_of_slot(2) + 7, 1), None);
}

// A key is remembered for the retention and no longer, so that the tables stay bounded; a copy
// sent after it is a new action, as the operators' page says.
#[test]
fn key_is_forgotten_after_the_retention() {
    let mut pair = Pair::start(on_demand());
    assert_eq!(pair.submit(PRIMARY, 7, 1), None);
    pair.pass(Duration::from_secs(3_500));
    assert_eq!(pair.submit(BACKUP, 7, 1), answered());
    pair.pass(Duration::from_secs(200));
    assert_eq!(pair.records_of(PRIMARY) + pair.records_of(BACKUP), 0);
    assert_eq!(pair.submit(BACKUP, 7, 1), None);
}

// The primary stops while it holds more records than fit one part of a copy. The backup takes its
// slots and answers every key from its table; the primary then holds nothing and may leave.
#[test]
fn planned_stop_hands_every_record_over() {
    let mut pair = Pair::start(on_demand());
    for count in 0..25 {
        assert_eq!(pair.submit(PRIMARY, key_of_slot(count), 1), None);
    }
    let node = pair.primary();
    let other = other_than(node);
    pair.step(other, health(node, peers::PeerHealth::Leaving));
    pair.step(node, event::KeyEvent::Leave);
    pair.pass(Duration::from_secs(1));
    assert!(pair.owner(node).is_released());
    for count in 0..25 {
        assert_eq!(pair.submit(other, key_of_slot(count), 1), answered());
    }
}

// A bidder's node hears nothing of the grant of its bid, gives the bid up as not run, and the word
// that the key is free is lost on the way. The bidder sends the bid again, to the other node. It is
// filed: the entry node says that the key is free until the owner has confirmed it. Otherwise every
// copy would hear for ten minutes that the first one is in progress, though it never ran.
#[test]
fn key_of_a_call_that_was_given_up_is_freed_though_words_are_lost() {
    let mut pair = Pair::start(on_demand());
    assert_eq!(pair.submit(PRIMARY, key_of_slot(0), 1), None);
    pair.deaf = true;
    pair.calls += 1;
    let call = ident::CallId {
        node: ENTRY,
        sequence: pair.calls,
    };
    let ask = event::KeyEvent::Request {
        call,
        key: ident::RequestKey(key_of_slot(1)),
        fingerprint: ident::RequestFingerprint(1),
        wait: Duration::from_secs(2),
    };
    pair.step(ENTRY, ask);
    pair.pass(Duration::from_millis(1_500));
    pair.mute = true;
    pair.pass(Duration::from_secs(1));
    assert_eq!(
        pair.told.last().cloned(),
        not_run(verdict::RefusalReason::KeyUnavailable)
    );
    (pair.deaf, pair.mute) = (false, false);
    pair.pass(Duration::from_secs(1));
    assert_eq!(pair.submit(PRIMARY, key_of_slot(1), 1), None);
    assert_eq!(pair.dispatched.len(), 2);
}
