//! Lanes by which client accounts share a scarce service; see `docs/design/fair-lanes.md`.

use anvil_types::{context, ident};
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::rank;

/// Smallest share of a quota that a line can admit; requests below it have the first lane.
pub const MIN_SHARE: f64 = 1.0 / 32.0;

/// Largest share that a line can admit without admitting everything.
///
/// From [`MIN_SHARE`] to here, the shares of neighbouring lanes differ by the same factor: 1.023,
/// and 1.094 for the 64 lanes of a class band. The nearest line is thus within 4.6% of any share.
pub const MAX_SHARE: f64 = 10.0;

/// Bits of the hash of a request id that are random in [`random_fraction`]. The lowest byte is not
/// among them, so that [`uniform_lane`] is independent.
const FRACTION_BITS: u32 = 53;

/// Position of a request in the order in which an account's requests are admitted: its random
/// number multiplied by the account's demand, as a ratio to the rate of the account's quota.
///
/// A line at a given share admits min(demand, share) of each account's quota, which is the weighted
/// max-min share (core-stateless fair queueing; Stoica, Shenker and Zhang, SIGCOMM 1998).
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize)]
pub struct QuotaShare(f64);

impl QuotaShare {
    /// The position of `request` if its account sends `demand` times the rate of its quota.
    pub fn of(request: ident::RequestId, demand: f64) -> Self {
        Self(random_fraction(request) * demand)
    }

    /// The share of each quota that a line admits whose last admitted lane is `lane`; infinite for
    /// the last lane.
    pub fn admitted_by(lane: context::LaneHash) -> Self {
        if lane.0 == u8::MAX {
            return Self(f64::INFINITY);
        }
        let part = f64::from(lane.0 + 1) / f64::from(rank::LANES);
        Self(MIN_SHARE * (MAX_SHARE / MIN_SHARE).powf(part))
    }

    /// The same for a lane within a class band.
    pub fn admitted_in_band(lane: context::LaneHash) -> Self {
        Self::admitted_by(lane.last_of_band_lane())
    }

    /// The share as a ratio to the rate of the quota.
    pub const fn ratio(self) -> f64 {
        self.0
    }

    /// The lane of the position; increases with it.
    pub fn lane(self) -> context::LaneHash {
        let part = (self.0 / MIN_SHARE).ln() / (MAX_SHARE / MIN_SHARE).ln();
        let lane = (part * f64::from(rank::LANES)).floor();
        context::LaneHash(lane.clamp(0.0, f64::from(u8::MAX)) as u8)
    }
}

/// A number from 0 to 1 that is the same for a request at every node and differs between requests
/// at random.
pub fn random_fraction(request: ident::RequestId) -> f64 {
    let fraction = digest(request) >> (u64::BITS - FRACTION_BITS);
    fraction as f64 / (1_u64 << FRACTION_BITS) as f64
}

/// A lane that is uniformly distributed whatever the account's demand, the same at every node.
///
/// Retry budgets, the pauses of refused callers and the sample of the request log need one.
/// Admitted requests of a hot account have low random fractions, so a lane derived from the
/// fraction would let that account win the retries; this one is independent of it.
pub fn uniform_lane(request: ident::RequestId) -> context::LaneHash {
    context::LaneHash(digest(request).to_le_bytes()[0])
}

/// The uniform lane of a call, in the class band of its rule if it has one.
pub fn uniform_lane_of(context: &context::CallContext) -> context::LaneHash {
    let lane = uniform_lane(context.request);
    let banded = context.rule_class.map(|class| lane.with_class_band(class));
    banded.unwrap_or(lane)
}

fn digest(request: ident::RequestId) -> u64 {
    xxh3::xxh3_64(&request.0.to_le_bytes())
}
