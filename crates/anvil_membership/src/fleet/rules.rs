//! Rule changes: adopting them in order, learning of newer ones, handing them on.

use std::net::SocketAddr;

use anvil_types::{ident, store, time};
use anvil_wire::gossip;
use bytes::Bytes;

use crate::{effect, fleet, keys, member, rule_log, spread, store_requests};

/// Bytes of changes that go on a datagram; more go over TCP.
const DATAGRAM_BYTES: usize = 900;

impl fleet::FleetState {
    /// Whether work may be served: the revision held was compared with peers or with the store, and
    /// the members known with a peer's.
    ///
    /// A newcomer that served at once would treat requests by rules that its peers have left
    /// behind, seconds or days ago, and refuse services of whose targets it has not heard.
    pub fn is_ready(&self) -> bool {
        self.rules.ready
    }

    /// The revision held.
    pub fn revision(&self) -> ident::RuleRevision {
        self.rules.log.held()
    }

    /// The last accepted changes, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &gossip::LoggedChange> {
        self.rules.log.tail()
    }

    /// Hands on the whole rules that [`effect::FleetEffect::EncodeSnapshot`] asked for.
    pub fn on_snapshot_encoded(
        &mut self,
        now: time::NodeTime,
        destination: effect::SnapshotDestination,
        body: Bytes,
    ) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        let snapshot = gossip::LoggedChange {
            revision: self.revision(),
            change: self.rules.log.last_change(),
            body,
        };
        match destination {
            effect::SnapshotDestination::Peer(peer) => {
                self.send_changes(peer, Some(snapshot), Vec::new(), &mut out);
            }
            effect::SnapshotDestination::Store => self.begin_chunks(now, snapshot, &mut out),
        }
        out
    }

    /// Does what the rules have due.
    pub(super) fn rules_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.pull_again(now, out);
        if self.config.store {
            self.read_when_due(now, out);
            self.watch_when_due(now, out);
        }
        if self.config.store && self.config.document.is_none() {
            self.propose_when_due(now, out);
            self.snapshot_when_due(now, out);
        }
        self.become_ready(now, out);
    }

    /// When the rules have something due next.
    pub(super) fn rules_next(&self) -> Option<time::NodeTime> {
        let rules = &self.rules;
        let pull = rules.pull.map(|pull| pull.retry_at);
        let waits = !rules.ready && !self.config.store && rules.log.held() >= rules.highest_seen;
        let alone = waits.then_some(rules.standalone_at);
        let watch = self.may_watch().then(|| self.watch_due());
        let read = rules.read_at.filter(|_| !self.reads_rules());
        let proposal = rules.proposal.as_ref().and_then(|p| p.next.map(|n| n.0));
        let snapshot = self.snapshot.next_wake();
        let due = [pull, alone, watch, read, proposal, snapshot];
        due.into_iter().flatten().min()
    }

    /// Notes the revision in a message's head, and pulls where it is newer.
    pub(super) fn hear_revision(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        head: gossip::GossipHead,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let rules = &mut self.rules;
        rules.highest_seen = rules.highest_seen.max(head.revision);
        let enough = rules.ready_peers.len() >= spread::PEERS_COMPARED;
        if head.ready && !rules.ready && !enough && !rules.ready_peers.contains(&head.from) {
            rules.ready_peers.push(head.from);
        }
        if head.revision > rules.log.held() {
            let open = rules.pull.is_some_and(|pull| pull.retry_at > now);
            if !open {
                self.pull(now, from, head.revision, out);
            }
        } else if head.ready && !rules.ready && rules.log.held() >= rules.highest_seen {
            self.read_log_soon(now);
        }
        self.become_ready(now, out);
    }

    /// Takes changes from a peer or from the store, in any order; tells whether some are missing.
    pub(super) fn take_changes(
        &mut self,
        changes: &[gossip::LoggedChange],
        out: &mut Vec<effect::FleetEffect>,
    ) -> bool {
        let mut sorted: Vec<_> = changes.iter().collect();
        sorted.sort_by_key(|change| change.revision);
        let mut gap = false;
        for change in sorted {
            match self.rules.log.position(change.revision) {
                rule_log::OfferPosition::Old => {}
                rule_log::OfferPosition::Gap => gap = true,
                rule_log::OfferPosition::Next => {
                    self.rules.log.push(change);
                    out.push(effect::FleetEffect::AdoptChange(change.clone()));
                    self.after_adoption();
                }
            }
        }
        gap
    }

    /// Takes the whole rules where they are newer.
    pub(super) fn take_snapshot(
        &mut self,
        snapshot: &gossip::LoggedChange,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.rules.log.install_snapshot(snapshot) {
            out.push(effect::FleetEffect::AdoptSnapshot(snapshot.clone()));
            self.after_adoption();
        }
    }

    /// Answers a member that holds less.
    pub(super) fn answer_pull(
        &mut self,
        from: SocketAddr,
        peer: ident::NodeId,
        after: ident::RuleRevision,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if after >= self.revision() {
            return;
        }
        let Some(mut changes) = self.rules.log.since(after) else {
            let destination = effect::SnapshotDestination::Peer(peer);
            out.push(effect::FleetEffect::EncodeSnapshot { destination });
            return;
        };
        changes.truncate(gossip::MAX_CHANGES);
        let bytes: usize = changes.iter().map(|change| change.body.len() + 32).sum();
        if bytes <= DATAGRAM_BYTES {
            self.send(
                from,
                gossip::GossipKind::Changes { changes },
                Vec::new(),
                out,
            );
        } else {
            self.send_changes(peer, None, changes, out);
        }
    }

    /// Reads the log in the store at the next chance.
    pub(super) fn read_log_soon(&mut self, now: time::NodeTime) {
        // Where one key holds the whole rules, what comes after the first read is watched for.
        if self.config.document.is_some() && self.rules.caught_up {
            return;
        }
        if self.config.store && (!self.rules.store_failed || self.rules.read_at.is_none()) {
            self.rules.read_at = Some(now);
        }
    }

    /// Takes the outcome of a question about the log.
    pub(super) fn on_log_answer(
        &mut self,
        now: time::NodeTime,
        purpose: store_requests::RequestPurpose,
        outcome: &store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let store::StoreOutcome::Done(store::StoreReply::Listed {
            entries,
            seen,
            more,
        }) = outcome
        else {
            self.log_failed(now, purpose, outcome, out);
            return;
        };
        self.rules.backoff.reset();
        self.rules.store_failed = false;
        let decoded = entries.iter();
        let decoded = decoded.filter_map(|entry| gossip::LoggedChange::from_value(&entry.value));
        let changes: Vec<_> = decoded.collect();
        let gap = if self.config.document.is_some() {
            // The key holds whole rules, so none is missing before the newest.
            for snapshot in &changes {
                self.take_snapshot(snapshot, out);
            }
            false
        } else {
            self.take_changes(&changes, out)
        };
        self.rules.watch_at = now;
        self.look_later(now);
        if purpose == store_requests::RequestPurpose::WatchLog {
            self.rules.seen = self.rules.seen.max(*seen);
            if gap {
                self.read_log_soon(now);
            }
        } else if gap {
            // The log has been trimmed behind a snapshot.
            let key = store::StoreKey::new(keys::MANIFEST);
            self.ask(
                now,
                store_requests::RequestPurpose::ReadManifest,
                store::StoreRequest::Get { key },
                out,
            );
        } else if *more {
            self.rules.read_at = Some(now);
        } else {
            self.rules.seen = self.rules.seen.max(*seen);
            self.rules.caught_up = true;
        }
        self.become_ready(now, out);
    }

    /// Whether a question about the log or a snapshot is out.
    fn reads_rules(&self) -> bool {
        let purposes = [
            store_requests::RequestPurpose::ReadLog,
            store_requests::RequestPurpose::ReadManifest,
            store_requests::RequestPurpose::ReadChunk,
        ];
        purposes.iter().any(|purpose| self.asks.is_open(*purpose))
    }

    /// Whether this node waits at the store for the next change of the rules.
    pub fn watches_rules(&self) -> bool {
        self.asks.is_open(store_requests::RequestPurpose::WatchLog) && self.rules.is_watcher
    }

    /// When the store is next asked for a change.
    fn watch_due(&self) -> time::NodeTime {
        let rules = &self.rules;
        if rules.is_watcher {
            rules.watch_at
        } else {
            let others = u32::try_from(self.table.live()).unwrap_or(u32::MAX);
            let look_at = rules.polled_at + rules.poll_interval.saturating_mul(others);
            rules.watch_at.max(look_at).max(rules.watcher_choice_at)
        }
    }

    /// Decides whether this node is one of those of its zone that watch the key: every node computes the
    /// same order, so nothing has to be agreed, and the next one takes over from one that is accused.
    ///
    /// A fresh node that knows nobody yet would take itself for one.
    fn choose_watchers(&mut self, now: time::NodeTime) {
        if !self.roster.is_compared() && now < self.rules.watcher_choice_at {
            return;
        }
        let before = self.table.all().iter().filter(|m| {
            m.state == member::MemberState::Alive
                && m.node < self.local
                && m.facts.zone == self.zone
                && !m.facts.leaving
        });
        self.rules.is_watcher = before.take(spread::DOCUMENT_WATCHERS).count()
            < spread::DOCUMENT_WATCHERS
            && !self.is_leaving();
    }

    /// Draws when a node that does not watch looks at the key next.
    fn look_later(&mut self, now: time::NodeTime) {
        self.rules.polled_at = now;
        self.rules.poll_interval =
            spread::DOCUMENT_POLL_INTERVAL / 2 + self.choice.span(spread::DOCUMENT_POLL_INTERVAL);
    }

    fn may_watch(&self) -> bool {
        self.config.store
            && self.rules.caught_up
            && (self.config.document.is_some() || self.contacts.watches_log())
            && !self.asks.is_open(store_requests::RequestPurpose::WatchLog)
    }

    fn log_failed(
        &mut self,
        now: time::NodeTime,
        purpose: store_requests::RequestPurpose,
        outcome: &store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if *outcome == store::StoreOutcome::HistoryTrimmed {
            // What was written in the gap can only be read; watching on from the same point would
            // be refused for ever.
            self.rules.watch_at = now;
            self.rules.caught_up = false;
            self.rules.read_at = Some(now);
            // The store may have come back from an older copy, whose order of writes begins anew.
            self.rules.seen = store::StoreVersion(0);
            self.check_all_contacts(now, out);
            return;
        }
        let pause = self.rules.backoff.next_pause(self.choice.any());
        if purpose == store_requests::RequestPurpose::WatchLog {
            self.rules.watch_at = now + pause;
            return;
        }
        self.rules.store_failed = true;
        self.rules.read_at = Some(now + pause);
        self.become_ready(now, out);
    }

    fn after_adoption(&mut self) {
        self.counters.rules_adopted += 1;
        // With one rumour of each, a node in fifty hears with the probes, seconds later, and more
        // where some of those told have just vanished.
        if self.config.document.is_some() {
            self.pushing.request_change();
        } else {
            self.pushing.request();
        }
        let held = self.revision();
        let rules = &mut self.rules;
        rules.highest_seen = rules.highest_seen.max(held);
        if rules.pull.is_some_and(|pull| pull.revision <= held) {
            rules.pull = None;
        }
    }

    fn pull(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        revision: ident::RuleRevision,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let after = self.revision();
        self.rules.pull = Some(spread::OpenPull {
            from,
            revision,
            retry_at: now + spread::PULL_RETRY,
        });
        self.counters.rule_pulls += 1;
        self.send(
            from,
            gossip::GossipKind::PullChanges { after },
            Vec::new(),
            out,
        );
    }

    /// Pulls again from a random member where the first one did not answer.
    fn pull_again(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(pull) = self.rules.pull.filter(|pull| pull.retry_at <= now) else {
            return;
        };
        if pull.revision <= self.revision() {
            self.rules.pull = None;
            return;
        }
        let held = self.revision();
        let ahead = |m: &member::MemberRecord| m.state.is_live() && m.revision > held;
        let other = self
            .table
            .draw(&mut self.choice, ahead)
            .map(|m| m.facts.udp);
        self.pull(now, other.unwrap_or(pull.from), pull.revision, out);
    }

    fn send_changes(
        &mut self,
        peer: ident::NodeId,
        snapshot: Option<gossip::LoggedChange>,
        changes: Vec<gossip::LoggedChange>,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let head = self.head();
        let message = gossip::SyncMessage::Changes {
            head,
            snapshot,
            changes,
        };
        self.send_sync(peer, message, out);
    }

    fn read_when_due(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let due = self.rules.read_at.is_some_and(|at| at <= now);
        if !due || self.reads_rules() {
            return;
        }
        self.rules.read_at = None;
        let held = self.revision();
        if let Some(key) = self.config.document.clone() {
            let ask = store::StoreRequest::List {
                prefix: key,
                after: None,
                limit: 1,
            };
            self.ask(now, store_requests::RequestPurpose::ReadLog, ask, out);
            return;
        }
        let ask = store::StoreRequest::List {
            prefix: store::StoreKey::new(keys::LOG),
            after: (held.0 > 0).then(|| keys::log_entry(held)),
            limit: spread::READ_LIMIT,
        };
        self.ask(now, store_requests::RequestPurpose::ReadLog, ask, out);
    }

    fn watch_when_due(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        if self.config.document.is_some() {
            self.choose_watchers(now);
        }
        if !self.may_watch() || self.watch_due() > now {
            return;
        }
        let (prefix, wait) = match &self.config.document {
            Some(key) if self.rules.is_watcher => (key.clone(), spread::DOCUMENT_WATCH_WAIT),
            Some(key) => (key.clone(), spread::DOCUMENT_POLL_WAIT),
            None => (store::StoreKey::new(keys::LOG), spread::WATCH_WAIT),
        };
        let ask = store::StoreRequest::Watch {
            prefix,
            seen: self.rules.seen,
            wait,
        };
        self.ask(now, store_requests::RequestPurpose::WatchLog, ask, out);
    }

    pub(super) fn become_ready(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let compared = self.roster.is_compared() && self.has_compared(now);
        if self.rules.ready || !compared {
            return;
        }
        self.rules.ready = true;
        let revision = self.revision();
        out.push(effect::FleetEffect::Ready);
        out.push(effect::FleetEffect::Report(
            effect::FleetReport::RulesReady { revision },
        ));
    }

    fn has_compared(&self, now: time::NodeTime) -> bool {
        let rules = &self.rules;
        let unwritten = rules.log.held() == ident::RuleRevision::default();
        if rules.log.held() < rules.highest_seen || (self.config.document.is_some() && unwritten) {
            return false;
        }
        if rules.caught_up {
            return true;
        }
        let others = self.table.live().saturating_sub(1);
        let wanted = others.clamp(1, spread::PEERS_COMPARED);
        let heard_enough = rules.ready_peers.len() >= wanted;
        if self.config.store && self.config.document.is_none() {
            return rules.store_failed && heard_enough;
        }
        heard_enough || (!self.config.store && now >= rules.standalone_at)
    }
}
