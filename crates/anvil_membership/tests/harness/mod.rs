//! Simulates a network of membership state machines, with injected time, loss and partitions.
#![allow(dead_code, unreachable_pub)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use anvil_membership::{config, effect, fleet, member, proposal, random};
use anvil_standins::store::fake;
use anvil_types::{ident, name, store, time};
use anvil_wire::gossip;
use bytes::Bytes;

/// One-way delay of a message within a region and across regions, without jitter.
const SAME_REGION_DELAY: Duration = Duration::from_millis(2);
const CROSS_REGION_DELAY: Duration = Duration::from_millis(40);

/// Time after which a node gives up a connection to the store that is not accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a node gives up an answer of the store, in addition to the time of a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How the store treats the calls of a node that it rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRejection {
    /// It answers at once that it did nothing, and cuts waiting watches.
    Busy,
    /// It accepts no connection, and the answers to waiting watches are lost.
    Silent,
}

/// A call of a node, by the node's index and the call's number.
type StoreCall = (usize, u64);

enum Event {
    Wake,
    Datagram(SocketAddr, gossip::GossipMessage),
    Sync(ident::NodeId, gossip::SyncMessage),
    StoreRequest(store::StoreId, store::StoreRequest),
    StoreOutcome(store::StoreId, store::StoreOutcome),
    StoreTick,
}

/// One simulated node.
pub struct Node {
    pub state: fleet::FleetState,
    pub udp: SocketAddr,
    pub region: usize,
    pub running: bool,
    /// Until when the process is paused; its messages wait in the socket.
    pub paused_until: time::NodeTime,
    pub reports: Vec<(time::NodeTime, effect::FleetReport)>,
    pub departures: Vec<(time::NodeTime, ident::NodeId, effect::DepartureReason)>,
    /// The ids of the applied changes, in order.
    pub document: Vec<u128>,
    pub ready_at: Option<time::NodeTime>,
    pub proposals: Vec<(u128, ident::RuleRevision, proposal::ProposalOutcome)>,
    wake_at: time::NodeTime,
}

/// The nodes, the store, and the events that are scheduled.
pub struct Net {
    pub now: time::NodeTime,
    pub nodes: Vec<Node>,
    pub loss_percent: usize,
    /// Share of the pairs of nodes whose connections are silent, in percent: bulk messages are lost.
    pub silent_percent: usize,
    /// Regions that are partitioned from the others.
    pub cut: Vec<usize>,
    /// The side of a partition of each node in it; the others are on side 0. Each side reaches the
    /// store.
    pub sides: BTreeMap<usize, usize>,
    pub choice: random::ChoiceSource,
    pub store: fake::FakeStore<(usize, store::StoreId)>,
    /// Regions from which the store is unavailable.
    pub store_cut: Vec<usize>,
    /// Nodes that the store rejects.
    pub store_rejects: BTreeMap<usize, StoreRejection>,
    /// Pending watches, and when the node gives each up.
    pending_watches: BTreeMap<StoreCall, time::NodeTime>,
    /// Pending watches whose connections went silent.
    silent_watches: BTreeSet<StoreCall>,
    ticking: bool,
    queue: BinaryHeap<Reverse<(time::NodeTime, u64, usize)>>,
    payloads: Vec<Option<Event>>,
}

pub fn id(index: usize) -> ident::NodeId {
    let spread = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ident::NodeId(spread)
}

pub fn address(index: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0000 + index as u32);
    SocketAddr::new(IpAddr::V4(ip), 7_000)
}

/// Settings of a node that finds the others through the store.
pub fn with_store() -> config::FleetConfig {
    config::FleetConfig {
        store: true,
        ..config::FleetConfig::default()
    }
}

/// A document of the rules at `revision`, whose body grows with the revision.
pub fn complete_rules(revision: u64) -> gossip::LoggedChange {
    let ids = (1..=u128::from(revision)).flat_map(u128::to_le_bytes);
    gossip::LoggedChange {
        revision: ident::RuleRevision(revision),
        change: 0,
        body: ids.collect::<Vec<u8>>().into(),
    }
}

impl Net {
    /// Writes a document of the rules under `key` as an operator, directly to the store.
    pub fn write_rules(&mut self, key: &store::StoreKey, revision: u64) {
        let current = self.store.entries().find(|entry| entry.key == *key);
        let base = current.map_or(store::SwapCondition::Absent, |entry| {
            store::SwapCondition::At(entry.version)
        });
        let request = store::StoreRequest::Swap {
            key: key.clone(),
            condition: base,
            value: complete_rules(revision)
                .to_value()
                .expect("it can be encoded"),
            lease: None,
        };
        let operator = store::StoreId {
            requester: store::StoreRequester::Keys,
            sequence: revision,
        };
        let outcome = self.store.carry_out(self.now, (0, operator), &request);
        assert!(matches!(outcome, Some(store::StoreOutcome::Done(_))));
    }

    pub fn new(seed: u64) -> Self {
        Self {
            now: time::NodeTime::from_millis(1),
            nodes: Vec::new(),
            loss_percent: 0,
            silent_percent: 0,
            cut: Vec::new(),
            sides: BTreeMap::new(),
            choice: random::ChoiceSource::new(seed),
            store: fake::FakeStore::new(seed),
            store_cut: Vec::new(),
            store_rejects: BTreeMap::new(),
            pending_watches: BTreeMap::new(),
            silent_watches: BTreeSet::new(),
            ticking: false,
            queue: BinaryHeap::new(),
            payloads: Vec::new(),
        }
    }

    /// A fleet of `size` nodes over `regions` regions that joined through the first node.
    pub fn joined(size: usize, regions: usize, seed: u64) -> Self {
        let mut net = Self::new(seed);
        for index in 0..size {
            net.add(index % regions, &config::FleetConfig::default());
        }
        let all = |net: &Self| net.nodes.iter().all(|n| n.state.table().live() == size);
        net.run_until(Duration::from_secs(60), all);
        assert!(all(&net), "the fleet did not join");
        net
    }

    /// Starts a node at a new address and returns its index.
    pub fn add(&mut self, region: usize, config: &config::FleetConfig) -> usize {
        self.add_at(self.nodes.len(), region, config)
    }

    /// A fleet of `size` ready nodes that use the store and no seeds.
    pub fn with_store(size: usize, regions: usize, seed: u64) -> Self {
        let mut net = Self::new(seed);
        for index in 0..size {
            net.add(index % regions, &with_store());
        }
        let all = |net: &Self| {
            let joined = |n: &Node| n.state.is_ready() && n.state.table().live() == size;
            net.nodes.iter().all(joined)
        };
        net.run_until(Duration::from_secs(90), all);
        assert!(all(&net), "the fleet did not join through the store");
        net
    }

    /// Proposes an operator's change through a node; returns false if the node refuses it.
    pub fn propose(&mut self, index: usize, change: u128) -> bool {
        let now = self.now;
        let body = Bytes::copy_from_slice(&change.to_le_bytes());
        let proposed = self.nodes[index].state.propose(now, change, body);
        let Ok(effects) = proposed else {
            return false;
        };
        self.carry_out(index, effects);
        true
    }

    /// Starts a node at the address of `slot` and returns its index.
    pub fn add_at(&mut self, slot: usize, region: usize, config: &config::FleetConfig) -> usize {
        let index = self.nodes.len();
        let config = config::FleetConfig {
            seeds: if config.store {
                Vec::new()
            } else {
                vec![address(0)]
            },
            ..config.clone()
        };
        let local = fleet::LocalNode {
            node: id(index),
            tcp: address(slot),
            udp: address(slot),
            zone: name::ZoneName::new(&format!("zone-{region}")).expect("a name"),
            region: name::RegionName::new(&format!("region-{region}")).expect("a name"),
        };
        let state = fleet::FleetState::new(config, &local, index as u64 + 7, self.now);
        self.nodes.push(Node {
            state,
            udp: address(slot),
            region,
            running: true,
            paused_until: time::NodeTime::START,
            reports: Vec::new(),
            departures: Vec::new(),
            document: Vec::new(),
            ready_at: None,
            proposals: Vec::new(),
            wake_at: time::NodeTime(u64::MAX),
        });
        let now = self.now;
        self.schedule_wake(index, now);
        index
    }

    /// The slot at whose address a node runs.
    pub fn slot(&self, index: usize) -> usize {
        let udp = self.nodes[index].udp;
        (0..).find(|slot| address(*slot) == udp).expect("a slot")
    }

    /// Stops a node without an announcement.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs until `done` holds, for at most `span`, and returns the time that it took.
    pub fn run_until<Done>(&mut self, span: Duration, done: Done) -> Duration
    where
        Done: Fn(&Self) -> bool,
    {
        let start = self.now;
        let end = start + span;
        let mut check = start;
        while let Some(&Reverse((due, payload, index))) = self.queue.peek() {
            if due > end {
                break;
            }
            if due >= check {
                if done(self) {
                    return self.now.since(start);
                }
                check = due + Duration::from_millis(100);
            }
            self.queue.pop();
            self.now = self.now.max(due);
            self.deliver(index, payload as usize);
        }
        self.now = end;
        span
    }

    /// Carries out what a method of a node's state returned.
    pub fn act<Step>(&mut self, index: usize, step: Step)
    where
        Step: FnOnce(&mut fleet::FleetState, time::NodeTime) -> Vec<effect::FleetEffect>,
    {
        let now = self.now;
        let effects = step(&mut self.nodes[index].state, now);
        self.carry_out(index, effects);
    }

    /// Number of running nodes that consider `node` live.
    pub fn live_observers(&self, node: ident::NodeId) -> usize {
        let live = |n: &&Node| {
            let record = n.state.table().get(node);
            n.running && record.is_some_and(|r| r.state.is_live())
        };
        self.nodes.iter().filter(live).count()
    }

    /// Every `(observer, member)` of running nodes in which the observer considers the member
    /// departed.
    pub fn false_departures(&self) -> Vec<(usize, usize)> {
        let mut found = Vec::new();
        for (observer, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.running) {
            for member in 0..self.nodes.len() {
                let record = node.state.table().get(id(member));
                let departed = record.is_some_and(|r| {
                    matches!(
                        r.state,
                        member::MemberState::Gone | member::MemberState::Left
                    )
                });
                if departed && self.nodes[member].running {
                    found.push((observer, member));
                }
            }
        }
        found
    }

    fn deliver(&mut self, index: usize, payload: usize) {
        let Some(event) = self.payloads[payload].take() else {
            return;
        };
        match event {
            Event::StoreTick => return self.tick_store(),
            Event::StoreRequest(id, request) => {
                return self.handle_store_request(index, id, &request);
            }
            _ => {}
        }
        let node = &mut self.nodes[index];
        if !node.running {
            return;
        }
        if node.paused_until > self.now {
            // After the pause, the process handles its timers before its messages.
            let read_delay = Duration::from_millis(u64::from(!matches!(event, Event::Wake)));
            let at = node.paused_until + read_delay;
            self.push(at, index, event);
            return;
        }
        let now = self.now;
        let effects = match event {
            Event::Wake if now < node.wake_at => return,
            Event::Wake => {
                node.wake_at = time::NodeTime(u64::MAX);
                node.state.on_wake(now)
            }
            Event::Datagram(from, message) => node.state.on_datagram(now, from, &message),
            Event::Sync(peer, message) => node.state.on_sync(now, peer, &message),
            Event::StoreOutcome(id, outcome) => node.state.on_store(now, id, outcome),
            Event::StoreRequest(..) | Event::StoreTick => return,
        };
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<effect::FleetEffect>) {
        for effect in effects {
            match effect {
                effect::FleetEffect::SendDatagram { to, message } => {
                    if self.choice.below(100) >= self.loss_percent {
                        let from = self.nodes[index].udp;
                        self.send(index, to, Event::Datagram(from, message));
                    }
                }
                effect::FleetEffect::SendSync {
                    peer,
                    address,
                    message,
                } => {
                    let receiver = self
                        .nodes
                        .iter()
                        .position(|n| n.running && n.udp == address);
                    let reached = receiver.filter(|r| !self.is_silent(index, *r));
                    if reached.is_some_and(|r| self.nodes[r].state.local() == peer) {
                        let own = self.nodes[index].state.local();
                        self.send(index, address, Event::Sync(own, message));
                    }
                }
                effect::FleetEffect::MemberDeparted { node, reason } => {
                    let now = self.now;
                    self.nodes[index].departures.push((now, node, reason));
                }
                effect::FleetEffect::Report(report) => {
                    let now = self.now;
                    self.nodes[index].reports.push((now, report));
                }
                effect::FleetEffect::SendStoreRequest { id, request } => {
                    let at = self.now + SAME_REGION_DELAY;
                    self.push(at, index, Event::StoreRequest(id, request));
                }
                effect::FleetEffect::AdoptChange(change) => {
                    let node = &mut self.nodes[index];
                    node.document.push(change.change);
                    assert_eq!(node.document.len() as u64, change.revision.0);
                }
                effect::FleetEffect::AdoptSnapshot(snapshot) => {
                    let ids = snapshot.body.chunks_exact(16);
                    let ids = ids.map(|id| u128::from_le_bytes(id.try_into().expect("16 bytes")));
                    let document: Vec<_> = ids.collect();
                    let node = &mut self.nodes[index];
                    assert!(document.starts_with(&node.document), "a change was undone");
                    assert_eq!(document.len() as u64, snapshot.revision.0);
                    node.document = document;
                }
                effect::FleetEffect::EncodeSnapshot { destination } => {
                    let ids = self.nodes[index].document.iter();
                    let body: Vec<u8> = ids.flat_map(|id| id.to_le_bytes()).collect();
                    let now = self.now;
                    let state = &mut self.nodes[index].state;
                    let effects = state.on_snapshot_encoded(now, destination, Bytes::from(body));
                    self.carry_out(index, effects);
                }
                effect::FleetEffect::ProposalEnded {
                    change,
                    revision,
                    outcome,
                } => self.nodes[index]
                    .proposals
                    .push((change, revision, outcome)),
                effect::FleetEffect::Ready => self.nodes[index].ready_at = Some(self.now),
                effect::FleetEffect::MemberUp(_) | effect::FleetEffect::MemberChanged(_) => {}
            }
        }
        let next = self.nodes[index].state.next_wake();
        if let Some(next) = next {
            self.schedule_wake(index, next);
        }
    }

    fn handle_store_request(
        &mut self,
        index: usize,
        id: store::StoreId,
        request: &store::StoreRequest,
    ) {
        let cut = self.store_cut.contains(&self.nodes[index].region);
        let rejection = match cut {
            true => Some(StoreRejection::Busy),
            false => self.store_rejects.get(&index).copied(),
        };
        let outcome = match rejection {
            Some(StoreRejection::Busy) => Some(store::StoreOutcome::Unavailable),
            Some(StoreRejection::Silent) => {
                let at = self.now + CONNECT_TIMEOUT;
                let outcome = store::StoreOutcome::Unknown;
                self.push(at, index, Event::StoreOutcome(id, outcome));
                return;
            }
            None => self.store.carry_out(self.now, (index, id), request),
        };
        if let (None, store::StoreRequest::Watch { wait, .. }) = (&outcome, request) {
            let given_up_at = self.now + *wait + ANSWER_TIMEOUT;
            self.pending_watches
                .insert((index, id.sequence), given_up_at);
        }
        if let Some(outcome) = outcome {
            let at = self.now + SAME_REGION_DELAY;
            self.push(at, index, Event::StoreOutcome(id, outcome));
        }
        self.answer_watches();
        if self.store.waiting() > 0 && !self.ticking {
            self.ticking = true;
            let at = self.now + Duration::from_millis(200);
            self.push(at, index, Event::StoreTick);
        }
    }

    fn tick_store(&mut self) {
        self.answer_watches();
        self.ticking = self.store.waiting() > 0;
        if self.ticking {
            let at = self.now + Duration::from_millis(200);
            self.push(at, 0, Event::StoreTick);
        }
    }

    fn answer_watches(&mut self) {
        for ((index, id), outcome) in self.store.due_watches(self.now) {
            self.answer_watch(index, id, outcome);
        }
    }

    fn answer_watch(&mut self, index: usize, id: store::StoreId, outcome: store::StoreOutcome) {
        let call = (index, id.sequence);
        let given_up_at = self.pending_watches.remove(&call).unwrap_or(self.now);
        let is_silent = self.silent_watches.remove(&call);
        let soon = self.now + SAME_REGION_DELAY;
        let (at, outcome) = match self.store_rejects.get(&index) {
            Some(StoreRejection::Silent) => (given_up_at, store::StoreOutcome::Unknown),
            _ if is_silent => (given_up_at, store::StoreOutcome::Unknown),
            Some(StoreRejection::Busy) => (soon, store::StoreOutcome::Unknown),
            None => (soon, outcome),
        };
        self.push(at, index, Event::StoreOutcome(id, outcome));
    }

    /// Lets the store reject the nodes `rejected`, and cuts their watches if it answers.
    pub fn reject(&mut self, rejected: &[usize], rejection: StoreRejection) {
        for index in rejected {
            self.store_rejects.insert(*index, rejection);
        }
        if rejection == StoreRejection::Busy {
            let cut = |(index, _): &(usize, store::StoreId)| rejected.contains(index);
            for ((index, id), outcome) in self.store.drop_watches_of(cut) {
                self.answer_watch(index, id, outcome);
            }
        }
    }

    /// Makes the connections of all waiting watches silent, for good.
    pub fn silence_watches(&mut self) {
        let pending = self.pending_watches.keys();
        self.silent_watches.extend(pending);
    }

    /// Ends all waiting watches without an answer.
    pub fn cut_watches(&mut self) {
        for ((index, id), outcome) in self.store.drop_watches_of(|_| true) {
            self.answer_watch(index, id, outcome);
        }
    }

    /// Adds a node at `slot` that takes its rules from the document under `key`.
    pub fn add_reader(&mut self, slot: usize, zone: usize, key: &store::StoreKey) -> usize {
        let index = self.add_at(slot, zone, &with_store());
        let now = self.now;
        self.nodes[index].state.use_document(now, key.clone());
        index
    }

    /// A fleet of `size` ready nodes over `zones` zones that read the document under `key`, which
    /// is written at revision 2.
    pub fn with_document(size: usize, zones: usize, seed: u64, key: &store::StoreKey) -> Self {
        let mut net = Self::new(seed);
        net.write_rules(key, 2);
        for slot in 0..size {
            net.add_reader(slot, slot % zones, key);
        }
        let all_joined = |net: &Self| {
            let joined = |n: &Node| n.state.is_ready() && n.state.table().live() == size;
            net.nodes.iter().all(joined)
        };
        let took = net.run_until(Duration::from_secs(20), all_joined);
        assert!(all_joined(&net), "the fleet did not join within {took:?}");
        net
    }

    /// The running nodes that have a pending watch of the document.
    pub fn watchers(&self) -> Vec<usize> {
        let running = self.nodes.iter().enumerate().filter(|(_, n)| n.running);
        let watching = running.filter(|(_, n)| n.state.watches_rules());
        watching.map(|(index, _)| index).collect()
    }

    fn send(&mut self, from: usize, to: SocketAddr, event: Event) {
        let slot = match to.ip() {
            IpAddr::V4(ip) => (u32::from(ip) - 0x0a00_0000) as usize,
            IpAddr::V6(_) => return,
        };
        let receiver = if self
            .nodes
            .get(slot)
            .is_some_and(|n| n.running && n.udp == to)
        {
            Some(slot)
        } else {
            self.nodes.iter().position(|n| n.running && n.udp == to)
        };
        let Some(receiver) = receiver else {
            return;
        };
        let regions = [self.nodes[from].region, self.nodes[receiver].region];
        let across = regions[0] != regions[1];
        if across && regions.iter().any(|r| self.cut.contains(r)) {
            return;
        }
        if self.sides.get(&from) != self.sides.get(&receiver) {
            return;
        }
        let delay = if across {
            CROSS_REGION_DELAY
        } else {
            SAME_REGION_DELAY
        };
        let jitter = self.choice.span(delay);
        let at = self.now + delay + jitter;
        self.push(at, receiver, event);
    }

    /// Whether the connections of two nodes are silent; the same for both directions at any time.
    fn is_silent(&self, one: usize, other: usize) -> bool {
        let pair = id(one).0 ^ id(other).0;
        let share = pair.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        share % 100 < self.silent_percent as u64
    }

    fn schedule_wake(&mut self, index: usize, at: time::NodeTime) {
        let at = at.max(self.now);
        if at < self.nodes[index].wake_at {
            self.nodes[index].wake_at = at;
            self.push(at, index, Event::Wake);
        }
    }

    fn push(&mut self, at: time::NodeTime, index: usize, event: Event) {
        let payload = self.payloads.len() as u64;
        self.payloads.push(Some(event));
        self.queue.push(Reverse((at, payload, index)));
    }
}
