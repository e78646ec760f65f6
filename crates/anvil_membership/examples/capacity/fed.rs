//! One membership state machine with simulated peers.
//!
//! All nodes behave alike, so a node receives as many messages of each kind as it sends. Each
//! probe, rumour, pull and digest that the node sends is answered, and later a message of the same
//! kind arrives from a random member.

use std::time::{Duration, Instant};

use anvil_membership::{config, digest, effect, fleet, random};
use anvil_types::{ident, name, time};
use anvil_wire::gossip;
use anvil_wire::seal::datagram;
use bytes::Bytes;

use crate::harness;

/// Size of the IP and UDP headers of a datagram.
const UDP_BYTES: usize = 28;

/// Size of the IP and TCP headers, the length prefix and the seal of a bulk message in one segment.
const TCP_BYTES: usize = 40 + 4 + 32;

/// Number of new claims per day in a fleet of 14,000 members: five for each of 4,700 restarts and
/// three for each of 61 failures.
const CLAIMS_PER_DAY: f64 = 4_700.0 * 5.0 + 61.0 * 3.0;
const FLEET_SIZE: f64 = 14_000.0;

/// Number of rule changes per day at any fleet size, and the size of one in bytes.
const CHANGES_PER_DAY: f64 = 31_000.0;
const CHANGE_BYTES: usize = 300;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// The message kinds that are counted separately.
const KINDS: [&str; 9] = [
    "ping", "ack", "indirect", "rumour", "pull", "changes", "other", "digest", "members",
];

/// The cost of one run.
pub(crate) struct FedReport {
    span: Duration,
    sent: [(u64, u64); 9],
    received: [(u64, u64); 9],
    cpu: Duration,
    steps: u64,
    peak: u64,
}

impl FedReport {
    fn new(span: Duration) -> Self {
        Self {
            span,
            sent: [(0, 0); 9],
            received: [(0, 0); 9],
            cpu: Duration::ZERO,
            steps: 0,
            peak: 0,
        }
    }

    /// Prints the rates and the processor time.
    pub(crate) fn print(&self) {
        let seconds = self.span.as_secs_f64();
        for (index, kind) in KINDS.iter().enumerate() {
            let (sent, received) = (self.sent[index], self.received[index]);
            if sent.0 + received.0 > 0 {
                println!(
                    "  {kind}: sent {:.2}/s {:.0} B/s, received {:.2}/s {:.0} B/s",
                    sent.0 as f64 / seconds,
                    sent.1 as f64 / seconds,
                    received.0 as f64 / seconds,
                    received.1 as f64 / seconds
                );
            }
        }
        let all = |sums: &[(u64, u64)]| sums.iter().map(|s| s.1).sum::<u64>() as f64 / seconds;
        println!(
            "  all: sent {:.0} B/s, received {:.0} B/s, most sent in a second {} B",
            all(&self.sent),
            all(&self.received),
            self.peak
        );
        println!(
            "  processor: {:.4}% of a core, {:.1} µs an event, {} events",
            100.0 * self.cpu.as_secs_f64() / seconds,
            self.cpu.as_secs_f64() * 1e6 / self.steps.max(1) as f64,
            self.steps
        );
    }
}

/// The node and its simulated peers.
pub(crate) struct FedNode {
    state: fleet::FleetState,
    now: time::NodeTime,
    size: usize,
    choice: random::ChoiceSource,
    revision: u64,
    incarnations: Vec<u32>,
    lost: Vec<bool>,
    inbox: Vec<(time::NodeTime, Inbound)>,
    report: FedReport,
    current_second: (u64, u64),
}

enum Inbound {
    Datagram(usize, gossip::GossipKind, Vec<gossip::MemberUpdate>),
    Sync(usize, gossip::SyncMessage),
}

impl FedNode {
    /// A node that knows `size` members, including itself.
    pub(crate) fn new(size: usize) -> Self {
        let local = fleet::LocalNode {
            node: harness::id(0),
            tcp: harness::address(0),
            udp: harness::address(0),
            zone: zone(0),
            region: region(0),
        };
        let now = time::NodeTime::from_millis(1);
        let settings = config::FleetConfig::default();
        let mut node = Self {
            state: fleet::FleetState::new(settings, &local, 3, now),
            now,
            size,
            choice: random::ChoiceSource::new(9),
            revision: 0,
            incarnations: vec![0; size],
            lost: vec![false; size],
            inbox: Vec::new(),
            report: FedReport::new(Duration::ZERO),
            current_second: (0, 0),
        };
        let members: Vec<_> = (1..size).collect();
        for part in members.chunks(gossip::MAX_BULK_UPDATES) {
            let updates = part.iter().map(|index| node.claim(*index)).collect();
            let message = gossip::SyncMessage::Members {
                head: node.head(1),
                updates,
                wanted: Vec::new(),
                last: false,
            };
            node.state.on_sync(now, harness::id(1), &message);
        }
        assert_eq!(node.state.table().live(), size);
        node
    }

    /// Simulates `span` at the usual rates of claims and changes.
    pub(crate) fn run(&mut self, span: Duration) -> FedReport {
        self.settle();
        let claims = CLAIMS_PER_DAY / SECONDS_PER_DAY * self.size as f64 / FLEET_SIZE;
        let changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
        self.simulate(span, claims, changes)
    }

    /// Simulates the loss of `count` members, whose departures arrive over `span`.
    pub(crate) fn lose_zone(&mut self, count: usize, span: Duration) -> FedReport {
        self.settle();
        for index in self.size - count..self.size {
            self.lost[index] = true;
        }
        let rate = count as f64 / span.as_secs_f64();
        self.simulate(span, rate, 0.0)
    }

    /// Runs the first digests and probes without counting them.
    fn settle(&mut self) {
        self.simulate(Duration::from_secs(60), 0.0, 0.0);
    }

    fn simulate(&mut self, span: Duration, claims: f64, changes: f64) -> FedReport {
        let end = self.now + span;
        self.report = FedReport::new(span);
        let step = Duration::from_millis(1);
        let mut next_lost = self.size - 1;
        while self.now < end {
            self.now = self.now + step;
            if self.draw(claims * step.as_secs_f64()) {
                let update = if self.lost[next_lost] {
                    next_lost -= 1;
                    self.dead_claim(next_lost + 1)
                } else {
                    let index = 1 + self.choice.below(self.size - 1);
                    self.incarnations[index] += 1;
                    self.claim(index)
                };
                let from = self.random_live();
                self.receive(from, gossip::GossipKind::Rumour, vec![update]);
            }
            if self.draw(changes * step.as_secs_f64()) {
                self.revision += 1;
                let from = self.random_live();
                self.receive(from, gossip::GossipKind::Rumour, Vec::new());
            }
            self.deliver();
            if self.state.next_wake().is_some_and(|due| due <= self.now) {
                let now = self.now;
                self.step(|state| state.on_wake(now));
            }
            self.count_second();
        }
        std::mem::replace(&mut self.report, FedReport::new(span))
    }

    fn draw(&mut self, chance: f64) -> bool {
        (self.choice.below(1 << 30) as f64) < chance * f64::from(1 << 30)
    }

    fn random_live(&mut self) -> usize {
        loop {
            let index = 1 + self.choice.below(self.size - 1);
            if !self.lost[index] {
                return index;
            }
        }
    }

    fn receive(
        &mut self,
        from: usize,
        kind: gossip::GossipKind,
        updates: Vec<gossip::MemberUpdate>,
    ) {
        let message = gossip::GossipMessage {
            head: self.head(from),
            kind,
            updates,
        };
        count(&mut self.report.received, &message);
        let now = self.now;
        self.step(|state| state.on_datagram(now, harness::address(from), &message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.inbox.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<_> = due.collect();
        for (_, inbound) in due {
            match inbound {
                Inbound::Datagram(from, kind, updates) => self.receive(from, kind, updates),
                Inbound::Sync(from, message) => {
                    count_sync(&mut self.report.received, &message);
                    self.step(|state| state.on_sync(now, harness::id(from), &message));
                }
            }
        }
    }

    fn step<Step>(&mut self, step: Step)
    where
        Step: FnOnce(&mut fleet::FleetState) -> Vec<effect::FleetEffect>,
    {
        let start = Instant::now();
        let effects = step(&mut self.state);
        self.report.cpu += start.elapsed();
        self.report.steps += 1;
        let mut mirrored = false;
        for effect in effects {
            match effect {
                effect::FleetEffect::SendDatagram { to, message } => {
                    self.current_second.1 += count(&mut self.report.sent, &message);
                    self.answer(to, &message, &mut mirrored);
                }
                effect::FleetEffect::SendSync { peer, message, .. } => {
                    self.current_second.1 += count_sync(&mut self.report.sent, &message);
                    self.answer_sync(peer, &message);
                }
                _ => {}
            }
        }
    }

    /// Answers a datagram, and schedules one of the same kind from another member.
    fn answer(
        &mut self,
        to: std::net::SocketAddr,
        message: &gossip::GossipMessage,
        mirrored: &mut bool,
    ) {
        let receiver = index_of(to);
        let updates = message.updates.clone();
        let other = self.random_live();
        match &message.kind {
            gossip::GossipKind::Ping { probe, .. } => {
                let of = harness::id(receiver);
                let probe = *probe;
                if !self.lost[receiver] {
                    let ack = gossip::GossipKind::Ack { probe, of };
                    self.schedule(4, Inbound::Datagram(receiver, ack, updates.clone()));
                }
                let to = harness::id(0);
                let ping = gossip::GossipKind::Ping { probe, to };
                self.schedule(500, Inbound::Datagram(other, ping, updates));
            }
            gossip::GossipKind::PingRequest { probe, target } => {
                let (probe, target) = (*probe, *target);
                if !self.lost[receiver] {
                    let nack = gossip::GossipKind::Nack { probe };
                    self.schedule(350, Inbound::Datagram(receiver, nack, updates.clone()));
                }
                let request = gossip::GossipKind::PingRequest { probe, target };
                self.schedule(500, Inbound::Datagram(other, request, updates));
            }
            gossip::GossipKind::Rumour => {
                self.schedule(
                    20,
                    Inbound::Datagram(other, gossip::GossipKind::Rumour, updates),
                );
                if !*mirrored && self.state.revision().0 == self.revision && self.revision > 0 {
                    // One of the four receivers of a new revision pulls it from this node.
                    *mirrored = true;
                    let after = ident::RuleRevision(self.revision - 1);
                    let pull = gossip::GossipKind::PullChanges { after };
                    self.schedule(4, Inbound::Datagram(other, pull, Vec::new()));
                }
            }
            gossip::GossipKind::PullChanges { after } => {
                let changes = (after.0 + 1..=self.revision).map(|revision| gossip::LoggedChange {
                    revision: ident::RuleRevision(revision),
                    change: u128::from(revision),
                    body: Bytes::from(vec![7; CHANGE_BYTES]),
                });
                let changes = gossip::GossipKind::Changes {
                    changes: changes.take(3).collect(),
                };
                self.schedule(4, Inbound::Datagram(receiver, changes, Vec::new()));
            }
            _ => {}
        }
    }

    fn answer_sync(&mut self, peer: ident::NodeId, message: &gossip::SyncMessage) {
        let gossip::SyncMessage::Digest { sums, .. } = message else {
            return;
        };
        let receiver = (1..self.size).find(|index| harness::id(*index) == peer);
        let receiver = receiver.unwrap_or(1);
        // Two buckets differ at any time, by claims in transit, of which there is one every four
        // seconds.
        let differing: Vec<u32> = (0..2)
            .map(|_| self.choice.below(sums.len()) as u32)
            .collect();
        let headers = digest::headers(self.state.table(), sums.len(), &differing);
        let answer = gossip::SyncMessage::Headers {
            head: self.head(receiver),
            buckets: sums.len() as u32,
            differing: differing.clone(),
            headers,
        };
        self.schedule(50, Inbound::Sync(receiver, answer));
        let mut theirs = sums.clone();
        for index in differing {
            theirs[index as usize] ^= 1;
        }
        let other = self.random_live();
        let sums = theirs;
        let head = self.head(other);
        let digest = gossip::SyncMessage::Digest {
            head,
            sums,
            sender: Vec::new(),
        };
        self.schedule(9_000, Inbound::Sync(other, digest));
    }

    fn schedule(&mut self, millis: u64, inbound: Inbound) {
        let at = self.now + Duration::from_millis(millis);
        self.inbox.push((at, inbound));
    }

    fn head(&self, from: usize) -> gossip::GossipHead {
        gossip::GossipHead {
            from: harness::id(from),
            incarnation: self.incarnations[from],
            revision: ident::RuleRevision(self.revision),
            ready: true,
            confirmed: gossip::ConfirmationAge::UNKNOWN,
        }
    }

    fn claim(&self, index: usize) -> gossip::MemberUpdate {
        let service = format!("service-{:03}", index % 730);
        let facts = gossip::MemberFacts {
            tcp: harness::address(index),
            udp: harness::address(index),
            zone: zone(index),
            region: region(index),
            service: name::ServiceName::new(&service).ok(),
            slots: 40,
            leaving: self.incarnations[index] % 2 == 1,
            contact: None,
        };
        gossip::MemberUpdate {
            node: harness::id(index),
            incarnation: self.incarnations[index],
            status: gossip::MemberStatus::Alive(Box::new(facts)),
        }
    }

    fn dead_claim(&self, index: usize) -> gossip::MemberUpdate {
        gossip::MemberUpdate {
            node: harness::id(index),
            incarnation: self.incarnations[index],
            status: gossip::MemberStatus::Dead,
        }
    }

    fn count_second(&mut self) {
        let second = self.now.0 / 1_000_000;
        if second != self.current_second.0 {
            self.report.peak = self.report.peak.max(self.current_second.1);
            self.current_second = (second, 0);
        }
    }
}

fn index_of(address: std::net::SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => (u32::from(ip) - 0x0a00_0000) as usize,
        std::net::IpAddr::V6(_) => 0,
    }
}

fn zone(index: usize) -> name::ZoneName {
    name::ZoneName::new(&format!("ar-centro-{:02}", index % 14)).expect("a name")
}

fn region(index: usize) -> name::RegionName {
    name::RegionName::new(&format!("ar-centro-{}", index % 4)).expect("a name")
}

fn count(sums: &mut [(u64, u64); 9], message: &gossip::GossipMessage) -> u64 {
    let index = match message.kind {
        gossip::GossipKind::Ping { .. } => 0,
        gossip::GossipKind::Ack { .. } => 1,
        gossip::GossipKind::Nack { .. } | gossip::GossipKind::PingRequest { .. } => 2,
        gossip::GossipKind::Rumour => 3,
        gossip::GossipKind::PullChanges { .. } => 4,
        gossip::GossipKind::Changes { .. } => 5,
        _ => 6,
    };
    let bytes = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    let bytes = (bytes + datagram::OVERHEAD_BYTES + UDP_BYTES) as u64;
    add(&mut sums[index], bytes)
}

fn count_sync(sums: &mut [(u64, u64); 9], message: &gossip::SyncMessage) -> u64 {
    let index = match message {
        gossip::SyncMessage::Digest { .. } => 7,
        _ => 8,
    };
    let bytes = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    add(&mut sums[index], (bytes + TCP_BYTES) as u64)
}

fn add(sum: &mut (u64, u64), bytes: u64) -> u64 {
    sum.0 += 1;
    sum.1 += bytes;
    bytes
}
