//! Client accounts: on whose behalf callers send requests, and how much each may ask for.

use std::cmp::Ordering;
use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3;

use crate::name;

/// Longest API key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// What stands in front of a digest where people write one.
const DIGEST_PREFIX: &str = "sha256:";

/// The SHA-256 digest of an API key.
///
/// The key itself is dropped where it is read, so that no log, dump or message can show it. Keys are
/// drawn at random by whoever issues them, so a plain digest can't be reversed by guessing.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Why a text is no digest of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no digest of a key; write sha256: and 64 hex digits, never the key itself")]
pub struct DigestError;

impl KeyDigest {
    /// Digests a key as its caller sends it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Reads the form that [`KeyDigest`] is displayed in.
    pub fn parse(text: &str) -> Result<Self, DigestError> {
        let digits = text.strip_prefix(DIGEST_PREFIX).ok_or(DigestError)?;
        let hex = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        if digits.len() != 2 * DIGEST_BYTES || !hex {
            return Err(DigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (place, byte) in digest.iter_mut().enumerate() {
            let pair = &digits[2 * place..2 * place + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(digest))
    }
}

impl PartialEq for KeyDigest {
    /// Takes the same time wherever two digests differ.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl PartialOrd for KeyDigest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for KeyDigest {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.cmp(&other.0)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(DIGEST_PREFIX)?;
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}

/// How many requests an account may send over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// Requests in a thousand seconds, so that slow rates need no fractions.
    pub per_kilosecond: u64,
    /// Requests beyond the rate that may come at once.
    pub burst: u32,
}

impl AccountQuota {
    /// A quota of whole requests a second.
    pub const fn per_second(rate: u32, burst: u32) -> Self {
        Self {
            per_kilosecond: rate as u64 * 1_000,
            burst,
        }
    }

    /// Requests in a second.
    pub fn rate(&self) -> f64 {
        self.per_kilosecond as f64 / 1_000.0
    }
}

/// An account in messages between nodes; a digest of its name.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct AccountId(pub u64);

impl AccountId {
    /// The id of the account called `name`.
    pub fn of(name: &name::AccountName) -> Self {
        Self(xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}

/// What a request says about the account that it is sent for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerCredential {
    /// It bears no key.
    #[default]
    None,
    /// It bears one key, of this digest.
    Key(KeyDigest),
    /// It bears several keys, or one that can't be a key.
    Malformed,
}

impl CallerCredential {
    /// The credential of a request whose key headers hold `values`.
    pub fn of<'a, Values>(values: Values) -> Self
    where
        Values: IntoIterator<Item = &'a [u8]>,
    {
        let mut values = values.into_iter();
        let Some(key) = values.next() else {
            return Self::None;
        };
        let fits = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
        // Which of two keys counts would depend on who reads the header.
        match fits && values.next().is_none() {
            true => Self::Key(KeyDigest::of(key)),
            false => Self::Malformed,
        }
    }
}
