//! One account at its home, whose count decides.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, sorted, time};
use anvil_wire::quota;

use crate::{bucket, demand, meter, recent};

/// Initial tokens of a new home, for the whole fleet. The previous home may have admitted a whole
/// burst just before; these few tokens keep an account within its quota from being refused
/// meanwhile.
const INITIAL_TOKENS: f64 = 8.0;

/// Share of the capacity below which each request needs a decision. Requests that other nodes admit
/// before they receive that decision come out of this share.
const RESERVE_SHARE: f64 = 0.5;

/// Share of the tokens above the reserve that all nodes together may use ahead of the count.
const AHEAD_SHARE: f64 = 0.25;

/// Maximum number of requests that one node may admit ahead of the home's count.
const MAX_AHEAD: f64 = 64.0;

/// Time without a request after which another home may have counted meanwhile.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of overdue reports after which a home considers a partition possible.
const MAX_MISSED_REPORTS: f64 = 8.0;

/// Shortest silence of all entry nodes that may be a partition; a busy network has shorter ones.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Time for which a report indicates that other nodes take this one for the home.
const REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Time after its last report at which an entry node is removed.
const ENTRY_TTL: Duration = Duration::from_secs(30);

/// Interval between the handovers of a node that admits requests beside the home.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(250);

/// Demand ratio above which an account counts as demanding more than its quota.
const ABOVE_QUOTA: f64 = 1.0;

/// Demand ratio below which it no longer does; the distance keeps a demand that varies around the
/// quota from being logged again and again.
const WITHIN_QUOTA: f64 = 0.7;

/// A handover that was counted.
#[derive(Clone, Copy, Debug)]
struct CountedHandover {
    from: ident::NodeId,
    number: u32,
    at: time::NodeTime,
}

/// State of one entry node at the home.
#[derive(Clone, Copy, Debug)]
struct EntryNode {
    address: SocketAddr,
    last_report: time::NodeTime,
    session: u32,
    spent: i32,
    requested: u32,
    granted: u32,
    arrived: u32,
    /// Number of requests that it may admit ahead of the count.
    ahead: u16,
}

/// One account at its home.
#[derive(Clone, Debug)]
pub struct HomeAccount {
    term: u32,
    bucket: bucket::TokenBucket,
    last_used: time::NodeTime,
    /// Whether another node was the home, as this node sees it, at some time since the last use.
    has_moved: bool,
    /// Rate of the reports of other nodes.
    reports: meter::EventMeter,
    entries: sorted::SortedTable<ident::NodeId, EntryNode>,
    /// Requests that it recently admitted.
    recent: recent::RecentUses,
    /// Time since which its bucket has been filled without interruption.
    active_since: time::NodeTime,
    /// Time of the last handover.
    last_handover: time::NodeTime,
    /// Handovers of other nodes that were counted.
    counted_handovers: Vec<CountedHandover>,
    /// Whether it uses the full rate, because this node sees all members.
    has_full_rate: bool,
    /// All requests of the account, granted or not.
    demand: demand::HomeDemand,
    /// The ratio that decisions carry; `None` if it is unknown, or if fair lanes are off.
    stated_ratio: Option<demand::DemandRatio>,
    is_above_quota: bool,
}

/// A decision and its destination.
pub type AddressedDecision = (SocketAddr, quota::UsageDecision);

impl HomeAccount {
    /// Creates a home with `tokens` in its bucket.
    pub fn new(now: time::NodeTime, size: bucket::BucketSize, tokens: f64, term: u32) -> Self {
        let mut bucket = bucket::TokenBucket::new(now, size.capacity);
        bucket.cap(tokens);
        Self {
            term,
            bucket,
            last_used: now,
            has_moved: false,
            reports: meter::EventMeter::new(now),
            entries: sorted::SortedTable::default(),
            recent: recent::RecentUses::new(now),
            active_since: now,
            last_handover: now,
            counted_handovers: Vec::new(),
            has_full_rate: true,
            demand: demand::HomeDemand::new(now),
            stated_ratio: None,
            is_above_quota: false,
        }
    }

    /// Records that another node is the home now; returns whether this node was the home until now.
    pub fn mark_moved(&mut self) -> bool {
        !std::mem::replace(&mut self.has_moved, true)
    }

    /// Removes the recently admitted requests for a handover; `None` if there are none.
    pub fn take_uses(&mut self, now: time::NodeTime) -> Option<recent::RecentUses> {
        let uses = std::mem::replace(&mut self.recent, recent::RecentUses::new(now));
        self.last_handover = now;
        (!uses.is_empty()).then_some(uses)
    }

    /// Restores requests that were not handed over.
    pub fn restore_uses(&mut self, now: time::NodeTime, slices: [i32; recent::SLICES]) {
        self.recent.merge(now, &slices);
    }

    /// Whether requests admitted beside the home are due for a handover.
    pub fn is_handover_due(&self, now: time::NodeTime) -> bool {
        now.since(self.last_handover) >= HANDOVER_INTERVAL && !self.recent.is_empty()
    }

    /// Counts requests that another node admitted while this one was the home as well. Returns
    /// their number, or `None` if the handover was already counted.
    pub fn take_handover(
        &mut self,
        now: time::NodeTime,
        size: bucket::BucketSize,
        from: ident::NodeId,
        handover: &quota::UsageHandover,
    ) -> Option<i32> {
        let known =
            |counted: &CountedHandover| (counted.from, counted.number) == (from, handover.number);
        if self.counted_handovers.iter().any(known) {
            return None;
        }
        self.counted_handovers.push(CountedHandover {
            from,
            number: handover.number,
            at: now,
        });
        // The other node has counted requests that this one has not.
        self.demand = demand::HomeDemand::new(now);
        let uses = recent::uses_within(&handover.slices, now.since(self.active_since));
        let uses = uses.round() as i32;
        self.bucket.charge_late(uses, size);
        self.recent.merge(now, &handover.slices);
        Some(uses)
    }

    /// Fills the bucket before it is used by a node that is the home, or stands in for a silent
    /// one.
    ///
    /// If a home moves to another node and back, the bucket here has filled while the other node
    /// admitted requests, and the account would get its burst twice. An idle bucket is therefore
    /// reset to the initial tokens.
    pub fn prepare(
        &mut self,
        now: time::NodeTime,
        size: bucket::BucketSize,
        share: f64,
        is_home: bool,
    ) {
        self.bucket.fill(now, size);
        // The two sides of a network partition share the rate, so neither owes the other anything.
        self.has_full_rate = share >= 1.0;
        let idle = now.since(self.last_used) > IDLE_TIMEOUT;
        if idle && (self.has_moved || !is_home) {
            self.bucket.cap(initial_tokens(size, share));
            self.active_since = now;
            // Another home counted the requests meanwhile.
            self.demand = demand::HomeDemand::new(now);
        }
        self.last_used = now;
        self.has_moved = !is_home;
    }

    /// Demand of the account, as a ratio to the rate of this home.
    pub fn demand(
        &self,
        now: time::NodeTime,
        size: bucket::BucketSize,
    ) -> Option<demand::DemandRatio> {
        self.demand.ratio(now, size.rate)
    }

    /// Sets the ratio that decisions carry. Returns it if the account began to demand more than its
    /// quota, or ceased to, with whether it does now.
    pub fn state_demand(
        &mut self,
        now: time::NodeTime,
        size: bucket::BucketSize,
    ) -> Option<(demand::DemandRatio, bool)> {
        self.stated_ratio = self.demand(now, size);
        let ratio = self.stated_ratio?;
        let was_above = self.is_above_quota;
        let bound = if was_above { WITHIN_QUOTA } else { ABOVE_QUOTA };
        self.is_above_quota = ratio.requested > bound;
        (self.is_above_quota != was_above).then_some((ratio, self.is_above_quota))
    }

    /// Whether the reports of all other nodes have stopped, which shows long before membership
    /// detects it.
    ///
    /// A partitioned home would otherwise use the whole quota for its own callers while the next
    /// node does the same for all others.
    pub fn is_unheard(&self, now: time::NodeTime) -> bool {
        let silent = self.reports.idle_time(now) > MIN_SILENCE;
        silent && self.reports.missed_events(now) > MAX_MISSED_REPORTS
    }

    /// Whether other nodes take this one for the home.
    pub fn receives_reports(&self, now: time::NodeTime) -> bool {
        self.reports.rate(now) > 0.0 && self.reports.idle_time(now) < REPORT_TTL
    }

    /// Decides a request that arrived at the home itself.
    pub fn take(&mut self, size: bucket::BucketSize) -> Result<(), Duration> {
        let granted = self.bucket.take();
        self.demand.count(self.last_used, 1, u32::from(granted));
        if !granted {
            return Err(self.bucket.time_until_token(size));
        }
        self.count_uses(self.last_used, 1);
        Ok(())
    }

    /// Applies a change of the quota.
    pub fn refill(&mut self, now: time::NodeTime, size: bucket::BucketSize) {
        self.bucket.fill(now, size);
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, size: bucket::BucketSize) {
        self.bucket.charge(-1, size);
        self.count_uses(self.last_used, -1);
    }

    /// Counts the requests that an entry node has admitted, and decides those that wait there.
    pub fn report(
        &mut self,
        now: time::NodeTime,
        size: bucket::BucketSize,
        from: (ident::NodeId, SocketAddr),
        report: quota::UsageReport,
    ) -> Option<quota::UsageDecision> {
        let (node, address) = from;
        self.reports.count(now);
        let known = self.entries.get(node).copied();
        let mut entry = match known {
            // The report belongs to an earlier session; another home has counted it since.
            Some(known) if report.session < known.session => return None,
            Some(known) if report.session == known.session && report.term != 0 => known,
            // The home no longer has the count that the session refers to, so its sums have no
            // meaning here.
            _ if report.term != 0 && report.term != self.term => {
                return Some(self.new_session_decision(report));
            }
            Some(known) if report.session == known.session => known,
            _ => EntryNode {
                address,
                last_report: now,
                session: report.session,
                spent: 0,
                requested: 0,
                granted: 0,
                arrived: 0,
                ahead: 0,
            },
        };
        entry.last_report = now;
        entry.address = address;
        // A report that was overtaken requests fewer tokens than were decided already, and contains
        // nothing new.
        if report.asked >= entry.requested {
            let spent = report.spent.wrapping_sub(entry.spent);
            self.bucket.charge(spent, size);
            self.count_uses(now, spent);
            entry.spent = report.spent;
            let arrived = report.arrived.wrapping_sub(entry.arrived);
            let decided_earlier = entry.granted;
            for _ in entry.requested..report.asked {
                if !self.bucket.take() {
                    break;
                }
                entry.granted += 1;
                self.count_uses(now, 1);
            }
            // Those that did not wait were granted ahead of the count.
            let waited = report.asked - entry.requested;
            let ahead = arrived.saturating_sub(waited);
            let granted = ahead + (entry.granted - decided_earlier);
            entry.requested = report.asked;
            // An overtaken report contains fewer arrivals than were counted.
            if arrived <= u32::MAX / 2 {
                self.demand.count(now, arrived, granted);
                entry.arrived = report.arrived;
            }
        }
        let entry_nodes = self.entries.len() + usize::from(known.is_none());
        entry.ahead = self.ahead(size, entry_nodes);
        self.entries.insert(node, entry);
        Some(self.usage_decision(size, report.account, &entry))
    }

    /// Decisions that end admission ahead of the count at all nodes, if the account has come near
    /// its quota.
    pub fn revoke_ahead(
        &mut self,
        size: bucket::BucketSize,
        account: account::AccountId,
    ) -> Vec<AddressedDecision> {
        if self.ahead(size, self.entries.len()) > 0 {
            return Vec::new();
        }
        let nodes_ahead = self.entries.keys_where(|entry| entry.ahead > 0);
        let mut decisions = Vec::with_capacity(nodes_ahead.len());
        for node in nodes_ahead {
            if let Some(entry) = self.entries.get_mut(node) {
                entry.ahead = 0;
                let entry = *entry;
                decisions.push((entry.address, self.usage_decision(size, account, &entry)));
            }
        }
        decisions
    }

    /// Removes entry nodes that have not reported for long.
    pub fn remove_expired(&mut self, now: time::NodeTime) {
        let expired = |entry: &EntryNode| now.since(entry.last_report) >= ENTRY_TTL;
        for node in self.entries.keys_where(expired) {
            self.entries.remove(node);
        }
        self.counted_handovers
            .retain(|counted| now.since(counted.at) < ENTRY_TTL);
    }

    fn count_uses(&mut self, now: time::NodeTime, uses: i32) {
        if self.has_full_rate {
            self.recent.count(now, uses);
        }
    }

    /// Tokens left, for the dump.
    pub fn level(&self) -> f64 {
        self.bucket.level()
    }

    /// Number of requests that each of `entry_nodes` may admit ahead of the count.
    fn ahead(&self, size: bucket::BucketSize, entry_nodes: usize) -> u16 {
        let spare = self.bucket.level() - size.capacity * RESERVE_SHARE;
        // A bucket with few tokens has none to spare.
        if spare < 1.0 {
            return 0;
        }
        let each = spare * AHEAD_SHARE / entry_nodes.max(1) as f64;
        each.clamp(1.0, MAX_AHEAD) as u16
    }

    /// A decision that makes an entry node begin a new session.
    fn new_session_decision(&self, report: quota::UsageReport) -> quota::UsageDecision {
        quota::UsageDecision {
            account: report.account,
            session: report.session,
            term: self.term,
            spent: 0,
            asked: 0,
            granted: 0,
            ahead: 0,
            retry_after_millis: 0,
            demand_percent: 0,
            granted_percent: 0,
            redirect: None,
        }
    }

    fn usage_decision(
        &self,
        size: bucket::BucketSize,
        account: account::AccountId,
        entry: &EntryNode,
    ) -> quota::UsageDecision {
        let pause = self.bucket.time_until_token(size).as_millis();
        let stated = self.stated_ratio.map(|ratio| ratio.percents());
        let (demand_percent, granted_percent) = stated.unwrap_or((0, 0));
        quota::UsageDecision {
            account,
            session: entry.session,
            term: self.term,
            spent: entry.spent,
            asked: entry.requested,
            granted: entry.granted,
            ahead: entry.ahead,
            retry_after_millis: u32::try_from(pause).unwrap_or(u32::MAX),
            demand_percent,
            granted_percent,
            redirect: None,
        }
    }
}

/// Initial tokens of a new home.
pub fn initial_tokens(size: bucket::BucketSize, share: f64) -> f64 {
    (INITIAL_TOKENS * share).min(size.capacity)
}
