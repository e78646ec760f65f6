//! What a caller's node knows of one target.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{context, ident, time};
use anvil_wire::call;
use serde::Serialize;

use crate::{cut, policy, rank, routing};

/// How long a reported load counts in full.
pub const LOAD_FRESH: Duration = Duration::from_millis(100);

/// When a reported load counts no more.
pub const LOAD_EXPIRY: Duration = Duration::from_secs(1);

/// How long a target that just came gets less than its share.
pub const SLOW_START: Duration = Duration::from_secs(3);

/// Share of its limit with which such a target begins.
pub const SLOW_START_SHARE: f64 = 0.1;

/// Share of the slots up to which a target counts as free.
const FREE_SHARE: f64 = 0.5;

/// Weight of the share in use among targets that are free alike.
const TIE_WEIGHT: f64 = 0.05;

/// Time of a run below which targets count as equally fast, in microseconds.
const USUAL_LEAST: u32 = 1_000;

/// How long a leaving that an answer told counts where membership doesn't confirm it.
const LEAVING_HOLD: Duration = Duration::from_secs(10);

/// A leaving that an answer told.
#[derive(Clone, Copy, Debug, Serialize)]
struct ToldLeaving {
    /// The node's latest announcement when it answered.
    announced: u32,
    at: time::NodeTime,
}

/// One target and what its answers told.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TargetRoute {
    pub(super) node: ident::NodeId,
    pub(super) address: SocketAddr,
    pub(super) near: bool,
    slots: u32,
    leaving: bool,
    /// Which of the node's announcements this goes back to.
    announced: u32,
    /// The leaving that an answer told, where one did.
    told: Option<ToldLeaving>,
    since: time::NodeTime,
    in_flight: [u32; context::PriorityClass::ALL.len()],
    #[serde(skip)]
    load: call::LoadReport,
    heard: Option<time::NodeTime>,
    pub(super) cut: cut::DecayingCut,
    pub(super) failures_in_a_row: u32,
    pub(super) failure_rate: f64,
    failed_at: time::NodeTime,
    pub(super) ejections: u32,
    pub(super) ejected_until: time::NodeTime,
}

impl TargetRoute {
    pub(super) fn new(now: time::NodeTime, record: &routing::TargetRecord, near: bool) -> Self {
        Self {
            node: record.node,
            address: record.address,
            near,
            slots: record.slots,
            leaving: record.leaving,
            announced: record.announced,
            told: None,
            since: now,
            in_flight: [0; context::PriorityClass::ALL.len()],
            load: call::LoadReport::default(),
            heard: None,
            cut: cut::DecayingCut::default(),
            failures_in_a_row: 0,
            failure_rate: 0.0,
            failed_at: time::NodeTime::START,
            ejections: 0,
            ejected_until: time::NodeTime::START,
        }
    }

    pub(super) fn renew(&mut self, record: &routing::TargetRecord, near: bool) {
        self.address = record.address;
        self.near = near;
        self.slots = record.slots;
        self.leaving = record.leaving;
        self.announced = record.announced;
    }

    pub(super) fn serves(&self, now: time::NodeTime, exclude: &[ident::NodeId]) -> bool {
        !self.leaving && !self.told_leaving(now) && !exclude.contains(&self.node)
    }

    /// Whether an answer told of a leaving that membership may not have heard of yet.
    ///
    /// Failure: the refusal of a target that leaves is held against its successor. Symptom: this node
    /// sends nothing there any more, so no answer corrects it, and once it is so for all targets of a
    /// service every request is refused. A later announcement therefore ends it, and time does where
    /// none arrives.
    fn told_leaving(&self, now: time::NodeTime) -> bool {
        self.told.as_ref().is_some_and(|told| {
            told.announced >= self.announced && now.since(told.at) < LEAVING_HOLD
        })
    }

    pub(super) fn ejected(&self, now: time::NodeTime) -> bool {
        now < self.ejected_until
    }

    pub(super) fn admits(&self, now: time::NodeTime, rank: &rank::CallRank) -> bool {
        rank.admission_level() >= self.cut.level(now)
    }

    pub(super) fn choice(&self) -> routing::RouteChoice {
        routing::RouteChoice::Target {
            node: self.node,
            address: self.address,
            same_zone: self.near,
        }
    }

    pub(super) fn request_sent(&mut self, class: context::PriorityClass) {
        self.in_flight[class as usize] += 1;
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: time::NodeTime,
        attempt: routing::AttemptReport<'_>,
    ) {
        let in_flight = &mut self.in_flight[attempt.class as usize];
        *in_flight = in_flight.saturating_sub(1);
        self.count(now, attempt.end);
        let Some(load) = attempt.load else {
            return;
        };
        self.load = *load;
        self.heard = Some(now);
        self.cut.update(now, load.cut.as_ref());
        if load.leaving {
            let announced = load.announced;
            self.told = Some(ToldLeaving { announced, at: now });
        }
    }

    /// The wait that a new request of `class` may expect, in microseconds, made worse by distance
    /// and by failures.
    ///
    /// Failure: a target full of lower work looks worse than one with a queue of equals, and a slow
    /// one looks as good as a fast one with as many requests. Symptom: important requests gather at
    /// one target and wait there. Lower classes therefore don't count, since they are served later,
    /// and the time of a run does.
    ///
    /// The reported load counts all callers and is stale; the requests in flight are exact and
    /// only this node's. The larger of the two is the better bound.
    pub(super) fn cost(
        &self,
        now: time::NodeTime,
        class: context::PriorityClass,
        bytes: u32,
        policy: policy::OverloadPolicy,
    ) -> f64 {
        let from = class as usize;
        let queued: u32 = self.load.queued[from..]
            .iter()
            .copied()
            .map(u32::from)
            .sum();
        let sent: u32 = self.in_flight[from..].iter().sum();
        let reported = f64::from(self.load.running + queued) * self.freshness(now);
        let ahead = reported.max(f64::from(sent));
        let used = (ahead + 1.0) / self.width(now, policy);
        // With slots free nobody waits; the share in use then only settles ties.
        let wait = (used.max(FREE_SHARE) + used * TIE_WEIGHT) * self.usual();
        let far = !self.near && policy.zone_preference;
        let (distance, crossing) = match (far, policy.stay_in_zone) {
            (false, _) => (1.0, 0.0),
            (true, false) => (routing::CROSS_ZONE_FACTOR, 0.0),
            (true, true) => (1.0, f64::from(bytes) * routing::CROSS_ZONE_MICROS_PER_BYTE),
        };
        let failures = if policy.ejection {
            1.0 + self.recent_failures(now) * routing::health::FAILURE_FACTOR
        } else {
            1.0
        };
        wait * distance * failures + crossing
    }

    /// The share of failures, which fades without new ones so that the target is tried again.
    fn recent_failures(&self, now: time::NodeTime) -> f64 {
        let age = now.since(self.failed_at).as_secs_f64();
        let span = routing::health::FAILURE_DECAY.as_secs_f64();
        self.failure_rate * (1.0 - age / span).max(0.0)
    }

    fn usual(&self) -> f64 {
        f64::from(self.load.usual_micros.max(USUAL_LEAST))
    }

    fn width(&self, now: time::NodeTime, policy: policy::OverloadPolicy) -> f64 {
        let known = if self.heard.is_some() && self.load.limit > 0 {
            self.load.limit
        } else {
            self.slots
        };
        let width = f64::from(known.max(1));
        if !policy.slow_start {
            return width;
        }
        let age = now.since(self.since).as_secs_f64() / SLOW_START.as_secs_f64();
        width * age.clamp(SLOW_START_SHARE, 1.0)
    }

    fn freshness(&self, now: time::NodeTime) -> f64 {
        let Some(heard) = self.heard else {
            return 0.0;
        };
        let age = now.since(heard).as_secs_f64();
        let (fresh, gone) = (LOAD_FRESH.as_secs_f64(), LOAD_EXPIRY.as_secs_f64());
        ((gone - age) / (gone - fresh)).clamp(0.0, 1.0)
    }

    fn count(&mut self, now: time::NodeTime, end: routing::AttemptEnd) {
        let failed = end != routing::AttemptEnd::Succeeded;
        if failed {
            self.failed_at = now;
        }
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) / routing::health::RATE_DIVISOR;
        self.failures_in_a_row = match end {
            routing::AttemptEnd::Unreachable => self.failures_in_a_row + 1,
            routing::AttemptEnd::Succeeded => 0,
            routing::AttemptEnd::Failed => self.failures_in_a_row,
        };
    }
}
