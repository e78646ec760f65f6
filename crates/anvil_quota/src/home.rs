//! The home of one account: the count that decides.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, sorted, time};
use anvil_wire::quota;

use crate::{bucket, meter, recent};

/// Tokens of a home that has just become one, for the whole fleet. Its predecessor may have let in a
/// whole burst a moment ago; these few keep an account within its quota from being refused meanwhile.
const FRESH_TOKENS: f64 = 8.0;

/// Part of the capacity below which each request has to ask. What other nodes let in until they have
/// heard of it comes out of this part.
const RESERVE: f64 = 0.5;

/// Part of the tokens above the reserve that all nodes together may use ahead of the count.
const AHEAD_PART: f64 = 0.25;

/// Most requests that one node may let in ahead of the home's count.
const AHEAD_LIMIT: f64 = 64.0;

/// Time without a request after which a home asks itself whether another one counted meanwhile.
const UNUSED: Duration = Duration::from_secs(1);

/// Reports that should have come, and did not, before a home believes that it is cut off.
const REPORTS_MISSED: f64 = 8.0;

/// Shortest silence of all entry nodes that counts; a busy network is silent for less.
const SILENCE: Duration = Duration::from_millis(300);

/// How long a report shows that others take a node for the home.
const ASKED: Duration = Duration::from_millis(1_000);

/// How long an entry node that says nothing is remembered.
const NODE_KEPT: Duration = Duration::from_secs(30);

/// Time between two handovers of a node that lets requests in beside the home.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(250);

/// A handover that was counted.
#[derive(Clone, Copy, Debug)]
struct TakenHandover {
    from: ident::NodeId,
    number: u32,
    at: time::NodeTime,
}

/// What the home knows of one entry node.
#[derive(Clone, Copy, Debug)]
struct EntryNode {
    address: SocketAddr,
    heard: time::NodeTime,
    session: u32,
    spent: i32,
    asked: u32,
    granted: u32,
    /// What it was last allowed to let in ahead.
    ahead: u16,
}

/// One account at its home.
#[derive(Clone, Debug)]
pub struct HomeAccount {
    term: u32,
    bucket: bucket::TokenBucket,
    used: time::NodeTime,
    /// Whether another node was, by this node's view, the home at some time since the last use.
    moved: bool,
    /// Reports of other nodes.
    reports: meter::EventMeter,
    entries: sorted::SortedTable<ident::NodeId, EntryNode>,
    /// What it let in lately.
    recent: recent::RecentUses,
    /// Since when its bucket has filled without a break.
    active_since: time::NodeTime,
    /// When it last handed over what it had let in.
    handed_over: time::NodeTime,
    /// Handovers of other nodes that were counted.
    taken: Vec<TakenHandover>,
    /// Whether it uses the whole rate, as one whose node sees all members.
    whole: bool,
}

/// A verdict and where it goes.
pub type AddressedVerdict = (SocketAddr, quota::UsageDecision);

impl HomeAccount {
    /// A home that has just become one, with `tokens` of its bucket.
    pub fn new(now: time::NodeTime, size: bucket::BucketSize, tokens: f64, term: u32) -> Self {
        let mut bucket = bucket::TokenBucket::new(now, size.capacity);
        bucket.cap(tokens);
        Self {
            term,
            bucket,
            used: now,
            moved: false,
            reports: meter::EventMeter::new(now),
            entries: sorted::SortedTable::default(),
            recent: recent::RecentUses::new(now),
            active_since: now,
            handed_over: now,
            taken: Vec::new(),
            whole: true,
        }
    }

    /// Notes that another node is the home by now; tells whether this one was until now.
    pub fn mark_moved(&mut self) -> bool {
        !std::mem::replace(&mut self.moved, true)
    }

    /// Takes out what was let in lately, to be handed over; none where that is nothing.
    pub fn take_uses(&mut self, now: time::NodeTime) -> Option<recent::RecentUses> {
        let uses = std::mem::replace(&mut self.recent, recent::RecentUses::new(now));
        self.handed_over = now;
        (!uses.is_empty()).then_some(uses)
    }

    /// Takes back what was not handed over.
    pub fn restore_uses(&mut self, now: time::NodeTime, slices: [i32; recent::SLICES]) {
        self.recent.merge(now, &slices);
    }

    /// Whether what is let in beside the home should be handed over again.
    pub fn is_handover_due(&self, now: time::NodeTime) -> bool {
        now.since(self.handed_over) >= HANDOVER_INTERVAL && !self.recent.is_empty()
    }

    /// Counts what another node let in while this one was the home as well; none where it was counted
    /// before, else how much it is.
    pub fn take_handover(
        &mut self,
        now: time::NodeTime,
        size: bucket::BucketSize,
        from: ident::NodeId,
        told: &quota::UsageHandover,
    ) -> Option<i32> {
        let known = |taken: &TakenHandover| (taken.from, taken.number) == (from, told.number);
        if self.taken.iter().any(known) {
            return None;
        }
        self.taken.push(TakenHandover {
            from,
            number: told.number,
            at: now,
        });
        let uses = recent::uses_within(&told.slices, now.since(self.active_since));
        let uses = uses.round() as i32;
        self.bucket.charge_late(uses, size);
        self.recent.merge(now, &told.slices);
        Some(uses)
    }

    /// Fills the bucket before it is used, by a node that `is_home` or stands in for a silent one.
    ///
    /// Failure: a home moves to another node and back. Symptom: the bucket here filled while the other
    /// node let requests in, and the account gets its burst twice.
    pub fn prepare(
        &mut self,
        now: time::NodeTime,
        size: bucket::BucketSize,
        share: f64,
        is_home: bool,
    ) {
        self.bucket.fill(now, size);
        // The two sides of a cut share the rate already, so neither owes the other anything.
        self.whole = share >= 1.0;
        let unused = now.since(self.used) > UNUSED;
        if unused && (self.moved || !is_home) {
            self.bucket.cap(initial_tokens(size, share));
            self.active_since = now;
        }
        self.used = now;
        self.moved = !is_home;
    }

    /// Whether no other node can be heard any more, long before membership has found out.
    ///
    /// Failure: the home of an account is cut off. Symptom: it goes on with the whole quota for its own
    /// callers while the next node does so for all others.
    pub fn is_partitioned(&self, now: time::NodeTime) -> bool {
        let silent = self.reports.idle_time(now) > SILENCE;
        silent && self.reports.missed_events(now) > REPORTS_MISSED
    }

    /// Whether other nodes take this one for the home.
    pub fn receives_reports(&self, now: time::NodeTime) -> bool {
        self.reports.rate(now) > 0.0 && self.reports.idle_time(now) < ASKED
    }

    /// Decides a request that came to the home itself.
    pub fn take(&mut self, size: bucket::BucketSize) -> Result<(), Duration> {
        if !self.bucket.take() {
            return Err(self.bucket.time_until_token(size));
        }
        self.note_uses(self.used, 1);
        Ok(())
    }

    /// Follows a change of the quota.
    pub fn refill(&mut self, now: time::NodeTime, size: bucket::BucketSize) {
        self.bucket.fill(now, size);
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, size: bucket::BucketSize) {
        self.bucket.charge(-1, size);
        self.note_uses(self.used, -1);
    }

    /// Counts what an entry node has let in, and decides what waits there.
    pub fn report(
        &mut self,
        now: time::NodeTime,
        size: bucket::BucketSize,
        from: (ident::NodeId, SocketAddr),
        told: quota::UsageReport,
    ) -> Option<quota::UsageDecision> {
        let (node, address) = from;
        self.reports.count(now);
        let known = self.entries.get(node).copied();
        let mut entry = match known {
            // Late by a session: it was counted at another home since.
            Some(known) if told.session < known.session => return None,
            Some(known) if told.session == known.session && told.term != 0 => known,
            // The count that the session refers to is gone, so its sums mean nothing here.
            _ if told.term != 0 && told.term != self.term => {
                return Some(self.restart(told));
            }
            Some(known) if told.session == known.session => known,
            _ => EntryNode {
                address,
                heard: now,
                session: told.session,
                spent: 0,
                asked: 0,
                granted: 0,
                ahead: 0,
            },
        };
        entry.heard = now;
        entry.address = address;
        // A report that was overtaken asks for less than is decided already, and says nothing new.
        if told.asked >= entry.asked {
            let spent = told.spent.wrapping_sub(entry.spent);
            self.bucket.charge(spent, size);
            self.note_uses(now, spent);
            entry.spent = told.spent;
            for _ in entry.asked..told.asked {
                if !self.bucket.take() {
                    break;
                }
                entry.granted += 1;
                self.note_uses(now, 1);
            }
            entry.asked = told.asked;
        }
        let askers = self.entries.len() + usize::from(known.is_none());
        entry.ahead = self.ahead(size, askers);
        self.entries.insert(node, entry);
        Some(self.verdict(size, told.account, &entry))
    }

    /// Verdicts for nodes that let requests in ahead although the account has come near its quota.
    pub fn revoke_ahead(
        &mut self,
        size: bucket::BucketSize,
        account: account::AccountId,
    ) -> Vec<AddressedVerdict> {
        if self.ahead(size, self.entries.len()) > 0 {
            return Vec::new();
        }
        let free = self.entries.keys_where(|entry| entry.ahead > 0);
        let mut verdicts = Vec::with_capacity(free.len());
        for node in free {
            if let Some(entry) = self.entries.get_mut(node) {
                entry.ahead = 0;
                let entry = *entry;
                verdicts.push((entry.address, self.verdict(size, account, &entry)));
            }
        }
        verdicts
    }

    /// Forgets entry nodes that have said nothing for long.
    pub fn remove_expired(&mut self, now: time::NodeTime) {
        let old = |entry: &EntryNode| now.since(entry.heard) >= NODE_KEPT;
        for node in self.entries.keys_where(old) {
            self.entries.remove(node);
        }
        self.taken.retain(|taken| now.since(taken.at) < NODE_KEPT);
    }

    fn note_uses(&mut self, now: time::NodeTime, uses: i32) {
        if self.whole {
            self.recent.count(now, uses);
        }
    }

    /// Tokens left, for the dump.
    pub fn level(&self) -> f64 {
        self.bucket.level()
    }

    /// What each of so many entry nodes may let in ahead.
    fn ahead(&self, size: bucket::BucketSize, askers: usize) -> u16 {
        let spare = self.bucket.level() - size.capacity * RESERVE;
        // A bucket of a few tokens has none to spare.
        if spare < 1.0 {
            return 0;
        }
        let each = spare * AHEAD_PART / askers.max(1) as f64;
        each.clamp(1.0, AHEAD_LIMIT) as u16
    }

    /// Asks an entry node for a new session.
    fn restart(&self, told: quota::UsageReport) -> quota::UsageDecision {
        quota::UsageDecision {
            account: told.account,
            session: told.session,
            term: self.term,
            spent: 0,
            asked: 0,
            granted: 0,
            ahead: 0,
            retry_after_millis: 0,
            redirect: None,
        }
    }

    fn verdict(
        &self,
        size: bucket::BucketSize,
        account: account::AccountId,
        entry: &EntryNode,
    ) -> quota::UsageDecision {
        let pause = self.bucket.time_until_token(size).as_millis();
        quota::UsageDecision {
            account,
            session: entry.session,
            term: self.term,
            spent: entry.spent,
            asked: entry.asked,
            granted: entry.granted,
            ahead: entry.ahead,
            retry_after_millis: u32::try_from(pause).unwrap_or(u32::MAX),
            redirect: None,
        }
    }
}

/// What a home that has just become one begins with.
pub fn initial_tokens(size: bucket::BucketSize, share: f64) -> f64 {
    (FRESH_TOKENS * share).min(size.capacity)
}
