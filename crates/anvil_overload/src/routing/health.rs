//! Ejects failing targets, but always keeps a minimum share in use.

use std::time::Duration;

use anvil_types::time;

use crate::routing::target;

/// Consecutive attempts that could not reach a target before it is ejected.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Moving average of failures from which a target is ejected, if the other targets of the service
/// are far below. If something that all targets depend on fails, none is ejected.
pub const OUTLIER_RATE: f64 = 0.5;

/// Share of the outlier's failure rate below which the mean of the other targets must lie.
const OUTLIER_GAP: f64 = 0.5;

/// Weight of one attempt in the moving average, as its divisor.
pub(super) const RATE_DIVISOR: f64 = 8.0;

/// Factor for the expected wait at a target whose attempts all fail. A target that fails
/// immediately has no queue and would otherwise attract all requests.
pub const FAILURE_FACTOR: f64 = 16.0;

/// Time over which the effect of a failure on the choice fades.
pub const FAILURE_DECAY: Duration = Duration::from_secs(4);

/// Duration of the first ejection; each further one in a row doubles it.
pub const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Largest share of the targets of a service that is ejected at the same time.
pub const MAX_EJECTED_SHARE: f64 = 0.5;

/// Ejects the target at `index` if it fails more than its peers.
///
/// A network fault at this node makes every target appear to have failed. Without a floor all
/// targets would be ejected and the service would become unavailable; the floor keeps at least half
/// of them.
pub(super) fn update_ejection(
    now: time::NodeTime,
    targets: &mut [target::TargetRoute],
    index: usize,
) {
    let target = &targets[index];
    if target.ejected(now) {
        return;
    }
    let lost = target.consecutive_failures >= MAX_CONSECUTIVE_FAILURES;
    if !lost && !is_outlier(targets, index) {
        if target.consecutive_failures == 0 && target.failure_rate < OUTLIER_RATE / 4.0 {
            targets[index].ejections = 0;
        }
        return;
    }
    let ejected = targets.iter().filter(|other| other.ejected(now)).count();
    if !floor_allows(ejected + 1, targets.len()) {
        return;
    }
    eject(now, &mut targets[index]);
}

fn is_outlier(targets: &[target::TargetRoute], index: usize) -> bool {
    let rate = targets[index].failure_rate;
    if rate < OUTLIER_RATE || targets.len() < 2 {
        return false;
    }
    let total: f64 = targets.iter().map(|other| other.failure_rate).sum();
    #[expect(clippy::cast_precision_loss, reason = "a count of targets")]
    let others = (targets.len() - 1) as f64;
    (total - rate) / others < rate * OUTLIER_GAP
}

fn floor_allows(ejected: usize, total: usize) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "counts of targets")]
    let (ejected, total) = (ejected as f64, total as f64);
    ejected <= total * MAX_EJECTED_SHARE
}

fn eject(now: time::NodeTime, target: &mut target::TargetRoute) {
    let doublings = target.ejections.min(8);
    let span = FIRST_EJECTION
        .saturating_mul(1 << doublings)
        .min(MAX_EJECTION);
    target.ejected_until = now + span;
    target.ejections += 1;
    // One more failure after the ejection ejects the target again.
    target.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
    target.failure_rate = OUTLIER_RATE * 0.95;
}
