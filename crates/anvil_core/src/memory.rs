//! The attempts of other nodes that the target's node remembers, and their answers.

use crate::{answer_cache, duplicates};

/// The attempts of one kind of request and the answers that may not have arrived.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The attempts that arrived.
    pub received: duplicates::DuplicateFilter,
    /// The latest answers.
    pub answers: answer_cache::AnswerCache,
}

/// All remembered attempts. Non-idempotent requests have a record of their own, so that the many
/// idempotent ones never evict the entries that protect them from running twice.
#[derive(Clone, Debug)]
pub struct AttemptMemory {
    non_idempotent: AttemptRecord,
    idempotent: AttemptRecord,
}

impl Default for AttemptMemory {
    /// An empty memory with the default bounds.
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
    /// The record for attempts of idempotent or of non-idempotent requests.
    pub fn record_for(&mut self, idempotent: bool) -> &mut AttemptRecord {
        match idempotent {
            true => &mut self.idempotent,
            false => &mut self.non_idempotent,
        }
    }
}
