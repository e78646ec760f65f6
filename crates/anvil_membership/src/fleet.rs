//! The membership state machine of one node.
//!
//! It uses SWIM's probes and suspicions with Lifeguard's local health score. Updates are
//! piggybacked on probes and sent as rumours, both within byte and rate limits; digest exchanges
//! repair what was lost. See `docs/design/membership.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, name, store, time};
use anvil_wire::gossip;

use crate::{
    census, config, contact, counters, effect, health, member, probe, random, relay, roster,
    rumour_budget, snapshot, spread, store_requests, suspicion, table,
};

mod claims;
mod comparison;
mod contacts;
mod counting;
mod probing;
mod proposing;
mod pulling;
mod reading;
mod rules;
mod sending;
mod snapshots;
mod store_access;
mod syncing;

pub use proposing::ProposalRefusal;

/// Minimum time between two wake-ups.
const WAKE_GAP: Duration = Duration::from_millis(1);

/// Number of digest exchanges of a starting node with a tenth of the usual interval.
const EARLY_SYNCS: u8 = 4;

/// What this node announces about its local target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalTarget {
    /// The service of the local target, if a target has registered.
    pub service: Option<name::ServiceName>,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the node or the target is leaving.
    pub leaving: bool,
}

/// The identity and the addresses of the local node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalNode {
    /// Its id, drawn at random at each start.
    pub node: ident::NodeId,
    /// The address at which it accepts peer connections.
    pub tcp: SocketAddr,
    /// The address at which it accepts datagrams.
    pub udp: SocketAddr,
    /// Its availability zone.
    pub zone: name::ZoneName,
    /// Its region.
    pub region: name::RegionName,
}

impl LocalNode {
    fn facts(&self) -> gossip::MemberFacts {
        gossip::MemberFacts {
            tcp: self.tcp,
            udp: self.udp,
            zone: self.zone.clone(),
            region: self.region.clone(),
            service: None,
            slots: 0,
            leaving: false,
            contact: None,
        }
    }
}

/// When the recurring tasks are due.
#[derive(Clone, Copy, Debug)]
struct FleetTimers {
    join: time::NodeTime,
    sync: time::NodeTime,
    /// An extra digest exchange after many members departed, to find departures that this node
    /// missed.
    mass_departure_sync: Option<time::NodeTime>,
    reconnect: time::NodeTime,
    trim: time::NodeTime,
}

/// The membership of one node.
#[derive(Clone, Debug)]
pub struct FleetState {
    config: config::FleetConfig,
    local: ident::NodeId,
    zone: name::ZoneName,
    udp: SocketAddr,
    incarnation: u32,
    left: bool,
    joined: bool,
    /// Whether claims about other members are relayed; off while a large bulk message is applied.
    relaying: bool,
    /// Number of frequent digest exchanges that are left.
    early_syncs: u8,
    /// Number of departures since the last digest exchange.
    recent_departures: u32,
    requests: store_requests::PendingRequests,
    contacts: contact::ContactState,
    rules: spread::RuleDistribution,
    roster: roster::RosterCheck,
    snapshot: snapshot::SnapshotState,
    census: census::CensusState,
    table: table::MemberTable,
    relays: relay::RelayQueue,
    rumours: rumour_budget::RumourBudget,
    suspicions: suspicion::SuspicionList,
    probes: probe::ProbeState,
    health: health::LocalHealth,
    reach: health::PeerReach,
    choice: random::ChoiceSource,
    timers: FleetTimers,
    /// The time of the event that is handled, or of the last one.
    event_at: time::NodeTime,
    /// When this process last handled an event, for the pause detection.
    last_active_at: time::NodeTime,
    last_wake_at: time::NodeTime,
    counters: counters::FleetCounters,
}

impl FleetState {
    /// Starts at `now` with only the local node as a member; the first wake-up is due immediately.
    pub fn new(
        config: config::FleetConfig,
        local: &LocalNode,
        seed: u64,
        now: time::NodeTime,
    ) -> Self {
        let mut choice = random::ChoiceSource::new(seed);
        // The random offsets keep nodes that start together from probing and syncing in lockstep.
        let timers = FleetTimers {
            join: now,
            sync: now + choice.span(config.sync_interval),
            mass_departure_sync: None,
            reconnect: now + choice.span(config.reconnect_interval),
            trim: now + config.reconnect_interval,
        };
        let first_period = now + choice.span(config.probe_interval);
        let first_list = now + choice.span(contact::FIRST_LIST_SPREAD);
        let first_claim = first_list + choice.span(contact::FIRST_CLAIM_SPREAD);
        let first_snapshot = choice.below(spread::SNAPSHOT_EVERY as usize) as u64;
        let first_snapshot = ident::RuleRevision(spread::SNAPSHOT_EVERY + first_snapshot);
        let rules = spread::RuleDistribution::new(now, config.store, !config.seeds.is_empty());
        let mut roster = roster::RosterCheck::new(!config.store && config.seeds.is_empty());
        if !config.seeds.is_empty() {
            roster.expect_others(now);
        }
        let mut state = Self {
            rumours: rumour_budget::RumourBudget::new(&config, now),
            config,
            local: local.node,
            zone: local.zone.clone(),
            udp: local.udp,
            incarnation: 0,
            left: false,
            joined: false,
            relaying: true,
            early_syncs: EARLY_SYNCS,
            recent_departures: 0,
            requests: store_requests::PendingRequests::default(),
            contacts: contact::ContactState::new(first_list, first_claim),
            rules,
            roster,
            snapshot: snapshot::SnapshotState::new(first_snapshot),
            census: census::CensusState::default(),
            table: table::MemberTable::default(),
            relays: relay::RelayQueue::default(),
            suspicions: suspicion::SuspicionList::default(),
            probes: probe::ProbeState::new(local.node, first_period),
            health: health::LocalHealth::default(),
            reach: health::PeerReach::default(),
            choice,
            timers,
            event_at: now,
            last_active_at: now,
            last_wake_at: time::NodeTime::START,
            counters: counters::FleetCounters::default(),
        };
        state.announce(local.facts(), now);
        state
    }

    /// Enables the store; must be called before the first event.
    pub fn use_store(&mut self, now: time::NodeTime) {
        self.config.store = true;
        self.rules = spread::RuleDistribution::new(now, true, !self.config.seeds.is_empty());
        self.roster = roster::RosterCheck::new(false);
    }

    /// Makes the node take its rules from the document that operators write under `key` of the
    /// store; must be called before the first event.
    ///
    /// Such fleets have at most a few hundred nodes, so each node reads the key itself and searches
    /// for its peers immediately.
    pub fn use_document(&mut self, now: time::NodeTime, key: store::StoreKey) {
        self.use_store(now);
        self.config.document = Some(key);
        self.config.reconnect_interval = config::SMALL_RECONNECT_INTERVAL;
        self.config.tombstone_span = config::SMALL_TOMBSTONE_SPAN;
        self.config.ping_left_members = true;
        self.config.max_list_age = contact::SMALL_MAX_LIST_AGE;
        self.timers.reconnect = now + self.choice.span(self.config.reconnect_interval);
        self.rules.read_at = Some(now);
        self.rules.is_watcher = false;
        self.rules.backoff = spread::document_backoff();
        let list_at = now + self.choice.span(contact::SMALL_FIRST_LIST_SPREAD);
        let vacancy_check_at = list_at + self.choice.span(contact::SMALL_FIRST_CLAIM_SPREAD);
        self.contacts = contact::ContactState::new(list_at, vacancy_check_at);
        self.contacts.backoff = contact::small_backoff();
    }

    /// The local node's id.
    pub fn local(&self) -> ident::NodeId {
        self.local
    }

    /// All known members, live and departed, including the local node.
    pub fn table(&self) -> &table::MemberTable {
        &self.table
    }

    /// The current suspicions.
    pub fn suspicions(&self) -> &[suspicion::Suspicion] {
        self.suspicions.all()
    }

    /// When the member of `suspicion` is declared dead unless it refutes.
    pub fn suspicion_deadline(&self, suspicion: &suspicion::Suspicion) -> time::NodeTime {
        suspicion.deadline(&self.config, self.table.live())
    }

    /// The counters since the start.
    pub fn counters(&self) -> &counters::FleetCounters {
        &self.counters
    }

    /// The local health score; zero if healthy, higher if this node seems to be slow itself.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Number of claims that are queued to be piggybacked.
    pub fn backlog(&self) -> usize {
        self.relays.len()
    }

    /// Whether a message of another member was received.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Announces the local target to the fleet; sends nothing if nothing changed.
    pub fn set_local_target(
        &mut self,
        now: time::NodeTime,
        target: &LocalTarget,
    ) -> Vec<effect::FleetEffect> {
        let Some(record) = self.table.get(self.local) else {
            return Vec::new();
        };
        let mut facts = record.facts.clone();
        facts.service.clone_from(&target.service);
        facts.slots = target.slots;
        facts.leaving = target.leaving;
        let mut out = Vec::new();
        if facts.leaving {
            // Released while the process still runs; otherwise the slot would name a stopped node
            // until the lease expires.
            self.release_slot(now, &mut out);
            facts.contact = None;
        }
        if self.table.get(self.local).is_some_and(|r| r.facts == facts) {
            return out;
        }
        self.incarnation = self.incarnation.saturating_add(1);
        self.announce(facts, now);
        self.send_rumour_if_due(now, &mut out);
        out
    }

    /// This node's incarnation, which rises with each announcement about itself.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Announces that this node leaves; it handles no events afterwards.
    pub fn leave(&mut self, now: time::NodeTime) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        let rank = (self.incarnation, member::MemberState::Left);
        self.table.set_state(self.local, rank, now);
        self.relay(self.local);
        // Sent twice, to different members, since this node cannot resend it later.
        self.send_rumour(&mut out);
        self.send_rumour(&mut out);
        self.left = true;
        out
    }

    /// Handles a datagram.
    pub fn on_datagram(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        message: &gossip::GossipMessage,
    ) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        // A datagram of this node that returns through a wrong address is not a peer's message.
        if self.left || message.head.from == self.local {
            return out;
        }
        self.note_pause(now, &mut out);
        self.counters.datagrams_received += 1;
        for update in &message.updates {
            self.apply(now, update, &mut out);
        }
        self.note_sender(now, message.head, &mut out);
        self.on_revision(now, from, message.head, &mut out);
        self.on_payload(now, from, message, &mut out);
        self.send_rumour_if_due(now, &mut out);
        out
    }

    /// Runs the tasks that are due.
    pub fn on_wake(&mut self, now: time::NodeTime) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        self.note_pause(now, &mut out);
        self.last_wake_at = now;
        self.end_comparison_when_due(now);
        self.join_when_due(now, &mut out);
        self.probe_when_due(now, &mut out);
        self.expire_suspects(now, &mut out);
        self.ping_suspects(now, &mut out);
        self.reconnect_when_due(now, &mut out);
        self.sync_when_due(now, &mut out);
        self.trim_when_due(now);
        self.expire_requests(now, &mut out);
        self.contacts_when_due(now, &mut out);
        self.rules_when_due(now, &mut out);
        self.census_when_due(now, &mut out);
        self.send_rumour_if_due(now, &mut out);
        out
    }

    /// When the next wake-up is due; none once the node has left.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        if self.left {
            return None;
        }
        let timers = self.timers;
        let mut due = self.probes.next_wake(&self.config, self.health);
        due = due.min(timers.sync).min(timers.reconnect).min(timers.trim);
        if !self.joined && !self.config.seeds.is_empty() {
            due = due.min(timers.join);
        }
        let live = self.table.live();
        let suspect = self.suspicions.next_deadline(&self.config, live);
        let push = self.rumours.next_wake();
        if self.config.store {
            due = due.min(self.contacts.next_wake());
        }
        let requests = self.requests.next_timeout();
        let rules = self.next_rules_wake();
        let census = self.census.next_wake();
        let mass_departure_sync = timers.mass_departure_sync;
        let compare = self.roster.next_wake();
        let others = [
            suspect,
            push,
            requests,
            rules,
            census,
            mass_departure_sync,
            compare,
        ];
        let others = others.into_iter().flatten();
        // A due time that is never advanced would make the reducer spin; the minimum gap limits
        // that to a thousand wake-ups per second.
        Some(others.fold(due, Ord::min).max(self.last_wake_at + WAKE_GAP))
    }

    /// Detects a pause of this process, and cancels the probe and restarts the suspicions.
    ///
    /// After a pause, the acks and refutations of that time are still unread in the socket. By the
    /// clock alone, the node would declare healthy members dead.
    fn note_pause(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        self.event_at = now;
        let Some(due) = self.next_wake().filter(|_| self.config.lifeguard) else {
            return;
        };
        let late = now.since(due.max(self.last_active_at));
        self.last_active_at = now;
        if late < self.config.pause_margin {
            return;
        }
        self.health.worsen();
        self.probes.cancel();
        self.suspicions.restart(now);
        self.counters.pauses += 1;
        let millis = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
        out.push(effect::FleetEffect::Report(effect::FleetReport::Paused {
            millis,
        }));
    }
}
