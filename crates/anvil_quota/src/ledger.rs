//! Quota ledger of one node, as an entry node and as a home of accounts.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, sorted, time};
use anvil_wire::quota;
use serde::Serialize;

use crate::{bucket, contact, demand, effect, entry, expiring, handover, home, ring};

mod contact_role;
mod entry_role;
mod handover_role;
mod home_role;
mod ring_role;

/// Number of nodes that are tried for an account: its home, and the next ones if the home is
/// silent.
const MAX_HOMES: usize = 4;

/// Time for which a node that did not answer is passed over.
const SILENT_TTL: Duration = Duration::from_secs(2);

/// Time for which a node that was replaced at its address is not taken from others, which detect its
/// end later.
const REPLACED_TTL: Duration = Duration::from_secs(10);

/// Time for which a node without rules is passed over; it gets them from another one soon.
const UNREADY_TTL: Duration = Duration::from_millis(500);

/// Interval between removals of expired state.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// When an entry node takes tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum TokenMode {
    /// Ahead of the home's count, while the account is far below its quota.
    Ahead,
    /// Each request waits for the home's decision.
    #[serde(rename = "Ask")]
    PerRequest,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QuotaCounters {
    /// Requests admitted without waiting for another node.
    pub granted_at_once: u64,
    /// Requests admitted by a decision of another node.
    pub granted_by_home: u64,
    /// Requests refused because they exceed their account's quota.
    pub refused: u64,
    /// The refused requests that were decided while no home answered.
    pub refused_alone: u64,
    /// Tokens given back for requests that did not run.
    pub given_back: u64,
    /// Homes that did not answer in time.
    pub homes_silent: u64,
    /// Rounds of questions whether this node reaches the majority of the fleet.
    pub contact_checks: u64,
    /// The rounds without a majority.
    pub contacts_missed: u64,
    /// Messages sent to other nodes.
    pub messages: u64,
}

/// Where an account is counted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HomeLocation {
    Local,
    Peer(ident::NodeId, SocketAddr),
    Unreachable,
}

/// The quotas of all accounts at one node.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    node: ident::NodeId,
    mode: TokenMode,
    /// Whether decisions carry the demand of their account.
    states_demand: bool,
    ring: ring::QuotaRing,
    quotas: sorted::SortedTable<account::AccountId, account::AccountQuota>,
    homes: sorted::SortedTable<account::AccountId, home::HomeAccount>,
    entries: sorted::SortedTable<account::AccountId, entry::EntryAccount>,
    /// Nodes that did not answer and are passed over.
    silent_nodes: expiring::ExpiringNodes,
    /// Nodes that were retried although they had not answered, and are not retried again for a
    /// while.
    retried_nodes: expiring::ExpiringNodes,
    /// Nodes whose address another process uses now.
    replaced_nodes: expiring::ExpiringNodes,
    /// Homes that recently confirmed a handover.
    live_homes: expiring::ExpiringNodes,
    sessions: u32,
    terms: u32,
    next_cleanup: time::NodeTime,
    /// Accounts that have a report to send; may contain duplicates.
    unsent: Vec<account::AccountId>,
    /// Changes that were not logged yet.
    changes: Vec<effect::HomeChange>,
    /// Handovers that are not confirmed yet; usually few.
    handovers: Vec<handover::PendingHandover>,
    /// Number of the latest handover.
    last_handover: u32,
    announcement: ring_role::RingAnnouncement,
    contact: contact::ContactCheck,
    /// Nodes of the present round that were not asked yet.
    probes: Vec<SocketAddr>,
    /// Accounts whose requests wait for the result of the round; sorted.
    awaiting_contact: Vec<account::AccountId>,
    /// Earliest time at which an entry needs a wakeup.
    next_due: Option<time::NodeTime>,
    counters: QuotaCounters,
}

impl QuotaLedger {
    /// A ledger without accounts or members.
    pub fn new(node: ident::NodeId, mode: TokenMode) -> Self {
        Self {
            node,
            mode,
            states_demand: false,
            ring: ring::QuotaRing::default(),
            quotas: sorted::SortedTable::default(),
            homes: sorted::SortedTable::default(),
            entries: sorted::SortedTable::default(),
            silent_nodes: expiring::ExpiringNodes::default(),
            retried_nodes: expiring::ExpiringNodes::default(),
            replaced_nodes: expiring::ExpiringNodes::default(),
            live_homes: expiring::ExpiringNodes::default(),
            sessions: node.first_number(),
            terms: 0,
            next_cleanup: time::NodeTime::START,
            unsent: Vec::new(),
            changes: Vec::new(),
            handovers: Vec::new(),
            last_handover: node.first_number(),
            announcement: ring_role::RingAnnouncement::default(),
            contact: contact::ContactCheck::starting_at(node.first_number()),
            probes: Vec::new(),
            awaiting_contact: Vec::new(),
            next_due: None,
            counters: QuotaCounters::default(),
        }
    }

    /// Makes the ledger state the demand of accounts in its decisions.
    #[must_use]
    pub fn with_stated_demand(mut self) -> Self {
        self.states_demand = true;
        self
    }

    /// Counters since the start.
    pub fn counters(&self) -> &QuotaCounters {
        &self.counters
    }

    /// Whether no account has a quota, so that there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.quotas.is_empty()
    }

    /// Applies the quotas of all accounts; accounts that are not listed have none.
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
        self.remove_unlimited(&mut out);
        self.apply_quotas(now, &mut out);
        out
    }

    /// Removes accounts without a quota and grants their waiting requests.
    fn remove_unlimited(&mut self, out: &mut Vec<effect::QuotaEffect>) {
        let homes = self.homes.iter().map(|(account, _)| *account);
        let entries = self.entries.iter().map(|(account, _)| *account);
        let known = homes.chain(entries);
        let removed: Vec<_> = known
            .filter(|one| self.quotas.get(*one).is_none())
            .collect();
        for account in removed {
            self.homes.remove(account);
            let waiting = self.entries.remove(account);
            let waiting = waiting.map(|mut entry| entry.take_waiting());
            let granted = waiting.into_iter().flatten();
            out.extend(granted.map(|call| effect::QuotaEffect::Grant { call }));
        }
    }

    /// Caps tokens that accrued at a higher rate to the new size.
    fn apply_quotas(&mut self, now: time::NodeTime, out: &mut Vec<effect::QuotaEffect>) {
        let homes: Vec<_> = self.homes.iter().map(|(account, _)| *account).collect();
        for account in homes {
            if let (Some(size), Some(home)) = (self.size(account), self.homes.get_mut(account)) {
                home.refill(now, size);
            }
            self.revoke_ahead(account, out);
        }
    }

    /// Adds a member that can be a home.
    pub fn member_up(&mut self, now: time::NodeTime, node: ident::NodeId, address: SocketAddr) {
        self.ring.insert(node, address);
        self.ring_changed(now);
    }

    /// Removes a member; one that `crashed` may still be alive on the other side of a network
    /// partition and use its share there.
    pub fn member_removed(&mut self, now: time::NodeTime, node: ident::NodeId, crashed: bool) {
        match crashed {
            true => self.ring.remove_crashed(now, node),
            false => {
                self.ring.remove(node);
            }
        }
        self.ring_changed(now);
    }

    /// Removes the counts of this node as a home after a pause of the process.
    ///
    /// After a pause, the buckets would fill for the time in which another node admitted requests,
    /// and accounts would get their burst twice.
    pub fn on_pause(&mut self) {
        self.homes = sorted::SortedTable::default();
    }

    /// Decides a request of `account`; the caller of this function identifies it as `call`.
    pub fn admit(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        call: u64,
    ) -> effect::QuotaDecision {
        if self.quotas.get(account).is_some() {
            self.entry(now, account).demand.count(now);
        }
        self.decide(now, account, call)
    }

    /// Decides a request that was counted already.
    fn decide(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        call: u64,
    ) -> effect::QuotaDecision {
        let Some(quota) = self.quotas.get(account).copied() else {
            return effect::QuotaDecision::Granted;
        };
        let location = self.resolve_home(now, account);
        let mode = self.mode;
        let result = match location {
            HomeLocation::Local if self.is_unheard(now, account) => {
                match self.majority_contact(now) {
                    contact::MajorityContact::Reached => self.admit_at_home(now, account),
                    contact::MajorityContact::Missed => self.admit_standalone(now, account, quota),
                    contact::MajorityContact::Unknown => {
                        self.await_contact(now, account, call);
                        return effect::QuotaDecision::Pending;
                    }
                }
            }
            HomeLocation::Local => self.admit_at_home(now, account),
            HomeLocation::Peer(..) => {
                self.unsent.push(account);
                let states_demand = self.states_demand;
                let entry = self.entry(now, account);
                let waits = mode == TokenMode::PerRequest
                    || (states_demand && entry.demand.is_outdated(now));
                if waits || !entry.spend_ahead(now) {
                    entry.enqueue(call);
                    return effect::QuotaDecision::Pending;
                }
                Ok(())
            }
            HomeLocation::Unreachable => self.admit_standalone(now, account, quota),
        };
        match result {
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

    /// Cancels a waiting request.
    pub fn cancel(&mut self, account: account::AccountId, call: u64) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.cancel(call);
        }
    }

    /// Handles a message of another node.
    pub fn on_message(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        address: SocketAddr,
        message: &quota::QuotaMessage,
    ) -> Vec<effect::QuotaEffect> {
        let mut out = Vec::new();
        self.remove_predecessors(now, from, address);
        match message {
            quota::QuotaMessage::Report { reports: uses } => {
                self.on_report(now, (from, address), uses, &mut out);
            }
            quota::QuotaMessage::Decision { decisions } => {
                self.silent_nodes.remove(from);
                for decision in decisions {
                    self.on_decision(now, from, *decision, &mut out);
                }
            }
            quota::QuotaMessage::SuccessorProbe => self.on_behind(now, (from, address), &mut out),
            quota::QuotaMessage::CloserSuccessor(hint) => self.on_between(*hint, &mut out),
            quota::QuotaMessage::Handover(handover) => {
                self.on_handover(now, (from, address), handover, &mut out);
            }
            quota::QuotaMessage::HandoverAck { number } => self.handover_taken(now, from, *number),
            quota::QuotaMessage::ContactProbe { number } => {
                let number = *number;
                self.send(
                    address,
                    quota::QuotaMessage::ContactAck { number },
                    &mut out,
                );
            }
            quota::QuotaMessage::ContactAck { number } => {
                self.on_contact_ack(now, address, *number, &mut out);
            }
            quota::QuotaMessage::Unready => self.on_unready(now, from),
        }
        out
    }

    /// Handles the timers that are due.
    pub fn on_wake(&mut self, now: time::NodeTime) -> Vec<effect::QuotaEffect> {
        let mut out = Vec::new();
        self.silent_nodes.remove_expired(now);
        self.retried_nodes.remove_expired(now);
        self.replaced_nodes.remove_expired(now);
        self.live_homes.remove_expired(now);
        self.expire_contact(now, &mut out);
        if self.next_due.is_some_and(|due| due <= now) {
            let due = |entry: &entry::EntryAccount| entry.next_wake().is_some_and(|due| due <= now);
            for account in self.entries.keys_where(due) {
                self.wake_entry(now, account, &mut out);
            }
            let due = self.entries.iter().map(|(_, entry)| entry.next_wake());
            self.next_due = due.flatten().min();
        }
        if now >= self.next_cleanup {
            self.remove_expired(now);
        }
        out
    }

    /// Time at which [`Self::on_wake`] must be called; `None` if no account has a quota.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        if self.is_idle() {
            return None;
        }
        let handover = self.handovers.iter().map(|pending| pending.due).min();
        let due = self.next_due.into_iter().chain(handover);
        let due = due.chain(self.announcement.due);
        let due = due.chain(self.contact.next_wake());
        due.chain([self.next_cleanup]).min()
    }

    /// Sends the changes since the last call; must be called once after each event.
    pub fn flush(&mut self, now: time::NodeTime) -> Vec<effect::QuotaEffect> {
        let changes = self.changes.drain(..);
        let mut out: Vec<_> = changes.map(effect::QuotaEffect::Log).collect();
        if !self.is_idle() {
            self.send_handovers(now, &mut out);
            self.announce_to_successor(now, &mut out);
        }
        self.send_reports(now, &mut out);
        // Deciding waiting requests may have begun a round.
        self.send_probes(&mut out);
        out
    }

    /// Sends the reports that are due, and decides the requests that need none any more.
    fn send_reports(&mut self, now: time::NodeTime, out: &mut Vec<effect::QuotaEffect>) {
        if self.unsent.is_empty() {
            return;
        }
        let mut reports: Vec<(SocketAddr, quota::UsageReport)> = Vec::new();
        for account in std::mem::take(&mut self.unsent) {
            let HomeLocation::Peer(_, address) = self.resolve_home(now, account) else {
                self.decide_waiting(now, account, out);
                continue;
            };
            let Some(entry) = self.entries.get_mut(account) else {
                continue;
            };
            let report = entry.report(now, account);
            reports.extend(report.map(|report| (address, report)));
            self.next_due = self.next_due.into_iter().chain(entry.next_wake()).min();
        }
        // Resolving another home has added some accounts again.
        self.unsent.clear();
        reports.sort_by_key(|(address, _)| *address);
        for same in reports.chunk_by(|a, b| a.0 == b.0) {
            for part in same.chunks(quota::MAX_ACCOUNTS) {
                let uses = part.iter().map(|(_, report)| *report).collect();
                let message = quota::QuotaMessage::Report { reports: uses };
                self.send(part[0].0, message, out);
            }
        }
    }

    /// State of an account at this node, for the dump and the log.
    pub fn view(&self, account: account::AccountId) -> AccountView {
        let entry = self.entries.get(account);
        AccountView {
            home: entry.and_then(|entry| entry.home),
            tokens: self.homes.get(account).map(home::HomeAccount::level),
            ahead: entry.map_or(0, entry::EntryAccount::ahead),
            waiting: entry.map_or(0, entry::EntryAccount::waiting),
        }
    }

    /// Demand of an account over all nodes, as far as this node knows it.
    pub fn demand(
        &self,
        now: time::NodeTime,
        account: account::AccountId,
    ) -> demand::AccountDemand {
        let Some(quota) = self.quotas.get(account) else {
            return demand::AccountDemand::NO_QUOTA;
        };
        let entry = self.entries.get(account);
        // Before its first request here, an account has no entry, and the ring decides.
        let is_home = entry.map_or_else(
            || self.is_home(account),
            |entry| entry.home == Some(self.node),
        );
        if let Some(ratio) = self.home_demand(now, account).filter(|_| is_home) {
            let source = demand::DemandSource::Home;
            return demand::AccountDemand { ratio, source };
        }
        if let Some(ratio) = entry.and_then(|entry| entry.demand.recent(now)) {
            let source = demand::DemandSource::Decision;
            return demand::AccountDemand { ratio, source };
        }
        let own = entry.map_or_else(|| demand::EntryDemand::new(now), |entry| entry.demand);
        let estimate = own.estimate(now, self.ring.live(), quota.rate());
        let ratio = demand::DemandRatio {
            requested: estimate,
            granted: estimate,
        };
        let source = demand::DemandSource::Estimate;
        demand::AccountDemand { ratio, source }
    }

    /// The accounts with the highest demand ratios among those whose home this node is, at most
    /// `max`, the highest first.
    pub fn busiest(
        &self,
        now: time::NodeTime,
        max: usize,
    ) -> Vec<(account::AccountId, demand::DemandRatio)> {
        let homes = self.homes.iter().map(|(account, _)| *account);
        let homes = homes.filter(|account| self.is_home(*account));
        let known = homes.filter_map(|account| Some((account, self.home_demand(now, account)?)));
        let mut busiest: Vec<_> = known.collect();
        busiest.sort_by(|(_, one), (_, other)| other.requested.total_cmp(&one.requested));
        busiest.truncate(max);
        busiest
    }

    fn home_demand(
        &self,
        now: time::NodeTime,
        account: account::AccountId,
    ) -> Option<demand::DemandRatio> {
        self.homes.get(account)?.demand(now, self.size(account)?)
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

/// State of an account's quota at one node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AccountView {
    /// The home of the account, as this node sees it; `None` if no home answers.
    pub home: Option<ident::NodeId>,
    /// Tokens left, if this node is the home.
    pub tokens: Option<f64>,
    /// Number of requests that may be admitted ahead of the home's count.
    pub ahead: u16,
    /// Number of requests that wait for the home's decision.
    pub waiting: usize,
}
