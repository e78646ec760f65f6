//! Simulation of several reducers joined by an event queue with fixed delays, which tests their
//! combined decisions in injected time, without sockets, losses or real clocks.

#![allow(dead_code, clippy::unwrap_used)]

mod measure;
mod plan;

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_core::{answer, config, directory, effect, event, reducer};
use anvil_rules::parse;
use anvil_types::{context, ident, name, time};
use anvil_wire::{call, frame};
use bytes::Bytes;
use rand_core::{Rng, SeedableRng};

#[allow(unused_imports)]
pub(crate) use measure::{KindShares, Root};
#[allow(unused_imports)]
pub(crate) use plan::{
    Fault, Plan, SATURATION_PER_S, SCARCE_KINDS, SCARCE_SATURATION_PER_S, Service, claims_mesh,
    scarce_mesh,
};

/// One-way latency between two availability zones, as in the users' meshes.
const CROSS_ZONE_HOP: Duration = Duration::from_micros(1_500);
/// One-way latency within an availability zone.
const SAME_ZONE_HOP: Duration = Duration::from_micros(200);
/// How long a crashed target takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// How long a restarted target is slow, in seconds, and the factor on its working time.
const COLD_START: (f64, f64) = (2.0, 4.0);
/// The origin of a call that waits for its reply.
enum CallOrigin {
    Root(usize),
    Child {
        node: usize,
        run: event::RunId,
        root: usize,
    },
}

enum MeshEvent {
    Arrival,
    SideArrival,
    SendRoot(usize),
    Step(usize, event::NodeEvent),
    Wake(usize),
    WorkDone(usize, event::RunId),
    Restart(usize),
    Crash(usize),
    RestartNodes,
}

struct ActiveRun {
    service: usize,
    kind: &'static str,
    root: usize,
    /// Index of the next call that the run makes.
    next_call: usize,
}

struct Node {
    reducer: reducer::NodeReducer,
    service: usize,
    active: BTreeMap<event::RunId, ActiveRun>,
    down: bool,
    /// Factor on the working time of the target.
    pace: f64,
    /// When the target last restarted, in seconds.
    restarted_at: f64,
    wake: Option<time::NodeTime>,
}

pub(crate) struct Mesh {
    plan: Plan,
    services: Vec<Service>,
    nodes: Vec<Node>,
    queue: BTreeMap<(time::NodeTime, u64), MeshEvent>,
    now: time::NodeTime,
    last_sequence: u64,
    waiting: BTreeMap<u64, CallOrigin>,
    rng: rand_pcg::Pcg64Mcg,
    pub(crate) roots: Vec<Root>,
    pub(crate) crashes: u32,
    /// Runs that targets of the deepest service completed.
    pub(crate) finished: u32,
}

fn seconds(at: f64) -> time::NodeTime {
    time::NodeTime::START + Duration::from_secs_f64(at)
}

fn address(node: usize) -> std::net::SocketAddr {
    let port = 7_000 + u16::try_from(node).unwrap();
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn zone(node: usize) -> name::ZoneName {
    let zones = ["ar-centro-a", "ar-centro-b", "ar-centro-c", "ar-centro-d"];
    name::ZoneName::new(zones[node % 4]).unwrap()
}

impl Mesh {
    pub(crate) fn new(plan: Plan, services: Vec<Service>) -> Self {
        let mut mesh = Self {
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(plan.seed),
            plan,
            services,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            now: time::NodeTime::START,
            last_sequence: 0,
            waiting: BTreeMap::new(),
            roots: Vec::new(),
            crashes: 0,
            finished: 0,
        };
        for service in 0..mesh.services.len() {
            for target in 0..mesh.services[service].targets {
                mesh.add_node(service, target);
            }
        }
        mesh.connect_peers();
        for node in 0..mesh.nodes.len() {
            mesh.announce(node, false);
        }
        mesh.schedule(time::NodeTime::START, MeshEvent::Arrival);
        if let (Fault::ColdHalf, from, _) = mesh.plan.fault {
            for node in mesh.deep_nodes().step_by(2) {
                mesh.schedule(seconds(from), MeshEvent::Crash(node));
            }
        }
        if let Some(at) = mesh.plan.restart_at {
            mesh.schedule(seconds(at), MeshEvent::RestartNodes);
        }
        if mesh.plan.side_rate > 0.0 {
            mesh.schedule(time::NodeTime::START, MeshEvent::SideArrival);
        }
        mesh
    }

    /// Runs the simulation until the plan's end.
    pub(crate) fn run(mut self) -> Self {
        let end = seconds(self.plan.until);
        while let Some(((at, _), mesh_event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(mesh_event);
        }
        self
    }

    /// Schedules a request that crashes each target of the deepest service that runs it.
    pub(crate) fn poison(&mut self, at: f64) {
        let root = self.add_root("poison", context::PriorityClass::Normal, at);
        self.schedule(seconds(at), MeshEvent::SendRoot(root));
    }

    /// The diagnostic dump of each node.
    pub(crate) fn dumps(&mut self) -> Vec<String> {
        let request = event::NodeEvent::OperatorRequestArrived {
            handle: event::OperatorHandle(0),
            request: event::OperatorRequest::Dump,
        };
        let now = self.now;
        let answer = |node: &mut Node| {
            let effects = node.reducer.step(now, request.clone());
            effects.into_iter().find_map(|effect| match effect {
                effect::NodeEffect::AnswerOperator { answer, .. } => {
                    answer.ok().map(answer::OperatorAnswer::text)
                }
                _ => None,
            })
        };
        self.nodes.iter_mut().filter_map(answer).collect()
    }

    fn add_node(&mut self, service: usize, target: usize) {
        let reducer = self.new_reducer(self.nodes.len());
        let pace = self.services[service].paces.get(target);
        self.nodes.push(Node {
            reducer,
            service,
            active: BTreeMap::new(),
            down: false,
            pace: pace.copied().unwrap_or(1.0),
            restarted_at: -COLD_START.0,
            wake: None,
        });
    }

    fn new_reducer(&self, index: usize) -> reducer::NodeReducer {
        let config = config::NodeConfig {
            node: ident::NodeId(index as u64 + 1),
            zone: zone(index),
            region: name::RegionName::new("ar-centro").unwrap(),
            peer_address: address(index),
            gossip_address: address(index),
            seeds: Vec::new(),
        };
        let seed = self.plan.seed * 1_000 + index as u64;
        let mut reducer = reducer::NodeReducer::with_policy(config, seed, self.plan.policy);
        let document = parse::parse_rules("rules.yaml", self.plan.rules).unwrap();
        reducer.adopt_rules(ident::RuleRevision(1), document);
        reducer
    }

    /// The nodes of the deepest service.
    fn deep_nodes(&self) -> std::ops::Range<usize> {
        let deepest = self.services.len() - 1;
        let first = self.nodes.iter().position(|node| node.service == deepest);
        first.unwrap()..self.nodes.len()
    }

    /// Replaces all nodes by new ones. Frames on the way and connections to targets and callers
    /// are lost with them; callers whose request was open get no reply.
    fn restart_nodes(&mut self) {
        let survives = |event: &MeshEvent| {
            matches!(
                event,
                MeshEvent::Arrival
                    | MeshEvent::SideArrival
                    | MeshEvent::SendRoot(_)
                    | MeshEvent::Crash(_)
                    | MeshEvent::Restart(_)
            )
        };
        self.queue.retain(|_, event| survives(event));
        self.waiting.clear();
        for index in 0..self.nodes.len() {
            let reducer = self.new_reducer(index);
            let node = &mut self.nodes[index];
            node.reducer = reducer;
            node.active.clear();
            node.wake = None;
        }
        self.connect_peers();
        for node in 0..self.nodes.len() {
            self.announce(node, true);
        }
    }

    fn connect_peers(&mut self) {
        for other in 0..self.nodes.len() {
            let service = &self.services[self.nodes[other].service];
            let record = directory::PeerRecord {
                address: address(other),
                service: name::ServiceName::new(service.name).unwrap(),
                zone: zone(other),
                slots: service.slots,
                leaving: false,
                announced: 0,
            };
            let id = ident::NodeId(other as u64 + 1);
            for node in &mut self.nodes {
                node.reducer.add_peer(self.now, id, record.clone());
            }
        }
    }

    fn announce(&mut self, node: usize, warm: bool) {
        let service = &self.services[self.nodes[node].service];
        let announcement = event::TargetAnnouncement {
            service: name::ServiceName::new(service.name).unwrap(),
            address: address(node + 1_000),
            slots: service.slots,
            connections: 350,
            lease: Duration::from_secs(1_000),
            warm,
            incarnation: None,
        };
        self.step(node, event::NodeEvent::TargetAnnounced(announcement));
    }

    fn schedule(&mut self, at: time::NodeTime, mesh_event: MeshEvent) {
        self.last_sequence += 1;
        self.queue.insert((at, self.last_sequence), mesh_event);
    }

    fn handle(&mut self, mesh_event: MeshEvent) {
        match mesh_event {
            MeshEvent::Arrival => self.arrive(),
            MeshEvent::SideArrival => self.arrive_side(),
            MeshEvent::SendRoot(root) => self.send_root(root),
            MeshEvent::Step(node, event) => self.step(node, event),
            MeshEvent::Wake(node) => {
                self.nodes[node].wake = None;
                self.step(node, event::NodeEvent::TimerFired);
            }
            MeshEvent::WorkDone(node, run) => self.advance(node, run),
            MeshEvent::Crash(node) => self.crash(node),
            MeshEvent::Restart(node) => {
                self.nodes[node].restarted_at = self.seconds();
                self.nodes[node].down = false;
                self.announce(node, false);
            }
            MeshEvent::RestartNodes => self.restart_nodes(),
        }
    }

    fn arrive(&mut self) {
        let at = self.now.since(time::NodeTime::START).as_secs_f64();
        let current = self.plan.rates.iter().rev().find(|(from, _)| *from <= at);
        let rate = current.unwrap().1;
        let drawn = self.rng.next_u64() % 100;
        let mut sum = 0;
        let kind = self.plan.kinds.iter().find(|(_, share, _)| {
            sum += share;
            drawn < sum
        });
        let (kind, _, class) = *kind.unwrap();
        let root = self.add_root(kind, class, at);
        self.send_root(root);
        self.schedule_arrival(rate, MeshEvent::Arrival);
    }

    fn arrive_side(&mut self) {
        let at = self.now.since(time::NodeTime::START).as_secs_f64();
        let root = self.add_root("search", context::PriorityClass::Normal, at);
        self.send_root(root);
        self.schedule_arrival(self.plan.side_rate, MeshEvent::SideArrival);
    }

    /// Schedules the next arrival after an interval drawn evenly between zero and twice the mean.
    fn schedule_arrival(&mut self, rate: f64, mesh_event: MeshEvent) {
        let spread = f64::from(self.rng.next_u32()) / f64::from(u32::MAX) * 2.0;
        let next = self.now + Duration::from_secs_f64(spread / rate);
        self.schedule(next, mesh_event);
    }

    fn add_root(&mut self, kind: &'static str, class: context::PriorityClass, at: f64) -> usize {
        self.roots.push(Root {
            kind,
            class,
            arrived: at,
            answered_at: None,
            ended: None,
            verdict: None,
            retry_after: None,
            copies: 0,
            runs: 0,
            scarce_runs: 0,
        });
        self.roots.len() - 1
    }

    fn send_root(&mut self, root: usize) {
        self.roots[root].copies += 1;
        let nodes = self.nodes.len() as u64;
        let node = usize::try_from(self.rng.next_u64() % nodes).unwrap();
        let hints = event::CallerHints {
            request: Some(ident::RequestId(root as u128 + 1)),
            timeout: Some(self.plan.client_timeout),
            ..event::CallerHints::default()
        };
        let service = self.services[0].name;
        let handle = self.call(node, service, hints, CallOrigin::Root(root));
        if let Some(after) = self.plan.disconnect_after {
            let disconnected = event::NodeEvent::CallerDisconnected { handle };
            self.schedule(self.now + after, MeshEvent::Step(node, disconnected));
        }
    }

    fn call(
        &mut self,
        node: usize,
        service: &str,
        hints: event::CallerHints,
        origin: CallOrigin,
    ) -> event::CallerHandle {
        let root = match origin {
            CallOrigin::Root(root) | CallOrigin::Child { root, .. } => root,
        };
        let kind = self.roots[root].kind;
        self.last_sequence += 1;
        let handle = self.last_sequence;
        self.waiting.insert(handle, origin);
        let request = call::CallRequest {
            service: name::ServiceName::new(service).unwrap(),
            method: "GET".to_owned(),
            path: format!("/{kind}/{root}"),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let event = event::NodeEvent::CallArrived {
            handle: event::CallerHandle(handle),
            request: Box::new(request),
            hints,
        };
        self.step(node, event);
        event::CallerHandle(handle)
    }

    fn step(&mut self, node: usize, event: event::NodeEvent) {
        let effects = self.nodes[node].reducer.step(self.now, event);
        for effect in effects {
            self.carry_out(node, effect);
        }
        let next = self.nodes[node].reducer.next_wake();
        let Some(next) = next else {
            return;
        };
        let next = next.max(self.now + Duration::from_micros(1));
        if self.nodes[node].wake.is_none_or(|wake| next < wake) {
            self.nodes[node].wake = Some(next);
            self.schedule(next, MeshEvent::Wake(node));
        }
    }

    fn carry_out(&mut self, node: usize, effect: effect::NodeEffect) {
        match effect {
            effect::NodeEffect::SendFrame { peer, frame, .. } => self.deliver(node, peer, frame),
            effect::NodeEffect::RunTarget(order) => self.start(node, &order),
            effect::NodeEffect::CancelRun(run) => {
                self.end_active(node, run, event::RunOutcome::Cancelled);
            }
            effect::NodeEffect::ProbeTarget(address) => {
                let accepted = !self.nodes[node].down;
                let probed = event::NodeEvent::TargetProbed { address, accepted };
                self.schedule(self.now, MeshEvent::Step(node, probed));
            }
            effect::NodeEffect::ReplyCaller { handle, reply } => self.replied(handle.0, &reply),
            _ => {}
        }
    }

    fn deliver(&mut self, from: usize, to: ident::NodeId, frame: frame::PeerFrame) {
        let peer = ident::NodeId(from as u64 + 1);
        let event = event::NodeEvent::FrameArrived { peer, frame };
        let to = usize::try_from(to.0 - 1).unwrap();
        let hop = if zone(from) == zone(to) {
            SAME_ZONE_HOP
        } else {
            CROSS_ZONE_HOP
        };
        self.schedule(self.now + hop, MeshEvent::Step(to, event));
    }

    fn start(&mut self, node: usize, order: &effect::RunOrder) {
        if self.nodes[node].down {
            self.end_run(node, order.run, event::RunOutcome::Unreachable);
            return;
        }
        if self.has_fault(node, Fault::HalfRefusing) && self.rng.next_u32().is_multiple_of(2) {
            self.end_run(node, order.run, event::RunOutcome::Refused);
            return;
        }
        let root = usize::try_from(order.root.0 - 1).unwrap();
        let service = self.nodes[node].service;
        self.roots[root].runs += 1;
        self.roots[root].scarce_runs += u32::from(service + 1 == self.services.len());
        let run = ActiveRun {
            service,
            kind: self.roots[root].kind,
            root,
            next_call: 0,
        };
        self.nodes[node].active.insert(order.run, run);
        if self.has_fault(node, Fault::OneFailing) {
            self.end_active(node, order.run, answer(500));
            return;
        }
        let at = self.seconds();
        let name = self.services[service].name;
        let mut slow = self.plan.slow.iter().rev();
        let factor = slow.find(|(from, slowed, _)| *from <= at && *slowed == name);
        let work = self.services[service].work;
        let work = work.mul_f64(factor.map_or(1.0, |(_, _, factor)| *factor));
        let work = work.mul_f64(self.slowdown(node) * self.nodes[node].pace);
        self.schedule(self.now + work, MeshEvent::WorkDone(node, order.run));
    }

    fn advance(&mut self, node: usize, id: event::RunId) {
        let Some(run) = self.nodes[node].active.get_mut(&id) else {
            return;
        };
        let service = &self.services[run.service];
        let breaks = service.calls.is_empty() && self.plan.fault.0 == Fault::Breaking;
        if run.kind == "poison" && service.calls.is_empty() {
            self.crash(node);
            return;
        }
        if breaks && self.has_fault(node, Fault::Breaking) && self.rng.next_u32() % 10 < 3 {
            self.end_active(node, id, event::RunOutcome::Broken { in_answer: true });
            return;
        }
        let Some(run) = self.nodes[node].active.get_mut(&id) else {
            return;
        };
        let service = &self.services[run.service];
        let calls = service.calls.iter().find(|(kind, _)| *kind == run.kind);
        let next = calls.and_then(|(_, calls)| calls.get(run.next_call).copied());
        let Some(next) = next else {
            self.finished += u32::from(self.deep_nodes().contains(&node));
            let failing = self.has_fault(node, Fault::AllFailing);
            self.end_active(node, id, answer(if failing { 500 } else { 200 }));
            return;
        };
        run.next_call += 1;
        let root = run.root;
        let hints = event::CallerHints {
            parent: Some(event::ParentToken(id)),
            ..event::CallerHints::default()
        };
        let run = id;
        self.call(node, next, hints, CallOrigin::Child { node, run, root });
    }

    fn seconds(&self) -> f64 {
        self.now.since(time::NodeTime::START).as_secs_f64()
    }

    /// Whether `fault` is active and applies to `node`.
    fn has_fault(&self, node: usize, fault: Fault) -> bool {
        let (planned, from, to) = self.plan.fault;
        let is_single = matches!(fault, Fault::OneSlow | Fault::OneFailing);
        let applies = if is_single {
            node == self.deep_nodes().start
        } else {
            self.deep_nodes().contains(&node)
        };
        planned == fault && applies && (from..to).contains(&self.seconds())
    }

    fn slowdown(&self, node: usize) -> f64 {
        let is_cold = self.seconds() - self.nodes[node].restarted_at < COLD_START.0;
        let slow = if self.has_fault(node, Fault::OneSlow) {
            10.0
        } else {
            1.0
        };
        if is_cold { COLD_START.1 } else { slow }
    }

    fn crash(&mut self, node: usize) {
        self.crashes += 1;
        self.nodes[node].down = true;
        self.schedule(self.now + RESTART_TIME, MeshEvent::Restart(node));
        for (run, _) in std::mem::take(&mut self.nodes[node].active) {
            self.end_run(node, run, event::RunOutcome::Broken { in_answer: false });
        }
    }

    fn end_active(&mut self, node: usize, run: event::RunId, outcome: event::RunOutcome) {
        if self.nodes[node].active.remove(&run).is_some() {
            self.end_run(node, run, outcome);
        }
    }

    fn end_run(&mut self, node: usize, run: event::RunId, outcome: event::RunOutcome) {
        let event = event::NodeEvent::RunEnded {
            run,
            outcome,
            statement: None,
            exchange: None,
        };
        self.schedule(self.now, MeshEvent::Step(node, event));
    }

    fn replied(&mut self, handle: u64, reply: &effect::CallerReply) {
        let succeeded = reply
            .answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200);
        match self.waiting.remove(&handle) {
            Some(CallOrigin::Root(root)) => self.root_ended(root, reply, succeeded),
            Some(CallOrigin::Child { node, run, .. }) if succeeded => {
                self.schedule(self.now, MeshEvent::WorkDone(node, run));
            }
            Some(CallOrigin::Child { node, run, .. }) => {
                self.end_active(node, run, answer(503));
            }
            None => panic!("a second reply to one caller"),
        }
    }

    fn root_ended(&mut self, root: usize, reply: &effect::CallerReply, succeeded: bool) {
        let at = self.now.since(time::NodeTime::START).as_secs_f64();
        let entry = &mut self.roots[root];
        entry.ended = Some(at);
        entry.verdict = Some(reply.verdict);
        entry.retry_after = reply.retry_after;
        if succeeded {
            entry.answered_at = entry.answered_at.or(Some(at));
        } else if entry.copies <= self.plan.resends {
            let at = self.now + Duration::from_millis(100);
            self.schedule(at, MeshEvent::SendRoot(root));
        }
    }
}

fn answer(status: u16) -> event::RunOutcome {
    event::RunOutcome::Answered(call::CallAnswer {
        status,
        headers: Vec::new(),
        body: Bytes::new(),
    })
}
