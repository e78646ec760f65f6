//! How far this node trusts its own view, after Lifeguard's local health.

use std::time::Duration;

/// The highest value of the counter; it stretches spans up to nine times.
const HEALTH_LIMIT: u32 = 8;

/// Counts signs that this node, rather than its peers, is slow.
///
/// A node that was paused, or whose own connection loses messages, sees every peer fail. Without
/// this counter it would accuse them all; with it, its probes wait longer the more it fails, and
/// healthy nodes stay unaccused.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Notes a sign of trouble on this side.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(HEALTH_LIMIT);
    }

    /// Notes an answer in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// `span` stretched by the trouble noted.
    pub fn stretch(&self, span: Duration) -> Duration {
        span * (self.score + 1)
    }

    /// The counter, zero where all is well.
    pub fn score(&self) -> u32 {
        self.score
    }
}
