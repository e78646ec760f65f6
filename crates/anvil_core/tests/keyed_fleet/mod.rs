//! Simulation of a few complete reducers and the fake store, joined by an event queue, which counts
//! runs.

#![allow(clippy::unwrap_used, dead_code)]

#[path = "../variant/mod.rs"]
mod variant;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::{config, effect, event, reducer, request_log};
use anvil_standins::store::fake;
use anvil_types::{ident, name, store, time, verdict};
use anvil_wire::{call, frame, gossip};
use bytes::Bytes;
use rand_core::Rng;

/// One-way latency between two nodes, and to the store.
const HOP: Duration = Duration::from_micros(1_500);
/// Duration of one run.
const RUN_TIME: Duration = Duration::from_millis(10);
/// How often the store answers its due watches.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

const SERVICE: &str = "mesa-entradas";
const ZONES: [&str; 4] = ["ar-centro-a", "ar-centro-b", "ar-centro-c", "ar-centro-d"];

enum QueuedEvent {
    Node(ident::NodeId, Box<event::NodeEvent>),
    Store(ident::NodeId, store::StoreId, Box<store::StoreRequest>),
    Watches,
}

struct FleetNode {
    node: ident::NodeId,
    address: SocketAddr,
    reducer: reducer::NodeReducer,
    /// When the queued timer fires.
    wake: Option<time::NodeTime>,
}

/// A reply to a caller.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) handle: u64,
    pub(crate) at: time::NodeTime,
    pub(crate) verdict: verdict::CallVerdict,
    pub(crate) body: Option<Bytes>,
}

pub(crate) struct KeyedFleet {
    pub(crate) now: time::NodeTime,
    pub(crate) store: fake::FakeStore<(ident::NodeId, store::StoreId)>,
    pub(crate) replies: Vec<Reply>,
    /// The request path of each run, which contains its key.
    pub(crate) runs: Vec<String>,
    /// Steps of keyed calls, as the nodes logged them.
    pub(crate) steps: Vec<(time::NodeTime, ident::NodeId, request_log::KeyedRecord)>,
    /// Draws random one-way latencies, used instead of [`HOP`] if set.
    pub(crate) delays: Option<rand_pcg::Pcg64Mcg>,
    /// When the last frame from one node to another arrives; a connection preserves their order.
    last_frame_arrivals: BTreeMap<(ident::NodeId, ident::NodeId), time::NodeTime>,
    /// A node that is removed from all membership messages, so that no other node knows it.
    pub(crate) hidden: Option<ident::NodeId>,
    nodes: Vec<FleetNode>,
    /// Nodes that got a stop request.
    stopping: Vec<ident::NodeId>,
    has_store: bool,
    queue: BTreeMap<(time::NodeTime, u64), QueuedEvent>,
    last_sequence: u64,
    last_node: u64,
    last_handle: u64,
}

impl KeyedFleet {
    /// Starts `size` nodes, each with a target, that know each other and have claimed all slots.
    pub(crate) fn start(size: usize) -> Self {
        Self::with(size, true)
    }

    /// Starts nodes without a store, so that keys have no owners.
    pub(crate) fn without_store(size: usize) -> Self {
        Self::with(size, false)
    }

    fn with(size: usize, has_store: bool) -> Self {
        let mut fleet = Self {
            now: time::NodeTime::START,
            store: fake::FakeStore::new(1),
            replies: Vec::new(),
            runs: Vec::new(),
            steps: Vec::new(),
            delays: None,
            last_frame_arrivals: BTreeMap::new(),
            hidden: None,
            nodes: Vec::new(),
            stopping: Vec::new(),
            has_store,
            queue: BTreeMap::new(),
            last_sequence: 0,
            last_node: 0,
            last_handle: 0,
        };
        for address_index in 0..size {
            fleet.add(address_index);
        }
        fleet.push(WATCH_INTERVAL, QueuedEvent::Watches);
        fleet.run(Duration::from_secs(60));
        fleet
    }

    /// Starts a node with a new id at an address, which an earlier node may have used.
    pub(crate) fn add(&mut self, address_index: usize) {
        self.last_node += 1;
        let node = ident::NodeId(self.last_node);
        let port = u16::try_from(7_000 + address_index).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let seeds = (7_000..7_004).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let config = config::NodeConfig {
            node,
            zone: name::ZoneName::new(ZONES[address_index % ZONES.len()]).unwrap(),
            region: name::RegionName::new("ar-centro").unwrap(),
            peer_address: address,
            gossip_address: address,
            seeds: seeds.filter(|seed| *seed != address).collect(),
        };
        let mut reducer =
            reducer::NodeReducer::with_policy(config, self.last_node, variant::POLICY);
        // Sets the node's clock to the simulated time, which all nodes share.
        reducer.step(self.now, event::NodeEvent::TimerFired);
        if self.has_store {
            reducer = reducer.with_store();
        }
        self.nodes.push(FleetNode {
            node,
            address,
            reducer,
            wake: None,
        });
        let target = event::TargetAnnouncement {
            service: name::ServiceName::new(SERVICE).unwrap(),
            address,
            slots: 40,
            connections: 350,
            lease: Duration::from_secs(1_000_000),
            warm: false,
            incarnation: None,
        };
        self.push_event(
            node,
            Duration::ZERO,
            event::NodeEvent::TargetAnnounced(target),
        );
    }

    /// The running nodes, oldest first.
    pub(crate) fn nodes(&self) -> Vec<ident::NodeId> {
        self.nodes.iter().map(|node| node.node).collect()
    }

    /// The index of a node's address.
    pub(crate) fn address_index(&self, node: ident::NodeId) -> usize {
        let found = self.nodes.iter().find(|entry| entry.node == node).unwrap();
        usize::from(found.address.port()) - 7_000
    }

    /// Submits a claim under `key` at `node` and returns the caller's handle.
    pub(crate) fn submit(&mut self, node: ident::NodeId, key: &str) -> u64 {
        self.last_handle += 1;
        let request = call::CallRequest {
            service: name::ServiceName::new(SERVICE).unwrap(),
            method: "POST".to_owned(),
            path: format!("/claims/{key}"),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let hints = event::CallerHints {
            key: Some(Bytes::copy_from_slice(key.as_bytes())),
            ..event::CallerHints::default()
        };
        let arrival = event::NodeEvent::CallArrived {
            handle: event::CallerHandle(self.last_handle),
            request: Box::new(request),
            hints,
        };
        self.push_event(node, Duration::ZERO, arrival);
        self.last_handle
    }

    pub(crate) fn stop(&mut self, node: ident::NodeId) {
        self.stopping.push(node);
        self.push_event(node, Duration::ZERO, event::NodeEvent::StopRequested);
    }

    /// Kills a node's process; its connections break.
    pub(crate) fn crash(&mut self, node: ident::NodeId) {
        self.nodes.retain(|entry| entry.node != node);
        for other in self.nodes() {
            self.push_event(other, HOP, event::NodeEvent::ConnectionLost { peer: node });
        }
    }

    /// Breaks the connections between two running nodes; frames in transit are lost.
    pub(crate) fn disconnect(&mut self, one: ident::NodeId, other: ident::NodeId) {
        let in_transit = |queued_event: &QueuedEvent| match queued_event {
            QueuedEvent::Node(to, event) => match **event {
                event::NodeEvent::FrameArrived { peer, .. } => {
                    (*to, peer) == (one, other) || (*to, peer) == (other, one)
                }
                _ => false,
            },
            _ => false,
        };
        self.queue
            .retain(|_, queued_event| !in_transit(queued_event));
        for (node, peer) in [(one, other), (other, one)] {
            self.push_event(node, HOP, event::NodeEvent::ConnectionLost { peer });
        }
    }

    /// The running nodes that got no stop request.
    pub(crate) fn not_stopping(&self) -> Vec<ident::NodeId> {
        let mut nodes = self.nodes();
        nodes.retain(|node| !self.stopping.contains(node));
        nodes
    }

    /// Whether a node is running.
    pub(crate) fn is_alive(&self, node: ident::NodeId) -> bool {
        self.nodes.iter().any(|entry| entry.node == node)
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), queued_event) = entry.remove_entry();
            self.now = at;
            self.handle(queued_event);
        }
        self.now = until;
    }

    /// The reply to one caller; panics if there is none yet.
    pub(crate) fn reply(&self, handle: u64) -> &Reply {
        self.replies
            .iter()
            .find(|reply| reply.handle == handle)
            .unwrap()
    }

    /// The largest number of runs of any one key.
    pub(crate) fn max_runs_per_key(&self) -> usize {
        let count = |key: &String| self.runs.iter().filter(|run| *run == key).count();
        self.runs.iter().map(count).max().unwrap_or(0)
    }

    /// Keys that ran more than once, in the form that nodes log.
    pub(crate) fn repeated_keys(&self) -> Vec<ident::RequestKey> {
        let count = |key: &String| self.runs.iter().filter(|run| *run == key).count();
        let repeated = self.runs.iter().filter(|run| count(run) > 1);
        let keys = repeated.filter_map(|path| path.rsplit('/').next());
        keys.map(|key| ident::RequestKey::of(SERVICE, key.as_bytes()))
            .collect()
    }

    fn handle(&mut self, queued_event: QueuedEvent) {
        match queued_event {
            QueuedEvent::Node(node, event) => self.step(node, *event),
            QueuedEvent::Store(node, id, request) => {
                let outcome = self.store.carry_out(self.now, (node, id), &request);
                if let Some(outcome) = outcome {
                    let answered = event::NodeEvent::StoreAnswered { id, outcome };
                    let delay = self.delay();
                    self.push_event(node, delay, answered);
                }
            }
            QueuedEvent::Watches => {
                for ((node, id), outcome) in self.store.due_watches(self.now) {
                    let answered = event::NodeEvent::StoreAnswered { id, outcome };
                    self.push_event(node, HOP, answered);
                }
                self.push(WATCH_INTERVAL, QueuedEvent::Watches);
            }
        }
    }

    fn step(&mut self, node: ident::NodeId, event: event::NodeEvent) {
        let now = self.now;
        let Some(entry) = self.nodes.iter_mut().find(|entry| entry.node == node) else {
            return;
        };
        let effects = entry.reducer.step(now, event);
        let wake = entry.reducer.next_wake().map(|wake| wake.max(now));
        let queued = entry.wake.filter(|queued| *queued > now);
        let is_earlier = wake.is_some_and(|wake| queued.is_none_or(|queued| wake < queued));
        entry.wake = if is_earlier { wake } else { queued };
        for effect in effects {
            self.carry_out(node, effect);
        }
        if let Some(wake) = wake.filter(|_| is_earlier) {
            self.push_event(node, wake.since(now), event::NodeEvent::TimerFired);
        }
    }

    fn carry_out(&mut self, node: ident::NodeId, effect: effect::NodeEffect) {
        match effect {
            effect::NodeEffect::SendFrame { peer, frame, .. } => {
                let frame = self.without_hidden_node(frame);
                let is_reachable = self.nodes.iter().any(|entry| entry.node == peer);
                let (to, event) = if is_reachable {
                    (peer, event::NodeEvent::FrameArrived { peer: node, frame })
                } else {
                    let unsent = vec![frame];
                    (node, event::NodeEvent::PeerUnreachable { peer, unsent })
                };
                let delay = self.frame_delay(node, peer);
                self.push_event(to, delay, event);
            }
            effect::NodeEffect::SendDatagram { to, mut message } => {
                message
                    .updates
                    .retain(|update| Some(update.node) != self.hidden);
                let from = self.address(node);
                let receiver = self.nodes.iter().find(|entry| entry.address == to);
                if let (Some(from), Some(receiver)) = (from, receiver.map(|entry| entry.node)) {
                    let event = event::NodeEvent::DatagramArrived { from, message };
                    self.push_event(receiver, HOP, event);
                }
            }
            effect::NodeEffect::RunTarget(order) => {
                self.runs.push(order.request.path);
                let body = format!("case {}", self.runs.len());
                let outcome = event::RunOutcome::Answered(call::CallAnswer {
                    status: 201,
                    headers: Vec::new(),
                    body: Bytes::from(body),
                });
                let run = order.run;
                self.push_event(
                    node,
                    RUN_TIME,
                    event::NodeEvent::RunEnded {
                        run,
                        outcome,
                        statement: None,
                        exchange: None,
                    },
                );
            }
            effect::NodeEffect::SendStoreRequest { id, request } => {
                let delay = self.delay();
                self.push(delay, QueuedEvent::Store(node, id, Box::new(request)));
            }
            effect::NodeEffect::ReplyCaller { handle, reply } => self.replies.push(Reply {
                handle: handle.0,
                at: self.now,
                verdict: reply.verdict,
                body: reply.answer.map(|answer| answer.body),
            }),
            effect::NodeEffect::Report(effect::StateChange::KeyedCall(record)) => {
                self.steps.push((self.now, node, *record));
            }
            effect::NodeEffect::Exit => self.nodes.retain(|entry| entry.node != node),
            effect::NodeEffect::CancelRun(_)
            | effect::NodeEffect::ProbeTarget(_)
            | effect::NodeEffect::CheckTarget(_)
            | effect::NodeEffect::WithdrawRuns
            | effect::NodeEffect::AnswerOperator { .. }
            | effect::NodeEffect::Readiness(_)
            | effect::NodeEffect::Report(_) => {}
        }
    }

    /// The latency of one message.
    fn delay(&mut self) -> Duration {
        match &mut self.delays {
            None => HOP,
            Some(source) => {
                // Mostly up to 5 ms; one in sixteen up to 200 ms, as on a busy machine.
                let draw = source.next_u64();
                let longest = if draw.is_multiple_of(16) {
                    200_000
                } else {
                    5_000
                };
                Duration::from_micros(100 + (draw >> 8) % longest)
            }
        }
    }

    /// Time until a frame arrives, not before earlier frames of the same connection.
    fn frame_delay(&mut self, from: ident::NodeId, to: ident::NodeId) -> Duration {
        let arrives_at = self.now + self.delay();
        let last = self
            .last_frame_arrivals
            .entry((from, to))
            .or_insert(arrives_at);
        *last = arrives_at.max(*last);
        last.since(self.now)
    }

    /// Removes the hidden node from a frame's membership updates.
    fn without_hidden_node(&self, mut frame: frame::PeerFrame) -> frame::PeerFrame {
        if let frame::PeerFrame::Sync(message) = &mut frame {
            match &mut **message {
                gossip::SyncMessage::Digest {
                    sender: updates, ..
                }
                | gossip::SyncMessage::Members { updates, .. } => {
                    updates.retain(|update| Some(update.node) != self.hidden);
                }
                gossip::SyncMessage::Headers { .. } | gossip::SyncMessage::Changes { .. } => {}
            }
        }
        frame
    }

    fn address(&self, node: ident::NodeId) -> Option<SocketAddr> {
        let entry = self.nodes.iter().find(|entry| entry.node == node);
        entry.map(|entry| entry.address)
    }

    fn push_event(&mut self, node: ident::NodeId, after: Duration, event: event::NodeEvent) {
        self.push(after, QueuedEvent::Node(node, Box::new(event)));
    }

    fn push(&mut self, after: Duration, queued_event: QueuedEvent) {
        self.last_sequence += 1;
        self.queue
            .insert((self.now + after, self.last_sequence), queued_event);
    }
}
