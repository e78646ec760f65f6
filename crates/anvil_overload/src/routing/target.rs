//! State of one target, as known by a caller's node.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{context, ident, time};
use anvil_wire::call;
use serde::{Serialize, Serializer};

use crate::routing::completion;
use crate::{cut, pacing, policy, rank, routing};

/// How long a reported load counts in full.
pub const LOAD_FRESH: Duration = Duration::from_millis(100);

/// Age at which a reported load no longer counts.
pub const LOAD_EXPIRY: Duration = Duration::from_secs(1);

/// How long the load of a target in another zone counts in full in the choice by expected
/// completion.
///
/// A node that knows its own zone to be full sends few requests to each target elsewhere. If their
/// reports aged as fast as those of its own zone, it would try full targets again and again, and the
/// bytes would gain nothing.
const OTHER_ZONE_FRESH: Duration = Duration::from_millis(500);

/// Age at which that load no longer counts.
const OTHER_ZONE_EXPIRY: Duration = Duration::from_secs(2);

/// How the load of a target in the own zone ages.
const OWN_ZONE_FADE: ReportFade = ReportFade::new(LOAD_FRESH, LOAD_EXPIRY);

/// How the load of a target in another zone ages.
const OTHER_ZONE_FADE: ReportFade = ReportFade::new(OTHER_ZONE_FRESH, OTHER_ZONE_EXPIRY);

/// Age up to which a report counts in full while a request that was sent after it is unanswered.
///
/// Otherwise a target that slowed down would look fast again once its report is outdated, and each
/// node would send requests to it until the first of them is answered, which takes longest at a slow
/// target. With this a node sends one request and keeps to what it knew until the answer arrives.
const PROBE_EXPIRY: Duration = Duration::from_secs(5);

/// How long a newly known target gets less than its full share.
pub const SLOW_START: Duration = Duration::from_secs(3);

/// Share of its limit with which such a target starts.
pub const SLOW_START_SHARE: f64 = 0.1;

/// Utilization up to which a target counts as free.
const FREE_SHARE: f64 = 0.5;

/// Weight of the utilization in the choice between targets that count as free.
const TIE_WEIGHT: f64 = 0.05;

/// Service time below which targets count as equally fast, in microseconds.
const MIN_SERVICE_MICROS: u32 = 1_000;

/// How long a leaving that an answer reported counts if membership does not confirm it.
const LEAVING_REPORT_TTL: Duration = Duration::from_secs(10);

/// Falls from one at the age at which a report is no longer fresh to zero at its expiry. The inverse
/// of the range saves a division for each target of a service.
#[derive(Clone, Copy, Debug)]
struct ReportFade {
    expiry_micros: f64,
    per_micro: f64,
}

impl ReportFade {
    const fn new(fresh: Duration, expiry: Duration) -> Self {
        let expiry_micros = expiry.as_secs_f64() * 1e6;
        Self {
            expiry_micros,
            per_micro: 1.0 / (expiry_micros - fresh.as_secs_f64() * 1e6),
        }
    }

    fn at(&self, age_micros: f64) -> f64 {
        ((self.expiry_micros - age_micros) * self.per_micro).clamp(0.0, 1.0)
    }
}

/// An answer's report that its target is leaving.
#[derive(Clone, Copy, Debug, Serialize)]
struct LeavingReport {
    /// Number of the node's latest announcement when it answered.
    announced: u32,
    at: time::NodeTime,
}

/// One target and the state that its answers reported.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TargetRoute {
    pub(super) node: ident::NodeId,
    pub(super) address: SocketAddr,
    #[serde(rename = "near")]
    pub(super) same_zone: bool,
    slots: u32,
    leaving: bool,
    /// Number of the node's announcement that the record is based on.
    announced: u32,
    /// The leaving that an answer reported, if one did.
    #[serde(rename = "told")]
    leaving_report: Option<LeavingReport>,
    since: time::NodeTime,
    in_flight: [u32; context::PriorityClass::ALL.len()],
    /// The latest report, of which the dump shows the pace.
    #[serde(rename = "pace_percent", serialize_with = "serialize_pace")]
    load: call::LoadReport,
    #[serde(rename = "heard")]
    reported_at: Option<time::NodeTime>,
    /// Requests sent since the latest report.
    sent_since: u32,
    pub(super) cut: cut::DecayingCut,
    #[serde(rename = "failures_in_a_row")]
    pub(super) consecutive_failures: u32,
    pub(super) failure_rate: f64,
    failed_at: time::NodeTime,
    pub(super) ejections: u32,
    pub(super) ejected_until: time::NodeTime,
}

impl TargetRoute {
    pub(super) fn new(
        now: time::NodeTime,
        record: &routing::TargetRecord,
        same_zone: bool,
    ) -> Self {
        Self {
            node: record.node,
            address: record.address,
            same_zone,
            slots: record.slots,
            leaving: record.leaving,
            announced: record.announced,
            leaving_report: None,
            since: now,
            in_flight: [0; context::PriorityClass::ALL.len()],
            load: call::LoadReport::default(),
            reported_at: None,
            sent_since: 0,
            cut: cut::DecayingCut::default(),
            consecutive_failures: 0,
            failure_rate: 0.0,
            failed_at: time::NodeTime::START,
            ejections: 0,
            ejected_until: time::NodeTime::START,
        }
    }

    pub(super) fn update(&mut self, record: &routing::TargetRecord, same_zone: bool) {
        self.address = record.address;
        self.same_zone = same_zone;
        self.slots = record.slots;
        self.leaving = record.leaving;
        self.announced = record.announced;
    }

    #[inline]
    pub(super) fn is_available(&self, now: time::NodeTime, exclude: &[ident::NodeId]) -> bool {
        !self.leaving && !self.has_reported_leaving(now) && !exclude.contains(&self.node)
    }

    /// Whether an answer reported a leaving that membership may not know yet.
    ///
    /// The refusal of a leaving target must not be held against its successor at the same node.
    /// This node would send nothing there, so no answer would correct the state, and once this
    /// applied to all targets of a service every request would be refused. The report therefore
    /// ends with a later announcement, and otherwise after [`LEAVING_REPORT_TTL`].
    fn has_reported_leaving(&self, now: time::NodeTime) -> bool {
        self.leaving_report.as_ref().is_some_and(|report| {
            report.announced >= self.announced && now.since(report.at) < LEAVING_REPORT_TTL
        })
    }

    #[inline]
    pub(super) fn ejected(&self, now: time::NodeTime) -> bool {
        now < self.ejected_until
    }

    #[inline]
    pub(super) fn admits(&self, now: time::NodeTime, rank: &rank::CallRank) -> bool {
        rank.admission_level() >= self.cut.level(now)
    }

    pub(super) fn choice(&self) -> routing::RouteChoice {
        routing::RouteChoice::Target {
            node: self.node,
            address: self.address,
            same_zone: self.same_zone,
        }
    }

    pub(super) fn request_sent(&mut self, class: context::PriorityClass) {
        self.in_flight[class as usize] += 1;
        self.sent_since = self.sent_since.saturating_add(1);
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: time::NodeTime,
        attempt: routing::AttemptReport<'_>,
    ) {
        let in_flight = &mut self.in_flight[attempt.class as usize];
        *in_flight = in_flight.saturating_sub(1);
        self.count_result(now, attempt.end);
        let Some(load) = attempt.load else {
            return;
        };
        self.update_load(now, load);
        self.cut.update(now, load.cut.as_ref());
        if load.leaving {
            let announced = load.announced;
            self.leaving_report = Some(LeavingReport { announced, at: now });
        }
    }

    /// Records the load of the target as of `now`.
    pub(super) fn update_load(&mut self, now: time::NodeTime, load: &call::LoadReport) {
        self.load = *load;
        self.reported_at = Some(now);
        self.sent_since = 0;
    }

    /// Expected wait of a new request of `class` in microseconds, increased for targets in other
    /// zones and for failing targets.
    ///
    /// A target whose rate is used up is as far away as the pause that it gave this node.
    ///
    /// Requests of lower classes do not count, because they are served later, and the mean service
    /// time does count. Otherwise a target with many requests of low classes would look worse than
    /// one with a queue of equals, and a slow target as good as a fast one with the same number of
    /// requests; important requests would gather at one target and wait there.
    ///
    /// The reported load includes all callers but is stale; the requests in flight are exact but
    /// only those of this node. The larger of the two is the better bound.
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
        let used = (ahead + 1.0) / self.capacity(now, policy);
        // If slots are free no request waits, and the utilization only decides ties.
        let wait = (used.max(FREE_SHARE) + used * TIE_WEIGHT) * self.service_micros();
        let other_zone = !self.same_zone && policy.zone_preference;
        let (distance, crossing) = match (other_zone, policy.stay_in_zone) {
            (false, _) => (1.0, 0.0),
            (true, false) => (routing::CROSS_ZONE_FACTOR, 0.0),
            (true, true) => (1.0, f64::from(bytes) * routing::CROSS_ZONE_MICROS_PER_BYTE),
        };
        let failures = if policy.ejection {
            1.0 + self.recent_failures(now) * routing::health::FAILURE_FACTOR
        } else {
            1.0
        };
        #[expect(clippy::cast_precision_loss, reason = "at most minutes")]
        let pause = self.pause_left(now).as_micros() as f64;
        (wait + pause) * distance * failures + crossing
    }

    /// What a new request of `class` can expect at this target. `usual_micros` is its usual
    /// run time, or that of the others if it has not reported one.
    ///
    /// Requests that this node sent since the latest report count as waiting, because the report
    /// does not include them.
    #[inline]
    pub(super) fn outlook(
        &self,
        now: time::NodeTime,
        class: context::PriorityClass,
        policy: policy::OverloadPolicy,
        usual_micros: f64,
    ) -> completion::TargetOutlook {
        let from = class as usize;
        let sum = |queued: &[u16]| queued.iter().copied().map(u32::from).sum::<u32>();
        let queued_all = sum(&self.load.queued);
        let queued_ahead = sum(&self.load.queued[from..]);
        let sent_all: u32 = self.in_flight.iter().sum();
        let sent_ahead: u32 = self.in_flight[from..].iter().sum();
        let age = self.report_age(now);
        let fresh = age.map_or(0.0, |age| OWN_ZONE_FADE.at(age));
        let freshness = match (self.same_zone, age) {
            (false, Some(age)) => OTHER_ZONE_FADE.at(age),
            _ => fresh,
        };
        let (capacity, share) = self.started_capacity(now, policy);
        let since = |sent: u32| f64::from(self.sent_since.min(sent));
        let reported = f64::from(self.load.running + queued_all) * freshness;
        let busy = (reported + since(sent_all)).max(f64::from(sent_all));
        let ahead = f64::from(queued_ahead) * freshness + since(sent_ahead);
        let ahead = ahead.max(f64::from(sent_ahead) - capacity);
        completion::TargetOutlook {
            capacity,
            share,
            busy,
            ahead: ahead.min(busy - capacity).max(0.0),
            run: usual_micros.max(f64::from(MIN_SERVICE_MICROS)) * self.pace(fresh),
            pause: match self.load.pause_micros {
                0 => Duration::ZERO,
                _ => self.pause_left(now),
            },
            failures: match policy.ejection && self.failure_rate > 0.0 {
                true => self.recent_failures(now),
                false => 0.0,
            },
        }
    }

    /// How long work takes at the target, as a multiple of its usual time. What the target stated
    /// fades to the usual time as the report ages. A report from before the node's latest
    /// announcement may be about the incarnation before, and its pace does not count.
    fn pace(&self, freshness: f64) -> f64 {
        match self.load.pace_percent {
            0 => 1.0,
            _ if self.load.announced < self.announced => 1.0,
            percent => 1.0 + (f64::from(percent) * 0.01 - 1.0) * freshness,
        }
    }

    /// The usual run time that the target reported, in microseconds.
    #[inline]
    pub(super) fn usual_micros(&self) -> Option<f64> {
        let reported = self.load.usual_micros;
        (reported > 0).then(|| f64::from(reported))
    }

    /// Failure rate, which fades if no new failures occur so that the target is tried again.
    fn recent_failures(&self, now: time::NodeTime) -> f64 {
        let age = now.since(self.failed_at).as_secs_f64();
        let span = routing::health::FAILURE_DECAY.as_secs_f64();
        self.failure_rate * (1.0 - age / span).max(0.0)
    }

    /// Whether the target named a rate in its latest report.
    #[inline]
    pub(super) fn is_rate_limited(&self) -> bool {
        self.load.notice.is_some_and(|notice| notice.rate.is_some())
    }

    /// Time until this node may use its share of the target's rate again.
    ///
    /// The pause is repeated for each request sent since the latest report, so that a node without
    /// answers keeps to its share as well. It never ends later than the longest pause after the
    /// report, since the limit may be lifted meanwhile.
    pub(super) fn pause_left(&self, now: time::NodeTime) -> Duration {
        let Some(reported_at) = self.reported_at else {
            return Duration::ZERO;
        };
        let turns = self.sent_since.saturating_add(1);
        let pause = self.pause().saturating_mul(turns).min(pacing::MAX_PAUSE);
        (reported_at + pause).since(now)
    }

    /// The pause in the target's latest report.
    pub(super) fn pause(&self) -> Duration {
        Duration::from_micros(u64::from(self.load.pause_micros))
    }

    /// Whether an answer has reported the target's load.
    pub(super) fn has_reported(&self) -> bool {
        self.reported_at.is_some()
    }

    fn service_micros(&self) -> f64 {
        f64::from(self.load.usual_micros.max(MIN_SERVICE_MICROS))
    }

    fn capacity(&self, now: time::NodeTime, policy: policy::OverloadPolicy) -> f64 {
        self.full_capacity() * self.slow_start_share(now, policy)
    }

    /// The slots that count, and the share of the free ones that this node may use.
    ///
    /// Once a target has reported its load, the slow start applies to its free slots only. A node
    /// that restarts knows all targets for a moment only, and would otherwise take the target of its
    /// own zone for full and send everything to other zones for three seconds.
    fn started_capacity(&self, now: time::NodeTime, policy: policy::OverloadPolicy) -> (f64, f64) {
        let share = self.slow_start_share(now, policy);
        match self.has_reported() {
            true => (self.full_capacity(), share),
            false => (self.full_capacity() * share, 1.0),
        }
    }

    fn full_capacity(&self) -> f64 {
        let known = if self.reported_at.is_some() && self.load.limit > 0 {
            self.load.limit
        } else {
            self.slots
        };
        f64::from(known.max(1))
    }

    fn slow_start_share(&self, now: time::NodeTime, policy: policy::OverloadPolicy) -> f64 {
        let age = now.since(self.since);
        if !policy.slow_start || age >= SLOW_START {
            return 1.0;
        }
        let share = age.as_secs_f64() / SLOW_START.as_secs_f64();
        share.max(SLOW_START_SHARE)
    }

    fn freshness(&self, now: time::NodeTime) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return 0.0;
        };
        let age = now.since(reported_at).as_secs_f64();
        let (fresh, expiry) = (LOAD_FRESH.as_secs_f64(), LOAD_EXPIRY.as_secs_f64());
        ((expiry - age) / (expiry - fresh)).clamp(0.0, 1.0)
    }

    /// Age of the latest report in microseconds, zero while it counts in full because a request that was
    /// sent after it is unanswered; none without a report.
    #[inline]
    fn report_age(&self, now: time::NodeTime) -> Option<f64> {
        let age = now.since(self.reported_at?);
        let has_probe = self.sent_since > 0 && self.in_flight.iter().any(|count| *count > 0);
        Some(match has_probe && age <= PROBE_EXPIRY {
            true => 0.0,
            false => micros(age),
        })
    }

    fn count_result(&mut self, now: time::NodeTime, end: routing::AttemptEnd) {
        let failed = end != routing::AttemptEnd::Succeeded;
        if failed {
            self.failed_at = now;
        }
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) / routing::health::RATE_DIVISOR;
        self.consecutive_failures = match end {
            routing::AttemptEnd::Unreachable => self.consecutive_failures + 1,
            routing::AttemptEnd::Succeeded => 0,
            routing::AttemptEnd::Failed => self.consecutive_failures,
        };
    }
}

#[expect(clippy::cast_precision_loss, reason = "at most hours")]
fn micros(duration: Duration) -> f64 {
    duration.as_micros() as f64
}

fn serialize_pace<S>(load: &call::LoadReport, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.serialize_u16(load.pace_percent)
}
