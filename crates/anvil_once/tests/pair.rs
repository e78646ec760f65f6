//! Tests of a primary, its backup and an entry node with simulated time.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_once::{effect, event, owner, peers, policy, slots};
use anvil_types::{ident, name, time, verdict};
use anvil_wire::{call, key};

const PRIMARY: ident::NodeId = ident::NodeId(1);
const BACKUP: ident::NodeId = ident::NodeId(2);
/// An entry node that has just started: membership has not reported it to the other two yet.
const ENTRY: ident::NodeId = ident::NodeId(3);

/// Three nodes and a store; messages are delivered immediately and in order.
struct Pair {
    now: time::NodeTime,
    nodes: Vec<(ident::NodeId, owner::KeyOwner)>,
    records: Vec<(key::SlotView, u64)>,
    store_down: bool,
    calls: u64,
    dispatched: Vec<ident::CallId>,
    /// Whether messages to the entry node are lost.
    drop_to_entry: bool,
    /// Whether messages from the entry node are lost.
    drop_from_entry: bool,
    verdicts: Vec<effect::KeyVerdict>,
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
            drop_to_entry: false,
            drop_from_entry: false,
            verdicts: Vec::new(),
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

    /// Submits a call at `node` and waits until it runs or has a verdict; each run is answered.
    fn submit(&mut self, node: ident::NodeId, key: u128, print: u64) -> Option<effect::KeyVerdict> {
        self.calls += 1;
        let call = ident::CallId {
            node,
            sequence: self.calls,
        };
        let next_verdict = self.verdicts.len();
        let request = event::KeyEvent::Request {
            call,
            key: ident::RequestKey(key),
            fingerprint: ident::RequestFingerprint(print),
            wait: Duration::from_secs(2),
        };
        self.step(node, request);
        self.advance(Duration::from_secs(3));
        if self.dispatched.contains(&call) {
            let outcome = event::CallOutcome::Answered(Box::new(answer()));
            self.step(node, event::KeyEvent::Ended { call, outcome });
        }
        self.verdicts.get(next_verdict).cloned()
    }

    fn advance(&mut self, span: Duration) {
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
                    if (self.drop_to_entry && to == ENTRY)
                        || (self.drop_from_entry && node == ENTRY) => {}
                effect::KeyEffect::Send { to, message } => {
                    let from = node;
                    self.step(to, event::KeyEvent::Message { from, message });
                }
                effect::KeyEffect::Dispatch { call } => self.dispatched.push(call),
                effect::KeyEffect::Decide { verdict, .. } => self.verdicts.push(verdict),
                effect::KeyEffect::RequestSlot { id, request } => {
                    let reply = self.store(&request);
                    self.step(node, event::KeyEvent::StoreReplied { id, reply });
                }
                effect::KeyEffect::Report(_) => {}
            }
        }
    }

    fn store(&mut self, request: &effect::SlotRequest) -> event::SlotReply {
        if self.store_down {
            return event::SlotReply::Unknown;
        }
        let find = |slot| self.records.iter().position(|record| record.0.slot == slot);
        match *request {
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

    /// The primary of the only slot in use.
    fn primary(&self) -> ident::NodeId {
        let grants = |node: &ident::NodeId| {
            let dump = self.owner(*node).dump();
            dump.owned.iter().any(|slot| slot.role == "primary")
        };
        [PRIMARY, BACKUP].into_iter().find(grants).unwrap()
    }

    /// The number of records that `node` holds in all its slots.
    fn records_of(&self, node: ident::NodeId) -> usize {
        self.owner(node)
            .dump()
            .owned
            .iter()
            .map(|slot| slot.records)
            .sum()
    }
}

fn claim_on_demand() -> policy::KeyPolicy {
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

// A client reuses a key for a different request. It is refused as not run, because answering it
// with the cached answer of the first request would silently drop the second one.
#[test]
fn key_of_another_request_is_refused() {
    let mut pair = Pair::start(claim_on_demand());
    assert_eq!(pair.submit(PRIMARY, 7, 1), None);
    assert_eq!(
        pair.submit(BACKUP, 7, 2),
        not_run(verdict::RefusalReason::KeyMismatch)
    );
    assert_eq!(pair.submit(BACKUP, 7, 1), answered());
    assert_eq!(pair.dispatched.len(), 1);
}

// The store is unavailable for longer than a primary may grant keys without confirmation. A third
// node may have taken over the slot by then, so new keys are refused as not run, while recorded
// ones are still answered.
#[test]
fn primary_without_the_store_stops_in_time() {
    let mut pair = Pair::start(claim_on_demand());
    assert_eq!(pair.submit(PRIMARY, 7, 1), None);
    pair.store_down = true;
    pair.advance(Duration::from_secs(600));
    assert_eq!(pair.submit(BACKUP, key_of_slot(1) + 7, 1), None);
    pair.advance(Duration::from_secs(1_300));
    let unavailable = not_run(verdict::RefusalReason::KeyUnavailable);
    assert_eq!(pair.submit(BACKUP, key_of_slot(2) + 7, 1), unavailable);
    assert_eq!(pair.submit(BACKUP, 7, 1), answered());
    pair.store_down = false;
    pair.advance(Duration::from_secs(5));
    assert_eq!(pair.submit(BACKUP, key_of_slot(2) + 7, 1), None);
}

// A key is retained for the retention time and no longer, so that the tables stay bounded. A copy
// that is sent later counts as a new request, as the documentation for operators says.
#[test]
fn key_is_forgotten_after_the_retention() {
    let mut pair = Pair::start(claim_on_demand());
    assert_eq!(pair.submit(PRIMARY, 7, 1), None);
    pair.advance(Duration::from_secs(3_500));
    assert_eq!(pair.submit(BACKUP, 7, 1), answered());
    pair.advance(Duration::from_secs(200));
    assert_eq!(pair.records_of(PRIMARY) + pair.records_of(BACKUP), 0);
    assert_eq!(pair.submit(BACKUP, 7, 1), None);
}

// The primary stops while it holds more records than one part of a copy. The backup takes over its
// slots and answers every key from its table; the primary then owns no slot and may exit.
#[test]
fn planned_stop_hands_every_record_over() {
    let mut pair = Pair::start(claim_on_demand());
    for count in 0..25 {
        assert_eq!(pair.submit(PRIMARY, key_of_slot(count), 1), None);
    }
    let node = pair.primary();
    let other = other_than(node);
    pair.step(other, health(node, peers::PeerHealth::Leaving));
    pair.step(node, event::KeyEvent::Leave);
    pair.advance(Duration::from_secs(1));
    assert!(pair.owner(node).is_released());
    for count in 0..25 {
        assert_eq!(pair.submit(other, key_of_slot(count), 1), answered());
    }
}

// The grant for a call is lost, so its entry node abandons the call as not run, and the notice that
// releases the key is lost too. The entry node repeats the notice until the owner has confirmed it,
// so a copy sent to another node runs. Otherwise every copy would be refused as in progress for ten
// minutes, although the first one never ran.
#[test]
fn key_of_an_abandoned_call_is_released_despite_lost_messages() {
    let mut pair = Pair::start(claim_on_demand());
    assert_eq!(pair.submit(PRIMARY, key_of_slot(0), 1), None);
    pair.drop_to_entry = true;
    pair.calls += 1;
    let call = ident::CallId {
        node: ENTRY,
        sequence: pair.calls,
    };
    let request = event::KeyEvent::Request {
        call,
        key: ident::RequestKey(key_of_slot(1)),
        fingerprint: ident::RequestFingerprint(1),
        wait: Duration::from_secs(2),
    };
    pair.step(ENTRY, request);
    pair.advance(Duration::from_millis(1_500));
    pair.drop_from_entry = true;
    pair.advance(Duration::from_secs(1));
    assert_eq!(
        pair.verdicts.last().cloned(),
        not_run(verdict::RefusalReason::KeyUnavailable)
    );
    (pair.drop_to_entry, pair.drop_from_entry) = (false, false);
    pair.advance(Duration::from_secs(1));
    assert_eq!(pair.submit(PRIMARY, key_of_slot(1), 1), None);
    assert_eq!(pair.dispatched.len(), 2);
}
