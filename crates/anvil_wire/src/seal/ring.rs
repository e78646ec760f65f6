//! The shared keys of a node.

use std::fmt;

use crate::seal;
use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Least length of a secret, in bytes: the output of the hash, below which guessing gets easier.
pub const MIN_SECRET_BYTES: usize = 32;

/// Most keys of one node; a rotation needs two.
pub const MAX_KEYS: usize = 8;

/// Separates the tags of datagrams from those of streams made with the same secret.
const DATAGRAM_PURPOSE: &[u8] = b"anvilworks datagram 1";

/// Separates the tags of streams from those of datagrams made with the same secret.
const STREAM_PURPOSE: &[u8] = b"anvilworks stream 1";

/// Names a key without telling it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KeyId(pub u16);

/// Why keys were refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum KeyError {
    /// There is no key.
    #[display("at least one key is needed")]
    Empty,
    /// There are too many keys.
    #[display("at most {MAX_KEYS} keys are accepted")]
    TooMany,
    /// A secret is too short.
    #[display("the secret of key {id} is shorter than {MIN_SECRET_BYTES} bytes")]
    Short {
        /// Which.
        id: KeyId,
    },
    /// Two keys have one id.
    #[display("two keys have the id {id}")]
    Duplicate {
        /// Which.
        id: KeyId,
    },
}

/// One shared key, kept as what is derived from it; neither the secret nor this is ever shown.
#[derive(Clone)]
pub struct SealKey {
    id: KeyId,
    datagram: TagMaker,
    stream: TagMaker,
}

impl SealKey {
    /// Derives what is needed from a secret.
    ///
    /// Fails where the secret is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(id: KeyId, secret: &[u8]) -> Result<Self, KeyError> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeyError::Short { id });
        }
        let root = TagMaker::new(secret);
        Ok(Self {
            id,
            datagram: root.derive(&[DATAGRAM_PURPOSE]),
            stream: root.derive(&[STREAM_PURPOSE]),
        })
    }

    /// The key's id.
    pub const fn id(&self) -> KeyId {
        self.id
    }

    pub(super) const fn datagram(&self) -> &TagMaker {
        &self.datagram
    }

    pub(super) const fn stream(&self) -> &TagMaker {
        &self.stream
    }
}

impl fmt::Debug for SealKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("SealKey").field(&self.id).finish()
    }
}

/// The keys that a node accepts; it sends with the first of them.
///
/// A key is rotated without a stop in three rounds over the fleet: add the new key at the end,
/// move it to the front, remove the old one. At any moment of any round every node accepts what
/// every other one sends.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: Vec<SealKey>,
}

impl KeyRing {
    /// Checks and keeps `keys` in their order.
    pub fn new(keys: Vec<SealKey>) -> Result<Self, KeyError> {
        if keys.is_empty() {
            return Err(KeyError::Empty);
        }
        if keys.len() > MAX_KEYS {
            return Err(KeyError::TooMany);
        }
        for (index, key) in keys.iter().enumerate() {
            if keys[..index].iter().any(|other| other.id == key.id) {
                return Err(KeyError::Duplicate { id: key.id });
            }
        }
        Ok(Self { keys })
    }

    /// The key that this node sends with.
    pub fn sending_key(&self) -> &SealKey {
        &self.keys[0]
    }

    /// The key of this id, where the node accepts it.
    pub(super) fn find(&self, id: KeyId) -> Result<&SealKey, seal::SealError> {
        let found = self.keys.iter().find(|key| key.id == id);
        found.ok_or(seal::SealError::UnknownKey { id })
    }
}

/// A tag of [`seal::TAG_BYTES`].
pub(super) type Tag = [u8; seal::TAG_BYTES];

/// HMAC-SHA256 with its key taken in, ready to be copied for each message.
#[derive(Clone)]
pub(super) struct TagMaker {
    mac: Hmac<Sha256>,
}

impl TagMaker {
    pub(super) fn new(key: &[u8]) -> Self {
        // HMAC takes keys of every length, so there is no error to pass on.
        let mac = Hmac::new_from_slice(key).unwrap_or_else(|_| unreachable!("any length will do"));
        Self { mac }
    }

    /// A maker whose key is the tag of `parts`, whole.
    pub(super) fn derive(&self, parts: &[&[u8]]) -> Self {
        Self::new(&self.over(parts).finalize().into_bytes())
    }

    pub(super) fn tag(&self, parts: &[&[u8]]) -> Tag {
        let whole = self.over(parts).finalize().into_bytes();
        let mut tag = [0; seal::TAG_BYTES];
        tag.copy_from_slice(&whole[..seal::TAG_BYTES]);
        tag
    }

    /// Compares in constant time, so that a forger doesn't learn a tag byte by byte.
    pub(super) fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> Result<(), seal::SealError> {
        if tag.len() != seal::TAG_BYTES {
            return Err(seal::SealError::Forged);
        }
        let verified = self.over(parts).verify_truncated_left(tag);
        verified.map_err(|_| seal::SealError::Forged)
    }

    fn over(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for TagMaker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TagMaker")
    }
}
