//! What the target's node remembers of attempts that other nodes sent it.

use crate::{answer_cache, duplicates};

/// The attempts of one kind of request: which came, and the answers that may not have arrived.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Those that came.
    pub received: duplicates::DuplicateFilter,
    /// The last answers.
    pub answers: answer_cache::AnswerCache,
}

/// All attempts, those that must not run again apart from the rest, so that the many lookups never drive
/// out what protects a claim.
#[derive(Clone, Debug)]
pub struct AttemptMemory {
    non_idempotent: AttemptRecord,
    idempotent: AttemptRecord,
}

impl Default for AttemptMemory {
    /// An empty memory with the bounds in force.
    fn default() -> Self {
        Self {
            non_idempotent: AttemptRecord {
                received: duplicates::DuplicateFilter::with_retention(
                    duplicates::NON_IDEMPOTENT_RETENTION,
                ),
                answers: answer_cache::AnswerCache::new(answer_cache::NON_IDEMPOTENT_BOUNDS),
            },
            idempotent: AttemptRecord {
                received: duplicates::DuplicateFilter::with_retention(
                    duplicates::IDEMPOTENT_RETENTION,
                ),
                answers: answer_cache::AnswerCache::new(answer_cache::IDEMPOTENT_BOUNDS),
            },
        }
    }
}

impl AttemptMemory {
    /// The record that attempts of such requests belong to.
    pub fn record_for(&mut self, idempotent: bool) -> &mut AttemptRecord {
        match idempotent {
            true => &mut self.idempotent,
            false => &mut self.non_idempotent,
        }
    }
}
