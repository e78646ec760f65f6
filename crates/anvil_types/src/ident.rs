//! Identities of nodes, calls, requests and keys.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// One run of one node process; drawn at random at each start.
///
/// A replaced instance at the same address has another identity, so whatever was bound to the
/// process that vanished can't be mistaken for its successor's.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct NodeId(pub u64);

/// One call as dispatched by one node; answers are matched by it and by the attempt.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{node}-{sequence}")]
pub struct CallId {
    /// The node that dispatched the call.
    pub node: NodeId,
    /// Counts the calls of that node from one.
    pub sequence: u64,
}

/// The root request that a whole chain of calls serves.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestId(#[serde(with = "wide")] pub u128);

/// A digest of the service and the idempotency key that names one non-idempotent action.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestKey(#[serde(with = "wide")] pub u128);

impl RequestKey {
    /// Digests the key that a caller sent for `service`, so that equal keys of two services
    /// stay apart and a key's length costs nothing further on.
    pub fn of(service: &str, key: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(service.len() + 1 + key.len());
        bytes.extend_from_slice(service.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(key);
        Self(xxh3::xxh3_128(&bytes))
    }
}

macro_rules! foreign_text {
    ($(#[$note:meta])* $name:ident) => {
        $(#[$note])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes `text` as it is; whoever made it gives it its form.
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

foreign_text! {
    /// The id by which a caller names its request; logs show it, and a target that calls on behalf
    /// of a request may build its own ids from it.
    RequestLabel
}
foreign_text! {
    /// One start of a target, as the target names it; a process that comes back at the same address
    /// has another one.
    IncarnationId
}

/// A digest of what a request asks for, equal for its resends; see `docs/design/quarantine.md`.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct RequestFingerprint(pub u64);

/// A revision of the operators' rules; zero stands for the built-in rules of a fresh fleet.
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

/// Writes 128-bit identities as text where people read them.
///
/// JSON values hold 64 bits; a dump that met a wider number made the whole node panic.
mod wide {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S>(wide: &u128, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            return serializer.collect_str(&format_args!("{wide:032x}"));
        }
        serializer.serialize_u128(*wide)
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
