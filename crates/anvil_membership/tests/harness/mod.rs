//! A queue of messages between membership states, with injected time, loss and cuts.
#![allow(dead_code, unreachable_pub)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use anvil_membership::{config, effect, fleet, member, proposal, random};
use anvil_standins::store::fake;
use anvil_types::{ident, name, store, time};
use anvil_wire::gossip;
use bytes::Bytes;

/// One-way time of a message inside a region and across regions.
const NEAR: Duration = Duration::from_millis(2);
const FAR: Duration = Duration::from_millis(40);

enum Due {
    Wake,
    Datagram(SocketAddr, gossip::GossipMessage),
    Sync(ident::NodeId, gossip::SyncMessage),
    AtStore(store::StoreId, store::StoreRequest),
    StoreAnswer(store::StoreId, store::StoreOutcome),
    StoreTick,
}

/// One node of the harness.
pub struct Node {
    pub state: fleet::FleetState,
    pub udp: SocketAddr,
    pub region: usize,
    pub running: bool,
    /// Until when the process does not run; its messages wait in the socket.
    pub paused_until: time::NodeTime,
    pub reports: Vec<(time::NodeTime, effect::FleetReport)>,
    pub gone: Vec<(time::NodeTime, ident::NodeId, effect::DepartureReason)>,
    /// The ids of the changes in force, in order.
    pub document: Vec<u128>,
    pub ready_at: Option<time::NodeTime>,
    pub proposals: Vec<(u128, ident::RuleRevision, proposal::ProposalOutcome)>,
    wake_at: time::NodeTime,
}

/// Nodes and the messages between them.
pub struct Net {
    pub now: time::NodeTime,
    pub nodes: Vec<Node>,
    pub loss_percent: usize,
    /// Regions that no message leaves or enters.
    pub cut: Vec<usize>,
    pub choice: random::ChoiceSource,
    pub store: fake::FakeStore<(usize, store::StoreId)>,
    /// Regions from which the store can't be reached.
    pub store_cut: Vec<usize>,
    ticking: bool,
    queue: BinaryHeap<Reverse<(time::NodeTime, u64, usize)>>,
    payloads: Vec<Option<Due>>,
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

/// The whole rules at `revision`, whose body grows with it.
pub fn whole_rules(revision: u64) -> gossip::LoggedChange {
    let ids = (1..=u128::from(revision)).flat_map(u128::to_le_bytes);
    gossip::LoggedChange {
        revision: ident::RuleRevision(revision),
        change: 0,
        body: ids.collect::<Vec<u8>>().into(),
    }
}

impl Net {
    /// Lets an operator write the whole rules under `key`; no node has any part in it.
    pub fn write_rules(&mut self, key: &store::StoreKey, revision: u64) {
        let standing = self.store.entries().find(|entry| entry.key == *key);
        let base = standing.map_or(store::SwapCondition::Absent, |entry| {
            store::SwapCondition::At(entry.version)
        });
        let ask = store::StoreRequest::Swap {
            key: key.clone(),
            condition: base,
            value: whole_rules(revision).to_value().expect("it can be encoded"),
            lease: None,
        };
        let nobody = store::StoreId {
            requester: store::StoreRequester::Keys,
            sequence: revision,
        };
        let outcome = self.store.carry_out(self.now, (0, nobody), &ask);
        assert!(matches!(outcome, Some(store::StoreOutcome::Done(_))));
    }

    pub fn new(seed: u64) -> Self {
        Self {
            now: time::NodeTime::from_millis(1),
            nodes: Vec::new(),
            loss_percent: 0,
            cut: Vec::new(),
            choice: random::ChoiceSource::new(seed),
            store: fake::FakeStore::new(seed),
            store_cut: Vec::new(),
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
        assert!(all(&net), "the fleet joined");
        net
    }

    /// Starts a node at a fresh address and gives its index.
    pub fn add(&mut self, region: usize, config: &config::FleetConfig) -> usize {
        self.add_at(self.nodes.len(), region, config)
    }

    /// Starts a node at the address of slot `slot` and gives its index.
    /// A fleet whose nodes know the store and no seed.
    pub fn with_store(size: usize, regions: usize, seed: u64) -> Self {
        let mut net = Self::new(seed);
        for index in 0..size {
            net.add(index % regions, &with_store());
        }
        let all = |net: &Self| {
            let whole = |n: &Node| n.state.is_ready() && n.state.table().live() == size;
            net.nodes.iter().all(whole)
        };
        net.run_until(Duration::from_secs(90), all);
        assert!(all(&net), "the fleet joined through the store");
        net
    }

    /// Lets a node write an operator's change; false where it refuses to try.
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
            gone: Vec::new(),
            document: Vec::new(),
            ready_at: None,
            proposals: Vec::new(),
            wake_at: time::NodeTime(u64::MAX),
        });
        let now = self.now;
        self.schedule_wake(index, now);
        index
    }

    /// Stops a node without a word.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs until `done` holds, at most for `span`, and gives the time it took.
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

    /// Nodes that run and believe `node` live.
    pub fn believers(&self, node: ident::NodeId) -> usize {
        let live = |n: &&Node| {
            let record = n.state.table().get(node);
            n.running && record.is_some_and(|r| r.state.is_live())
        };
        self.nodes.iter().filter(live).count()
    }

    /// Every `(observer, member)` where a running node believes another running one gone.
    pub fn false_ends(&self) -> Vec<(usize, usize)> {
        let mut found = Vec::new();
        for (observer, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.running) {
            for member in 0..self.nodes.len() {
                let record = node.state.table().get(id(member));
                let ended = record.is_some_and(|r| {
                    matches!(
                        r.state,
                        member::MemberState::Gone | member::MemberState::Left
                    )
                });
                if ended && self.nodes[member].running {
                    found.push((observer, member));
                }
            }
        }
        found
    }

    fn deliver(&mut self, index: usize, payload: usize) {
        let Some(due) = self.payloads[payload].take() else {
            return;
        };
        match due {
            Due::StoreTick => return self.tick_store(),
            Due::AtStore(id, ask) => return self.arrive_at_store(index, id, &ask),
            _ => {}
        }
        let node = &mut self.nodes[index];
        if !node.running {
            return;
        }
        if node.paused_until > self.now {
            // The clock has passed before the socket is read.
            let reading = Duration::from_millis(u64::from(!matches!(due, Due::Wake)));
            let at = node.paused_until + reading;
            self.push(at, index, due);
            return;
        }
        let now = self.now;
        let effects = match due {
            Due::Wake if now < node.wake_at => return,
            Due::Wake => {
                node.wake_at = time::NodeTime(u64::MAX);
                node.state.on_wake(now)
            }
            Due::Datagram(from, message) => node.state.on_datagram(now, from, &message),
            Due::Sync(peer, message) => node.state.on_sync(now, peer, &message),
            Due::StoreAnswer(id, outcome) => node.state.on_store(now, id, outcome),
            Due::AtStore(..) | Due::StoreTick => return,
        };
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<effect::FleetEffect>) {
        for effect in effects {
            match effect {
                effect::FleetEffect::SendDatagram { to, message } => {
                    if self.choice.below(100) >= self.loss_percent {
                        let from = self.nodes[index].udp;
                        self.send(index, to, Due::Datagram(from, message));
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
                    if receiver.is_some_and(|r| self.nodes[r].state.local() == peer) {
                        let own = self.nodes[index].state.local();
                        self.send(index, address, Due::Sync(own, message));
                    }
                }
                effect::FleetEffect::MemberDeparted { node, reason } => {
                    let now = self.now;
                    self.nodes[index].gone.push((now, node, reason));
                }
                effect::FleetEffect::Report(report) => {
                    let now = self.now;
                    self.nodes[index].reports.push((now, report));
                }
                effect::FleetEffect::SendStoreRequest { id, request } => {
                    let at = self.now + NEAR;
                    self.push(at, index, Due::AtStore(id, request));
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
                    assert!(document.starts_with(&node.document), "nothing is undone");
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

    fn arrive_at_store(&mut self, index: usize, id: store::StoreId, ask: &store::StoreRequest) {
        let cut = self.store_cut.contains(&self.nodes[index].region);
        let outcome = if cut {
            Some(store::StoreOutcome::Unavailable)
        } else {
            self.store.carry_out(self.now, (index, id), ask)
        };
        if let Some(outcome) = outcome {
            let at = self.now + NEAR;
            self.push(at, index, Due::StoreAnswer(id, outcome));
        }
        self.answer_watches();
        if self.store.waiting() > 0 && !self.ticking {
            self.ticking = true;
            let at = self.now + Duration::from_millis(200);
            self.push(at, index, Due::StoreTick);
        }
    }

    fn tick_store(&mut self) {
        self.answer_watches();
        self.ticking = self.store.waiting() > 0;
        if self.ticking {
            let at = self.now + Duration::from_millis(200);
            self.push(at, 0, Due::StoreTick);
        }
    }

    fn answer_watches(&mut self) {
        for ((index, id), outcome) in self.store.due_watches(self.now) {
            let at = self.now + NEAR;
            self.push(at, index, Due::StoreAnswer(id, outcome));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, due: Due) {
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
        let delay = if across { FAR } else { NEAR };
        let jitter = self.choice.span(delay);
        let at = self.now + delay + jitter;
        self.push(at, receiver, due);
    }

    fn schedule_wake(&mut self, index: usize, at: time::NodeTime) {
        let at = at.max(self.now);
        if at < self.nodes[index].wake_at {
            self.nodes[index].wake_at = at;
            self.push(at, index, Due::Wake);
        }
    }

    fn push(&mut self, at: time::NodeTime, index: usize, due: Due) {
        let payload = self.payloads.len() as u64;
        self.payloads.push(Some(due));
        self.queue.push(Reverse((at, payload, index)));
    }
}
