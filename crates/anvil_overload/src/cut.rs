//! Cut lines as callers' nodes remember them; see `docs/design/shedding.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::call;
use serde::Serialize;

use crate::{kind, rank};

/// How long a reported line counts in full.
pub const CUT_FRESH: Duration = Duration::from_millis(200);

/// When a line that no answer renewed is gone.
pub const CUT_GONE: Duration = Duration::from_millis(600);

/// Kinds of request remembered for each service; the one heard of longest ago gives way.
pub const KINDS_KEPT: usize = 64;

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
    /// Takes in what an answer reported; the latest counts, whatever it says.
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

/// The cut lines that come from below one service, by kind of request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CutTable {
    /// Sorted by kind.
    kinds: Vec<(kind::CallKind, FadingCut)>,
}

impl CutTable {
    /// Takes in what the answer to a request of `kind` reported.
    pub fn learn(
        &mut self,
        now: time::NodeTime,
        kind: kind::CallKind,
        line: Option<&call::CutLine>,
    ) {
        match self.place(kind) {
            Ok(place) => self.kinds[place].1.learn(now, line),
            // What was never cut need not be remembered.
            Err(_) if line.is_none() => {}
            Err(place) => {
                let mut cut = FadingCut::default();
                cut.learn(now, line);
                self.kinds.insert(place, (kind, cut));
                self.shrink();
            }
        }
    }

    /// The lowest level that is admitted below for requests of `kind`.
    pub fn level(&self, now: time::NodeTime, kind: kind::CallKind) -> u16 {
        let place = self.place(kind);
        place.map_or(0, |place| self.kinds[place].1.level(now))
    }

    fn place(&self, kind: kind::CallKind) -> Result<usize, usize> {
        self.kinds.binary_search_by_key(&kind, |(known, _)| *known)
    }

    fn shrink(&mut self) {
        if self.kinds.len() <= KINDS_KEPT {
            return;
        }
        let oldest = (0..self.kinds.len()).min_by_key(|place| self.kinds[*place].1.at);
        if let Some(place) = oldest {
            self.kinds.remove(place);
        }
    }
}
