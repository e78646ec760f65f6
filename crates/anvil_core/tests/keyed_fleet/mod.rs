//! A few whole reducers, the fake store and counted runs, joined by a queue of events.

#![allow(clippy::unwrap_used, dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::{config, effect, event, reducer, request_log};
use anvil_standins::store::fake;
use anvil_types::{ident, name, store, time, verdict};
use anvil_wire::{call, frame, gossip};
use bytes::Bytes;
use rand_core::Rng;

/// One way between two nodes, and to the store.
const HOP: Duration = Duration::from_micros(1_500);
/// Work of one run.
const WORK: Duration = Duration::from_millis(10);
/// How often the store looks at its watches.
const STORE_TICK: Duration = Duration::from_millis(100);

const SERVICE: &str = "mesa-entradas";
const ZONES: [&str; 4] = ["ar-centro-a", "ar-centro-b", "ar-centro-c", "ar-centro-d"];

enum Moment {
    Node(ident::NodeId, Box<event::NodeEvent>),
    Store(ident::NodeId, store::StoreId, Box<store::StoreRequest>),
    Watches,
}

struct FleetNode {
    node: ident::NodeId,
    address: SocketAddr,
    reducer: reducer::NodeReducer,
    /// The wake that is queued.
    wake: Option<time::NodeTime>,
}

/// What a caller was told.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) handle: u64,
    pub(crate) at: time::NodeTime,
    pub(crate) verdict: verdict::CallVerdict,
    pub(crate) body: Option<Bytes>,
}

pub(crate) struct KeyedFleet {
    pub(crate) now: time::NodeTime,
    pub(crate) store: fake::FakeStore<(ident::NodeId, store::StoreId)>,
    pub(crate) told: Vec<Told>,
    /// The key of each run, as the path of its request.
    pub(crate) runs: Vec<String>,
    /// Steps of keyed calls, as nodes told their logs of them.
    pub(crate) steps: Vec<(time::NodeTime, ident::NodeId, request_log::KeyedRecord)>,
    /// Draws the time of each way, instead of [`HOP`].
    pub(crate) ways: Option<rand_pcg::Pcg64Mcg>,
    /// When the last frame from one node to another arrives; a connection keeps their order.
    frames: BTreeMap<(ident::NodeId, ident::NodeId), time::NodeTime>,
    /// A node of which no other one hears by membership.
    pub(crate) unheard: Option<ident::NodeId>,
    nodes: Vec<FleetNode>,
    /// Nodes that were asked to stop.
    stopping: Vec<ident::NodeId>,
    stored: bool,
    queue: BTreeMap<(time::NodeTime, u64), Moment>,
    pushed: u64,
    started: u64,
    handles: u64,
}

impl KeyedFleet {
    /// `size` nodes, each with a target, that have found each other and claimed all slots.
    pub(crate) fn start(size: usize) -> Self {
        Self::with(size, true)
    }

    /// The same without a store, where no node knows who owns a key.
    pub(crate) fn without_store(size: usize) -> Self {
        Self::with(size, false)
    }

    fn with(size: usize, stored: bool) -> Self {
        let mut fleet = Self {
            now: time::NodeTime::START,
            store: fake::FakeStore::new(1),
            told: Vec::new(),
            runs: Vec::new(),
            steps: Vec::new(),
            ways: None,
            frames: BTreeMap::new(),
            unheard: None,
            nodes: Vec::new(),
            stopping: Vec::new(),
            stored,
            queue: BTreeMap::new(),
            pushed: 0,
            started: 0,
            handles: 0,
        };
        for place in 0..size {
            fleet.add(place);
        }
        fleet.push(STORE_TICK, Moment::Watches);
        fleet.run(Duration::from_secs(60));
        fleet
    }

    /// Starts a node at a place; a later one at the same place is another incarnation.
    pub(crate) fn add(&mut self, place: usize) {
        self.started += 1;
        let node = ident::NodeId(self.started);
        let port = u16::try_from(7_000 + place).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let seeds = (7_000..7_004).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let config = config::NodeConfig {
            node,
            zone: name::ZoneName::new(ZONES[place % ZONES.len()]).unwrap(),
            region: name::RegionName::new("ar-centro").unwrap(),
            peer_address: address,
            gossip_address: address,
            seeds: seeds.filter(|seed| *seed != address).collect(),
        };
        let mut reducer = reducer::NodeReducer::new(config, self.started);
        // The node's clock runs as the others' do, so that one time serves the whole test.
        reducer.step(self.now, event::NodeEvent::TimerFired);
        if self.stored {
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

    /// The living nodes, oldest first.
    pub(crate) fn nodes(&self) -> Vec<ident::NodeId> {
        self.nodes.iter().map(|node| node.node).collect()
    }

    /// Where a node stands.
    pub(crate) fn place(&self, node: ident::NodeId) -> usize {
        let found = self.nodes.iter().find(|held| held.node == node).unwrap();
        usize::from(found.address.port()) - 7_000
    }

    /// A caller submits a claim under `key` at `node`; returns its handle.
    pub(crate) fn submit(&mut self, node: ident::NodeId, key: &str) -> u64 {
        self.handles += 1;
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
            handle: event::CallerHandle(self.handles),
            request: Box::new(request),
            hints,
        };
        self.push_event(node, Duration::ZERO, arrival);
        self.handles
    }

    pub(crate) fn stop(&mut self, node: ident::NodeId) {
        self.stopping.push(node);
        self.push_event(node, Duration::ZERO, event::NodeEvent::StopRequested);
    }

    /// The process vanishes; its connections break.
    pub(crate) fn crash(&mut self, node: ident::NodeId) {
        self.nodes.retain(|held| held.node != node);
        for other in self.nodes() {
            self.push_event(other, HOP, event::NodeEvent::ConnectionLost { peer: node });
        }
    }

    /// Breaks the connections between two nodes that both live on; what is under way is lost.
    pub(crate) fn cut(&mut self, one: ident::NodeId, other: ident::NodeId) {
        let under_way = |moment: &Moment| match moment {
            Moment::Node(to, event) => match **event {
                event::NodeEvent::FrameArrived { peer, .. } => {
                    (*to, peer) == (one, other) || (*to, peer) == (other, one)
                }
                _ => false,
            },
            _ => false,
        };
        self.queue.retain(|_, moment| !under_way(moment));
        for (node, peer) in [(one, other), (other, one)] {
            self.push_event(node, HOP, event::NodeEvent::ConnectionLost { peer });
        }
    }

    /// The living nodes that nobody asked to stop.
    pub(crate) fn staying(&self) -> Vec<ident::NodeId> {
        let mut nodes = self.nodes();
        nodes.retain(|node| !self.stopping.contains(node));
        nodes
    }

    /// Whether a node lives.
    pub(crate) fn lives(&self, node: ident::NodeId) -> bool {
        self.nodes.iter().any(|held| held.node == node)
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), moment) = entry.remove_entry();
            self.now = at;
            self.handle(moment);
        }
        self.now = until;
    }

    /// What one caller was told; fails where it was told nothing.
    pub(crate) fn told(&self, handle: u64) -> &Told {
        self.told.iter().find(|told| told.handle == handle).unwrap()
    }

    /// Most runs of one key.
    pub(crate) fn most_runs(&self) -> usize {
        let count = |key: &String| self.runs.iter().filter(|run| *run == key).count();
        self.runs.iter().map(count).max().unwrap_or(0)
    }

    /// Keys that ran more than once, as nodes name them.
    pub(crate) fn doubled_keys(&self) -> Vec<ident::RequestKey> {
        let count = |key: &String| self.runs.iter().filter(|run| *run == key).count();
        let doubled = self.runs.iter().filter(|run| count(run) > 1);
        let named = doubled.filter_map(|path| path.rsplit('/').next());
        named
            .map(|key| ident::RequestKey::of(SERVICE, key.as_bytes()))
            .collect()
    }

    fn handle(&mut self, moment: Moment) {
        match moment {
            Moment::Node(node, event) => self.step(node, *event),
            Moment::Store(node, id, ask) => {
                let outcome = self.store.carry_out(self.now, (node, id), &ask);
                if let Some(outcome) = outcome {
                    let answered = event::NodeEvent::StoreAnswered { id, outcome };
                    let way = self.way();
                    self.push_event(node, way, answered);
                }
            }
            Moment::Watches => {
                for ((node, id), outcome) in self.store.due_watches(self.now) {
                    let answered = event::NodeEvent::StoreAnswered { id, outcome };
                    self.push_event(node, HOP, answered);
                }
                self.push(STORE_TICK, Moment::Watches);
            }
        }
    }

    fn step(&mut self, node: ident::NodeId, event: event::NodeEvent) {
        let now = self.now;
        let Some(held) = self.nodes.iter_mut().find(|held| held.node == node) else {
            return;
        };
        let effects = held.reducer.step(now, event);
        let wake = held.reducer.next_wake().map(|wake| wake.max(now));
        let queued = held.wake.filter(|queued| *queued > now);
        let sooner = wake.is_some_and(|wake| queued.is_none_or(|queued| wake < queued));
        held.wake = if sooner { wake } else { queued };
        for effect in effects {
            self.carry_out(node, effect);
        }
        if let Some(wake) = wake.filter(|_| sooner) {
            self.push_event(node, wake.since(now), event::NodeEvent::TimerFired);
        }
    }

    fn carry_out(&mut self, node: ident::NodeId, effect: effect::NodeEffect) {
        match effect {
            effect::NodeEffect::SendFrame { peer, frame, .. } => {
                let frame = self.without_unheard(frame);
                let reached = self.nodes.iter().any(|held| held.node == peer);
                let (to, event) = if reached {
                    (peer, event::NodeEvent::FrameArrived { peer: node, frame })
                } else {
                    let unsent = vec![frame];
                    (node, event::NodeEvent::PeerUnreachable { peer, unsent })
                };
                let arrives = self.frame_way(node, peer);
                self.push_event(to, arrives, event);
            }
            effect::NodeEffect::SendDatagram { to, mut message } => {
                message
                    .updates
                    .retain(|claim| Some(claim.node) != self.unheard);
                let from = self.address(node);
                let receiver = self.nodes.iter().find(|held| held.address == to);
                if let (Some(from), Some(receiver)) = (from, receiver.map(|held| held.node)) {
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
                self.push_event(node, WORK, event::NodeEvent::RunEnded { run, outcome });
            }
            effect::NodeEffect::SendStoreRequest { id, request: ask } => {
                let way = self.way();
                self.push(way, Moment::Store(node, id, Box::new(ask)));
            }
            effect::NodeEffect::ReplyCaller { handle, reply } => self.told.push(Told {
                handle: handle.0,
                at: self.now,
                verdict: reply.verdict,
                body: reply.answer.map(|answer| answer.body),
            }),
            effect::NodeEffect::Report(effect::StateChange::KeyedCall(note)) => {
                self.steps.push((self.now, node, *note));
            }
            effect::NodeEffect::Exit => self.nodes.retain(|held| held.node != node),
            effect::NodeEffect::CancelRun(_)
            | effect::NodeEffect::AnswerOperator { .. }
            | effect::NodeEffect::Readiness(_)
            | effect::NodeEffect::Report(_) => {}
        }
    }

    /// The time of one way.
    fn way(&mut self) -> Duration {
        match &mut self.ways {
            None => HOP,
            Some(source) => {
                // Mostly quick, now and then as late as on a busy machine.
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

    /// Time until a frame arrives, behind all that its sender sent there before.
    fn frame_way(&mut self, from: ident::NodeId, to: ident::NodeId) -> Duration {
        let arrives = self.now + self.way();
        let last = self.frames.entry((from, to)).or_insert(arrives);
        *last = arrives.max(*last);
        last.since(self.now)
    }

    /// The frame without what membership would learn of the unheard node from it.
    fn without_unheard(&self, mut frame: frame::PeerFrame) -> frame::PeerFrame {
        if let frame::PeerFrame::Sync(message) = &mut frame {
            match &mut **message {
                gossip::SyncMessage::Digest { sender: claims, .. }
                | gossip::SyncMessage::Members {
                    updates: claims, ..
                } => claims.retain(|claim| Some(claim.node) != self.unheard),
                gossip::SyncMessage::Headers { .. } | gossip::SyncMessage::Changes { .. } => {}
            }
        }
        frame
    }

    fn address(&self, node: ident::NodeId) -> Option<SocketAddr> {
        let held = self.nodes.iter().find(|held| held.node == node);
        held.map(|held| held.address)
    }

    fn push_event(&mut self, node: ident::NodeId, after: Duration, event: event::NodeEvent) {
        self.push(after, Moment::Node(node, Box::new(event)));
    }

    fn push(&mut self, after: Duration, moment: Moment) {
        self.pushed += 1;
        self.queue.insert((self.now + after, self.pushed), moment);
    }
}
