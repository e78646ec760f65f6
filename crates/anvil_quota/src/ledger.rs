//! The quotas of all accounts as one node sees them, as an entry node and as a home.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, sorted, time};
use anvil_wire::quota;
use serde::Serialize;

use crate::{bucket, effect, entry, expiring, handover, home, ring};

mod entry_role;
mod handover_role;
mod home_role;
mod ring_role;

/// Nodes that an account is asked for at: its home, and the next where the home is silent.
const HOMES_TRIED: usize = 2;

/// How long a node that did not answer is passed over.
const SILENT_SPAN: Duration = Duration::from_secs(2);

/// Time between two looks for what may be forgotten.
const TRIM_INTERVAL: Duration = Duration::from_secs(5);

/// When tokens are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum TokenMode {
    /// Ahead of the home's count while the account is far below its quota.
    Ahead,
    /// Each request waits for the home's word.
    #[serde(rename = "Ask")]
    PerRequest,
}

/// Sums since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QuotaCounters {
    /// Requests let in without waiting for another node.
    pub granted_at_once: u64,
    /// Requests let in by another node's word.
    pub granted_by_home: u64,
    /// Requests refused as beyond their account's quota.
    pub refused: u64,
    /// Of these, refused while no home answered.
    pub refused_alone: u64,
    /// Tokens given back for requests that did not run.
    pub given_back: u64,
    /// Homes that did not answer in time.
    pub homes_silent: u64,
    /// Messages sent to other nodes.
    pub messages: u64,
}

/// Where an account is counted at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HomePlace {
    Own,
    Peer(ident::NodeId, SocketAddr),
    Nobody,
}

/// The quotas of one node.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    node: ident::NodeId,
    way: TokenMode,
    ring: ring::QuotaRing,
    quotas: sorted::SortedTable<account::AccountId, account::AccountQuota>,
    homes: sorted::SortedTable<account::AccountId, home::HomeAccount>,
    entries: sorted::SortedTable<account::AccountId, entry::EntryAccount>,
    /// Nodes that did not answer and are passed over.
    silent: expiring::ExpiringNodes,
    /// Nodes that were asked again though they did not answer, and are not so once more.
    retried: expiring::ExpiringNodes,
    /// Homes that confirmed a handover a moment ago.
    heard: expiring::ExpiringNodes,
    sessions: u32,
    terms: u32,
    trim_at: time::NodeTime,
    /// Accounts that have a report to send, some perhaps twice.
    unsent: Vec<account::AccountId>,
    /// Changes that are not told yet.
    changes: Vec<effect::HomeChange>,
    /// What is handed over and not taken yet; a few.
    handovers: Vec<handover::PendingHandover>,
    /// Handovers begun.
    handed: u32,
    introduction: ring_role::RingIntroduction,
    /// No entry has anything due before.
    due_at: Option<time::NodeTime>,
    counters: QuotaCounters,
}

impl QuotaLedger {
    /// A node that knows no account and no member.
    pub fn new(node: ident::NodeId, way: TokenMode) -> Self {
        Self {
            node,
            way,
            ring: ring::QuotaRing::default(),
            quotas: sorted::SortedTable::default(),
            homes: sorted::SortedTable::default(),
            entries: sorted::SortedTable::default(),
            silent: expiring::ExpiringNodes::default(),
            retried: expiring::ExpiringNodes::default(),
            heard: expiring::ExpiringNodes::default(),
            sessions: 0,
            terms: 0,
            trim_at: time::NodeTime::START,
            unsent: Vec::new(),
            changes: Vec::new(),
            handovers: Vec::new(),
            handed: 0,
            introduction: ring_role::RingIntroduction::default(),
            due_at: None,
            counters: QuotaCounters::default(),
        }
    }

    /// Sums since the start.
    pub fn counters(&self) -> &QuotaCounters {
        &self.counters
    }

    /// Whether no account has a quota, so that there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.quotas.is_empty()
    }

    /// Puts the quotas of all accounts in force; what is not named has none any more.
    pub fn set_quotas(
        &mut self,
        now: time::NodeTime,
        quotas: &[(account::AccountId, account::AccountQuota)],
    ) -> Vec<effect::QuotaEffect> {
        self.quotas = sorted::SortedTable::default();
        for (account, quota) in quotas {
            self.quotas.insert(*account, *quota);
        }
        let mut out = Vec::new();
        self.drop_unbounded(&mut out);
        self.follow_quotas(now, &mut out);
        out
    }

    /// Forgets accounts that have no quota any more; what waits for one goes on.
    fn drop_unbounded(&mut self, out: &mut Vec<effect::QuotaEffect>) {
        let homes = self.homes.iter().map(|(account, _)| *account);
        let entries = self.entries.iter().map(|(account, _)| *account);
        let known = homes.chain(entries);
        let gone: Vec<_> = known
            .filter(|one| self.quotas.get(*one).is_none())
            .collect();
        for account in gone {
            self.homes.remove(account);
            let waiting = self.entries.remove(account);
            let waiting = waiting.map(|mut entry| entry.take_waiting());
            let granted = waiting.into_iter().flatten();
            out.extend(granted.map(|call| effect::QuotaEffect::Grant { call }));
        }
    }

    /// Binds what was saved up by a higher rate to the present one.
    fn follow_quotas(&mut self, now: time::NodeTime, out: &mut Vec<effect::QuotaEffect>) {
        let homes: Vec<_> = self.homes.iter().map(|(account, _)| *account).collect();
        for account in homes {
            if let (Some(size), Some(home)) = (self.size(account), self.homes.get_mut(account)) {
                home.refill(now, size);
            }
            self.revoke_ahead(account, out);
        }
    }

    /// Takes in a member that may be a home.
    pub fn member_up(&mut self, now: time::NodeTime, node: ident::NodeId, address: SocketAddr) {
        self.ring.insert(node, address);
        self.ring_changed(now);
    }

    /// Drops a member; one that `crashed` may live on behind a cut, and uses its part there.
    pub fn member_removed(&mut self, now: time::NodeTime, node: ident::NodeId, crashed: bool) {
        match crashed {
            true => self.ring.remove_crashed(now, node),
            false => {
                self.ring.remove(node);
            }
        }
        self.ring_changed(now);
    }

    /// Forgets what it counted as a home, after time has passed that it did not see.
    ///
    /// Failure: a home is frozen and wakes. Symptom: its buckets fill by the time that it slept, while
    /// another node let requests in, and the account gets a burst twice.
    pub fn on_pause(&mut self) {
        self.homes = sorted::SortedTable::default();
    }

    /// Decides a request of `account`, which the caller of this function calls `call`.
    pub fn admit(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        call: u64,
    ) -> effect::QuotaDecision {
        let Some(quota) = self.quotas.get(account).copied() else {
            return effect::QuotaDecision::Granted;
        };
        let place = self.resolve_home(now, account);
        let way = self.way;
        let decided = match place {
            HomePlace::Own if self.is_partitioned(now, account) => {
                self.admit_standalone(now, account, quota)
            }
            HomePlace::Own => self.admit_at_home(now, account),
            HomePlace::Peer(..) => {
                self.unsent.push(account);
                let entry = self.entry(now, account);
                if way == TokenMode::PerRequest || !entry.spend_ahead(now) {
                    entry.enqueue(call);
                    return effect::QuotaDecision::Pending;
                }
                Ok(())
            }
            HomePlace::Nobody => self.admit_standalone(now, account, quota),
        };
        match decided {
            Ok(()) => {
                self.counters.granted_at_once += 1;
                effect::QuotaDecision::Granted
            }
            Err(pause) => {
                self.counters.refused += 1;
                effect::QuotaDecision::Refused { pause }
            }
        }
    }

    /// Gives back the token of a request that is known not to have run.
    pub fn give_back(&mut self, account: account::AccountId) {
        let Some(size) = self.size(account) else {
            return;
        };
        self.counters.given_back += 1;
        let own = self.entries.get(account).and_then(|entry| entry.home) == Some(self.node);
        match (own, self.homes.get_mut(account)) {
            (true, Some(home)) => home.give_back(size),
            _ => {
                if let Some(entry) = self.entries.get_mut(account) {
                    entry.give_back();
                }
            }
        }
    }

    /// Forgets a request that waits.
    pub fn cancel(&mut self, account: account::AccountId, call: u64) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.cancel(call);
        }
    }

    /// Takes a message of another node.
    pub fn on_message(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        address: SocketAddr,
        message: &quota::QuotaMessage,
    ) -> Vec<effect::QuotaEffect> {
        let mut out = Vec::new();
        match message {
            quota::QuotaMessage::Report { reports: uses } => {
                self.on_report(now, (from, address), uses, &mut out);
            }
            quota::QuotaMessage::Decision {
                decisions: verdicts,
            } => {
                self.silent.remove(from);
                for verdict in verdicts {
                    self.on_verdict(now, from, *verdict, &mut out);
                }
            }
            quota::QuotaMessage::SuccessorProbe => self.on_behind(now, (from, address), &mut out),
            quota::QuotaMessage::CloserSuccessor(hint) => self.on_between(*hint, &mut out),
            quota::QuotaMessage::Handover(told) => {
                self.on_handover(now, (from, address), told, &mut out);
            }
            quota::QuotaMessage::HandoverAck { number } => self.handover_taken(now, from, *number),
        }
        out
    }

    /// Does what is due.
    pub fn on_wake(&mut self, now: time::NodeTime) -> Vec<effect::QuotaEffect> {
        let mut out = Vec::new();
        self.silent.remove_expired(now);
        self.retried.remove_expired(now);
        self.heard.remove_expired(now);
        if self.due_at.is_some_and(|due| due <= now) {
            let due = |entry: &entry::EntryAccount| entry.next_wake().is_some_and(|due| due <= now);
            for account in self.entries.keys_where(due) {
                self.wake_entry(now, account, &mut out);
            }
            let due = self.entries.iter().map(|(_, entry)| entry.next_wake());
            self.due_at = due.flatten().min();
        }
        if now >= self.trim_at {
            self.remove_expired(now);
        }
        out
    }

    /// When [`Self::on_wake`] has something to do; none where no account has a quota.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        if self.is_idle() {
            return None;
        }
        let handover = self.handovers.iter().map(|pending| pending.due).min();
        let due = self.due_at.into_iter().chain(handover);
        let due = due.chain(self.introduction.due);
        due.chain([self.trim_at]).min()
    }

    /// Sends what has changed since the last call; to be called once after each event.
    pub fn flush(&mut self, now: time::NodeTime) -> Vec<effect::QuotaEffect> {
        let changes = self.changes.drain(..);
        let mut out: Vec<_> = changes.map(effect::QuotaEffect::Log).collect();
        if !self.is_idle() {
            self.send_handovers(now, &mut out);
            self.introduce(now, &mut out);
        }
        if self.unsent.is_empty() {
            return out;
        }
        let mut reports: Vec<(SocketAddr, quota::UsageReport)> = Vec::new();
        for account in std::mem::take(&mut self.unsent) {
            let HomePlace::Peer(_, address) = self.resolve_home(now, account) else {
                self.decide_waiting(now, account, &mut out);
                continue;
            };
            let Some(entry) = self.entries.get_mut(account) else {
                continue;
            };
            let report = entry.report(now, account);
            reports.extend(report.map(|report| (address, report)));
            self.due_at = self.due_at.into_iter().chain(entry.next_wake()).min();
        }
        // Following another home has put some of them on the list once more.
        self.unsent.clear();
        reports.sort_by_key(|(address, _)| *address);
        for same in reports.chunk_by(|a, b| a.0 == b.0) {
            for part in same.chunks(quota::MAX_ACCOUNTS) {
                let uses = part.iter().map(|(_, report)| *report).collect();
                let message = quota::QuotaMessage::Report { reports: uses };
                self.send(part[0].0, message, &mut out);
            }
        }
        out
    }

    /// What the node knows of an account, for the dump and the log.
    pub fn view(&self, account: account::AccountId) -> AccountView {
        let entry = self.entries.get(account);
        AccountView {
            home: entry.and_then(|entry| entry.home),
            tokens: self.homes.get(account).map(home::HomeAccount::level),
            ahead: entry.map_or(0, entry::EntryAccount::ahead),
            waiting: entry.map_or(0, entry::EntryAccount::waiting),
        }
    }

    fn size(&self, account: account::AccountId) -> Option<bucket::BucketSize> {
        let quota = self.quotas.get(account)?;
        Some(bucket::BucketSize::of(*quota, self.ring.visible_share()))
    }

    fn send(
        &mut self,
        to: SocketAddr,
        message: quota::QuotaMessage,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        self.counters.messages += 1;
        out.push(effect::QuotaEffect::Send { to, message });
    }
}

/// What a node knows of an account's quota.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AccountView {
    /// The node that counts it, as this node believes; none where no home answers.
    pub home: Option<ident::NodeId>,
    /// Tokens left, where this node is the home.
    pub tokens: Option<f64>,
    /// Requests that may be let in ahead of the home's count.
    pub ahead: u16,
    /// Requests that wait for the home's word.
    pub waiting: usize,
}
