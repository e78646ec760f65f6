//! Per-node retry budget, as a ratio of retries to first attempts; see `docs/design/retries.md`.

use std::time::Duration;

use anvil_types::{context, name, time};
use serde::Serialize;

use crate::rank;

mod claim;

pub use claim::{RetryClaim, RetryGrant};

/// Capacity of the retry budget of a single node, in retries.
pub const RATIO_BURST: u64 = 20;

/// Retries that a node accrues each second regardless of its traffic, so that the ratio does not
/// forbid every retry at low request rates.
pub const RATIO_FLOOR_PER_SECOND: u64 = 2;

/// Cost of one retry; budgets are kept in millionths of a retry.
const MICROS_PER_RETRY: u64 = 1_000_000;

/// Number of past [`SHARE_WINDOW`]s whose mean sets the refill rate.
///
/// When a service begins to refuse requests, its first attempts drop at once because requests end
/// at their first refusal. A ratio of the current first attempts alone would shrink the retry
/// budget exactly when retries are needed. The platform compares the repeats of ten seconds with
/// the requests of the same window or of the one before, so a mean over ten seconds stays within
/// the larger of the two.
pub const SHARE_WINDOWS: usize = 10;

/// Length of one window; also the time whose refill may accumulate beyond the burst.
///
/// The accumulated budget is what lets higher ranks take precedence: if a service fails half of its
/// requests, its retries go to the highest ranks, most of which then succeed completely. It raises
/// the repeats of any ten seconds by at most a tenth of the ratio.
pub const SHARE_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the budget that the last lane of the highest class reserves for the lanes before it.
const MAX_LANE_RESERVE: f64 = 0.5;

/// Upper bound of the budget that classes below the highest reserve for it, in percent. With a
/// smaller reserve, normal-class requests that arrive twice as often as critical ones take a fifth
/// of the retries of a small burst; with this one they take a tenth.
const CLASS_RESERVE_PERCENT: u64 = 90;

/// Part of that reserve that does not depend on demand, in micro-retries. The rest equals the
/// retries that higher classes requested within the last window, so that lower classes can use a
/// budget that nobody else needs.
const BASE_CLASS_RESERVE: u64 = 2 * MICROS_PER_RETRY;

/// Capacity and floor of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RatioLimits {
    /// Burst capacity, in micro-retries.
    burst: u64,
    /// Refill that does not depend on traffic, in micro-retries a second.
    floor_per_second: u64,
    /// Refill that may accumulate beyond the burst, in percent of the mean of a window.
    saved_percent: u64,
}

impl RatioLimits {
    /// Limits of a single node: [`RATIO_BURST`] and [`RATIO_FLOOR_PER_SECOND`].
    pub const NODE: Self = Self {
        burst: RATIO_BURST * MICROS_PER_RETRY,
        floor_per_second: RATIO_FLOOR_PER_SECOND * MICROS_PER_RETRY,
        saved_percent: 100,
    };

    /// Limits of one node if `nodes` share a burst of `fleet_burst` retries.
    pub fn shared(fleet_burst: u32, nodes: usize) -> Self {
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        Self {
            burst: (u64::from(fleet_burst) * MICROS_PER_RETRY / nodes).max(MICROS_PER_RETRY),
            floor_per_second: 0,
            saved_percent: 100,
        }
    }

    /// The same limits for claims of retries: the burst is divided exactly, so that the parts of
    /// many nodes never add up to more than the whole, and more refill may accumulate.
    #[must_use]
    pub fn for_claims(self, fleet_burst: u32, nodes: usize) -> Self {
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        Self {
            burst: u64::from(fleet_burst) * MICROS_PER_RETRY / nodes,
            saved_percent: claim::SAVED_PERCENT,
            ..self
        }
    }
}

/// A token bucket that recent first attempts refill and retries drain.
///
/// The chain allowance bounds the retries of one root request. This budget bounds the retries of
/// many root requests together, which could otherwise still double the load of a service that
/// refuses most of its requests.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    /// Micro-retries left; negative after repeats that could not be held back.
    tokens: i64,
    filled: time::NodeTime,
    limits: RatioLimits,
    share: ShareHistory,
}

/// Refill that first attempts contributed in recent windows.
#[derive(Clone, Debug, Serialize)]
struct ShareHistory {
    /// Start of the current window.
    began: time::NodeTime,
    /// Micro-retries added in the current window.
    present: u64,
    /// Micro-retries added in the previous windows, as a ring buffer.
    #[serde(rename = "former")]
    previous: [u64; SHARE_WINDOWS],
    next: usize,
    /// Completed windows, up to [`SHARE_WINDOWS`].
    ended: usize,
    /// Micro-retries requested at each priority step in the current window, and in the previous
    /// one.
    #[serde(rename = "asked")]
    requested: DemandSums,
    #[serde(rename = "former_asked")]
    previous_requested: DemandSums,
    /// Moving mean of the micro-retries requested in a window, at each priority step.
    mean_requested: DemandSums,
    /// The highest number of recent windows, which decays.
    peak_requested: DemandSums,
}

/// Priority steps: within each class, one step for each class that the rules assign.
const PRIORITY_STEPS: usize = context::PriorityClass::ALL.len() * context::PriorityClass::ALL.len();

/// Micro-retries requested at each priority step, the lowest first.
type DemandSums = [u64; PRIORITY_STEPS];

/// Priority step of `rank`; a request whose class the rules decided takes the top step of its
/// class.
fn step(rank: &rank::CallRank) -> usize {
    let by_rule = rank.by_rule.unwrap_or(context::PriorityClass::Critical);
    rank.class as usize * context::PriorityClass::ALL.len() + by_rule as usize
}

impl ShareHistory {
    fn new(now: time::NodeTime) -> Self {
        Self {
            began: now,
            present: 0,
            previous: [0; SHARE_WINDOWS],
            next: 0,
            ended: 0,
            requested: [0; PRIORITY_STEPS],
            previous_requested: [0; PRIORITY_STEPS],
            mean_requested: [0; PRIORITY_STEPS],
            peak_requested: [0; PRIORITY_STEPS],
        }
    }

    /// Closes the windows that have ended by `now`.
    fn advance(&mut self, now: time::NodeTime) {
        let over = now.since(self.began).as_micros() / SHARE_WINDOW.as_micros();
        let over = u32::try_from(over).unwrap_or(u32::MAX);
        // More empty windows than the ring buffer holds change nothing.
        for _ in 0..(over as usize).min(SHARE_WINDOWS + 1) {
            self.previous[self.next] = std::mem::take(&mut self.present);
            self.next = (self.next + 1) % SHARE_WINDOWS;
            self.ended = (self.ended + 1).min(SHARE_WINDOWS);
            self.previous_requested = std::mem::take(&mut self.requested);
            self.update_demand();
        }
        self.began = self.began + SHARE_WINDOW * over;
    }

    /// Micro-retries requested above `step` within the last window.
    fn demand_above(&self, step: usize) -> u64 {
        let sum = |demand: &DemandSums| demand[step + 1..].iter().sum::<u64>();
        sum(&self.requested).max(sum(&self.previous_requested))
    }

    /// Whether enough windows have passed for their mean to set the refill rate.
    fn is_full(&self) -> bool {
        self.ended >= SHARE_WINDOWS
    }

    /// Mean refill of a window.
    fn mean(&self) -> u64 {
        self.previous.iter().sum::<u64>() / SHARE_WINDOWS as u64
    }
}

impl RetryBudget {
    /// A full budget with the limits of a single node.
    pub fn new(now: time::NodeTime) -> Self {
        Self::with_limits(now, RatioLimits::NODE)
    }

    /// A full budget within `limits`.
    pub fn with_limits(now: time::NodeTime, limits: RatioLimits) -> Self {
        Self {
            tokens: signed(limits.burst),
            filled: now,
            limits,
            share: ShareHistory::new(now),
        }
    }

    /// Counts a first attempt whose rule allows `percent` retries per hundred first attempts.
    pub fn count_first_attempt(&mut self, now: time::NodeTime, percent: u8) {
        self.fill(now);
        let added = u64::from(percent) * MICROS_PER_RETRY / 100;
        self.share.present += added;
        if !self.share.is_full() {
            self.add(added);
        }
    }

    /// Whether `repeats` are left.
    pub fn covers(&mut self, now: time::NodeTime, repeats: u16) -> bool {
        self.fill(now);
        self.tokens >= signed(u64::from(repeats) * MICROS_PER_RETRY)
    }

    /// Charges `repeats` that a retry further up the call chain caused; they cannot be held back.
    pub fn charge_inherited(&mut self, repeats: u16) {
        let least = -signed(self.limits.burst);
        let charge = signed(u64::from(repeats) * MICROS_PER_RETRY);
        self.tokens = (self.tokens - charge).max(least);
    }

    /// Gives back the charge for `repeats` that were not made.
    pub fn give_back_inherited(&mut self, repeats: u16) {
        self.add(u64::from(repeats) * MICROS_PER_RETRY);
    }

    /// Spends one retry for a request of `rank`; returns false if the budget available to that rank
    /// is used up.
    ///
    /// If a service refuses half of its requests and each root request needs eight of its answers,
    /// retries granted in order of arrival give each root one or two retries, and hardly any root
    /// succeeds. Each rank therefore leaves a reserve to the ranks above it. A request keeps its
    /// lane at every hop, so the requests that win here win at their other calls as well.
    pub fn spend(&mut self, now: time::NodeTime, rank: &rank::CallRank) -> bool {
        self.fill(now);
        let reserve = self.reserve_above(rank);
        self.take(now, reserve)
    }

    /// Micro-retries that a request of `rank` must leave to higher ranks; counts its demand as
    /// well.
    fn reserve_above(&mut self, rank: &rank::CallRank) -> u64 {
        let capacity = self.capacity();
        let step = step(rank);
        self.share.requested[step] += MICROS_PER_RETRY;
        let above = match step + 1 < PRIORITY_STEPS {
            true => {
                let demand = self.share.demand_above(step) + BASE_CLASS_RESERVE;
                (capacity * CLASS_RESERVE_PERCENT / 100).min(demand)
            }
            false => 0,
        };
        above + ((capacity - above) as f64 * lane_reserve(rank)) as u64
    }

    /// Maximum level of the bucket: the burst, and the refill of one window.
    fn capacity(&self) -> u64 {
        self.limits.burst + self.share.mean() * self.limits.saved_percent / 100
    }

    /// Adds the refill that has accrued since the last call.
    fn fill(&mut self, now: time::NodeTime) {
        self.share.advance(now);
        let mut rate = self.limits.floor_per_second;
        if self.share.is_full() {
            rate += self.share.mean();
        }
        let micros = u64::try_from(now.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        self.filled = now;
        self.add(micros.saturating_mul(rate) / 1_000_000);
    }

    fn add(&mut self, tokens: u64) {
        let capacity = signed(self.capacity());
        self.tokens = self.tokens.saturating_add(signed(tokens)).min(capacity);
    }
}

/// Fraction that a request leaves to the lanes before its own, after the reserve for higher steps.
///
/// Below the highest class, lanes matter only for requests whose class comes from their client
/// account: one class then holds most of the traffic, and retries granted in order of arrival would
/// complete none of it.
fn lane_reserve(rank: &rank::CallRank) -> f64 {
    let lane = rank.lane.0;
    let part = match (rank.by_rule, rank.class) {
        (Some(_), _) => lane.random_fraction(),
        (None, context::PriorityClass::Critical) => f64::from(lane.0) / f64::from(rank::LANES),
        (None, _) => 0.0,
    };
    part * MAX_LANE_RESERVE
}

fn signed(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}

/// Retry budgets, one for each service.
///
/// Retries to a failing service must not use up the budget of another service. A platform that
/// bounds repeats also counts them for each service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceBudgets {
    /// Sorted by service.
    budgets: Vec<(name::ServiceName, RetryBudget)>,
}

impl ServiceBudgets {
    /// Returns the budget of `service`, and creates a full one within `limits` if there is none.
    pub fn get_or_insert(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
        limits: RatioLimits,
    ) -> &mut RetryBudget {
        let index = self
            .budgets
            .binary_search_by(|(known, _)| known.cmp(service));
        let index = index.unwrap_or_else(|index| {
            let budget = RetryBudget::with_limits(now, limits);
            self.budgets.insert(index, (service.clone(), budget));
            index
        });
        let budget = &mut self.budgets[index].1;
        budget.limits = limits;
        budget
    }
}
