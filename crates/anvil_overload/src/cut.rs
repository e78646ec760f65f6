//! Cut lines as callers' nodes remember them; see `docs/design/shedding.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::call;
use serde::Serialize;

use crate::rank;

/// How long a reported line counts in full.
pub const CUT_FRESH: Duration = Duration::from_millis(200);

/// When a line that no answer renewed is gone.
pub const CUT_GONE: Duration = Duration::from_millis(600);

/// A reported cut line that fades unless renewed.
///
/// Failure: a line refuses everything, so no answer comes that could lower it. Symptom: the service
/// stands idle long after the pressure. Fading lets ever lower requests through as probes, and
/// whatever they meet renews or clears the line.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FadingCut {
    level: u16,
    at: time::NodeTime,
}

impl FadingCut {
    /// Takes in what an answer reported; the latest report counts, whatever it says.
    pub fn learn(&mut self, now: time::NodeTime, line: Option<&call::CutLine>) {
        self.level = rank::line_level(line);
        self.at = now;
    }

    /// The lowest level admitted at present.
    pub fn level(&self, now: time::NodeTime) -> u16 {
        let age = now.since(self.at);
        if age <= CUT_FRESH {
            return self.level;
        }
        let left = CUT_GONE.saturating_sub(age).as_micros();
        let span = (CUT_GONE - CUT_FRESH).as_micros();
        let level = u128::from(self.level) * left / span;
        u16::try_from(level).unwrap_or(self.level)
    }
}
