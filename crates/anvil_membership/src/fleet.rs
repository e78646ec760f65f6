//! The membership of one node: what it hears, what it does next.
//!
//! SWIM's probes and suspicions, with Lifeguard's local health, spread by bounded piggyback and
//! rumours, and mended by an exchange of digests. See `docs/design/membership.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, name, store, time};
use anvil_wire::gossip;

use crate::{
    census, config, contact, counters, effect, health, member, probe, random, relay, roster,
    rumour_budget, snapshot, spread, store_requests, suspicion, table,
};

mod claims;
mod contacts;
mod counting;
mod newcomer;
mod probing;
mod proposing;
mod rules;
mod sending;
mod snapshots;
mod store_access;
mod syncing;

pub use proposing::ProposalRefusal;

/// Shortest time between two wakes.
const WAKE_GAP: Duration = Duration::from_millis(1);

/// Exchanges of digests of a fresh node that follow one another ten times as fast.
const EARLY_SYNCS: u8 = 4;

/// What the local target and node want others to know.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalTarget {
    /// The service of the local target, where one announced itself.
    pub service: Option<name::ServiceName>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether the node or the target is leaving.
    pub leaving: bool,
}

/// Who the local node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalNode {
    /// Its identity, drawn at this start.
    pub node: ident::NodeId,
    /// Where it accepts peer connections.
    pub tcp: SocketAddr,
    /// Where it accepts datagrams.
    pub udp: SocketAddr,
    /// The availability zone it stands in.
    pub zone: name::ZoneName,
    /// The region it stands in.
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

/// When the recurring matters are due.
#[derive(Clone, Copy, Debug)]
struct FleetTimers {
    join: time::NodeTime,
    sync: time::NodeTime,
    /// An exchange of digests soon after many members ended, to find an end that was missed.
    storm_sync: Option<time::NodeTime>,
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
    repeating: bool,
    early_syncs: u8,
    recent_ends: u32,
    asks: store_requests::PendingRequests,
    contacts: contact::ContactState,
    rules: spread::RuleSpread,
    roster: roster::RosterCheck,
    snapshot: snapshot::SnapshotState,
    census: census::CensusState,
    table: table::MemberTable,
    relays: relay::RelayQueue,
    pushing: rumour_budget::RumourBudget,
    suspicions: suspicion::SuspicionList,
    probes: probe::ProbeState,
    health: health::LocalHealth,
    choice: random::ChoiceSource,
    timers: FleetTimers,
    awake: time::NodeTime,
    woke: time::NodeTime,
    counters: counters::FleetCounters,
}

impl FleetState {
    /// Starts at `now` knowing only the local node; the first wake is due at once.
    pub fn new(
        config: config::FleetConfig,
        local: &LocalNode,
        seed: u64,
        now: time::NodeTime,
    ) -> Self {
        let mut choice = random::ChoiceSource::new(seed);
        // Nodes that start together would otherwise probe and sync in step for ever.
        let timers = FleetTimers {
            join: now,
            sync: now + choice.span(config.sync_interval),
            storm_sync: None,
            reconnect: now + choice.span(config.reconnect_interval),
            trim: now + config.reconnect_interval,
        };
        let first_turn = now + choice.span(config.probe_interval);
        let first_find = now + choice.span(contact::FIRST_LIST_SPREAD);
        let first_look = first_find + choice.span(contact::FIRST_CLAIM_SPREAD);
        let first_snapshot = choice.below(spread::SNAPSHOT_EVERY as usize) as u64;
        let first_snapshot = ident::RuleRevision(spread::SNAPSHOT_EVERY + first_snapshot);
        let rules = spread::RuleSpread::new(now, config.store, !config.seeds.is_empty());
        let mut roster = roster::RosterCheck::new(!config.store && config.seeds.is_empty());
        if !config.seeds.is_empty() {
            roster.expect_others(now);
        }
        let mut state = Self {
            pushing: rumour_budget::RumourBudget::new(&config, now),
            config,
            local: local.node,
            zone: local.zone.clone(),
            udp: local.udp,
            incarnation: 0,
            left: false,
            joined: false,
            repeating: true,
            early_syncs: EARLY_SYNCS,
            recent_ends: 0,
            asks: store_requests::PendingRequests::default(),
            contacts: contact::ContactState::new(first_find, first_look),
            rules,
            roster,
            snapshot: snapshot::SnapshotState::new(first_snapshot),
            census: census::CensusState::default(),
            table: table::MemberTable::default(),
            relays: relay::RelayQueue::default(),
            suspicions: suspicion::SuspicionList::default(),
            probes: probe::ProbeState::new(first_turn),
            health: health::LocalHealth::default(),
            choice,
            timers,
            awake: now,
            woke: time::NodeTime::START,
            counters: counters::FleetCounters::default(),
        };
        state.announce(local.facts(), now);
        state
    }

    /// Lets the node use the platform's store; to be called before the first event.
    pub fn use_store(&mut self, now: time::NodeTime) {
        self.config.store = true;
        self.rules = spread::RuleSpread::new(now, true, !self.config.seeds.is_empty());
        self.roster = roster::RosterCheck::new(false);
    }

    /// Lets the node take its rules from one key of the store, which the operators write; to be
    /// called before the first event.
    ///
    /// Such fleets are of hundreds of nodes at most, so each node reads and watches the key itself
    /// and looks for its peers at once.
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
    }

    /// The local node's identity.
    pub fn local(&self) -> ident::NodeId {
        self.local
    }

    /// Everything known about members, alive and gone, the local node included.
    pub fn table(&self) -> &table::MemberTable {
        &self.table
    }

    /// Members that stand accused at present.
    pub fn suspicions(&self) -> &[suspicion::Suspicion] {
        self.suspicions.all()
    }

    /// When `suspicion` ends its member unless refuted.
    pub fn suspicion_deadline(&self, suspicion: &suspicion::Suspicion) -> time::NodeTime {
        suspicion.deadline(&self.config, self.table.live())
    }

    /// Counts since the start.
    pub fn counters(&self) -> &counters::FleetCounters {
        &self.counters
    }

    /// How little this node trusts its own view; zero where all is well.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Claims that still wait to ride on datagrams.
    pub fn backlog(&self) -> usize {
        self.relays.len()
    }

    /// Whether another member has been met.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Tells the fleet about the local target; nothing is sent where nothing changed.
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
            // Given back now, while the process still runs to see it done; the slot would
            // otherwise stand vacant until the lease lapses.
            self.release_contact(now, &mut out);
            facts.contact = None;
        }
        if self.table.get(self.local).is_some_and(|r| r.facts == facts) {
            return out;
        }
        self.incarnation = self.incarnation.saturating_add(1);
        self.announce(facts, now);
        self.push_now(now, &mut out);
        out
    }

    /// Counts what this node has announced of itself; each announcement has a higher number.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Says that this node is gone for good; it answers nothing any more.
    pub fn leave(&mut self, now: time::NodeTime) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        let rank = (self.incarnation, member::MemberState::Left);
        self.table.set_state(self.local, rank, now);
        self.relay(self.local);
        // Said twice to different members, since nobody will repeat it for this node.
        self.push_rumour(&mut out);
        self.push_rumour(&mut out);
        self.left = true;
        out
    }

    /// Takes a datagram.
    pub fn on_datagram(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        message: &gossip::GossipMessage,
    ) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        // An own datagram reflected by a wrong address must not count as a peer's word.
        if self.left || message.head.from == self.local {
            return out;
        }
        self.note_pause(now, &mut out);
        self.counters.datagrams_received += 1;
        for update in &message.updates {
            self.apply(now, update, &mut out);
        }
        self.on_head(now, message.head, &mut out);
        self.hear_revision(now, from, message.head, &mut out);
        self.on_kind(now, from, message, &mut out);
        self.push_now(now, &mut out);
        out
    }

    /// Does what is due.
    pub fn on_wake(&mut self, now: time::NodeTime) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        self.note_pause(now, &mut out);
        self.woke = now;
        self.compare_when_due(now);
        self.join_when_due(now, &mut out);
        self.probe_when_due(now, &mut out);
        self.judge_suspects(now, &mut out);
        self.ask_suspects(now, &mut out);
        self.reconnect_when_due(now, &mut out);
        self.sync_when_due(now, &mut out);
        self.trim_when_due(now);
        self.lose_asks(now, &mut out);
        self.contacts_when_due(now, &mut out);
        self.rules_when_due(now, &mut out);
        self.census_when_due(now, &mut out);
        self.push_now(now, &mut out);
        out
    }

    /// When the next wake is due; none once the node has left.
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
        let push = self.pushing.next_wake();
        if self.config.store {
            due = due.min(self.contacts.next_wake());
        }
        let asks = self.asks.next_timeout();
        let rules = self.rules_next();
        let census = self.census.next_wake();
        let storm = timers.storm_sync;
        let compare = self.roster.next_wake();
        let others = [suspect, push, asks, rules, census, storm, compare];
        let others = others.into_iter().flatten();
        // A due time that nothing moves on would make the reducer spin; it costs a thousand wakes
        // a second at most.
        Some(others.fold(due, Ord::min).max(self.woke + WAKE_GAP))
    }

    /// Keeps probes and suspicions of a paused process from accusing others.
    ///
    /// After a pause every answer and refutation of that time lies unread in the socket; judged by
    /// the clock alone, the node would declare healthy members gone.
    fn note_pause(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(due) = self.next_wake().filter(|_| self.config.lifeguard) else {
            return;
        };
        let late = now.since(due.max(self.awake));
        self.awake = now;
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
