//! Cut lines as remembered by the nodes of callers; see `docs/design/shedding.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::call;
use serde::Serialize;

use crate::{kind, rank};

/// Shortest time for which a reported line applies in full; used if requests follow one another
/// quickly.
pub const MIN_CUT_FRESH: Duration = Duration::from_millis(200);

/// Age at which a line that no answer renewed expires, as a multiple of the time for which it
/// applies in full.
pub const EXPIRY_FACTOR: u32 = 2;

/// Age at which a line expires that applies in full for [`MIN_CUT_FRESH`].
pub const MIN_CUT_EXPIRY: Duration = MIN_CUT_FRESH.saturating_mul(EXPIRY_FACTOR);

/// Longest time for which a reported line applies in full.
pub const MAX_CUT_FRESH: Duration = Duration::from_secs(1);

/// Mean gaps between two requests for which a line applies in full.
const FRESH_GAPS: u32 = 2;

/// Weight of one request in the mean gap, as its divisor.
const GAP_DIVISOR: u32 = 4;

/// Capacity of the table of request kinds of a service; the kind that was updated longest ago is
/// evicted.
pub const MAX_KINDS: usize = 64;

/// A reported cut line that decays unless answers renew it.
///
/// A line that refuses everything receives no answer that could lower it, and the service would
/// stay idle long after the overload. Decay admits ever lower requests as probes, and their answers
/// renew or clear the line.
///
/// In a large fleet each node sends only a few requests a second, and a line could expire before
/// the next request is checked against it, so that half of the requests that a downstream service
/// refuses would be started. A line therefore lasts for a number of requests. The fleet as a whole
/// still probes as often as a small one, because each node does. The lifetime follows the rate of
/// requests and not of answers: a line that refuses nearly everything has few answers and would
/// keep itself in force.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DecayingCut {
    level: u16,
    /// Whether that line is lower than the one before.
    #[serde(rename = "falling")]
    is_falling: bool,
    /// When an answer last reported the line.
    at: time::NodeTime,
    /// When a request was last checked against the line.
    #[serde(rename = "asked")]
    checked: time::NodeTime,
    /// Mean time between two such checks.
    gap: Duration,
}

impl DecayingCut {
    /// Replaces the line with the one of the latest answer.
    ///
    /// A line that is lower than the last one decays at once. Each hop passes on what is left of a
    /// line, and if each of them applied that in full again, requests would be refused for seconds
    /// after the overload, longer the deeper the chain.
    pub fn update(&mut self, now: time::NodeTime, line: Option<&call::CutLine>) {
        let level = rank::line_level(line);
        self.is_falling = level < self.level;
        self.level = level;
        self.at = now;
    }

    /// Records that a request is checked against the line.
    fn record_request(&mut self, now: time::NodeTime) {
        let gap = now.since(self.checked).min(MAX_CUT_FRESH);
        self.gap = self.gap - self.gap / GAP_DIVISOR + gap / GAP_DIVISOR;
        self.checked = now;
    }

    /// Whether an unexpired answer has reported the line, or reported that there is none.
    pub fn is_known(&self, now: time::NodeTime) -> bool {
        self.at > time::NodeTime::START && now.since(self.at) <= self.fresh() * EXPIRY_FACTOR
    }

    /// How long the line applies in full.
    fn fresh(&self) -> Duration {
        (self.gap * FRESH_GAPS).clamp(MIN_CUT_FRESH, MAX_CUT_FRESH)
    }

    /// The lowest level that is admitted now.
    pub fn level(&self, now: time::NodeTime) -> u16 {
        // A routing decision asks each target of a service, and most have no line.
        if self.level == 0 {
            return 0;
        }
        let age = now.since(self.at);
        let fresh = self.fresh();
        let span = fresh * (EXPIRY_FACTOR - 1);
        let in_full = if self.is_falling {
            Duration::ZERO
        } else {
            fresh
        };
        if age <= in_full {
            return self.level;
        }
        let left = (in_full + span).saturating_sub(age).as_micros();
        let span = span.as_micros();
        let level = u128::from(self.level) * left / span;
        u16::try_from(level).unwrap_or(self.level)
    }
}

/// Cut lines that one service passes on from its dependencies, by kind of request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CutTable {
    /// Sorted by kind.
    kinds: Vec<(kind::CallKind, DecayingCut)>,
}

impl CutTable {
    /// Records the line that the answer to a request of `kind` reported.
    pub fn update(
        &mut self,
        now: time::NodeTime,
        kind: kind::CallKind,
        line: Option<&call::CutLine>,
    ) {
        match self.search(kind) {
            Ok(index) => self.kinds[index].1.update(now, line),
            // A kind without a line needs no entry.
            Err(_) if line.is_none() => {}
            Err(index) => {
                let mut cut = DecayingCut::default();
                cut.update(now, line);
                self.kinds.insert(index, (kind, cut));
                self.evict_oldest();
            }
        }
    }

    /// Records that a request of `kind` is checked against its line.
    pub fn record_request(&mut self, now: time::NodeTime, kind: kind::CallKind) {
        if let Ok(index) = self.search(kind) {
            self.kinds[index].1.record_request(now);
        }
    }

    /// The lowest level that downstream services admit for requests of `kind`.
    pub fn level(&self, now: time::NodeTime, kind: kind::CallKind) -> u16 {
        let index = self.search(kind);
        index.map_or(0, |index| self.kinds[index].1.level(now))
    }

    fn search(&self, kind: kind::CallKind) -> Result<usize, usize> {
        self.kinds.binary_search_by_key(&kind, |(known, _)| *known)
    }

    fn evict_oldest(&mut self) {
        if self.kinds.len() <= MAX_KINDS {
            return;
        }
        let oldest = (0..self.kinds.len()).min_by_key(|index| self.kinds[*index].1.at);
        if let Some(index) = oldest {
            self.kinds.remove(index);
        }
    }
}
