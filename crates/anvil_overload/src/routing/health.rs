//! Leaves out targets that fail, within a floor.

use std::time::Duration;

use anvil_types::time;

use crate::routing::target;

/// Attempts in a row that could not reach a target before it is left out.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Smoothed share of failures from which a target is left out, if the others of its service are
/// far below; a failure of something that all of them need leaves none out.
pub const OUTLIER_RATE: f64 = 0.5;

/// Share of the outlier's rate below which the mean of the others must lie.
const OUTLIER_GAP: f64 = 0.5;

/// Weight of one attempt in the smoothed share, as its divisor.
pub(super) const RATE_DIVISOR: f64 = 8.0;

/// How much longer the wait at a target counts whose attempts all fail: a target that fails at
/// once has no queue and would draw everything.
pub const FAILURE_FACTOR: f64 = 16.0;

/// How long a failure makes a target look worse.
pub const FAILURE_DECAY: Duration = Duration::from_secs(4);

/// First time of being left out; each further one in a row doubles it.
pub const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time of being left out.
pub const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Largest share of a service's targets that are left out at once.
pub const MAX_EJECTED_SHARE: f64 = 0.5;

/// Leaves the target at `place` out where it fails more than its peers.
///
/// Failure: a network fault at this node makes every target look dead. Symptom: all are left out
/// and the service is gone. The floor keeps at least half of them in any case.
pub(super) fn review(now: time::NodeTime, targets: &mut [target::TargetRoute], place: usize) {
    let target = &targets[place];
    if target.ejected(now) {
        return;
    }
    let lost = target.failures_in_a_row >= MAX_CONSECUTIVE_FAILURES;
    if !lost && !is_outlier(targets, place) {
        if target.failures_in_a_row == 0 && target.failure_rate < OUTLIER_RATE / 4.0 {
            targets[place].ejections = 0;
        }
        return;
    }
    let out = targets.iter().filter(|other| other.ejected(now)).count();
    if !floor_allows(out + 1, targets.len()) {
        return;
    }
    eject(now, &mut targets[place]);
}

fn is_outlier(targets: &[target::TargetRoute], place: usize) -> bool {
    let rate = targets[place].failure_rate;
    if rate < OUTLIER_RATE || targets.len() < 2 {
        return false;
    }
    let total: f64 = targets.iter().map(|other| other.failure_rate).sum();
    #[expect(clippy::cast_precision_loss, reason = "a count of targets")]
    let others = (targets.len() - 1) as f64;
    (total - rate) / others < rate * OUTLIER_GAP
}

fn floor_allows(out: usize, all: usize) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "counts of targets")]
    let (out, all) = (out as f64, all as f64);
    out <= all * MAX_EJECTED_SHARE
}

fn eject(now: time::NodeTime, target: &mut target::TargetRoute) {
    let doublings = target.ejections.min(8);
    let span = FIRST_EJECTION
        .saturating_mul(1 << doublings)
        .min(MAX_EJECTION);
    target.ejected_until = now + span;
    target.ejections += 1;
    // The next attempt after that time decides: one failure more leaves it out again.
    target.failures_in_a_row = MAX_CONSECUTIVE_FAILURES - 1;
    target.failure_rate = OUTLIER_RATE * 0.95;
}
