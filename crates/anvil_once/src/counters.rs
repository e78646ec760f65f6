//! Counters of the key owners of a node.

use std::hash;

use serde::Serialize;

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct KeyCounters {
    /// Keys granted by this node as a primary.
    pub granted: u64,
    /// Duplicates answered from the cached answer.
    pub answered_again: u64,
    /// Duplicates refused because the first copy is running.
    pub in_progress: u64,
    /// Requests answered as may-have-run for another reason.
    #[serde(rename = "doubtful")]
    pub uncertain: u64,
    /// Requests refused because their key was used for another request.
    pub mismatched: u64,
    /// Requests refused because this node could not grant keys.
    pub unavailable: u64,
    /// Requests to be retried because the owners of the slot were changing.
    pub busy: u64,
    /// Requests redirected because this node is not the primary.
    pub not_owner: u64,
    /// Messages rejected because of an earlier epoch.
    pub stale_epoch: u64,
    /// Slots taken over from a missing primary.
    pub taken_over: u64,
    /// Slots taken over without their records, because both owners were missing.
    pub taken_lost: u64,
    /// Slots handed over to their backups in a planned stop.
    pub handed_over: u64,
    /// Records removed because their retention ended.
    pub expired: u64,
    /// Requests to the store.
    #[serde(rename = "store_asked")]
    pub store_requests: u64,
    /// Requests to the store without a reply.
    pub store_unknown: u64,
    /// Swaps that failed because another node changed the record first.
    pub store_conflict: u64,
}

/// Counters influence no decision, so the exhaustive tests treat states that differ only in them as
/// equal.
impl hash::Hash for KeyCounters {
    fn hash<H>(&self, _: &mut H)
    where
        H: hash::Hasher,
    {
    }
}
