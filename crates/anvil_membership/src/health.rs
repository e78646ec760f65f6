//! The local health score of Lifeguard, and whether peers can be reached.

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

/// Number of probes that must be answered in a row before peers count as reachable again.
///
/// A node that is cut off together with a few others still gets an answer now and then.
const ANSWERS_TO_REACH: u8 = 3;

/// Whether this node reaches its peers, by the answers to its last probes.
///
/// A peer is suspected only after seconds, since a false suspicion is costly. A node that depends on
/// its peers to hear of something has to know within a second that it may not hear of it.
#[derive(Clone, Copy, Debug)]
pub struct PeerReach {
    answers_in_row: u8,
}

impl Default for PeerReach {
    fn default() -> Self {
        Self {
            answers_in_row: ANSWERS_TO_REACH,
        }
    }
}

impl PeerReach {
    /// Records that a direct ping was not answered in time.
    pub fn record_silence(&mut self) {
        self.answers_in_row = 0;
    }

    /// Records that a probe was answered.
    pub fn record_answer(&mut self) {
        self.answers_in_row = self.answers_in_row.saturating_add(1);
    }

    /// Whether the last probes were not all answered.
    pub fn is_doubtful(&self) -> bool {
        self.answers_in_row < ANSWERS_TO_REACH
    }
}
