//! One account at an entry node: what was let in, what waits, and what the home said last.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{account, ident, time};
use anvil_wire::quota;

use crate::{bucket, effect, meter};

/// Time after which a report without an answer is sent again, for each time that it was sent.
const RESEND: Duration = Duration::from_millis(50);

/// Times that a report is sent before the home counts as silent.
const SENDS: u8 = 3;

/// Seconds of its usual use that a node may let in at once when no home answers any more; what was
/// let in just before is counted at a home that can't be asked.
const ALONE_SECONDS: f64 = 0.25;

/// A request that waits for the home's word.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    /// None where its caller has gone meanwhile.
    call: Option<u64>,
    /// Its place among the requests that waited in this session.
    place: u32,
}

/// One account at an entry node.
#[derive(Clone, Debug)]
pub struct EntryAccount {
    /// The home of the present session; none where no home answers.
    pub home: Option<ident::NodeId>,
    session: u32,
    /// What the home told of its count in this session; zero before its first word.
    term: u32,
    spent: i32,
    told: i32,
    asked: u32,
    granted: u32,
    ahead: u16,
    waiting: VecDeque<WaitingCall>,
    due: Option<time::NodeTime>,
    sends: u8,
    unsent: bool,
    /// Whether the home stands in for others that did not answer.
    stands_in: bool,
    /// Whether the home was asked again although it named another node.
    insists: bool,
    recent: meter::EventMeter,
    alone: Option<bucket::TokenBucket>,
}

impl EntryAccount {
    /// An account of which nothing is known yet.
    pub fn new(now: time::NodeTime) -> Self {
        Self {
            home: None,
            session: 0,
            term: 0,
            spent: 0,
            told: 0,
            asked: 0,
            granted: 0,
            ahead: 0,
            waiting: VecDeque::new(),
            due: None,
            sends: 0,
            unsent: false,
            stands_in: false,
            insists: false,
            recent: meter::EventMeter::new(now),
            alone: None,
        }
    }

    /// Begins a session with another home, which has not heard of what waits and what was not counted.
    pub fn begin_session(&mut self, home: Option<ident::NodeId>, session: u32) {
        self.home = home;
        self.session = session;
        self.term = 0;
        self.insists = false;
        self.spent = self.spent.wrapping_sub(self.told);
        self.told = 0;
        self.granted = 0;
        self.ahead = 0;
        self.asked = 0;
        for waiting in &mut self.waiting {
            self.asked += 1;
            waiting.place = self.asked;
        }
        self.sends = 0;
        self.due = None;
        self.unsent = home.is_some() && (self.spent != 0 || self.asked > 0);
        if home.is_some() {
            self.alone = None;
        }
    }

    /// Notes whether the home stands in for others that did not answer.
    pub fn note_stand_in(&mut self, stands_in: bool) {
        self.stands_in = stands_in || self.insists;
    }

    /// Asks the home once more, though it takes another node for the home.
    pub fn query_again(&mut self) {
        self.insists = true;
        self.unsent = true;
    }

    /// Lets a request in ahead of the home's count where its last word allows that.
    pub fn spend_ahead(&mut self, now: time::NodeTime) -> bool {
        let uncounted = self.spent.wrapping_sub(self.told);
        let allowed = uncounted < i32::from(self.ahead);
        if allowed {
            self.spent = self.spent.wrapping_add(1);
            self.unsent = true;
            self.recent.count(now);
        }
        allowed
    }

    /// Lets a request wait for the home's word.
    pub fn enqueue(&mut self, call: u64) {
        self.asked += 1;
        self.unsent = true;
        self.waiting.push_back(WaitingCall {
            call: Some(call),
            place: self.asked,
        });
    }

    /// Forgets a request that waits; its grant, if one comes, is given back.
    pub fn cancel(&mut self, call: u64) {
        let mut waiting = self.waiting.iter_mut();
        if let Some(found) = waiting.find(|waiting| waiting.call == Some(call)) {
            found.call = None;
        }
    }

    /// Counts a request that the home let in, which is this node.
    pub fn count(&mut self, now: time::NodeTime) {
        self.recent.count(now);
    }

    /// Gives back the token of a request that did not run; the home hears of it with the next report.
    pub fn give_back(&mut self) {
        self.spent = self.spent.wrapping_sub(1);
    }

    /// Decides a request while no home answers: this node goes on as it did, within its part.
    pub fn admit_standalone(
        &mut self,
        now: time::NodeTime,
        quota: account::AccountQuota,
        part: f64,
    ) -> Result<(), Duration> {
        let usual = self.recent.rate(now).min(quota.rate());
        let own = bucket::BucketSize::of(quota, part);
        let size = bucket::BucketSize {
            rate: own.rate.max(usual),
            capacity: own.capacity.max(usual),
        };
        let fresh = bucket::TokenBucket::new(now, usual * ALONE_SECONDS);
        let alone = self.alone.get_or_insert(fresh);
        alone.fill(now, size);
        match alone.take() {
            true => Ok(()),
            false => Err(alone.time_until_token(size)),
        }
    }

    /// Takes all that wait, to be decided without a home.
    pub fn take_waiting(&mut self) -> Vec<u64> {
        let waiting = self.waiting.drain(..);
        waiting.filter_map(|waiting| waiting.call).collect()
    }

    /// Whether a verdict answers a report of the present session.
    pub fn matches_session(&self, from: ident::NodeId, verdict: quota::UsageDecision) -> bool {
        self.home == Some(from) && verdict.session == self.session
    }

    /// Whether the home has lost the count that this session refers to.
    pub fn is_outdated(&self, from: ident::NodeId, verdict: quota::UsageDecision) -> bool {
        self.matches_session(from, verdict) && self.term != 0 && verdict.term != self.term
    }

    /// Takes in what the home decided.
    pub fn apply_verdict(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        verdict: quota::UsageDecision,
    ) -> Vec<effect::QuotaEffect> {
        if !self.matches_session(from, verdict) || verdict.granted < self.granted {
            return Vec::new();
        }
        self.term = verdict.term;
        self.told = verdict.spent;
        self.ahead = verdict.ahead;
        self.sends = 0;
        let mut fresh = verdict.granted - self.granted;
        self.granted = verdict.granted;
        let pause = Duration::from_millis(u64::from(verdict.retry_after_millis));
        let mut effects = Vec::new();
        while let Some(front) = self.waiting.front().copied() {
            if front.place > verdict.asked {
                break;
            }
            self.waiting.pop_front();
            let granted = fresh > 0;
            fresh = fresh.saturating_sub(1);
            match (front.call, granted) {
                (Some(call), true) => {
                    self.recent.count(now);
                    effects.push(effect::QuotaEffect::Grant { call });
                }
                (Some(call), false) => effects.push(effect::QuotaEffect::Refuse { call, pause }),
                (None, true) => self.give_back(),
                (None, false) => {}
            }
        }
        if !self.awaits_answer() {
            self.due = None;
        }
        effects
    }

    /// The report to send, where there is something new or the last one seems lost.
    pub fn report(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
    ) -> Option<quota::UsageReport> {
        if !std::mem::take(&mut self.unsent) || self.home.is_none() {
            return None;
        }
        if self.due.is_none() {
            self.sends = 1;
            self.due = Some(now + RESEND);
        }
        Some(quota::UsageReport {
            account,
            session: self.session,
            term: self.term,
            spent: self.spent,
            asked: self.asked,
            failover: self.stands_in,
        })
    }

    /// Sends again what was not answered in time; true where the home counts as silent.
    pub fn wake(&mut self, now: time::NodeTime) -> bool {
        if self.due.is_none_or(|due| now < due) {
            return false;
        }
        if self.sends >= SENDS {
            self.due = None;
            return true;
        }
        self.sends += 1;
        self.due = Some(now + RESEND * u32::from(self.sends));
        self.unsent = true;
        false
    }

    /// When [`Self::wake`] has something to do.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        self.due
    }

    /// Requests that wait for the home's word.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// What the home lets this node do ahead of its count.
    pub fn ahead(&self) -> u16 {
        self.ahead
    }

    fn awaits_answer(&self) -> bool {
        !self.waiting.is_empty() || self.spent != self.told
    }
}
