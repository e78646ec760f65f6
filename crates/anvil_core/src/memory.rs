//! What the target's node remembers of attempts that other nodes sent it.

use crate::{kept, repeats};

/// The attempts of one kind of request: which came, and the answers that may not have arrived.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Those that came.
    pub came: repeats::RepeatGuard,
    /// The last answers.
    pub answers: kept::AnswerKeep,
}

/// All attempts, those that must not run again apart from the rest, so that the many lookups never drive
/// out what protects a claim.
#[derive(Clone, Debug)]
pub struct AttemptMemory {
    claims: AttemptRecord,
    lookups: AttemptRecord,
}

impl Default for AttemptMemory {
    /// An empty memory with the bounds in force.
    fn default() -> Self {
        Self {
            claims: AttemptRecord {
                came: repeats::RepeatGuard::lasting(repeats::MEMORY),
                answers: kept::AnswerKeep::new(kept::CLAIM_BOUNDS),
            },
            lookups: AttemptRecord {
                came: repeats::RepeatGuard::lasting(repeats::LOOKUP_MEMORY),
                answers: kept::AnswerKeep::new(kept::LOOKUP_BOUNDS),
            },
        }
    }
}

impl AttemptMemory {
    /// The record that attempts of such requests belong to.
    pub fn of(&mut self, idempotent: bool) -> &mut AttemptRecord {
        match idempotent {
            true => &mut self.lookups,
            false => &mut self.claims,
        }
    }
}
