//! Identifiers of nodes, calls, requests and idempotency keys.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Identifies one run of a node process; generated at random at each start.
///
/// A process that restarts at the same address gets another id, so state that belongs to the
/// previous process is never attributed to its successor.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct NodeId(pub u64);

impl NodeId {
    /// A start for numbers by which messages to this node name what they answer.
    ///
    /// Numbers that start at zero in each process would let a late answer to the previous process at
    /// the address match a message of this one. The number leaves half of its range for counting.
    pub const fn first_number(self) -> u32 {
        let [a, b, c, d, ..] = self.0.to_le_bytes();
        u32::from_le_bytes([a, b, c, d]) >> 1
    }
}

/// Identifies a call of one node; answers are matched by this id and the attempt number.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{node}-{sequence}")]
pub struct CallId {
    /// The node that dispatched the call.
    pub node: NodeId,
    /// Number of the call at that node, from one.
    pub sequence: u64,
}

/// Identifies the root request of a chain of calls.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestId(#[serde(with = "hex_u128")] pub u128);

/// A hash of a service and the idempotency key that a caller sent for it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestKey(#[serde(with = "hex_u128")] pub u128);

impl RequestKey {
    /// Hashes the key that a caller sent for `service`.
    ///
    /// Equal keys of two services give different hashes, and the fixed size keeps long keys out of
    /// messages and tables.
    pub fn of(service: &str, key: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(service.len() + 1 + key.len());
        bytes.extend_from_slice(service.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(key);
        Self(xxh3::xxh3_128(&bytes))
    }
}

macro_rules! opaque_text {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without a check; its format is up to its author.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}

opaque_text! {
    /// A caller's own id of its request; it appears in logs, and a target that makes further calls
    /// for the request may derive their ids from it.
    RequestLabel
}
impl RequestLabel {
    /// A hash of the id, for tables that only compare ids.
    pub fn digest(&self) -> LabelDigest {
        LabelDigest(xxh3::xxh3_64(self.0.as_bytes()))
    }
}

/// A hash of a [`RequestLabel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LabelDigest(u64);

opaque_text! {
    /// Identifies one run of a target process, as named by the target; a process that restarts
    /// at the same address has another id.
    IncarnationId
}

/// A hash of an incarnation's id and start, small enough to accompany each call.
///
/// It only tells apart the incarnations that follow one another at one address.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct IncarnationDigest(pub u32);

impl IncarnationDigest {
    /// Hashes `id` and the start time in Unix milliseconds, if the target announced one.
    pub fn of(id: &IncarnationId, started_at_ms: Option<u64>) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(id.as_str().as_bytes());
        hasher.update(&started_at_ms.unwrap_or(0).to_le_bytes());
        let [a, b, c, d, ..] = hasher.digest().to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// A hash of a request's content, equal for its resends; see `docs/design/quarantine.md`.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct RequestFingerprint(pub u64);

/// A revision of the operators' rules; zero denotes the built-in rules of a new fleet.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct RuleRevision(pub u64);

/// Serializes 128-bit ids as hexadecimal text in human-readable formats.
///
/// `serde_json::Value` holds integers of at most 64 bits; a wider one in a dump made the node
/// panic.
mod hex_u128 {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S>(value: &u128, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            return serializer.collect_str(&format_args!("{value:032x}"));
        }
        serializer.serialize_u128(*value)
    }

    pub(super) fn deserialize<'text, D>(deserializer: D) -> Result<u128, D::Error>
    where
        D: Deserializer<'text>,
    {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return u128::from_str_radix(&text, 16).map_err(D::Error::custom);
        }
        u128::deserialize(deserializer)
    }
}
