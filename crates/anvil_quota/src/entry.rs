//! One account at an entry node: its admitted and waiting requests, and the last decision of its
//! home.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{account, ident, time};
use anvil_wire::quota;

use crate::{bucket, demand, effect, meter};

/// Time after which an unanswered report is sent again, multiplied by the number of times it was
/// sent.
const RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// Number of times that a report is sent before the home counts as silent.
const MAX_SENDS: u8 = 3;

/// Initial tokens of a node that no home answers, in seconds of its recent rate. Requests admitted
/// shortly before are counted at a home that is not reachable.
const STANDALONE_BURST_SECONDS: f64 = 0.25;

/// A request that waits for the home's decision.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    /// `None` if its caller has gone away.
    call: Option<u64>,
    /// Its sequence number among the requests that waited in this session.
    sequence: u32,
}

/// One account at an entry node.
#[derive(Clone, Debug)]
pub struct EntryAccount {
    /// The home of the current session; `None` if no home answers.
    pub home: Option<ident::NodeId>,
    session: u32,
    /// Term of the home's count in this session; zero before its first decision.
    term: u32,
    /// Requests admitted ahead of the count in this session, minus tokens given back; wraps.
    spent: i32,
    /// The part of `spent` that the home has counted.
    acknowledged: i32,
    /// Decisions requested in this session, and those of them that were granted.
    requested: u32,
    granted: u32,
    /// Requests that arrived in this session.
    arrived: u32,
    ahead: u16,
    waiting: VecDeque<WaitingCall>,
    /// When the last report is sent again if no answer arrives.
    resend_at: Option<time::NodeTime>,
    sends: u8,
    /// Whether there is something to report.
    unsent: bool,
    /// Whether the home stands in for others that did not answer.
    stands_in: bool,
    /// Whether the home was queried again although it named another node.
    queries_again: bool,
    recent: meter::EventMeter,
    /// Demand of the account over all nodes, as far as it is known here.
    pub demand: demand::EntryDemand,
    /// Bucket used while no home answers.
    standalone: Option<bucket::TokenBucket>,
}

impl EntryAccount {
    /// An account without any state.
    pub fn new(now: time::NodeTime) -> Self {
        Self {
            home: None,
            session: 0,
            term: 0,
            spent: 0,
            acknowledged: 0,
            requested: 0,
            granted: 0,
            arrived: 0,
            ahead: 0,
            waiting: VecDeque::new(),
            resend_at: None,
            sends: 0,
            unsent: false,
            stands_in: false,
            queries_again: false,
            recent: meter::EventMeter::new(now),
            demand: demand::EntryDemand::new(now),
            standalone: None,
        }
    }

    /// Begins a session with another home, which has not received the waiting and the uncounted
    /// requests.
    pub fn begin_session(&mut self, home: Option<ident::NodeId>, session: u32) {
        self.home = home;
        self.session = session;
        self.term = 0;
        self.queries_again = false;
        self.spent = self.spent.wrapping_sub(self.acknowledged);
        self.acknowledged = 0;
        self.granted = 0;
        self.ahead = 0;
        self.requested = 0;
        for waiting in &mut self.waiting {
            self.requested += 1;
            waiting.sequence = self.requested;
        }
        let uncounted = u32::try_from(self.spent).unwrap_or(0);
        self.arrived = self.requested.wrapping_add(uncounted);
        self.sends = 0;
        self.resend_at = None;
        self.unsent = home.is_some() && (self.spent != 0 || self.requested > 0);
        if home.is_some() {
            self.standalone = None;
        }
    }

    /// Records whether the home stands in for others that did not answer.
    pub fn set_stand_in(&mut self, stands_in: bool) {
        self.stands_in = stands_in || self.queries_again;
    }

    /// Queries the home again although it takes another node for the home.
    pub fn query_again(&mut self) {
        self.queries_again = true;
        self.unsent = true;
    }

    /// Admits a request ahead of the home's count if the last decision allows it.
    pub fn spend_ahead(&mut self, now: time::NodeTime) -> bool {
        let uncounted = self.spent.wrapping_sub(self.acknowledged);
        let allowed = uncounted < i32::from(self.ahead);
        if allowed {
            self.spent = self.spent.wrapping_add(1);
            self.arrived = self.arrived.wrapping_add(1);
            self.unsent = true;
            self.recent.count(now);
        }
        allowed
    }

    /// Queues a request for the home's decision.
    pub fn enqueue(&mut self, call: u64) {
        self.requested += 1;
        self.arrived = self.arrived.wrapping_add(1);
        self.unsent = true;
        self.waiting.push_back(WaitingCall {
            call: Some(call),
            sequence: self.requested,
        });
    }

    /// Cancels a waiting request; if it is granted later, the token is given back.
    pub fn cancel(&mut self, call: u64) {
        let mut waiting = self.waiting.iter_mut();
        if let Some(found) = waiting.find(|waiting| waiting.call == Some(call)) {
            found.call = None;
        }
    }

    /// Counts a request that this node admitted as the home.
    pub fn count(&mut self, now: time::NodeTime) {
        self.recent.count(now);
    }

    /// Gives back the token of a request that did not run; the home learns of it from the next
    /// report.
    pub fn give_back(&mut self) {
        self.spent = self.spent.wrapping_sub(1);
    }

    /// Decides a request while no home answers: the node keeps its recent rate, or its part of the
    /// quota if that is larger.
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
        let initial = bucket::TokenBucket::new(now, usual * STANDALONE_BURST_SECONDS);
        let standalone = self.standalone.get_or_insert(initial);
        standalone.fill(now, size);
        match standalone.take() {
            true => Ok(()),
            false => Err(standalone.time_until_token(size)),
        }
    }

    /// Removes all waiting requests, to be decided without a home.
    pub fn take_waiting(&mut self) -> Vec<u64> {
        let waiting = self.waiting.drain(..);
        waiting.filter_map(|waiting| waiting.call).collect()
    }

    /// Whether a decision answers a report of the current session.
    pub fn matches_session(&self, from: ident::NodeId, decision: quota::UsageDecision) -> bool {
        self.home == Some(from) && decision.session == self.session
    }

    /// Whether the home no longer has the count that this session refers to.
    pub fn is_outdated(&self, from: ident::NodeId, decision: quota::UsageDecision) -> bool {
        self.matches_session(from, decision) && self.term != 0 && decision.term != self.term
    }

    /// Applies a decision of the home.
    pub fn apply_decision(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        decision: quota::UsageDecision,
    ) -> Vec<effect::QuotaEffect> {
        if !self.matches_session(from, decision) || decision.granted < self.granted {
            return Vec::new();
        }
        self.term = decision.term;
        self.acknowledged = decision.spent;
        self.demand
            .store(now, demand::DemandRatio::of_decision(&decision));
        self.ahead = decision.ahead;
        self.sends = 0;
        let mut new_grants = decision.granted - self.granted;
        self.granted = decision.granted;
        let pause = Duration::from_millis(u64::from(decision.retry_after_millis));
        let mut effects = Vec::new();
        while let Some(front) = self.waiting.front().copied() {
            if front.sequence > decision.asked {
                break;
            }
            self.waiting.pop_front();
            let granted = new_grants > 0;
            new_grants = new_grants.saturating_sub(1);
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
            self.resend_at = None;
        }
        effects
    }

    /// The next report, if there is something new or the last one seems lost.
    pub fn report(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
    ) -> Option<quota::UsageReport> {
        if !std::mem::take(&mut self.unsent) || self.home.is_none() {
            return None;
        }
        if self.resend_at.is_none() {
            self.sends = 1;
            self.resend_at = Some(now + RESEND_INTERVAL);
        }
        Some(quota::UsageReport {
            account,
            session: self.session,
            term: self.term,
            spent: self.spent,
            asked: self.requested,
            arrived: self.arrived,
            failover: self.stands_in,
        })
    }

    /// Schedules the resend of an unanswered report; returns true if the home counts as silent.
    pub fn wake(&mut self, now: time::NodeTime) -> bool {
        if self.resend_at.is_none_or(|resend_at| now < resend_at) {
            return false;
        }
        if self.sends >= MAX_SENDS {
            self.resend_at = None;
            return true;
        }
        self.sends += 1;
        self.resend_at = Some(now + RESEND_INTERVAL * u32::from(self.sends));
        self.unsent = true;
        false
    }

    /// Time at which [`Self::wake`] must be called.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        self.resend_at
    }

    /// Number of requests that wait for the home's decision.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that the home lets this node admit ahead of its count.
    pub fn ahead(&self) -> u16 {
        self.ahead
    }

    fn awaits_answer(&self) -> bool {
        !self.waiting.is_empty() || self.spent != self.acknowledged
    }
}
