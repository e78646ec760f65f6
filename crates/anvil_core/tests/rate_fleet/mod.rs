//! A simulated fleet whose targets name rates, leave and crash, in injected time.
//!
//! Each node has a target beside it. Nodes find each other by gossip, restart while their targets
//! keep running, and get requests of their own callers. The targets record what reaches them.

#![allow(dead_code, clippy::unwrap_used)]

#[path = "../variant/mod.rs"]
mod variant;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::{config, effect, event, reducer};
use anvil_overload::policy;
use anvil_rules::parse;
use anvil_standins::store::fake;
use anvil_types::{ident, name, store, time, verdict};
use anvil_wire::{call, frame};
use bytes::Bytes;
use rand_core::{Rng, SeedableRng};

/// One-way latency between two nodes.
const HOP: Duration = Duration::from_millis(1);

/// Interval of a target's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Time between the end of a node process and the start of its successor.
const DOWN_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which the store answers watches.
const STORE_TICK: Duration = Duration::from_millis(100);

/// When requests begin, after the nodes have found each other.
const TRAFFIC_START: Duration = Duration::from_secs(3);

/// Window over which the rate of a target is judged.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from the first naming of a rate until it binds.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Age from which a node that passed on a statement is bound by it.
const NOTICE_AGE: Duration = Duration::from_millis(500);

/// Time within which requests for a leaving target end.
const DRAIN: Duration = Duration::from_millis(2_000);

/// How long a target runs a poisonous request before it crashes, and how long it is down then.
const POISON_WORK: Duration = Duration::from_millis(5);
const CRASH_TIME: Duration = Duration::from_secs(2);

/// A request may reach targets so often later than [`STABILITY_WINDOW`] after it has crashed the
/// third one.
const MAX_LATE_POISON: usize = 3;

const RULES: &str = "rules:
  - {name: first, when: {path: '/poison/1'}, then: {idempotent: true, retries: 3, attempts: 3, objective: 1500ms, deadline: 5s}}
  - {name: split, when: {path: '/poison/2'}, then: {idempotent: false, objective: 1500ms, deadline: 5s, send-to: [{service: catalogue, weight: 50}, {service: awards, weight: 50}]}}
  - {name: moved, when: {path: '/poison/3'}, then: {idempotent: false, objective: 1500ms, deadline: 5s, send-to: catalogue}}
  - {name: bid, when: {path: '/bid/**'}, then: {class: critical, idempotent: false, retries: 3, attempts: 3, objective: 1500ms, deadline: 5s, queue-wait: 2500ms}}
  - {name: browse, when: {}, then: {class: normal, idempotent: true, retries: 3, attempts: 3, objective: 1500ms, deadline: 5s, queue-wait: 2500ms}}
";

/// What a target does from a point in time on.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// It names this rate in each answer; none ends that.
    Name(Option<f64>),
    /// It names something that is not a rate.
    Garble,
    /// It says in each answer that it leaves.
    Leave,
    /// It ends, and another incarnation takes its address.
    Replace,
    /// Its node process is killed; another one starts after [`DOWN_TIME`].
    KillNode,
    /// Its node's process gets no processor time for so long.
    Freeze(Duration),
    /// Frames from and to its node are lost from now on, or no longer.
    LoseFrames(bool),
    /// All nodes adopt rules that send the third poisonous request to the second service.
    MoveRoute,
    /// All nodes are killed at once.
    KillAll,
}

/// A request that crashes its targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoisonPlan {
    pub(crate) path: &'static str,
    /// The pause between two copies.
    pub(crate) gap: Duration,
    /// When it is sent first, in seconds after the start of traffic.
    pub(crate) first: f64,
}

/// The size of a fleet and its load.
#[derive(Clone, Debug)]
pub(crate) struct FleetPlan {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    /// Number of nodes, from the first, whose targets offer the service; the others only have
    /// callers.
    pub(crate) targets: usize,
    /// Requests a second of all callers.
    pub(crate) demand: f64,
    /// How long a run takes.
    pub(crate) work: Duration,
    pub(crate) seconds: u64,
    pub(crate) policy: policy::OverloadPolicy,
    /// A request that crashes each target that runs it, sent again and again at random nodes.
    pub(crate) poison: Option<PoisonPlan>,
    /// Whether all callers send the same request.
    pub(crate) common_path: bool,
    /// Whether there is a store, which outlasts all nodes.
    pub(crate) store: bool,
    /// Whether the targets at odd nodes offer a second service.
    pub(crate) second_service: bool,
    /// Times in seconds after the start of traffic, each with a node and what happens there.
    pub(crate) script: Vec<(f64, usize, Script)>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 12,
            targets: 3,
            demand: 60.0,
            work: Duration::from_millis(120),
            seconds: 14,
            policy: policy::OverloadPolicy {
                adaptive_limit: false,
                ..variant::POLICY
            },
            poison: None,
            common_path: false,
            store: false,
            second_service: false,
            script: Vec::new(),
        }
    }
}

/// A request as a target saw it.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: time::NodeTime,
    /// Whether its entry node was bound by the target's rate.
    bound: bool,
}

#[derive(Debug)]
struct SimTarget {
    incarnation: u32,
    sequence: u64,
    /// The rates that it named, with the time from which each holds.
    named: Vec<(time::NodeTime, Option<f64>)>,
    garbles: bool,
    leaving: bool,
    arrivals: Vec<Arrival>,
    /// Runs handed over by the present process of the node.
    runs: Vec<event::RunId>,
}

/// What a node has passed on to its callers about one incarnation of a target.
#[derive(Clone, Copy, Debug)]
struct PassedOn {
    target: usize,
    incarnation: u32,
    rate_at: Option<time::NodeTime>,
    leaving_at: Option<time::NodeTime>,
}

struct SimNode {
    reducer: Option<reducer::NodeReducer>,
    id: ident::NodeId,
    generation: u64,
    wake: Option<time::NodeTime>,
    frozen_until: time::NodeTime,
    loses_frames: bool,
    target: Option<SimTarget>,
    passed_on: Vec<PassedOn>,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
struct Sent {
    entry: usize,
    generation: u64,
    at: time::NodeTime,
    runs: u32,
    repeatable: bool,
    replied: Option<(time::NodeTime, verdict::CallVerdict, bool)>,
}

enum SimEvent {
    Step(usize, u64, event::NodeEvent),
    Wake(usize, u64),
    Heartbeat(usize),
    Request,
    Script(usize, Script),
    Start(usize),
    RunDone(usize, u64, u32, event::RunId),
    Poison,
    AskStore(usize, u64, store::StoreId, store::StoreRequest),
    WatchStore,
    Crash(usize, u32),
    Recover(usize, u32),
}

/// What callers and targets saw.
#[derive(Debug, Default)]
pub(crate) struct FleetReport {
    /// Broken promises, in words.
    pub(crate) violations: Vec<String>,
    /// Requests of callers after the first naming or leaving.
    pub(crate) requests: usize,
    /// Those of them that were answered within their objective.
    pub(crate) in_time: usize,
    /// Those that were refused.
    pub(crate) refused: usize,
    /// Requests that reached each target in the last four seconds.
    pub(crate) last_arrivals: Vec<usize>,
    /// Calls that nodes refused because of a named rate.
    pub(crate) rate_refusals: u64,
    /// When the poisonous request reached a target, in seconds after the start of traffic.
    pub(crate) poisoned: Vec<f64>,
}

impl FleetReport {
    pub(crate) fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

pub(crate) struct RateFleet {
    plan: FleetPlan,
    nodes: Vec<SimNode>,
    queue: BTreeMap<(time::NodeTime, u64), SimEvent>,
    sequence: u64,
    now: time::NodeTime,
    rng: rand_pcg::Pcg64Mcg,
    sent: Vec<Sent>,
    violations: Vec<String>,
    rate_refusals: u64,
    poisoned: Vec<time::NodeTime>,
    crashes: Vec<time::NodeTime>,
    revision: u64,
    store: fake::FakeStore<(usize, u64, store::StoreId)>,
}

/// Puts a revision of the rules in force; the second one moves a route.
fn adopt_rules(reducer: &mut reducer::NodeReducer, revision: u64) {
    let text = match revision {
        1 => RULES.to_owned(),
        _ => RULES.replace("send-to: catalogue}", "send-to: awards}"),
    };
    let document = parse::parse_rules("rules.yaml", &text).unwrap();
    reducer.adopt_rules(ident::RuleRevision(revision), document);
}

fn address(node: usize) -> SocketAddr {
    let index = u16::try_from(node).unwrap();
    let [high, low] = index.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_260))
}

fn node_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("nodes have IPv4 addresses")
    };
    let [.., high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn service() -> name::ServiceName {
    name::ServiceName::new("catalogue").unwrap()
}

fn incarnation_id(node: usize, incarnation: u32) -> ident::IncarnationId {
    ident::IncarnationId::new(&format!("i-{node}-{incarnation}"))
}

impl RateFleet {
    /// Plays `plan` and returns what callers and targets saw.
    pub(crate) fn play(plan: FleetPlan) -> FleetReport {
        let mut fleet = Self::new(plan);
        let end = fleet.traffic_start() + Duration::from_secs(fleet.plan.seconds);
        while let Some(((at, _), sim_event)) = fleet.queue.pop_first() {
            if at > end {
                break;
            }
            fleet.now = at;
            fleet.handle(sim_event);
        }
        fleet.now = end;
        fleet.report()
    }

    fn new(plan: FleetPlan) -> Self {
        let mut fleet = Self {
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(plan.seed),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            now: time::NodeTime::START,
            sent: Vec::new(),
            violations: Vec::new(),
            rate_refusals: 0,
            poisoned: Vec::new(),
            crashes: Vec::new(),
            revision: 1,
            store: fake::FakeStore::new(plan.seed),
            plan,
        };
        for index in 0..fleet.plan.nodes {
            let has_target = index < fleet.plan.targets;
            fleet.nodes.push(SimNode {
                reducer: None,
                id: ident::NodeId(0),
                generation: 0,
                wake: None,
                frozen_until: time::NodeTime::START,
                loses_frames: false,
                target: has_target.then(|| SimTarget::new(1)),
                passed_on: Vec::new(),
            });
            fleet.schedule(Duration::ZERO, SimEvent::Start(index));
            let spread = Duration::from_millis(fleet.rng.next_u64() % 1_000);
            fleet.schedule(spread, SimEvent::Heartbeat(index));
        }
        if fleet.plan.store {
            fleet.schedule(STORE_TICK, SimEvent::WatchStore);
        }
        fleet.schedule(TRAFFIC_START, SimEvent::Request);
        if let Some(poison) = fleet.plan.poison {
            let first = TRAFFIC_START + Duration::from_secs_f64(poison.first);
            fleet.schedule(first, SimEvent::Poison);
        }
        for (after, node, script) in fleet.plan.script.clone() {
            let after = TRAFFIC_START + Duration::from_secs_f64(after);
            fleet.schedule(after, SimEvent::Script(node, script));
        }
        fleet
    }

    fn traffic_start(&self) -> time::NodeTime {
        time::NodeTime::START + TRAFFIC_START
    }

    fn schedule(&mut self, after: Duration, sim_event: SimEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), sim_event);
    }

    fn handle(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Step(node, generation, event) => {
                if self.nodes[node].generation == generation {
                    self.step(node, event);
                }
            }
            SimEvent::Wake(node, generation) => {
                if self.nodes[node].generation == generation {
                    self.nodes[node].wake = None;
                    self.step(node, event::NodeEvent::TimerFired);
                }
            }
            SimEvent::Heartbeat(node) => self.send_heartbeat(node),
            SimEvent::Request => self.send_request(),
            SimEvent::Script(node, script) => self.follow(node, &script),
            SimEvent::Start(node) => self.start_node(node),
            SimEvent::RunDone(node, generation, incarnation, run) => {
                self.run_done(node, generation, incarnation, run);
            }
            SimEvent::AskStore(node, generation, id, request) => {
                let caller = (node, generation, id);
                if let Some(outcome) = self.store.carry_out(self.now, caller, &request) {
                    self.store_answers(caller, outcome);
                }
            }
            SimEvent::WatchStore => {
                self.schedule(STORE_TICK, SimEvent::WatchStore);
                for (caller, outcome) in self.store.due_watches(self.now) {
                    self.store_answers(caller, outcome);
                }
            }
            SimEvent::Poison => self.send_poison(),
            SimEvent::Crash(node, incarnation) => self.crash_target(node, incarnation),
            SimEvent::Recover(node, incarnation) => {
                self.nodes[node].target = Some(SimTarget::new(incarnation));
                self.announce(node);
            }
        }
    }

    fn store_answers(
        &mut self,
        (node, generation, id): (usize, u64, store::StoreId),
        outcome: store::StoreOutcome,
    ) {
        let answered = event::NodeEvent::StoreAnswered { id, outcome };
        self.schedule(HOP, SimEvent::Step(node, generation, answered));
    }

    fn start_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.generation += 1;
        node.id = ident::NodeId(index as u64 + 1 + node.generation * 100_000);
        let config = config::NodeConfig {
            node: node.id,
            zone: name::ZoneName::new(&format!("zone-{}", index % 3)).unwrap(),
            region: name::RegionName::new("region").unwrap(),
            peer_address: address(index),
            gossip_address: address(index),
            seeds: (0..3)
                .map(address)
                .filter(|seed| *seed != address(index))
                .collect(),
        };
        let seed = self.plan.seed * 1_000_000 + node.id.0;
        let mut reducer = reducer::NodeReducer::with_policy(config, seed, self.plan.policy);
        if self.plan.store {
            reducer = reducer.with_store();
        }
        adopt_rules(&mut reducer, self.revision);
        node.reducer = Some(reducer);
        node.wake = None;
        self.step(index, event::NodeEvent::TimerFired);
    }

    fn service_of(&self, index: usize) -> name::ServiceName {
        if self.plan.second_service && index % 2 == 1 {
            return name::ServiceName::new("awards").unwrap();
        }
        service()
    }

    fn send_heartbeat(&mut self, index: usize) {
        self.schedule(HEARTBEAT, SimEvent::Heartbeat(index));
        self.announce(index);
    }

    fn announce(&mut self, index: usize) {
        let service = self.service_of(index);
        let Some(target) = &mut self.nodes[index].target else {
            return;
        };
        target.sequence += 1;
        let announcement = event::TargetAnnouncement {
            service,
            address: address(index),
            slots: 48,
            connections: 48,
            lease: HEARTBEAT * 3,
            warm: true,
            incarnation: Some(event::TargetIncarnation {
                id: incarnation_id(index, target.incarnation),
                started_at_ms: None,
                sequence: target.sequence,
            }),
        };
        self.step(index, event::NodeEvent::TargetAnnounced(announcement));
    }

    fn send_request(&mut self) {
        let spread = f64::from(self.rng.next_u32()) / f64::from(u32::MAX) * 2.0;
        let gap = Duration::from_secs_f64(spread / self.plan.demand);
        self.schedule(gap, SimEvent::Request);
        let count = self.nodes.len() as u64;
        let entry = usize::try_from(self.rng.next_u64() % count).unwrap();
        let repeatable = !self.rng.next_u64().is_multiple_of(3);
        let number = self.sent.len();
        let path = if repeatable { "browse" } else { "bid" };
        let path = match self.plan.common_path {
            true => "/browse/page".to_owned(),
            false => format!("/{path}/{number}"),
        };
        self.send_to(entry, repeatable, path);
    }

    fn send_poison(&mut self) {
        let Some(poison) = self.plan.poison else {
            return;
        };
        self.schedule(poison.gap, SimEvent::Poison);
        let count = self.nodes.len() as u64;
        let entry = usize::try_from(self.rng.next_u64() % count).unwrap();
        self.send_to(entry, true, poison.path.to_owned());
    }

    fn send_to(&mut self, entry: usize, repeatable: bool, path: String) {
        let number = self.sent.len();
        self.sent.push(Sent {
            entry,
            generation: self.nodes[entry].generation,
            at: self.now,
            runs: 0,
            repeatable,
            replied: None,
        });
        let request = call::CallRequest {
            service: service(),
            method: if repeatable { "GET" } else { "POST" }.to_owned(),
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let hints = event::CallerHints {
            request: Some(ident::RequestId(number as u128 + 1)),
            timeout: Some(Duration::from_secs(5)),
            ..event::CallerHints::default()
        };
        let arrived = event::NodeEvent::CallArrived {
            handle: event::CallerHandle(number as u64),
            request: Box::new(request),
            hints,
        };
        self.step(entry, arrived);
    }

    fn follow(&mut self, index: usize, script: &Script) {
        let now = self.now;
        if let Some(target) = &mut self.nodes[index].target {
            match script {
                Script::Name(rate) => target.named.push((now, *rate)),
                Script::Garble => target.garbles = true,
                Script::Leave => target.leaving = true,
                Script::Replace => {
                    let incarnation = target.incarnation + 1;
                    self.end_runs(index);
                    self.nodes[index].target = Some(SimTarget::new(incarnation));
                }
                Script::KillNode
                | Script::Freeze(_)
                | Script::LoseFrames(_)
                | Script::MoveRoute
                | Script::KillAll => {}
            }
        }
        match script {
            Script::KillNode => self.kill_node(index),
            Script::Freeze(span) => self.nodes[index].frozen_until = now + *span,
            Script::LoseFrames(loses) => self.nodes[index].loses_frames = *loses,
            Script::MoveRoute => {
                self.revision += 1;
                for node in &mut self.nodes {
                    if let Some(reducer) = &mut node.reducer {
                        adopt_rules(reducer, self.revision);
                    }
                }
            }
            Script::KillAll => (0..self.nodes.len()).for_each(|node| self.kill_node(node)),
            _ => {}
        }
    }

    /// Ends a target because of what it runs; another incarnation starts at its address.
    fn crash_target(&mut self, index: usize, incarnation: u32) {
        let target = self.nodes[index].target.as_ref();
        if target.is_none_or(|target| target.incarnation != incarnation) {
            return;
        }
        self.crashes.push(self.now);
        let crashed = self.nodes[index].target.take();
        self.break_runs(index, crashed.map_or_else(Vec::new, |target| target.runs));
        self.schedule(CRASH_TIME, SimEvent::Recover(index, incarnation + 1));
    }

    /// Ends the runs of a target that ends.
    fn end_runs(&mut self, index: usize) {
        let Some(target) = &mut self.nodes[index].target else {
            return;
        };
        let runs = std::mem::take(&mut target.runs);
        self.break_runs(index, runs);
    }

    fn break_runs(&mut self, index: usize, runs: Vec<event::RunId>) {
        for run in runs {
            let outcome = event::RunOutcome::Broken { in_answer: false };
            let ended = event::NodeEvent::RunEnded {
                run,
                outcome,
                statement: None,
                exchange: None,
            };
            self.step(index, ended);
        }
    }

    fn kill_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.reducer.take().is_none() {
            return;
        }
        let lost = node.id;
        node.generation += 1;
        node.passed_on.clear();
        if let Some(target) = &mut node.target {
            target.runs.clear();
        }
        for other in 0..self.nodes.len() {
            let generation = self.nodes[other].generation;
            let ended = event::NodeEvent::ConnectionLost { peer: lost };
            self.schedule(HOP, SimEvent::Step(other, generation, ended));
        }
        self.schedule(DOWN_TIME, SimEvent::Start(index));
    }

    fn step(&mut self, index: usize, event: event::NodeEvent) {
        let node = &mut self.nodes[index];
        if node.frozen_until > self.now {
            let generation = node.generation;
            let left = node.frozen_until.since(self.now) + Duration::from_micros(1);
            self.schedule(left, SimEvent::Step(index, generation, event));
            return;
        }
        let Some(reducer) = &mut node.reducer else {
            return;
        };
        let effects = reducer.step(self.now, event);
        for effect in effects {
            self.carry_out(index, effect);
        }
        let node = &mut self.nodes[index];
        let next = node
            .reducer
            .as_ref()
            .and_then(reducer::NodeReducer::next_wake);
        if let Some(next) = next.map(|next| next.max(self.now + Duration::from_micros(1)))
            && node.wake.is_none_or(|wake| next < wake)
        {
            node.wake = Some(next);
            let (generation, after) = (node.generation, next.since(self.now));
            self.schedule(after, SimEvent::Wake(index, generation));
        }
    }

    fn carry_out(&mut self, index: usize, effect: effect::NodeEffect) {
        match effect {
            effect::NodeEffect::SendFrame {
                peer,
                address,
                frame,
            } => self.deliver(index, peer, node_at(address), frame),
            effect::NodeEffect::SendDatagram { to, message } => {
                let receiver = node_at(to);
                let generation = self.nodes[receiver].generation;
                let arrived = event::NodeEvent::DatagramArrived {
                    from: address(index),
                    message,
                };
                self.schedule(HOP, SimEvent::Step(receiver, generation, arrived));
            }
            effect::NodeEffect::RunTarget(order) => self.start_run(index, &order),
            effect::NodeEffect::ProbeTarget(address) => {
                let accepted = self.nodes[index].target.is_some();
                let generation = self.nodes[index].generation;
                let probed = event::NodeEvent::TargetProbed { address, accepted };
                self.schedule(Duration::ZERO, SimEvent::Step(index, generation, probed));
            }
            effect::NodeEffect::CancelRun(run) => {
                let outcome = event::RunOutcome::Cancelled;
                let ended = event::NodeEvent::RunEnded {
                    run,
                    outcome,
                    statement: None,
                    exchange: None,
                };
                let generation = self.nodes[index].generation;
                if self.forget_run(index, run) {
                    self.schedule(Duration::ZERO, SimEvent::Step(index, generation, ended));
                }
            }
            effect::NodeEffect::SendStoreRequest { id, request } => {
                let generation = self.nodes[index].generation;
                self.schedule(HOP, SimEvent::AskStore(index, generation, id, request));
            }
            effect::NodeEffect::ReplyCaller { handle, reply } => {
                self.replied(index, handle, &reply);
            }
            _ => {}
        }
    }

    fn deliver(&mut self, from: usize, peer: ident::NodeId, to: usize, frame: frame::PeerFrame) {
        if let frame::PeerFrame::Answer(answer) = &frame
            && is_capacity_refusal(answer.verdict)
        {
            self.rate_refusals += 1;
        }
        if self.nodes[from].loses_frames || self.nodes[to].loses_frames {
            return;
        }
        if self.nodes[to].id != peer || self.nodes[to].reducer.is_none() {
            let generation = self.nodes[from].generation;
            let unsent = vec![frame];
            let unreachable = event::NodeEvent::PeerUnreachable { peer, unsent };
            self.schedule(HOP, SimEvent::Step(from, generation, unreachable));
            return;
        }
        let generation = self.nodes[to].generation;
        let peer = self.nodes[from].id;
        let arrived = event::NodeEvent::FrameArrived { peer, frame };
        self.schedule(HOP, SimEvent::Step(to, generation, arrived));
    }

    fn start_run(&mut self, index: usize, order: &effect::RunOrder) {
        let now = self.now;
        let number = usize::try_from(order.root.0 - 1).unwrap();
        let sent = self.sent[number];
        let generation = self.nodes[index].generation;
        let Some(target) = &self.nodes[index].target else {
            let ended = event::NodeEvent::RunEnded {
                run: order.run,
                outcome: event::RunOutcome::Unreachable,
                statement: None,
                exchange: None,
            };
            self.schedule(Duration::ZERO, SimEvent::Step(index, generation, ended));
            return;
        };
        let expected = incarnation_id(index, target.incarnation);
        if order.incarnation.as_ref() != Some(&expected) {
            let holder = Some(expected);
            let outcome = event::RunOutcome::Misdirected { holder };
            let generation = self.nodes[index].generation;
            let ended = event::NodeEvent::RunEnded {
                run: order.run,
                outcome,
                statement: None,
                exchange: None,
            };
            self.schedule(Duration::ZERO, SimEvent::Step(index, generation, ended));
            return;
        }
        self.sent[number].runs += 1;
        if !sent.repeatable && self.sent[number].runs > 1 {
            self.violations.push(format!("bid {number} ran twice"));
        }
        if order.request.path.starts_with("/poison/") {
            let crash = SimEvent::Crash(index, target.incarnation);
            self.poisoned.push(now);
            self.schedule(POISON_WORK, crash);
        }
        let entry = &self.nodes[sent.entry];
        let same_process = entry.generation == sent.generation;
        let target = self.nodes[index].target.as_ref().unwrap();
        let known = entry.passed_on.iter().find(|known| {
            same_process && known.target == index && known.incarnation == target.incarnation
        });
        let bound = known
            .and_then(|known| known.rate_at)
            .is_some_and(|at| now.since(at) >= NOTICE_AGE);
        if let Some(leaving_at) = known.and_then(|known| known.leaving_at)
            && sent.at > leaving_at + DRAIN
        {
            self.violations.push(format!(
                "request {number} of node {} reached target {index} at {:.3} s, {:.3} s after the \
                 node passed on that it leaves",
                sent.entry,
                seconds(now),
                now.since(leaving_at).as_secs_f64(),
            ));
        }
        let generation = self.nodes[index].generation;
        let target = self.nodes[index].target.as_mut().unwrap();
        target.arrivals.push(Arrival { at: now, bound });
        target.runs.push(order.run);
        let incarnation = target.incarnation;
        let done = SimEvent::RunDone(index, generation, incarnation, order.run);
        self.schedule(self.plan.work, done);
    }

    fn forget_run(&mut self, index: usize, run: event::RunId) -> bool {
        let Some(target) = &mut self.nodes[index].target else {
            return false;
        };
        let before = target.runs.len();
        target.runs.retain(|other| *other != run);
        before != target.runs.len()
    }

    fn run_done(&mut self, index: usize, generation: u64, incarnation: u32, run: event::RunId) {
        let same_process = self.nodes[index].generation == generation;
        let target = self.nodes[index].target.as_ref();
        let same_target = target.is_some_and(|target| target.incarnation == incarnation);
        if !same_process || !same_target || !self.forget_run(index, run) {
            return;
        }
        let target = self.nodes[index].target.as_ref().unwrap();
        let named = target.named.last().and_then(|(_, rate)| *rate);
        let rate = match named {
            _ if target.garbles => event::StatedRate::Malformed,
            Some(rate) => event::StatedRate::Limited(rate.to_string().parse().unwrap()),
            None => event::StatedRate::Unlimited,
        };
        let leaving = target.leaving;
        // The body stands in for the headers that the caller gets.
        let body = format!("{index} {incarnation} {} {leaving}", named.is_some());
        let answer = call::CallAnswer {
            status: 200,
            headers: Vec::new(),
            body: body.into(),
        };
        let ended = event::NodeEvent::RunEnded {
            run,
            outcome: event::RunOutcome::Answered(answer),
            statement: Some(event::TargetStatement {
                rate,
                leaving,
                ..event::TargetStatement::default()
            }),
            exchange: None,
        };
        self.step(index, ended);
    }

    fn replied(&mut self, index: usize, handle: event::CallerHandle, reply: &effect::CallerReply) {
        let now = self.now;
        let number = usize::try_from(handle.0).unwrap();
        let served = reply
            .answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200);
        let sent = &mut self.sent[number];
        sent.replied = Some((now, reply.verdict, served));
        let not_run = matches!(reply.verdict, verdict::CallVerdict::NotRun(_));
        if not_run && sent.runs > 0 {
            self.violations
                .push(format!("request {number} ran and was told not-run"));
        }
        let Some(answer) = &reply.answer else {
            return;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let words: Vec<&str> = text.split(' ').collect();
        let [target, incarnation, named, leaving] = words[..] else {
            return;
        };
        let (target, incarnation) = (target.parse().unwrap(), incarnation.parse().unwrap());
        let passed_on = &mut self.nodes[index].passed_on;
        let same = |known: &PassedOn| known.target == target && known.incarnation == incarnation;
        let position = passed_on.iter().position(same).unwrap_or_else(|| {
            passed_on.push(PassedOn {
                target,
                incarnation,
                rate_at: None,
                leaving_at: None,
            });
            passed_on.len() - 1
        });
        let known = &mut passed_on[position];
        if named == "true" {
            known.rate_at.get_or_insert(now);
        }
        if leaving == "true" {
            known.leaving_at.get_or_insert(now);
        }
    }

    fn report(mut self) -> FleetReport {
        for index in 0..self.nodes.len() {
            self.judge_rate(index);
        }
        self.judge_poison();
        let first = self.plan.script.iter().map(|(after, ..)| *after);
        let first = first.fold(f64::INFINITY, f64::min);
        // Requests of the last seconds may still be in flight.
        let from = self.traffic_start() + Duration::from_secs_f64(first.min(1e6));
        let until = time::NodeTime(self.now.0 - 5_000_000);
        let judged = self.sent.iter().filter(|sent| {
            let alive = self.nodes[sent.entry].generation == sent.generation;
            alive && sent.at >= from && sent.at < until
        });
        let judged: Vec<Sent> = judged.copied().collect();
        let in_time = judged.iter().filter(|sent| {
            sent.replied.is_some_and(|(at, _, served)| {
                served && at.since(sent.at) <= Duration::from_millis(1_500)
            })
        });
        let refused = judged
            .iter()
            .filter(|sent| matches!(sent.replied, Some((_, verdict::CallVerdict::NotRun(_), _))));
        let since = time::NodeTime(self.now.0 - 4_000_000);
        let last = |target: &SimTarget| {
            target
                .arrivals
                .iter()
                .filter(|arrival| arrival.at >= since)
                .count()
        };
        FleetReport {
            requests: judged.len(),
            in_time: in_time.count(),
            refused: refused.count(),
            last_arrivals: self
                .nodes
                .iter()
                .filter_map(|node| node.target.as_ref().map(last))
                .collect(),
            rate_refusals: self.rate_refusals,
            poisoned: self.poisoned.iter().copied().map(seconds).collect(),
            violations: self.violations,
        }
    }

    /// Checks that the poisonous request is stopped after the third crash.
    fn judge_poison(&mut self) {
        let Some(third) = self.crashes.get(2) else {
            return;
        };
        let late = self
            .poisoned
            .iter()
            .filter(|at| **at > *third + STABILITY_WINDOW);
        let late = late.count();
        if late > MAX_LATE_POISON {
            let crashes = self.crashes.len();
            self.violations.push(format!(
                "the request reached targets {late} times after its third crash; {crashes} in all"
            ));
        }
    }

    /// Checks each window of four seconds from [`STABILITY_WINDOW`] after the first naming in which
    /// the target names a rate all the time: it gets at most one and a half times what its rates
    /// allow, and five.
    fn judge_rate(&mut self, index: usize) {
        let Some(target) = &self.nodes[index].target else {
            return;
        };
        let Some((first, _)) = target.named.iter().find(|(_, rate)| rate.is_some()) else {
            return;
        };
        let binding = *first + STABILITY_WINDOW;
        let mut worst: Option<(f64, String)> = None;
        for arrival in &target.arrivals {
            let (from, until) = (arrival.at, arrival.at + WINDOW);
            if from < binding || until > self.now {
                continue;
            }
            let Some(allowance) = target.allowance(from, until) else {
                continue;
            };
            let bound = target
                .arrivals
                .iter()
                .filter(|other| other.bound && other.at >= from && other.at <= until);
            let (count, allowed) = (bound.count(), 1.5 * allowance + 5.0);
            let excess = count as f64 - allowed;
            if excess > worst.as_ref().map_or(0.0, |(worst, _)| *worst) {
                let text = format!(
                    "target {index} got {count} requests in 4 s from {:.3} s on; its rates \
                     allow {allowed:.1}",
                    seconds(from)
                );
                worst = Some((excess, text));
            }
        }
        self.violations.extend(worst.map(|(_, text)| text));
    }
}

impl SimTarget {
    fn new(incarnation: u32) -> Self {
        Self {
            incarnation,
            sequence: 0,
            named: Vec::new(),
            garbles: false,
            leaving: false,
            arrivals: Vec::new(),
            runs: Vec::new(),
        }
    }

    /// The requests that the target's rates allow between two times, at each moment by the lowest
    /// rate named in the window until then; none if there is a time without a rate.
    fn allowance(&self, from: time::NodeTime, until: time::NodeTime) -> Option<f64> {
        let before = self.named.iter().rev().find(|(at, _)| *at <= from);
        let (mut since, mut lowest) = (from, before?.1?);
        let mut requests = 0.0;
        for (at, rate) in self
            .named
            .iter()
            .filter(|(at, _)| *at > from && *at <= until)
        {
            requests += at.since(since).as_secs_f64() * lowest;
            (since, lowest) = (*at, lowest.min((*rate)?));
        }
        Some(requests + until.since(since).as_secs_f64() * lowest)
    }
}

/// Whether a target's node refused a call for want of room or tokens.
fn is_capacity_refusal(verdict: verdict::CallVerdict) -> bool {
    matches!(
        verdict,
        verdict::CallVerdict::NotRun(
            verdict::RefusalReason::QueueFull
                | verdict::RefusalReason::RateLimited
                | verdict::RefusalReason::Shed
        )
    )
}

fn seconds(at: time::NodeTime) -> f64 {
    at.since(time::NodeTime::START).as_secs_f64() - TRAFFIC_START.as_secs_f64()
}
