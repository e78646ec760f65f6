//! The ledger as an entry node: it resolves the home of an account and applies its decisions.

use std::time::Duration;

use anvil_types::{account, ident, time};
use anvil_wire::quota;

use crate::{effect, entry, ledger};

impl ledger::QuotaLedger {
    pub(super) fn on_decision(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        decision: quota::UsageDecision,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let Some(entry) = self.entries.get_mut(decision.account) else {
            return;
        };
        if let Some(hint) = decision.redirect {
            if entry.matches_session(from, decision) {
                self.use_hinted_home(now, decision.account, hint);
            }
            return;
        }
        if entry.is_outdated(from, decision) {
            self.begin_session(now, decision.account, Some(from));
            return;
        }
        for effect in entry.apply_decision(now, from, decision) {
            match effect {
                effect::QuotaEffect::Grant { .. } => self.counters.granted_by_home += 1,
                effect::QuotaEffect::Refuse { .. } => self.counters.refused += 1,
                effect::QuotaEffect::Send { .. } | effect::QuotaEffect::Log(_) => {}
            }
            out.push(effect);
        }
    }

    pub(super) fn wake_entry(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        let silent = entry.wake(now);
        self.unsent.push(account);
        if !silent {
            return;
        }
        let home = self.entries.get(account).and_then(|entry| entry.home);
        if let Some(home) = home {
            self.counters.homes_silent += 1;
            self.silent_nodes.insert(now, home, ledger::SILENT_TTL);
        }
        match self.resolve_home(now, account) {
            ledger::HomeLocation::Peer(..) => {}
            ledger::HomeLocation::Local | ledger::HomeLocation::Unreachable => {
                self.decide_waiting(now, account, out);
            }
        }
    }

    /// Passes over a home that has no rules yet. Its silence would hold up each account for as long
    /// as that of a crashed one.
    pub(super) fn on_unready(&mut self, now: time::NodeTime, home: ident::NodeId) {
        self.silent_nodes.insert(now, home, ledger::UNREADY_TTL);
        let asks_home = |entry: &entry::EntryAccount| entry.home == Some(home);
        self.unsent.extend(self.entries.keys_where(asks_home));
    }

    /// Decides locally the requests that waited for the decision of a node that is no longer the
    /// home.
    pub(super) fn decide_waiting(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let entry = self.entries.get_mut(account);
        let waiting = entry.map(entry::EntryAccount::take_waiting);
        for call in waiting.unwrap_or_default() {
            match self.decide(now, account, call) {
                effect::QuotaDecision::Granted => out.push(effect::QuotaEffect::Grant { call }),
                effect::QuotaDecision::Refused { pause } => {
                    out.push(effect::QuotaEffect::Refuse { call, pause });
                }
                effect::QuotaDecision::Pending => {}
            }
        }
    }

    /// Decides a request while no home answers.
    pub(super) fn admit_standalone(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        quota: account::AccountQuota,
    ) -> Result<(), Duration> {
        let part = self.ring.node_share();
        let taken = self.entry(now, account).admit_standalone(now, quota, part);
        self.counters.refused_alone += u64::from(taken.is_err());
        taken
    }

    /// Resolves the home of an account, and begins a new session if it has changed.
    pub(super) fn resolve_home(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
    ) -> ledger::HomeLocation {
        let silent_nodes = &self.silent_nodes;
        let tried = self.ring.homes(account).take(ledger::MAX_HOMES);
        let found = tried
            .enumerate()
            .find(|(_, known)| !silent_nodes.contains(now, known.node));
        let stands_in = found.is_some_and(|(index, _)| index > 0);
        let found = found.map(|(_, known)| *known);
        let location = match found {
            Some(found) if found.node == self.node => ledger::HomeLocation::Local,
            Some(found) => ledger::HomeLocation::Peer(found.node, found.address),
            None => ledger::HomeLocation::Unreachable,
        };
        let home = match location {
            ledger::HomeLocation::Local => Some(self.node),
            ledger::HomeLocation::Peer(node, _) => Some(node),
            ledger::HomeLocation::Unreachable => None,
        };
        let entry = self.entry(now, account);
        entry.set_stand_in(stands_in);
        if entry.home != home {
            self.begin_session(now, account, home);
        }
        location
    }

    /// Switches to a home that another node named.
    ///
    /// After all processes were killed, the new ones discover each other gradually. Without hints,
    /// an account would have a home in each partial view, and each home would admit the whole
    /// quota.
    fn use_hinted_home(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        hint: quota::HomeHint,
    ) {
        self.unsent.push(account);
        if self.on_hint(now, hint) {
            return;
        }
        // The node is already known, and passed over for a reason.
        let is_replaced = self.replaced_nodes.contains(now, hint.node);
        if is_replaced || !(hint.alive && self.retry_home(now, hint.node)) {
            self.entry(now, account).query_again();
        }
    }

    /// Retries a silent home from which another node has received messages; returns whether it is
    /// retried.
    ///
    /// If a home is silent for a moment, some entry nodes would use the next node for seconds while
    /// others use the home, and both would admit the whole rate. A home that only some nodes can
    /// reach is retried once within that time.
    fn retry_home(&mut self, now: time::NodeTime, home: ident::NodeId) -> bool {
        if self.retried_nodes.contains(now, home) {
            return false;
        }
        self.retried_nodes.insert(now, home, ledger::SILENT_TTL);
        self.silent_nodes.remove(home);
        true
    }

    pub(super) fn begin_session(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        home: Option<ident::NodeId>,
    ) {
        self.sessions += 1;
        let session = self.sessions;
        self.entry(now, account).begin_session(home, session);
        self.unsent.push(account);
    }

    pub(super) fn entry(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
    ) -> &mut entry::EntryAccount {
        self.entries
            .get_or_insert_with(account, || entry::EntryAccount::new(now))
    }
}
