//! Notices between nodes about crashed targets; see `docs/design/quarantine.md`.

use anvil_types::{ident, name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Identifies one crash of a target, so that a notice that is received twice counts once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The node beside the target.
    pub node: ident::NodeId,
    /// Number of the crash at that node, from one; zero if the node itself was lost.
    pub sequence: u64,
}

/// One request that was running when a target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// Identifies the request.
    pub fingerprint: ident::RequestFingerprint,
    /// Whether it was the only already suspected request among those that were running.
    pub alone: bool,
    /// Number of crashes that its rule allows.
    pub crash_limit: u8,
    /// How long its rule refuses the request after the last crash, in seconds.
    pub quarantine_seconds: u32,
}

/// Maximum number of quarantined requests in a datagram; they take about 700 bytes.
pub const MAX_QUARANTINED_REQUESTS: usize = 24;

/// A request that a node refuses because targets crashed while they ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Identifies the request.
    pub fingerprint: ident::RequestFingerprint,
    /// Crashes during which it was running.
    pub crashes: u8,
    /// Number of crashes that its rule allows.
    pub crash_limit: u8,
    /// How long its rule refuses the request after the last crash, in seconds.
    pub quarantine_seconds: u32,
    /// Time since the last crash, in milliseconds.
    pub age_millis: u64,
    /// The last crash.
    pub last: CrashId,
}

/// A request that was served recently, so it can't be the cause of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedRequest {
    /// Identifies the request.
    pub fingerprint: ident::RequestFingerprint,
    /// Time since it was served, in milliseconds.
    pub age_millis: u64,
}

impl QuarantinedRequest {
    /// Encodes the request as a value of the store.
    pub fn to_value(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Decodes a value of the store; returns `None` if it is not a request of this version.
    pub fn from_value(value: &[u8]) -> Option<Self> {
        let (request, rest) = postcard::take_from_bytes(value).ok()?;
        rest.is_empty().then_some(request)
    }
}

/// Reports that a target crashed and which of its running requests are suspected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// The crash.
    pub crash: CrashId,
    /// The service of the target.
    pub service: name::ServiceName,
    /// The suspected requests.
    pub suspects: Vec<SuspectRequest>,
}
