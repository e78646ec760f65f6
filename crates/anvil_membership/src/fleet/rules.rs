//! Rule changes: applying them in order, watching for newer ones, and when a node may serve by them.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, store, time};
use anvil_wire::gossip;
use bytes::Bytes;

use crate::{effect, fleet, keys, member, rule_log, spread, store_requests};

impl fleet::FleetState {
    /// Whether the node may serve requests: its revision was compared with peers or with the store,
    /// and its members were compared with a peer's.
    ///
    /// A starting node that served immediately would apply rules that were replaced seconds or days
    /// ago, and refuse services whose targets it does not know yet.
    pub fn is_ready(&self) -> bool {
        self.rules.ready
    }

    /// The revision held.
    pub fn revision(&self) -> ident::RuleRevision {
        self.rules.log.held()
    }

    /// The newest revision that this node holds or has heard of.
    pub fn known_revision(&self) -> ident::RuleRevision {
        self.rules.highest_seen
    }

    /// The last accepted changes, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &gossip::LoggedChange> {
        self.rules.log.tail()
    }

    /// Takes the encoded rules that [`effect::FleetEffect::EncodeSnapshot`] requested, and sends or
    /// writes them.
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

    /// Runs the tasks of the rules that are due.
    pub(super) fn rules_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.retry_pull(now, out);
        if self.config.store {
            self.read_when_due(now, out);
            self.watch_when_due(now, out);
        }
        if self.config.store && self.config.document.is_none() {
            self.propose_when_due(now, out);
            self.snapshot_when_due(now, out);
        }
        self.update_readiness(now, out);
    }

    /// When the next task of the rules is due.
    pub(super) fn next_rules_wake(&self) -> Option<time::NodeTime> {
        let rules = &self.rules;
        let pull = rules.pull.map(|pull| pull.retry_at);
        let may_start_alone =
            !rules.ready && !self.config.store && rules.log.held() >= rules.highest_seen;
        let standalone = may_start_alone.then_some(rules.standalone_at);
        let watch = self.may_watch().then_some(rules.watch_at);
        let read = self.next_read_at();
        let proposal = rules.proposal.as_ref().and_then(|p| p.next.map(|n| n.0));
        let snapshot = self.snapshot.next_wake();
        let due = [pull, standalone, watch, read, proposal, snapshot];
        due.into_iter().flatten().min()
    }

    /// Handles the revision in a message's head, and pulls if it is newer.
    pub(super) fn on_revision(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        head: gossip::GossipHead,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.note_revision(now, head, out);
        if head.revision >= self.revision() {
            self.rules.refresh.heard(now, head.confirmed);
        }
        let rules = &mut self.rules;
        let list_full = rules.ready_peers.len() >= spread::PEERS_COMPARED;
        if head.ready && !rules.ready && !list_full && !rules.ready_peers.contains(&head.from) {
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
        self.update_readiness(now, out);
    }

    /// Applies changes from a peer or from the store, in any order; returns whether some are
    /// missing.
    pub(super) fn apply_changes(
        &mut self,
        now: time::NodeTime,
        path: effect::RulePath,
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
                    self.after_adoption(now, path, out);
                    out.push(effect::FleetEffect::AdoptChange(change.clone()));
                }
            }
        }
        gap
    }

    /// Applies a snapshot of the rules, if it is newer.
    pub(super) fn apply_snapshot(
        &mut self,
        now: time::NodeTime,
        path: effect::RulePath,
        snapshot: &gossip::LoggedChange,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.rules.log.install_snapshot(snapshot) {
            self.after_adoption(now, path, out);
            out.push(effect::FleetEffect::AdoptSnapshot(snapshot.clone()));
        }
    }

    /// Handles the outcome of a request about the log or the rule document.
    pub(super) fn on_log_outcome(
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
            self.on_log_failure(now, purpose, outcome, out);
            return;
        };
        self.rules.backoff.reset();
        self.rules.store_failed = false;
        self.rules.refresh.store_answered();
        let decoded = entries.iter();
        let decoded = decoded.filter_map(|entry| gossip::LoggedChange::from_value(&entry.value));
        let changes: Vec<_> = decoded.collect();
        let path = match purpose {
            store_requests::RequestPurpose::WatchLog => effect::RulePath::Watch,
            _ => effect::RulePath::Read,
        };
        let held = self.revision();
        let gap = if self.config.document.is_some() {
            // A document contains the complete rules, so no earlier changes can be missing.
            for snapshot in &changes {
                self.apply_snapshot(now, path, snapshot, out);
            }
            false
        } else {
            self.apply_changes(now, path, &changes, out)
        };
        self.rules.watch_at = now;
        self.rules_confirmed(now, out);
        if purpose == store_requests::RequestPurpose::WatchLog {
            self.rules.seen = self.rules.seen.max(*seen);
            if gap {
                self.read_log_soon(now);
            }
        } else if gap {
            // The log has been trimmed up to a snapshot.
            let key = store::StoreKey::new(keys::MANIFEST);
            self.request_store(
                now,
                store_requests::RequestPurpose::ReadManifest,
                store::StoreRequest::Get { key },
                out,
            );
        } else if *more {
            self.rules.read_at = Some(now);
        } else {
            self.rules.seen = match self.config.document {
                // The document is complete, so a watch may continue from any version up to its own.
                // The versions of a store that was restored from an older copy start again.
                Some(_) => *seen,
                None => self.rules.seen.max(*seen),
            };
            self.rules.caught_up = true;
        }
        if purpose == store_requests::RequestPurpose::ReadLog && self.config.document.is_some() {
            let is_newer = self.revision() > held;
            self.confirm_document(now, is_newer, out);
        }
        self.update_readiness(now, out);
    }

    /// Whether a watch for the next change of the rules is pending.
    pub fn watches_rules(&self) -> bool {
        self.requests
            .is_open(store_requests::RequestPurpose::WatchLog)
            && self.rules.is_watcher
    }

    /// When the store last answered a request of this node about the rules.
    pub fn rules_confirmed_at(&self) -> time::NodeTime {
        self.rules.answered_at
    }

    /// The age of the latest known read of the rule document at which this node reads it itself.
    pub fn rules_stale_age(&self) -> Duration {
        self.rules.refresh.stale_age()
    }

    /// Decides whether this node watches the rule document itself.
    ///
    /// Every node computes the same order of the nodes of its zone, so no agreement is needed, and
    /// the next node replaces a suspect one. A starting node waits first, since without known
    /// members it would always choose itself.
    ///
    /// A node whose probe is not answered watches too: the watchers may have ended, or it may be cut
    /// off from them, and it would learn of either seconds later than of a change.
    fn choose_watchers(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        if !self.roster.is_compared() && now < self.rules.watcher_choice_at {
            return;
        }
        let before = self.table.all().iter().filter(|m| {
            m.state == member::MemberState::Alive
                && m.node < self.local
                && m.facts.zone == self.zone
                && !m.facts.leaving
        });
        let chosen = before.take(spread::DOCUMENT_WATCHERS).count() < spread::DOCUMENT_WATCHERS
            && !self.is_leaving();
        let watching = chosen || self.reach.is_doubtful();
        if std::mem::replace(&mut self.rules.is_watcher, watching) != watching {
            out.push(effect::FleetEffect::Report(
                effect::FleetReport::RuleWatch { watching },
            ));
        }
    }

    /// Records that the store answered a request about the rules.
    fn rules_confirmed(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let answered_at = std::mem::replace(&mut self.rules.answered_at, now);
        if std::mem::take(&mut self.rules.is_unconfirmed) {
            let since = now.since(answered_at).as_millis();
            let report = effect::FleetReport::RulesConfirmed {
                revision: self.revision(),
                millis: u64::try_from(since).unwrap_or(u64::MAX),
            };
            out.push(effect::FleetEffect::Report(report));
        }
    }

    fn may_watch(&self) -> bool {
        let is_watcher = match self.config.document {
            Some(_) => self.rules.is_watcher,
            None => self.contacts.watches_log(),
        };
        self.config.store
            && self.rules.caught_up
            && is_watcher
            && !self
                .requests
                .is_open(store_requests::RequestPurpose::WatchLog)
    }

    fn on_log_failure(
        &mut self,
        now: time::NodeTime,
        purpose: store_requests::RequestPurpose,
        outcome: &store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if *outcome == store::StoreOutcome::HistoryTrimmed {
            // The changes of the gap can only be read; a watch from the same version would be
            // rejected for ever.
            self.rules.watch_at = now;
            self.rules.caught_up = false;
            self.rules.read_at = Some(now);
            // The store may have been restored from an older copy, whose versions start again.
            self.rules.seen = store::StoreVersion(0);
            self.request_lease_checks(now, out);
            return;
        }
        if !std::mem::replace(&mut self.rules.is_unconfirmed, true) {
            let revision = self.revision();
            out.push(effect::FleetEffect::Report(
                effect::FleetReport::RulesUnconfirmed { revision },
            ));
        }
        let pause = self.rules.backoff.next_pause(self.choice.any());
        if purpose == store_requests::RequestPurpose::WatchLog {
            self.rules.watch_at = now + pause;
            return;
        }
        self.rules.store_failed = true;
        self.rules.refresh.read_failed(now, &mut self.choice);
        let is_needed = !self.rules.caught_up || self.rules.pull.is_some();
        let retries = self.config.document.is_none() || is_needed;
        self.rules.read_at = retries.then_some(now + pause);
        self.update_readiness(now, out);
    }

    /// Records that a message told of a newer revision than the one held.
    fn note_revision(
        &mut self,
        now: time::NodeTime,
        head: gossip::GossipHead,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let held = self.revision();
        let rules = &mut self.rules;
        if head.revision <= rules.highest_seen {
            return;
        }
        rules.highest_seen = head.revision;
        rules.heard_at.get_or_insert(now);
        let report = effect::FleetReport::RulesHeard {
            revision: head.revision,
            from: head.from,
            held,
        };
        out.push(effect::FleetEffect::Report(report));
    }

    fn after_adoption(
        &mut self,
        now: time::NodeTime,
        path: effect::RulePath,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.counters.rules_adopted += 1;
        let heard = self.rules.heard_at.map(|at| now.since(at).as_millis());
        let report = effect::FleetReport::RulesLearned {
            revision: self.revision(),
            path,
            millis: u64::try_from(heard.unwrap_or(0)).unwrap_or(u64::MAX),
        };
        out.push(effect::FleetEffect::Report(report));
        // If each node sends one rumour, one node in fifty is missed and receives the change with a
        // probe seconds later, and more if some of the receivers have just crashed.
        if self.config.document.is_some() {
            self.rumours.request_change();
        } else {
            self.rumours.request();
        }
        let held = self.revision();
        let rules = &mut self.rules;
        rules.highest_seen = rules.highest_seen.max(held);
        if rules.highest_seen == held {
            rules.heard_at = None;
        }
        if rules.pull.is_some_and(|pull| pull.revision <= held) {
            rules.pull = None;
        }
    }

    fn watch_when_due(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        if self.config.document.is_some() {
            self.choose_watchers(now, out);
        }
        if !self.may_watch() || self.rules.watch_at > now {
            return;
        }
        let (prefix, wait) = match &self.config.document {
            Some(key) => (key.clone(), spread::DOCUMENT_WATCH_WAIT),
            None => (store::StoreKey::new(keys::LOG), spread::WATCH_WAIT),
        };
        let request = store::StoreRequest::Watch {
            prefix,
            seen: self.rules.seen,
            wait,
        };
        self.request_store(now, store_requests::RequestPurpose::WatchLog, request, out);
    }

    pub(super) fn update_readiness(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let compared = self.roster.is_compared() && self.rules_compared(now);
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

    fn rules_compared(&self, now: time::NodeTime) -> bool {
        let rules = &self.rules;
        let has_no_rules = rules.log.held() == ident::RuleRevision::default();
        if rules.log.held() < rules.highest_seen || (self.config.document.is_some() && has_no_rules)
        {
            return false;
        }
        if rules.caught_up {
            return true;
        }
        let others = self.table.live().saturating_sub(1);
        let wanted = others.clamp(1, spread::PEERS_COMPARED);
        let enough_ready_peers = rules.ready_peers.len() >= wanted;
        if self.config.store && self.config.document.is_none() {
            return rules.store_failed && enough_ready_peers;
        }
        enough_ready_peers || (!self.config.store && now >= rules.standalone_at)
    }
}
