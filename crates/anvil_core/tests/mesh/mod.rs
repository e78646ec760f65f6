//! A few reducers joined by a queue of events with fixed delays, so that decisions made apart can
//! be tested together in injected time. It knows no sockets, losses or clocks.

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

pub(crate) use measure::Root;
pub(crate) use plan::{Fault, KINDS, Plan, RULES, SATURATION, Service, claims_mesh};

/// One way between two nodes of two availability zones, as in the users' meshes, and of one.
const FAR_HOP: Duration = Duration::from_micros(1_500);
const NEAR_HOP: Duration = Duration::from_micros(200);
/// How long a crashed target takes to come back.
const RESTART: Duration = Duration::from_secs(1);

/// How long a target that came back works slowly, and by how much.
const COLD: (f64, f64) = (2.0, 4.0);
/// Nodes of the deep service.
pub(crate) const DEEP: std::ops::Range<usize> = 12..16;

enum Waiting {
    Root(usize),
    Child {
        node: usize,
        run: event::RunId,
        root: usize,
    },
}

enum Happening {
    Arrival,
    SideArrival,
    Copy(usize),
    Step(usize, event::NodeEvent),
    Wake(usize),
    Worked(usize, event::RunId),
    Restart(usize),
    Crash(usize),
}

struct ActiveRun {
    service: usize,
    kind: &'static str,
    root: usize,
    next: usize,
}

struct Node {
    reducer: reducer::NodeReducer,
    service: usize,
    active: BTreeMap<event::RunId, ActiveRun>,
    down: bool,
    since: f64,
    wake: Option<time::NodeTime>,
}

pub(crate) struct Mesh {
    plan: Plan,
    services: Vec<Service>,
    nodes: Vec<Node>,
    queue: BTreeMap<(time::NodeTime, u64), Happening>,
    now: time::NodeTime,
    counted: u64,
    waiting: BTreeMap<u64, Waiting>,
    rng: rand_pcg::Pcg64Mcg,
    pub(crate) roots: Vec<Root>,
    pub(crate) crashes: u32,
    /// Runs that targets of the deep service brought to their end.
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
            counted: 0,
            waiting: BTreeMap::new(),
            roots: Vec::new(),
            crashes: 0,
            finished: 0,
        };
        for service in 0..mesh.services.len() {
            for _ in 0..mesh.services[service].targets {
                mesh.add_node(service);
            }
        }
        mesh.introduce();
        for node in 0..mesh.nodes.len() {
            mesh.announce(node);
        }
        mesh.schedule(time::NodeTime::START, Happening::Arrival);
        if let (Fault::ColdHalf, from, _) = mesh.plan.fault {
            for node in DEEP.step_by(2) {
                mesh.schedule(seconds(from), Happening::Crash(node));
            }
        }
        if mesh.plan.side_rate > 0.0 {
            mesh.schedule(time::NodeTime::START, Happening::SideArrival);
        }
        mesh
    }

    /// Runs the plan to its end.
    pub(crate) fn run(mut self) -> Self {
        let end = seconds(self.plan.until);
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(happening);
        }
        self
    }

    /// Has a caller send a request that crashes whichever target of the deep service runs it.
    pub(crate) fn poison(&mut self, at: f64) {
        let root = self.add_root("poison", context::PriorityClass::Normal, at);
        self.schedule(seconds(at), Happening::Copy(root));
    }

    /// The dump of each node.
    pub(crate) fn dumps(&mut self) -> Vec<String> {
        let ask = event::NodeEvent::OperatorRequestArrived {
            handle: event::OperatorHandle(0),
            request: event::OperatorRequest::Dump,
        };
        let now = self.now;
        let answer = |node: &mut Node| {
            let effects = node.reducer.step(now, ask.clone());
            effects.into_iter().find_map(|effect| match effect {
                effect::NodeEffect::AnswerOperator { answer, .. } => {
                    answer.ok().map(answer::OperatorAnswer::text)
                }
                _ => None,
            })
        };
        self.nodes.iter_mut().filter_map(answer).collect()
    }

    fn add_node(&mut self, service: usize) {
        let index = self.nodes.len();
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
        let document = parse::parse_rules("rules.yaml", RULES).unwrap();
        reducer.adopt_rules(ident::RuleRevision(1), document);
        self.nodes.push(Node {
            reducer,
            service,
            active: BTreeMap::new(),
            down: false,
            since: -COLD.0,
            wake: None,
        });
    }

    fn introduce(&mut self) {
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

    fn announce(&mut self, node: usize) {
        let service = &self.services[self.nodes[node].service];
        let announcement = event::TargetAnnouncement {
            service: name::ServiceName::new(service.name).unwrap(),
            address: address(node + 1_000),
            slots: service.slots,
            connections: 350,
            lease: Duration::from_secs(1_000),
            warm: false,
            incarnation: None,
        };
        self.step(node, event::NodeEvent::TargetAnnounced(announcement));
    }

    fn schedule(&mut self, at: time::NodeTime, happening: Happening) {
        self.counted += 1;
        self.queue.insert((at, self.counted), happening);
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival => self.arrive(),
            Happening::SideArrival => self.arrive_beside(),
            Happening::Copy(root) => self.send_root(root),
            Happening::Step(node, event) => self.step(node, event),
            Happening::Wake(node) => {
                self.nodes[node].wake = None;
                self.step(node, event::NodeEvent::TimerFired);
            }
            Happening::Worked(node, run) => self.advance(node, run),
            Happening::Crash(node) => self.crash(node),
            Happening::Restart(node) => {
                self.nodes[node].since = self.seconds();
                self.nodes[node].down = false;
                self.announce(node);
            }
        }
    }

    fn arrive(&mut self) {
        let at = self.now.since(time::NodeTime::START).as_secs_f64();
        let passed = self.plan.rates.iter().rev().find(|(from, _)| *from <= at);
        let rate = passed.unwrap().1;
        let draw = self.rng.next_u64() % 100;
        let mut sum = 0;
        let kind = KINDS.iter().find(|(_, share, _)| {
            sum += share;
            draw < sum
        });
        let (kind, _, class) = *kind.unwrap();
        let root = self.add_root(kind, class, at);
        self.send_root(root);
        self.schedule_arrival(rate, Happening::Arrival);
    }

    fn arrive_beside(&mut self) {
        let at = self.now.since(time::NodeTime::START).as_secs_f64();
        let root = self.add_root("search", context::PriorityClass::Normal, at);
        self.send_root(root);
        self.schedule_arrival(self.plan.side_rate, Happening::SideArrival);
    }

    /// Schedules the next arrival after a pause between nothing and twice the mean.
    fn schedule_arrival(&mut self, rate: f64, happening: Happening) {
        let spread = f64::from(self.rng.next_u32()) / f64::from(u32::MAX) * 2.0;
        let next = self.now + Duration::from_secs_f64(spread / rate);
        self.schedule(next, happening);
    }

    fn add_root(&mut self, kind: &'static str, class: context::PriorityClass, at: f64) -> usize {
        self.roots.push(Root {
            kind,
            class,
            arrived: at,
            whole: None,
            ended: None,
            verdict: None,
            retry_after: None,
            copies: 0,
            runs: 0,
        });
        self.roots.len() - 1
    }

    fn send_root(&mut self, root: usize) {
        self.roots[root].copies += 1;
        let nodes = self.nodes.len() as u64;
        let node = usize::try_from(self.rng.next_u64() % nodes).unwrap();
        let hints = event::CallerHints {
            request: Some(ident::RequestId(root as u128 + 1)),
            timeout: Some(self.plan.patience),
            ..event::CallerHints::default()
        };
        let service = self.services[0].name;
        let handle = self.call(node, service, hints, Waiting::Root(root));
        if let Some(after) = self.plan.gone_after {
            let gone = event::NodeEvent::CallerDisconnected { handle };
            self.schedule(self.now + after, Happening::Step(node, gone));
        }
    }

    fn call(
        &mut self,
        node: usize,
        service: &str,
        hints: event::CallerHints,
        waiting: Waiting,
    ) -> event::CallerHandle {
        let root = match waiting {
            Waiting::Root(root) | Waiting::Child { root, .. } => root,
        };
        let kind = self.roots[root].kind;
        self.counted += 1;
        let handle = self.counted;
        self.waiting.insert(handle, waiting);
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
            self.schedule(next, Happening::Wake(node));
        }
    }

    fn carry_out(&mut self, node: usize, effect: effect::NodeEffect) {
        match effect {
            effect::NodeEffect::SendFrame { peer, frame, .. } => self.deliver(node, peer, frame),
            effect::NodeEffect::RunTarget(order) => self.start(node, &order),
            effect::NodeEffect::CancelRun(run) => {
                self.end_active(node, run, event::RunOutcome::Cancelled);
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
            NEAR_HOP
        } else {
            FAR_HOP
        };
        self.schedule(self.now + hop, Happening::Step(to, event));
    }

    fn start(&mut self, node: usize, order: &effect::RunOrder) {
        if self.nodes[node].down {
            self.end_run(node, order.run, event::RunOutcome::Unreachable);
            return;
        }
        let root = usize::try_from(order.root.0 - 1).unwrap();
        self.roots[root].runs += 1;
        let service = self.nodes[node].service;
        let run = ActiveRun {
            service,
            kind: self.roots[root].kind,
            root,
            next: 0,
        };
        self.nodes[node].active.insert(order.run, run);
        if self.suffers(node, Fault::OneFailing) {
            self.end_active(node, order.run, answer(500));
            return;
        }
        let at = self.seconds();
        let name = self.services[service].name;
        let mut slow = self.plan.slow.iter().rev();
        let factor = slow.find(|(from, slowed, _)| *from <= at && *slowed == name);
        let work = self.services[service].work;
        let work = work.mul_f64(factor.map_or(1.0, |(_, _, factor)| *factor));
        let work = work.mul_f64(self.sluggishness(node));
        self.schedule(self.now + work, Happening::Worked(node, order.run));
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
        if breaks && self.suffers(node, Fault::Breaking) && self.rng.next_u32() % 10 < 3 {
            self.end_active(node, id, event::RunOutcome::Broken { in_answer: true });
            return;
        }
        let Some(run) = self.nodes[node].active.get_mut(&id) else {
            return;
        };
        let service = &self.services[run.service];
        let calls = service.calls.iter().find(|(kind, _)| *kind == run.kind);
        let next = calls.and_then(|(_, calls)| calls.get(run.next).copied());
        let Some(next) = next else {
            self.finished += u32::from(DEEP.contains(&node));
            let failing = self.suffers(node, Fault::AllFailing);
            self.end_active(node, id, answer(if failing { 500 } else { 200 }));
            return;
        };
        run.next += 1;
        let root = run.root;
        let hints = event::CallerHints {
            parent: Some(event::ParentToken(id)),
            ..event::CallerHints::default()
        };
        let run = id;
        self.call(node, next, hints, Waiting::Child { node, run, root });
    }

    fn seconds(&self) -> f64 {
        self.now.since(time::NodeTime::START).as_secs_f64()
    }

    /// Whether `fault` is on and meant for `node`.
    fn suffers(&self, node: usize, fault: Fault) -> bool {
        let (planned, from, to) = self.plan.fault;
        let one = matches!(fault, Fault::OneSlow | Fault::OneFailing);
        let meant = if one {
            node == DEEP.start
        } else {
            DEEP.contains(&node)
        };
        planned == fault && meant && (from..to).contains(&self.seconds())
    }

    fn sluggishness(&self, node: usize) -> f64 {
        let cold = self.seconds() - self.nodes[node].since < COLD.0;
        let slow = if self.suffers(node, Fault::OneSlow) {
            10.0
        } else {
            1.0
        };
        if cold { COLD.1 } else { slow }
    }

    fn crash(&mut self, node: usize) {
        self.crashes += 1;
        self.nodes[node].down = true;
        self.schedule(self.now + RESTART, Happening::Restart(node));
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
        let event = event::NodeEvent::RunEnded { run, outcome };
        self.schedule(self.now, Happening::Step(node, event));
    }

    fn replied(&mut self, handle: u64, reply: &effect::CallerReply) {
        let whole = reply
            .answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200);
        match self.waiting.remove(&handle) {
            Some(Waiting::Root(root)) => self.root_ended(root, reply, whole),
            Some(Waiting::Child { node, run, .. }) if whole => {
                self.schedule(self.now, Happening::Worked(node, run));
            }
            Some(Waiting::Child { node, run, .. }) => {
                self.end_active(node, run, answer(503));
            }
            None => panic!("a second reply to one caller"),
        }
    }

    fn root_ended(&mut self, root: usize, reply: &effect::CallerReply, whole: bool) {
        let at = self.now.since(time::NodeTime::START).as_secs_f64();
        let entry = &mut self.roots[root];
        entry.ended = Some(at);
        entry.verdict = Some(reply.verdict);
        entry.retry_after = reply.retry_after;
        if whole {
            entry.whole = entry.whole.or(Some(at));
        } else if entry.copies <= self.plan.resends {
            let at = self.now + Duration::from_millis(100);
            self.schedule(at, Happening::Copy(root));
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
