//! Claims of retries by requests that need several of them; see `docs/design/refused-calls.md`.

use anvil_types::time;
use xxhash_rust::xxh3;

use crate::rank;
use crate::ratio::{
    BASE_CLASS_RESERVE, CLASS_RESERVE_PERCENT, MICROS_PER_RETRY, PRIORITY_STEPS, RetryBudget,
    ShareHistory, signed, step,
};

/// Refill that may accumulate beyond the burst, in percent of the mean of a window.
///
/// A request needs several retries within a few hundred milliseconds, and the buckets of many nodes
/// are small. The rules of the platform give 17 retries for 100 first attempts. Spending one and a
/// half seconds of them in addition to the ten of a window makes 19.6, which stays below its 20.
pub(super) const SAVED_PERCENT: u64 = 150;

/// Weight of one window in the mean demand, as its divisor.
const DEMAND_DIVISOR: u64 = 8;

/// What remains of a peak of the demand after one window, in percent.
///
/// A node gets one or two requests of the highest class a second. With the demand of the last
/// window alone, a window without any would leave the budget to the classes below.
const PEAK_PERCENT: u64 = 90;

/// Part of a retry that must be in the budget for each further retry that a request needs, beyond
/// the two of a request that is almost complete. Requests that were given retries before thus take
/// precedence over new ones.
const NEED_MARGIN: f64 = 0.75;

/// Largest part of the capacity that may have to be in the budget, so that a full one always allows
/// a retry.
const MAX_RESERVE: f64 = 0.95;

/// Fraction of the capacity that must be left by lanes which the refill does not cover at all.
const LANE_RESERVE: f64 = 0.9;

/// Range of lanes beyond the covered ones over which that fraction rises from zero, so that a small
/// error in the known demand does not deny a lane all retries.
const LANE_RANGE: f64 = 0.2;

/// How far beyond the lanes that the refill covers requests may wait for it, and the part of the
/// demand that it must cover for that. The demand is known from a few requests only.
const WAIT_RANGE: f64 = 0.1;

/// A request for one retry of a call that a target refused.
#[derive(Clone, Copy, Debug)]
pub struct RetryClaim {
    /// The rank of the request.
    pub rank: rank::CallRank,
    /// Expected number of retries until the request is complete, including this one.
    pub needed: f64,
    /// Whether the same retry was claimed before and had to wait.
    pub repeated: bool,
}

/// The decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryGrant {
    /// The retry is paid.
    Granted,
    /// The refill covers requests of this rank, but the budget is used up for the moment.
    Later,
    /// The refill does not cover requests of this rank.
    Denied,
}

impl ShareHistory {
    /// Updates the mean and the peak of the demand with the window that has just ended.
    pub(super) fn update_demand(&mut self) {
        for (index, requested) in self.previous_requested.iter().enumerate() {
            let mean = &mut self.mean_requested[index];
            *mean = (*mean * (DEMAND_DIVISOR - 1) + requested) / DEMAND_DIVISOR;
            let peak = &mut self.peak_requested[index];
            *peak = (*peak * PEAK_PERCENT / 100).max(*requested);
        }
    }

    /// Mean refill of the completed windows; none before the first.
    fn known_mean(&self) -> Option<u64> {
        let ended = u64::try_from(self.ended).ok().filter(|ended| *ended > 0)?;
        Some(self.previous.iter().sum::<u64>() / ended)
    }
}

impl RetryBudget {
    /// Spends one retry for a request that needs several, or says whether it may wait for one.
    ///
    /// If the budget covers only a part of the demand, retries that are spread over all requests
    /// complete hardly any of them. A claim is therefore granted by three measures: what the classes
    /// above need, whether the refill covers the demand up to the lane of the request, and how much
    /// the request still needs. A request whose lane is covered waits if the budget is empty for the
    /// moment, because a refusal would waste the retries that it was given before.
    pub fn claim(&mut self, now: time::NodeTime, claim: &RetryClaim) -> RetryGrant {
        self.fill(now);
        let step = step(&claim.rank);
        if !claim.repeated {
            self.share.requested[step] += MICROS_PER_RETRY;
        }
        let covered = self.covered_share(step);
        let beyond = lane_part(&claim.rank) - covered;
        let capacity = micros(self.capacity());
        let above = micros(self.reserve_for_classes(step));
        let lanes = (beyond / LANE_RANGE).clamp(0.0, 1.0) * LANE_RESERVE;
        let need = (claim.needed - 2.0).max(0.0) * NEED_MARGIN * micros(MICROS_PER_RETRY);
        let reserve = above + (capacity - above) * lanes + need;
        let reserve = reserve.min(capacity * MAX_RESERVE);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between zero and the capacity"
        )]
        let reserve = reserve as u64;
        if self.take(now, reserve) {
            return RetryGrant::Granted;
        }
        if covered >= WAIT_RANGE && beyond <= WAIT_RANGE {
            return RetryGrant::Later;
        }
        if !claim.repeated {
            // The further retries that the request will not ask for are demand as well.
            let further = (claim.needed - 1.0).max(0.0) * micros(MICROS_PER_RETRY);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "some retries"
            )]
            let further = further as u64;
            self.share.requested[step] += further;
        }
        RetryGrant::Denied
    }

    /// Takes one retry if at least `reserve` is left.
    ///
    /// A budget whose capacity is below one retry never holds a whole one. When it is full, a draw
    /// decides whether the fraction counts as a whole, so that many such nodes together send as many
    /// retries as they have.
    pub(super) fn take(&mut self, now: time::NodeTime, reserve: u64) -> bool {
        if self.tokens >= signed(MICROS_PER_RETRY.max(reserve)) {
            self.tokens -= signed(MICROS_PER_RETRY);
            return true;
        }
        let capacity = self.capacity();
        if capacity >= MICROS_PER_RETRY || self.tokens < signed(capacity) {
            return false;
        }
        let micros = now.since(time::NodeTime::START).as_micros();
        let draw = xxh3::xxh3_64(&micros.to_le_bytes()) % MICROS_PER_RETRY;
        self.tokens = 0;
        draw < capacity
    }

    /// Micro-retries that a claim leaves to the steps above its own.
    fn reserve_for_classes(&self, step: usize) -> u64 {
        if step + 1 == PRIORITY_STEPS {
            return 0;
        }
        let peak = self.share.peak_requested[step + 1..].iter().sum::<u64>();
        let demand = peak.max(self.share.demand_above(step)) + BASE_CLASS_RESERVE;
        demand.min(self.capacity() * CLASS_RESERVE_PERCENT / 100)
    }

    /// Part of the demand at `step` that the refill covers, after the demand of the steps above;
    /// above one if there is more than that.
    fn covered_share(&self, step: usize) -> f64 {
        let Some(refill) = self.share.known_mean() else {
            return f64::INFINITY;
        };
        let refill = refill + self.limits.floor_per_second;
        let above = self.share.mean_requested[step + 1..].iter().sum::<u64>();
        let left = micros(refill.saturating_sub(above));
        left / micros(self.share.mean_requested[step].max(1))
    }
}

/// Part of the requests of the same step that come before a request of `rank`.
fn lane_part(rank: &rank::CallRank) -> f64 {
    let lane = rank.lane.0;
    match rank.by_rule {
        Some(_) => lane.random_fraction(),
        None => f64::from(lane.0) / f64::from(rank::LANES),
    }
}

fn micros(tokens: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "at most some thousand retries")]
    let tokens = tokens as f64;
    tokens
}
