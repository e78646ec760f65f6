//! A fleet of key owners, a network and a store, of which every step is one chosen action.
//!
//! Time stands still and all retry times are zero, so any order of events is possible: a paused
//! node is one whose messages wait, a wrongly suspected one is one whose suspicion is an action.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use anvil_once::{effect, event, owner, peers, policy, slots};
use anvil_types::{ident, name, time, verdict};
use anvil_wire::{call, key};
use xxhash_rust::xxh3;

pub(crate) use super::actions::{CallFate, FaultBudget, StoreFate, WordFate, WorldAction};

/// Entry nodes.
pub(crate) const ENTRIES: [ident::NodeId; 2] = [ident::NodeId(1), ident::NodeId(2)];
/// The first primary.
pub(crate) const PRIMARY: ident::NodeId = ident::NodeId(3);
/// The first backup.
pub(crate) const BACKUP: ident::NodeId = ident::NodeId(4);
/// A third node that may own the slot.
pub(crate) const THIRD: ident::NodeId = ident::NodeId(5);
/// The nodes that may own the slot.
pub(crate) const OWNERS: [ident::NodeId; 3] = [PRIMARY, BACKUP, THIRD];
/// The one key.
pub(crate) const KEY: ident::RequestKey = ident::RequestKey(0);

/// Enough ticks for a takeover after every fault.
const SETTLE_ROUNDS: usize = 20;

const NOW: time::NodeTime = time::NodeTime(10_000_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Packet {
    pub(crate) from: ident::NodeId,
    pub(crate) to: ident::NodeId,
    pub(crate) message: key::KeyMessage,
}

/// A shared part of the state with its digest, so that a step costs only what it changes.
#[derive(Clone)]
pub(crate) struct Digested<T> {
    digest: u128,
    node: ident::NodeId,
    pub(crate) part: Rc<T>,
}

impl<T> Digested<T>
where
    T: Hash,
{
    fn new(node: ident::NodeId, part: T) -> Self {
        Self {
            digest: digest_of(&part),
            node,
            part: Rc::new(part),
        }
    }
}

impl<T> Hash for Digested<T> {
    fn hash<H>(&self, state: &mut H)
    where
        H: Hasher,
    {
        state.write_u128(self.digest);
    }
}

/// The whole state.
#[derive(Clone, Hash)]
pub(crate) struct World {
    nodes: Vec<Digested<owner::KeyOwner>>,
    /// Sorted by digest, because the network keeps no order.
    pub(crate) net: Vec<Digested<Packet>>,
    record: Option<(key::SlotView, u64)>,
    pub(crate) asks: Vec<(ident::NodeId, effect::SlotRequestId, effect::SlotRequest)>,
    pub(crate) replies: Vec<(ident::NodeId, effect::SlotRequestId, event::SlotReply)>,
    pub(crate) submitted: Vec<ident::CallId>,
    pub(crate) running: Vec<ident::CallId>,
    /// The calls that ran the key.
    pub(crate) ran: Vec<ident::CallId>,
    /// What callers were told.
    pub(crate) told: Vec<(ident::CallId, effect::KeyVerdict)>,
    pub(crate) budget: FaultBudget,
    /// Nodes that were asked to stop and have not ended.
    pub(crate) leaving: Vec<ident::NodeId>,
}

fn owner_policy(guards: policy::KeyGuards) -> policy::KeyPolicy {
    policy::KeyPolicy {
        request_retry: Duration::ZERO,
        send_retry: Duration::ZERO,
        store_retry: Duration::ZERO,
        orphan_timeout: Duration::ZERO,
        claim_scan_slots: 0,
        store_request_interval: Duration::ZERO,
        guards,
        ..policy::KeyPolicy::default()
    }
}

fn zone() -> name::ZoneName {
    name::ZoneName::new("ar-centro-a").expect("a valid name")
}

fn peer(node: ident::NodeId, health: peers::PeerHealth) -> event::KeyEvent {
    let zone = zone();
    let since = NOW;
    event::KeyEvent::Peer(peers::KeyPeer {
        node,
        zone,
        health,
        since,
    })
}

fn first_view() -> key::SlotView {
    key::SlotView {
        slot: slots::slot_of(KEY),
        epoch: key::SlotEpoch::FIRST,
        primary: PRIMARY,
        backup: Some(BACKUP),
        proposer: PRIMARY,
        lost: false,
    }
}

impl World {
    /// Two entry nodes that know the owners, and owners that know each other.
    pub(crate) fn new(guards: policy::KeyGuards, budget: FaultBudget) -> Self {
        let nodes = ENTRIES.iter().chain(&OWNERS).copied();
        let build = |node| {
            let start = time::NodeTime::START;
            let policy = owner_policy(guards);
            Digested::new(node, owner::KeyOwner::new(start, node, zone(), policy))
        };
        let mut world = Self {
            nodes: nodes.map(build).collect(),
            net: Vec::new(),
            record: Some((first_view(), 1)),
            asks: Vec::new(),
            replies: Vec::new(),
            submitted: Vec::new(),
            running: Vec::new(),
            ran: Vec::new(),
            told: Vec::new(),
            budget,
            leaving: Vec::new(),
        };
        world.introduce();
        world
    }

    fn introduce(&mut self) {
        for at in 0..self.nodes.len() {
            let node = self.nodes[at].node;
            for other in OWNERS {
                self.step(node, peer(other, peers::PeerHealth::Alive));
            }
            let message = key::KeyMessage::View(first_view());
            self.step(
                node,
                event::KeyEvent::Message {
                    from: PRIMARY,
                    message,
                },
            );
        }
        // The first epoch begins with an empty copy and a read of the record.
        self.run_calm();
    }

    /// Lets everything under way come to its end, in one order.
    pub(crate) fn run_calm(&mut self) {
        let mut steps = 0;
        while let Some(action) = self.calm_action() {
            steps += 1;
            assert!(steps < 1_000, "the nodes never come to rest");
            self.apply(&action);
        }
    }

    /// Callers that have not been told anything.
    pub(crate) fn waiting(&self) -> usize {
        let waits = self.submitted.iter().filter(|call| self.waits(**call));
        waits.count()
    }

    /// Ends all faults: the network delivers, nodes learn who lives, and time passes.
    pub(crate) fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            let nodes: Vec<ident::NodeId> = self.nodes.iter().map(|entry| entry.node).collect();
            for node in nodes {
                // An entry node takes a slot whose owners are gone, and others must know it to ask it.
                let everybody = ENTRIES.into_iter().chain(OWNERS);
                for other in everybody.filter(|other| *other != node) {
                    let health = self.health_of(other);
                    self.step(node, peer(other, health));
                }
                self.step(node, event::KeyEvent::Tick);
            }
            self.run_calm();
            for node in self.leaving.clone() {
                if self.may_exit(node) {
                    self.crash(node);
                }
            }
        }
    }

    fn health_of(&self, node: ident::NodeId) -> peers::PeerHealth {
        match (self.is_alive(node), self.leaving.contains(&node)) {
            (false, _) => peers::PeerHealth::Missing,
            (true, true) => peers::PeerHealth::Leaving,
            (true, false) => peers::PeerHealth::Alive,
        }
    }

    /// Crashes both owners, and everybody hears of it.
    pub(crate) fn lose_owners(&mut self) {
        for lost in [PRIMARY, BACKUP] {
            self.apply(&WorldAction::Crash(lost));
            for node in ENTRIES.into_iter().chain([THIRD]) {
                self.step(node, peer(lost, peers::PeerHealth::Missing));
            }
        }
    }

    /// The next action of a run without faults and without new calls.
    fn calm_action(&self) -> Option<WorldAction> {
        if !self.net.is_empty() {
            return Some(WorldAction::Deliver(0));
        }
        if !self.asks.is_empty() {
            return Some(WorldAction::Store(0, StoreFate::Answered));
        }
        if !self.replies.is_empty() {
            return Some(WorldAction::Reply(0));
        }
        let call = self.running.first();
        call.map(|call| WorldAction::End(*call, CallFate::Answered))
    }

    /// Whether the key may have run twice, or ran for a call that was told it did not.
    pub(crate) fn is_broken(&self) -> bool {
        let runs = self.ran.iter().chain(&self.running);
        let denied = runs.clone().any(|call| self.was_denied(*call));
        runs.count() > 1 || denied
    }

    fn was_denied(&self, call: ident::CallId) -> bool {
        let denial =
            |verdict: &effect::KeyVerdict| matches!(verdict, effect::KeyVerdict::NotRun(_));
        self.told
            .iter()
            .any(|told| told.0 == call && denial(&told.1))
    }

    /// Whether the key may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.ran.is_empty() || !self.running.is_empty()
    }

    /// Calls that were answered whole.
    pub(crate) fn answered(&self) -> usize {
        let answer = effect::KeyVerdict::Answered(Box::new(claim_answer()));
        self.told.iter().filter(|told| told.1 == answer).count()
    }

    /// A digest of the state, equal for equal states.
    pub(crate) fn digest(&self) -> u128 {
        digest_of(self)
    }

    pub(crate) fn is_alive(&self, node: ident::NodeId) -> bool {
        self.nodes.iter().any(|entry| entry.node == node)
    }

    pub(crate) fn waits(&self, call: ident::CallId) -> bool {
        let told = self.told.iter().any(|told| told.0 == call);
        let runs = self.running.contains(&call);
        self.submitted.contains(&call) && !told && !runs
    }

    pub(crate) fn is_open(&self, node: ident::NodeId) -> bool {
        let mut calls = self.submitted.iter().filter(|call| call.node == node);
        calls.any(|call| !self.told.iter().any(|told| told.0 == *call))
    }

    /// Carries out one action.
    pub(crate) fn apply(&mut self, action: &WorldAction) {
        match action {
            WorldAction::Submit(node) => self.submit(*node),
            WorldAction::Deliver(at) => {
                let packet = self.net.remove(*at);
                self.deliver(&packet.part);
            }
            WorldAction::Duplicate(at) => {
                self.budget.duplicates -= 1;
                let packet = self.net[*at].clone();
                self.deliver(&packet.part);
            }
            WorldAction::Lose(at) => {
                self.budget.losses -= 1;
                self.net.remove(*at);
            }
            WorldAction::Store(at, fate) => self.ask_store(*at, *fate),
            WorldAction::Reply(at) => {
                let (node, id, reply) = self.replies.remove(*at);
                self.step(node, event::KeyEvent::StoreReplied { id, reply });
            }
            WorldAction::Suspect(node, other) => {
                self.budget.suspicions -= 1;
                self.step(*node, peer(*other, peers::PeerHealth::Missing));
            }
            WorldAction::Crash(node) => {
                if ENTRIES.contains(node) {
                    self.budget.entry_crashes -= 1;
                } else {
                    self.budget.crashes -= 1;
                }
                self.crash(*node);
            }
            WorldAction::Tick(node) => {
                self.budget.ticks -= 1;
                self.step(*node, event::KeyEvent::Tick);
            }
            WorldAction::End(call, fate) => self.end(*call, *fate),
            WorldAction::Abandon(call) => {
                self.budget.abandons -= 1;
                self.step(call.node, event::KeyEvent::Abandon { call: *call });
            }
            WorldAction::Leave(node, word) => self.leave(*node, *word),
            WorldAction::Exit(node) => self.crash(*node),
        }
    }

    fn leave(&mut self, node: ident::NodeId, word: WordFate) {
        self.budget.leaves -= 1;
        self.leaving.push(node);
        self.leaving.sort_unstable();
        self.step(node, event::KeyEvent::Leave);
        if word == WordFate::Heard {
            let others: Vec<ident::NodeId> = self.nodes.iter().map(|entry| entry.node).collect();
            for other in others.into_iter().filter(|other| *other != node) {
                self.step(other, peer(node, peers::PeerHealth::Leaving));
            }
        }
    }

    /// Whether a node that was asked to stop holds nothing any more, as its process would check.
    pub(crate) fn may_exit(&self, node: ident::NodeId) -> bool {
        let found = self.nodes.iter().find(|entry| entry.node == node);
        let released = found.is_some_and(|entry| entry.part.is_released());
        released && !self.is_open(node)
    }

    fn submit(&mut self, node: ident::NodeId) {
        let earlier = self
            .submitted
            .iter()
            .filter(|call| call.node == node)
            .count() as u64;
        if earlier > 0 {
            self.budget.resends -= 1;
        }
        let call = ident::CallId {
            node,
            sequence: earlier + 1,
        };
        self.submitted.push(call);
        self.submitted.sort_unstable();
        let ask = event::KeyEvent::Request {
            call,
            key: KEY,
            fingerprint: ident::RequestFingerprint(7),
            wait: Duration::from_secs(5),
        };
        self.step(node, ask);
    }

    fn deliver(&mut self, packet: &Packet) {
        let Packet { from, to, message } = packet.clone();
        if self.is_alive(to) {
            self.step(to, event::KeyEvent::Message { from, message });
        } else {
            self.step(from, event::KeyEvent::Unreachable { node: to });
        }
    }

    fn ask_store(&mut self, at: usize, fate: StoreFate) {
        let (node, id, ask) = self.asks.remove(at);
        if fate != StoreFate::Answered {
            self.budget.lost_replies -= 1;
        }
        let reply = match (fate, ask) {
            (StoreFate::NeverArrived, _) => event::SlotReply::Unknown,
            (_, effect::SlotRequest::Read { .. }) => event::SlotReply::Found(self.record),
            (_, effect::SlotRequest::Swap { expected, view }) => self.swap(expected, view),
        };
        let lost = fate != StoreFate::Answered;
        let reply = if lost {
            event::SlotReply::Unknown
        } else {
            reply
        };
        if self.is_alive(node) {
            self.replies.push((node, id, reply));
            self.replies.sort_by_key(|reply| (reply.0, reply.1));
        }
    }

    fn swap(&mut self, expected: Option<u64>, view: key::SlotView) -> event::SlotReply {
        let version = self.record.map(|record| record.1);
        if version != expected {
            return event::SlotReply::Conflict(self.record);
        }
        let version = version.unwrap_or(0) + 1;
        self.record = Some((view, version));
        event::SlotReply::Swapped { version }
    }

    fn crash(&mut self, node: ident::NodeId) {
        self.nodes.retain(|entry| entry.node != node);
        self.leaving.retain(|leaving| *leaving != node);
        self.replies.retain(|reply| reply.0 != node);
        // What the node had dispatched may run to its end.
        let (lost, running) = self.running.iter().partition(|call| call.node == node);
        self.running = running;
        let lost: Vec<ident::CallId> = lost;
        self.ran.extend(lost);
    }

    fn end(&mut self, call: ident::CallId, fate: CallFate) {
        self.running.retain(|running| *running != call);
        let outcome = match fate {
            CallFate::Answered => {
                self.ran.push(call);
                event::CallOutcome::Answered(Box::new(claim_answer()))
            }
            CallFate::NotRun => {
                self.budget.not_runs -= 1;
                event::CallOutcome::NotRun
            }
        };
        let verdict = match fate {
            CallFate::Answered => effect::KeyVerdict::Answered(Box::new(claim_answer())),
            CallFate::NotRun => effect::KeyVerdict::NotRun(verdict::RefusalReason::Unreachable),
        };
        self.tell(call, verdict);
        self.step(call.node, event::KeyEvent::Ended { call, outcome });
    }

    fn tell(&mut self, call: ident::CallId, verdict: effect::KeyVerdict) {
        self.told.push((call, verdict));
        self.told.sort_by_key(|told| told.0);
    }

    fn step(&mut self, node: ident::NodeId, event: event::KeyEvent) {
        let Some(at) = self.nodes.iter().position(|entry| entry.node == node) else {
            return;
        };
        let mut owner = (*self.nodes[at].part).clone();
        let effects = owner.step(NOW, event);
        self.nodes[at] = Digested::new(node, owner);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, from: ident::NodeId, effect: effect::KeyEffect) {
        match effect {
            effect::KeyEffect::Send { to, message } => {
                let packet = Digested::new(from, Packet { from, to, message });
                let at = self
                    .net
                    .partition_point(|other| other.digest < packet.digest);
                self.net.insert(at, packet);
            }
            effect::KeyEffect::Dispatch { call } => {
                self.running.push(call);
                self.running.sort_unstable();
            }
            effect::KeyEffect::Decide { call, verdict } => self.tell(call, verdict),
            effect::KeyEffect::RequestSlot { id, request: ask } => {
                self.asks.push((from, id, ask));
                self.asks.sort_by_key(|ask| (ask.0, ask.1));
            }
            effect::KeyEffect::Report(_) => {}
        }
    }
}

/// The one answer that a run gives.
pub(crate) fn claim_answer() -> call::CallAnswer {
    call::CallAnswer {
        status: 201,
        headers: Vec::new(),
        body: bytes::Bytes::from_static(b"case 1"),
    }
}

fn digest_of<T>(part: &T) -> u128
where
    T: Hash,
{
    let mut hasher = DigestHasher(xxh3::Xxh3::new());
    part.hash(&mut hasher);
    hasher.0.digest128()
}

struct DigestHasher(xxh3::Xxh3);

impl Hasher for DigestHasher {
    fn finish(&self) -> u64 {
        self.0.digest()
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }
}
