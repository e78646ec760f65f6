//! The local health score of Lifeguard.

use std::time::Duration;

/// The highest score; it multiplies timeouts by nine.
const HEALTH_LIMIT: u32 = 8;

/// A score of how likely it is that this node, rather than its peers, is slow.
///
/// If a node was paused, or its own connection loses messages, all its probes fail and it would
/// accuse healthy peers. With each sign of local trouble, its probes therefore wait longer.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records a sign of trouble of this node.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(HEALTH_LIMIT);
    }

    /// Records an ack in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// `span` multiplied by one more than the score.
    pub fn stretch(&self, span: Duration) -> Duration {
        span * (self.score + 1)
    }

    /// The score; zero if healthy.
    pub fn score(&self) -> u32 {
        self.score
    }
}
