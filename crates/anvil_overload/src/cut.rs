//! Cut lines as callers' nodes remember them; see `docs/design/shedding.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::call;
use serde::Serialize;

use crate::{kind, rank};

/// How long a reported line counts in full where requests follow one another quickly.
pub const MIN_CUT_FRESH: Duration = Duration::from_millis(200);

/// When a line that no answer renewed is gone, as a multiple of the time for which it counts in full.
pub const EXPIRY_FACTOR: u32 = 3;

/// When such a line is gone.
pub const MIN_CUT_EXPIRY: Duration = MIN_CUT_FRESH.saturating_mul(EXPIRY_FACTOR);

/// Longest time for which a reported line counts in full.
pub const MAX_CUT_FRESH: Duration = Duration::from_secs(1);

/// Usual times between two requests for which a line counts in full.
const FRESH_GAPS: u32 = 2;

/// Weight of one request in the usual time between two, as its divisor.
const GAP_DIVISOR: u32 = 4;

/// Kinds of request remembered for each service; the one heard of longest ago gives way.
pub const MAX_KINDS: usize = 64;

/// A reported cut line that fades unless renewed.
///
/// Failure: a line refuses everything, so no answer comes that could lower it. Symptom: the service
/// stands idle long after the pressure. Fading lets ever lower requests through as probes, and
/// whatever they meet renews or clears the line.
///
/// Failure: many nodes share the requests, so that each sends one a few times a second, and a line has
/// faded before the next one asks for it. Symptom: half of the requests that a deep service will refuse
/// are begun. A line therefore lasts for some requests; the fleet as a whole probes as often as a small
/// one, since each of its nodes does. What counts is how often requests ask and not how often answers
/// tell: a line that refuses nearly all has few answers, and would hold itself up.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DecayingCut {
    level: u16,
    at: time::NodeTime,
    /// When a request last asked for it.
    asked: time::NodeTime,
    /// Usual time between two such requests.
    gap: Duration,
}

impl DecayingCut {
    /// Takes in what an answer reported; the latest counts, whatever it says.
    pub fn update(&mut self, now: time::NodeTime, line: Option<&call::CutLine>) {
        self.level = rank::line_level(line);
        self.at = now;
    }

    /// Notes that a request asks for the line.
    fn note_request(&mut self, now: time::NodeTime) {
        let gap = now.since(self.asked).min(MAX_CUT_FRESH);
        self.gap = self.gap - self.gap / GAP_DIVISOR + gap / GAP_DIVISOR;
        self.asked = now;
    }

    /// Whether an answer told of the line lately, or that there is none.
    pub fn is_known(&self, now: time::NodeTime) -> bool {
        self.at > time::NodeTime::START && now.since(self.at) <= self.fresh() * EXPIRY_FACTOR
    }

    /// How long the line counts in full.
    fn fresh(&self) -> Duration {
        (self.gap * FRESH_GAPS).clamp(MIN_CUT_FRESH, MAX_CUT_FRESH)
    }

    /// The lowest level admitted at present.
    pub fn level(&self, now: time::NodeTime) -> u16 {
        let age = now.since(self.at);
        let fresh = self.fresh();
        if age <= fresh {
            return self.level;
        }
        let gone = fresh * EXPIRY_FACTOR;
        let left = gone.saturating_sub(age).as_micros();
        let span = (gone - fresh).as_micros();
        let level = u128::from(self.level) * left / span;
        u16::try_from(level).unwrap_or(self.level)
    }
}

/// The cut lines that come from below one service, by kind of request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CutTable {
    /// Sorted by kind.
    kinds: Vec<(kind::CallKind, DecayingCut)>,
}

impl CutTable {
    /// Takes in what the answer to a request of `kind` reported.
    pub fn update(
        &mut self,
        now: time::NodeTime,
        kind: kind::CallKind,
        line: Option<&call::CutLine>,
    ) {
        match self.place(kind) {
            Ok(place) => self.kinds[place].1.update(now, line),
            // What was never cut need not be remembered.
            Err(_) if line.is_none() => {}
            Err(place) => {
                let mut cut = DecayingCut::default();
                cut.update(now, line);
                self.kinds.insert(place, (kind, cut));
                self.shrink();
            }
        }
    }

    /// Notes that a request of `kind` asks for its line.
    pub fn note_request(&mut self, now: time::NodeTime, kind: kind::CallKind) {
        if let Ok(place) = self.place(kind) {
            self.kinds[place].1.note_request(now);
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
        if self.kinds.len() <= MAX_KINDS {
            return;
        }
        let oldest = (0..self.kinds.len()).min_by_key(|place| self.kinds[*place].1.at);
        if let Some(place) = oldest {
            self.kinds.remove(place);
        }
    }
}
