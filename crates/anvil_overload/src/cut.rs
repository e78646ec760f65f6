//! Cut lines as callers' nodes remember them; see `docs/design/shedding.md`.

use std::time::Duration;

use anvil_types::{context, time};
use anvil_wire::call;
use serde::Serialize;

use crate::rank;

/// How long a reported line counts in full.
pub const CUT_FRESH: Duration = Duration::from_millis(200);

/// When a line that no answer renewed is gone.
pub const CUT_GONE: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct ReportedLevel {
    level: u16,
    at: time::NodeTime,
}

/// The cut lines that one target reported, which fade unless renewed.
///
/// Requests of different classes need different services, so each class has the line that came
/// with the latest answer to a request of that class.
///
/// Failure: a line refuses everything, so no answer comes that could lower it. Symptom: the service
/// stands idle long after the pressure. Fading lets ever lower requests through as probes, and
/// whatever they meet renews or clears the line.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FadingCut {
    classes: [ReportedLevel; context::PriorityClass::ALL.len()],
}

impl FadingCut {
    /// Takes in what the answer to a request of `class` reported; the latest counts, whatever it
    /// says.
    pub fn learn(
        &mut self,
        now: time::NodeTime,
        class: context::PriorityClass,
        line: Option<&call::CutLine>,
    ) {
        self.classes[class as usize] = ReportedLevel {
            level: rank::line_level(line),
            at: now,
        };
    }

    /// The lowest level admitted at present for a request of `class`.
    pub fn level(&self, now: time::NodeTime, class: context::PriorityClass) -> u16 {
        let reported = self.classes[class as usize];
        let age = now.since(reported.at);
        if age <= CUT_FRESH {
            return reported.level;
        }
        let left = CUT_GONE.saturating_sub(age).as_micros();
        let span = (CUT_GONE - CUT_FRESH).as_micros();
        let level = u128::from(reported.level) * left / span;
        u16::try_from(level).unwrap_or(reported.level)
    }
}
