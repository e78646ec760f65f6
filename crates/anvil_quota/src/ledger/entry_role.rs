//! The ledger as an entry node: which home an account has, and what its word lets in.

use std::time::Duration;

use anvil_types::{account, ident, time};
use anvil_wire::quota;

use crate::{effect, entry, ledger};

impl ledger::QuotaLedger {
    pub(super) fn on_verdict(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        verdict: quota::UsageDecision,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let Some(entry) = self.entries.get_mut(verdict.account) else {
            return;
        };
        if let Some(hint) = verdict.redirect {
            if entry.matches_session(from, verdict) {
                self.follow_hint(now, verdict.account, hint);
            }
            return;
        }
        if entry.is_outdated(from, verdict) {
            self.begin_session(now, verdict.account, Some(from));
            return;
        }
        for effect in entry.apply_verdict(now, from, verdict) {
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
            self.silent.insert(now, home, ledger::SILENT_SPAN);
        }
        match self.resolve_home(now, account) {
            ledger::HomePlace::Peer(..) => {}
            ledger::HomePlace::Own | ledger::HomePlace::Nobody => {
                self.decide_waiting(now, account, out);
            }
        }
    }

    /// Decides here what waited for the word of a node that is the home no more.
    pub(super) fn decide_waiting(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let entry = self.entries.get_mut(account);
        let waiting = entry.map(entry::EntryAccount::take_waiting);
        for call in waiting.unwrap_or_default() {
            match self.admit(now, account, call) {
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

    /// The home of an account, with whose session the entry goes on.
    pub(super) fn resolve_home(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
    ) -> ledger::HomePlace {
        let silent = &self.silent;
        let tried = self.ring.homes(account).take(ledger::HOMES_TRIED);
        let found = tried
            .enumerate()
            .find(|(_, known)| !silent.contains(now, known.node));
        let stands_in = found.is_some_and(|(place, _)| place > 0);
        let found = found.map(|(_, known)| *known);
        let place = match found {
            Some(found) if found.node == self.node => ledger::HomePlace::Own,
            Some(found) => ledger::HomePlace::Peer(found.node, found.address),
            None => ledger::HomePlace::Nobody,
        };
        let home = match place {
            ledger::HomePlace::Own => Some(self.node),
            ledger::HomePlace::Peer(node, _) => Some(node),
            ledger::HomePlace::Nobody => None,
        };
        let entry = self.entry(now, account);
        entry.note_stand_in(stands_in);
        if entry.home != home {
            self.begin_session(now, account, home);
        }
        place
    }

    /// Goes on with a home that another node named.
    ///
    /// Failure: all processes were killed, and each new one finds the others bit by bit. Symptom: an
    /// account has a home for each partial view, and every one of them lets in the whole quota.
    fn follow_hint(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        hint: quota::HomeHint,
    ) {
        self.unsent.push(account);
        if self.on_hint(now, hint) {
            return;
        }
        // Known already, and passed over for a reason.
        if !(hint.alive && self.retry_home(now, hint.node)) {
            self.entry(now, account).query_again();
        }
    }

    /// Asks a home again that did not answer, since another node has heard from it; tells whether it does.
    ///
    /// Failure: a home was silent for a moment. Symptom: for seconds some entry nodes ask the next one while
    /// others ask the home, and both let in the whole rate. A home that only some can reach is asked again
    /// once in that time.
    fn retry_home(&mut self, now: time::NodeTime, home: ident::NodeId) -> bool {
        if self.retried.contains(now, home) {
            return false;
        }
        self.retried.insert(now, home, ledger::SILENT_SPAN);
        self.silent.remove(home);
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
