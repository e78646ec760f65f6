//! Demand of an account, as a ratio to the rate of its quota; see `docs/design/fair-lanes.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::quota;
use serde::Serialize;

use crate::meter;

/// Time constant of the rates. The relative error of a rate of r requests a second is about
/// 1 / sqrt(4 r): 16% at ten requests a second.
pub const DEMAND_SPAN: Duration = Duration::from_secs(2);

/// Time constant of the rates that follow a surge. With [`DEMAND_SPAN`] alone, a surge to nine times
/// the usual rate is known with two thirds after 2 s, and pushes other accounts out until then.
pub const SURGE_SPAN: Duration = Duration::from_millis(500);

/// Standard deviations by which the rate over [`SURGE_SPAN`] has to differ from that over
/// [`DEMAND_SPAN`] before it counts. Small accounts vary by chance over a span this short.
const SURGE_DEVIATIONS: f64 = 2.0;

/// Time for which an entry node uses the last ratio of a home that does not answer.
pub const RATIO_TTL: Duration = Duration::from_secs(5);

/// Time after a decision without a ratio in which requests do not wait for another one. A home knows
/// no ratio for [`DEMAND_SPAN`] after it started.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Largest ratio that an entry node estimates from its own requests. Callers of a small account
/// that all use one node would otherwise appear as a demand that is multiplied by the whole fleet.
const MAX_ESTIMATE: f64 = 1.0;

/// Requests of an account in recent seconds at all nodes, as ratios to the rate of its quota.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct DemandRatio {
    /// All requests, granted or not.
    pub requested: f64,
    /// The requests that the quota granted, whether or not they ran.
    pub granted: f64,
}

impl DemandRatio {
    /// The ratio in a decision; `None` if its home does not know it.
    pub fn of_decision(decision: &quota::UsageDecision) -> Option<Self> {
        let ratio = |percent: u16| f64::from(percent) / 100.0;
        (decision.demand_percent > 0).then_some(Self {
            requested: ratio(decision.demand_percent),
            granted: ratio(decision.granted_percent),
        })
    }

    /// The percentages of requested and of granted requests, for a decision. Zero means unknown, so
    /// the smallest demand is one percent.
    pub fn percents(&self) -> (u16, u16) {
        let percent = |ratio: f64| (ratio * 100.0).round().clamp(1.0, f64::from(u16::MAX)) as u16;
        (percent(self.requested), percent(self.granted))
    }
}

/// Rate of requests, averaged over [`DEMAND_SPAN`] unless it changes significantly.
#[derive(Clone, Copy, Debug)]
struct SurgeMeter {
    slow: meter::EventMeter,
    fast: meter::EventMeter,
}

impl SurgeMeter {
    fn new(now: time::NodeTime) -> Self {
        Self {
            slow: meter::EventMeter::with_span(now, DEMAND_SPAN),
            fast: meter::EventMeter::with_span(now, SURGE_SPAN),
        }
    }

    fn count(&mut self, now: time::NodeTime, events: u32) {
        self.slow.count_many(now, events);
        self.fast.count_many(now, events);
    }

    /// Requests a second, for a meter that has counted for `age`.
    fn rate(&self, now: time::NodeTime, age: Duration) -> f64 {
        // The meters start at zero and would report too little at first.
        let filled = |span: Duration| 1.0 - (-age.as_secs_f64() / span.as_secs_f64()).exp();
        let slow = self.slow.rate(now) / filled(DEMAND_SPAN);
        let fast = self.fast.rate(now) / filled(SURGE_SPAN);
        // Deviation of an exponential average of independent requests.
        let deviation = (slow.max(fast) / (2.0 * SURGE_SPAN.as_secs_f64())).sqrt();
        let margin = SURGE_DEVIATIONS * deviation;
        slow.clamp(fast - margin, fast + margin)
    }
}

/// Rates of an account's requests at its home.
#[derive(Clone, Copy, Debug)]
pub struct HomeDemand {
    since: time::NodeTime,
    requested: SurgeMeter,
    granted: SurgeMeter,
}

impl HomeDemand {
    /// Starts to count; the demand is unknown for [`DEMAND_SPAN`].
    pub fn new(now: time::NodeTime) -> Self {
        Self {
            since: now,
            requested: SurgeMeter::new(now),
            granted: SurgeMeter::new(now),
        }
    }

    /// Counts requests, and those of them that the quota granted.
    pub fn count(&mut self, now: time::NodeTime, requested: u32, granted: u32) {
        self.requested.count(now, requested);
        self.granted.count(now, granted);
    }

    /// The ratio to `rate`; `None` while the counts are too recent.
    ///
    /// It is read before a request is counted. Afterwards it would contain that request in full,
    /// and an account with one request in two seconds would appear to send twice as many.
    pub fn ratio(&self, now: time::NodeTime, rate: f64) -> Option<DemandRatio> {
        let age = now.since(self.since);
        if age < DEMAND_SPAN || rate <= 0.0 {
            return None;
        }
        let ratio = |meter: &SurgeMeter| meter.rate(now, age) / rate;
        Some(DemandRatio {
            requested: ratio(&self.requested),
            granted: ratio(&self.granted),
        })
    }
}

/// Demand of an account as its entry node knows it.
#[derive(Clone, Copy, Debug)]
pub struct EntryDemand {
    last: Option<(DemandRatio, time::NodeTime)>,
    /// Time of the home's last decision, whether or not it contained a ratio.
    answered: Option<time::NodeTime>,
    /// Requests that arrived at this node.
    own: meter::EventMeter,
}

impl EntryDemand {
    /// An account without any requests.
    pub fn new(now: time::NodeTime) -> Self {
        Self {
            last: None,
            answered: None,
            own: meter::EventMeter::with_span(now, DEMAND_SPAN),
        }
    }

    /// Counts a request that arrived at this node.
    pub fn count(&mut self, now: time::NodeTime) {
        self.own.count(now);
    }

    /// Stores the ratio of a home's decision; an unknown one does not replace a known one.
    pub fn store(&mut self, now: time::NodeTime, ratio: Option<DemandRatio>) {
        self.last = ratio.map(|ratio| (ratio, now)).or(self.last);
        self.answered = Some(now);
    }

    /// Whether the next request should wait for a decision of the home, because no recent one
    /// contained a ratio.
    ///
    /// An account whose requests spread over many nodes has no recent ratio at most of them, and an
    /// estimate from one request would multiply that request by all nodes. The report of the
    /// request is sent and answered in any case, so waiting for the answer costs a round trip but
    /// no message.
    pub fn is_outdated(&self, now: time::NodeTime) -> bool {
        let asked_recently = |at: time::NodeTime| now.since(at) < RETRY_INTERVAL;
        self.recent(now).is_none() && !self.answered.is_some_and(asked_recently)
    }

    /// The home's ratio, if it is recent.
    pub fn recent(&self, now: time::NodeTime) -> Option<DemandRatio> {
        let (ratio, at) = self.last?;
        (now.since(at) < RATIO_TTL).then_some(ratio)
    }

    /// The ratio if each of `nodes` nodes received as many requests as this one, including the one
    /// that is about to be counted.
    pub fn estimate(&self, now: time::NodeTime, nodes: usize, rate: f64) -> f64 {
        let own = self.own.rate(now) + 1.0 / DEMAND_SPAN.as_secs_f64();
        (own * nodes as f64 / rate.max(f64::MIN_POSITIVE)).min(MAX_ESTIMATE)
    }
}

/// How a node knows the demand of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DemandSource {
    /// This node is the home and counts the requests of all nodes.
    Home,
    /// A decision of the home within [`RATIO_TTL`].
    Decision,
    /// The requests at this node, multiplied by the number of live nodes.
    Estimate,
    /// The account has no quota, and counts as one that uses exactly its quota.
    NoQuota,
}

/// The demand of an account at a node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AccountDemand {
    /// The ratio.
    pub ratio: DemandRatio,
    /// Where it comes from.
    pub source: DemandSource,
}

impl AccountDemand {
    /// Demand of an account that uses exactly its quota; also that of an account without one.
    pub const NO_QUOTA: Self = Self {
        ratio: DemandRatio {
            requested: 1.0,
            granted: 1.0,
        },
        source: DemandSource::NoQuota,
    };
}
