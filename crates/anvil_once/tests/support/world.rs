//! A model of key owners, a network and a store in which every step is one explicit action.
//!
//! The clock does not advance and all retry delays are zero, so any order of events is possible. A
//! paused process is a node whose messages are not delivered yet, and a false suspicion is an
//! action of its own.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use anvil_once::{effect, event, owner, peers, policy, slots};
use anvil_types::{ident, name, time, verdict};
use anvil_wire::{call, key};
use xxhash_rust::xxh3;

pub(crate) use super::actions::{
    FaultBudget, NoticeDelivery, RunOutcome, StoreDelivery, WorldAction,
};

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

/// Rounds of ticks that are enough for a takeover after every fault.
const SETTLE_ROUNDS: usize = 20;

const NOW: time::NodeTime = time::NodeTime(10_000_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Packet {
    pub(crate) from: ident::NodeId,
    pub(crate) to: ident::NodeId,
    pub(crate) message: key::KeyMessage,
}

/// A shared part of the state with its digest, so that a step copies and hashes only what it
/// changes.
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

/// The state of the model.
#[derive(Clone, Hash)]
pub(crate) struct World {
    nodes: Vec<Digested<owner::KeyOwner>>,
    /// Sorted by digest, because the network does not preserve order.
    pub(crate) network: Vec<Digested<Packet>>,
    record: Option<(key::SlotView, u64)>,
    pub(crate) store_requests: Vec<(ident::NodeId, effect::SlotRequestId, effect::SlotRequest)>,
    pub(crate) replies: Vec<(ident::NodeId, effect::SlotRequestId, event::SlotReply)>,
    pub(crate) submitted: Vec<ident::CallId>,
    pub(crate) running: Vec<ident::CallId>,
    /// The calls that ran the key.
    pub(crate) ran: Vec<ident::CallId>,
    /// The verdicts that callers received.
    pub(crate) verdicts: Vec<(ident::CallId, effect::KeyVerdict)>,
    pub(crate) budget: FaultBudget,
    /// Nodes that are stopping and have not exited.
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
    /// Creates two entry nodes that know the owners, and owners that know each other.
    pub(crate) fn new(guards: policy::KeyGuards, budget: FaultBudget) -> Self {
        let nodes = ENTRIES.iter().chain(&OWNERS).copied();
        let build = |node| {
            let start = time::NodeTime::START;
            let policy = owner_policy(guards);
            Digested::new(node, owner::KeyOwner::new(start, node, zone(), policy))
        };
        let mut world = Self {
            nodes: nodes.map(build).collect(),
            network: Vec::new(),
            record: Some((first_view(), 1)),
            store_requests: Vec::new(),
            replies: Vec::new(),
            submitted: Vec::new(),
            running: Vec::new(),
            ran: Vec::new(),
            verdicts: Vec::new(),
            budget,
            leaving: Vec::new(),
        };
        world.exchange_first_views();
        world
    }

    fn exchange_first_views(&mut self) {
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
        // The primary sends an empty copy to the backup and reads its record.
        self.run_without_faults();
    }

    /// Runs everything in flight to its end, in one fixed order and without faults.
    pub(crate) fn run_without_faults(&mut self) {
        let mut steps = 0;
        while let Some(action) = self.next_faultless_action() {
            steps += 1;
            assert!(steps < 1_000, "the nodes never become idle");
            self.apply(&action);
        }
    }

    /// The number of callers without a verdict.
    pub(crate) fn waiting(&self) -> usize {
        let waiting = self.submitted.iter().filter(|call| self.is_waiting(**call));
        waiting.count()
    }

    /// Ends all faults: the network delivers, nodes learn which nodes are alive, and ticks happen.
    pub(crate) fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            let nodes: Vec<ident::NodeId> = self.nodes.iter().map(|entry| entry.node).collect();
            for node in nodes {
                // An entry node takes over a slot whose owners are dead, so the others have to know
                // the entry nodes too.
                let all_nodes = ENTRIES.into_iter().chain(OWNERS);
                for other in all_nodes.filter(|other| *other != node) {
                    let health = self.health_of(other);
                    self.step(node, peer(other, health));
                }
                self.step(node, event::KeyEvent::Tick);
            }
            self.run_without_faults();
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

    /// Crashes both owners and notifies all other nodes.
    pub(crate) fn lose_owners(&mut self) {
        for lost in [PRIMARY, BACKUP] {
            self.apply(&WorldAction::Crash(lost));
            for node in ENTRIES.into_iter().chain([THIRD]) {
                self.step(node, peer(lost, peers::PeerHealth::Missing));
            }
        }
    }

    /// The next action of a run without faults and without new calls.
    fn next_faultless_action(&self) -> Option<WorldAction> {
        if !self.network.is_empty() {
            return Some(WorldAction::Deliver(0));
        }
        if !self.store_requests.is_empty() {
            return Some(WorldAction::Store(0, StoreDelivery::Answered));
        }
        if !self.replies.is_empty() {
            return Some(WorldAction::Reply(0));
        }
        let call = self.running.first();
        call.map(|call| WorldAction::End(*call, RunOutcome::Answered))
    }

    /// Whether the key may have run twice, or for a call that was reported as not run.
    pub(crate) fn is_broken(&self) -> bool {
        let runs = self.ran.iter().chain(&self.running);
        let contradicted = runs.clone().any(|call| self.was_reported_not_run(*call));
        runs.count() > 1 || contradicted
    }

    fn was_reported_not_run(&self, call: ident::CallId) -> bool {
        let not_run =
            |verdict: &effect::KeyVerdict| matches!(verdict, effect::KeyVerdict::NotRun(_));
        self.verdicts
            .iter()
            .any(|(decided, verdict)| *decided == call && not_run(verdict))
    }

    /// Whether the key may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.ran.is_empty() || !self.running.is_empty()
    }

    /// The number of calls that were answered.
    pub(crate) fn answered(&self) -> usize {
        let answer = effect::KeyVerdict::Answered(Box::new(run_answer()));
        self.verdicts
            .iter()
            .filter(|(_, verdict)| *verdict == answer)
            .count()
    }

    /// A digest of the state, equal for equal states.
    pub(crate) fn digest(&self) -> u128 {
        digest_of(self)
    }

    pub(crate) fn is_alive(&self, node: ident::NodeId) -> bool {
        self.nodes.iter().any(|entry| entry.node == node)
    }

    pub(crate) fn is_waiting(&self, call: ident::CallId) -> bool {
        let has_verdict = self.verdicts.iter().any(|(decided, _)| *decided == call);
        let runs = self.running.contains(&call);
        self.submitted.contains(&call) && !has_verdict && !runs
    }

    pub(crate) fn has_open_call(&self, node: ident::NodeId) -> bool {
        let mut calls = self.submitted.iter().filter(|call| call.node == node);
        calls.any(|call| !self.verdicts.iter().any(|(decided, _)| decided == call))
    }

    /// Carries out one action.
    pub(crate) fn apply(&mut self, action: &WorldAction) {
        match action {
            WorldAction::Submit(node) => self.submit(*node),
            WorldAction::Deliver(at) => {
                let packet = self.network.remove(*at);
                self.deliver(&packet.part);
            }
            WorldAction::Duplicate(at) => {
                self.budget.duplicates -= 1;
                let packet = self.network[*at].clone();
                self.deliver(&packet.part);
            }
            WorldAction::Lose(at) => {
                self.budget.losses -= 1;
                self.network.remove(*at);
            }
            WorldAction::Store(at, delivery) => self.answer_store_request(*at, *delivery),
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
            WorldAction::End(call, run) => self.end(*call, *run),
            WorldAction::Abandon(call) => {
                self.budget.abandons -= 1;
                self.step(call.node, event::KeyEvent::Abandon { call: *call });
            }
            WorldAction::Leave(node, notice) => self.leave(*node, *notice),
            WorldAction::Exit(node) => self.crash(*node),
        }
    }

    fn leave(&mut self, node: ident::NodeId, notice: NoticeDelivery) {
        self.budget.leaves -= 1;
        self.leaving.push(node);
        self.leaving.sort_unstable();
        self.step(node, event::KeyEvent::Leave);
        if notice == NoticeDelivery::Delivered {
            let others: Vec<ident::NodeId> = self.nodes.iter().map(|entry| entry.node).collect();
            for other in others.into_iter().filter(|other| *other != node) {
                self.step(other, peer(node, peers::PeerHealth::Leaving));
            }
        }
    }

    /// Whether a stopping node may exit, by the same check as its process makes.
    pub(crate) fn may_exit(&self, node: ident::NodeId) -> bool {
        let found = self.nodes.iter().find(|entry| entry.node == node);
        let released = found.is_some_and(|entry| entry.part.is_released());
        released && !self.has_open_call(node)
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
        let request = event::KeyEvent::Request {
            call,
            key: KEY,
            fingerprint: ident::RequestFingerprint(7),
            wait: Duration::from_secs(5),
        };
        self.step(node, request);
    }

    fn deliver(&mut self, packet: &Packet) {
        let Packet { from, to, message } = packet.clone();
        if self.is_alive(to) {
            self.step(to, event::KeyEvent::Message { from, message });
        } else {
            self.step(from, event::KeyEvent::Unreachable { node: to });
        }
    }

    fn answer_store_request(&mut self, at: usize, delivery: StoreDelivery) {
        let (node, id, request) = self.store_requests.remove(at);
        if delivery != StoreDelivery::Answered {
            self.budget.lost_replies -= 1;
        }
        let reply = match (delivery, request) {
            (StoreDelivery::NeverArrived, _) => event::SlotReply::Unknown,
            (_, effect::SlotRequest::Read { .. }) => event::SlotReply::Found(self.record),
            (_, effect::SlotRequest::Swap { expected, view }) => self.swap(expected, view),
        };
        let lost = delivery != StoreDelivery::Answered;
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
        // The target may still finish the calls that the node had dispatched.
        let (lost, running) = self.running.iter().partition(|call| call.node == node);
        self.running = running;
        let lost: Vec<ident::CallId> = lost;
        self.ran.extend(lost);
    }

    fn end(&mut self, call: ident::CallId, run: RunOutcome) {
        self.running.retain(|running| *running != call);
        let outcome = match run {
            RunOutcome::Answered => {
                self.ran.push(call);
                event::CallOutcome::Answered(Box::new(run_answer()))
            }
            RunOutcome::NotRun => {
                self.budget.not_runs -= 1;
                event::CallOutcome::NotRun
            }
        };
        let verdict = match run {
            RunOutcome::Answered => effect::KeyVerdict::Answered(Box::new(run_answer())),
            RunOutcome::NotRun => effect::KeyVerdict::NotRun(verdict::RefusalReason::Unreachable),
        };
        self.record_verdict(call, verdict);
        self.step(call.node, event::KeyEvent::Ended { call, outcome });
    }

    fn record_verdict(&mut self, call: ident::CallId, verdict: effect::KeyVerdict) {
        self.verdicts.push((call, verdict));
        self.verdicts.sort_by_key(|(decided, _)| *decided);
    }

    fn step(&mut self, node: ident::NodeId, event: event::KeyEvent) {
        let Some(at) = self.nodes.iter().position(|entry| entry.node == node) else {
            return;
        };
        let mut owner = (*self.nodes[at].part).clone();
        let effects = owner.step(NOW, event);
        self.nodes[at] = Digested::new(node, owner);
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, from: ident::NodeId, effect: effect::KeyEffect) {
        match effect {
            effect::KeyEffect::Send { to, message } => {
                let packet = Digested::new(from, Packet { from, to, message });
                let at = self
                    .network
                    .partition_point(|other| other.digest < packet.digest);
                self.network.insert(at, packet);
            }
            effect::KeyEffect::Dispatch { call } => {
                self.running.push(call);
                self.running.sort_unstable();
            }
            effect::KeyEffect::Decide { call, verdict } => self.record_verdict(call, verdict),
            effect::KeyEffect::RequestSlot { id, request } => {
                self.store_requests.push((from, id, request));
                self.store_requests
                    .sort_by_key(|request| (request.0, request.1));
            }
            effect::KeyEffect::Report(_) => {}
        }
    }
}

/// The answer of every run.
pub(crate) fn run_answer() -> call::CallAnswer {
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
