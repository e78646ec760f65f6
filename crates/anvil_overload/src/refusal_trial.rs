//! Whether refusals of the local target depend on its concurrency; see
//! `docs/design/refused-calls.md`.

use serde::Serialize;

/// Runs that a window needs before its share of refusals is judged.
pub const MIN_RUNS: u32 = 16;

/// Range of the part of the concurrency that remains in a trial.
///
/// A trial reduces the concurrency to what the target accepted. If it refused for lack of capacity,
/// the share of refusals falls to the known one; otherwise it stays.
const TRIAL_FACTORS: (f64, f64) = (0.1, 0.8);

/// Standard deviations by which the share of a window may exceed the known one.
const KNOWN_DEVIATIONS: f64 = 2.0;

/// Weight of a window with a lower share in the known one, as its divisor.
const DECAY_DIVISOR: f64 = 8.0;

/// Runs of one window.
#[derive(Clone, Copy, Debug)]
pub struct RefusalWindow {
    /// Runs that the target refused.
    pub refused: u32,
    /// Runs that ended, with the refused ones.
    pub ended: u32,
    /// Whether all slots within the limit were in use at some time.
    pub saturated: bool,
}

impl RefusalWindow {
    fn share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.ended.max(1))
    }
}

/// What the refusals of a window mean for the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RefusalFinding {
    /// They do not depend on the concurrency.
    Independent,
    /// Too few runs have ended.
    Unclear,
    /// The limit was reduced, and runs from before that have ended in the window.
    Settling,
    /// The concurrency in use is reduced to this part, to see whether that helps.
    Reduce(f64),
    /// The reduction did not help; the limit before it is restored.
    Restore(f64),
}

#[derive(Clone, Copy, Debug, Serialize)]
struct OpenTrial {
    limit: f64,
    share: f64,
    /// Whether a window has begun that has no runs from before the reduction.
    settled: bool,
}

/// Tells refusals for lack of capacity from those that a target makes at any concurrency.
///
/// Without this, a target that refuses half of its requests for reasons of its own would lose a
/// fifth of its limit in each window, down to one slot. A reduction is therefore a trial, as it is
/// for latency: if the share of refusals does not fall, it is known not to depend on the
/// concurrency, and later windows with no more refusals change nothing.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RefusalTrial {
    /// The share of refusals that does not depend on the concurrency.
    known: f64,
    open: Option<OpenTrial>,
}

impl RefusalTrial {
    /// Judges the window so far.
    pub fn judge(&self, window: RefusalWindow) -> RefusalFinding {
        if window.ended < MIN_RUNS && (self.open.is_some() || window.refused > 0) {
            return RefusalFinding::Unclear;
        }
        match self.open {
            Some(open) if !open.settled => RefusalFinding::Settling,
            Some(open) if window.share() > (open.share + self.known) / 2.0 => {
                RefusalFinding::Restore(open.limit)
            }
            // A target with a free slot did not refuse for lack of capacity.
            _ if window.refused == 0 || !window.saturated => RefusalFinding::Independent,
            _ if window.share() <= self.expected_share(window.ended) => RefusalFinding::Independent,
            _ => {
                let (least, most) = TRIAL_FACTORS;
                let part = (1.0 - window.share()) / (1.0 - self.known).max(least);
                RefusalFinding::Reduce(part.clamp(least, most))
            }
        }
    }

    /// Records that a window ended with `finding` under `limit`.
    pub fn close(&mut self, window: RefusalWindow, finding: RefusalFinding, limit: f64) {
        let share = window.share();
        match finding {
            RefusalFinding::Unclear => {}
            RefusalFinding::Settling => {
                if let Some(open) = &mut self.open {
                    open.settled = true;
                }
            }
            RefusalFinding::Restore(_) => {
                let before = self.open.take().map_or(0.0, |open| open.share);
                self.known = (share + before) / 2.0;
            }
            RefusalFinding::Reduce(_) => {
                self.open = Some(OpenTrial {
                    limit,
                    share,
                    settled: false,
                });
            }
            RefusalFinding::Independent => {
                self.open = None;
                if share < self.known {
                    self.known += (share - self.known) / DECAY_DIVISOR;
                }
            }
        }
    }

    /// The highest share of refusals of a window of `ended` runs that is expected at any
    /// concurrency.
    fn expected_share(&self, ended: u32) -> f64 {
        let variance = self.known * (1.0 - self.known) / f64::from(ended.max(1));
        self.known + KNOWN_DEVIATIONS * variance.sqrt()
    }
}
