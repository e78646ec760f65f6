//! What nodes tell one another about targets that crashed; see `docs/design/quarantine.md`.

use anvil_types::{ident, name};
use serde::{Deserialize, Serialize};

/// Names one crash of one target, so that a notice heard twice counts once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The node beside the target.
    pub node: ident::NodeId,
    /// Counts the crashes beside that node from one; zero where the whole node was lost.
    pub sequence: u64,
}

/// One request that was running when a target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// Which request.
    pub fingerprint: ident::RequestFingerprint,
    /// Whether no other suspect ran beside it.
    pub alone: bool,
    /// Crashes that its rule allows.
    pub crash_limit: u8,
    /// How long its rule refuses it after the last crash, in seconds.
    pub quarantine_seconds: u32,
}

/// Tells that a target crashed and which requests were running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// The crash.
    pub crash: CrashId,
    /// The service of the target.
    pub service: name::ServiceName,
    /// The requests.
    pub suspects: Vec<SuspectRequest>,
}
