//! Client accounts: the identity that a request is billed to, its API keys and its quota.

use std::cmp::Ordering;
use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3;

use crate::name;

/// Maximum length of an API key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Prefix of a digest in its text form.
const DIGEST_PREFIX: &str = "sha256:";

/// The SHA-256 digest of an API key.
///
/// The key itself is dropped as soon as it is read, so that no log, dump or message can contain it.
/// Keys are generated at random by their issuer, so an unsalted digest can't be reversed by
/// guessing.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The text is not the digest of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("not the digest of a key; write sha256: and 64 hex digits, never the key itself")]
pub struct DigestError;

impl KeyDigest {
    /// Computes the digest of a key as the caller sends it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses the text form that [`KeyDigest`] is displayed in.
    ///
    /// Fails if the prefix is missing or is not followed by exactly 64 hex digits.
    pub fn parse(text: &str) -> Result<Self, DigestError> {
        let digits = text.strip_prefix(DIGEST_PREFIX).ok_or(DigestError)?;
        let hex = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        if digits.len() != 2 * DIGEST_BYTES || !hex {
            return Err(DigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &digits[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(digest))
    }
}

impl PartialEq for KeyDigest {
    /// Compares in constant time, so that response times reveal nothing about a stored digest.
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

/// The request rate that an account may send, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// Requests per 1,000 seconds, so that rates below one per second are integers.
    pub per_kilosecond: u64,
    /// Requests above the rate that may arrive at once.
    pub burst: u32,
}

impl AccountQuota {
    /// Builds a quota from a whole number of requests per second.
    pub const fn per_second(rate: u32, burst: u32) -> Self {
        Self {
            per_kilosecond: rate as u64 * 1_000,
            burst,
        }
    }

    /// The rate in requests per second.
    pub fn rate(&self) -> f64 {
        self.per_kilosecond as f64 / 1_000.0
    }
}

/// Identifies an account in messages between nodes; a hash of its name.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct AccountId(pub u64);

impl AccountId {
    /// Computes the id of the account `name`.
    pub fn of(name: &name::AccountName) -> Self {
        Self(xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}

/// The account credential of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerCredential {
    /// The request carries no key.
    #[default]
    None,
    /// The request carries one key, with this digest.
    Key(KeyDigest),
    /// The request carries several keys, or a key that is empty or longer than [`MAX_KEY_BYTES`].
    Malformed,
}

impl CallerCredential {
    /// Reads the credential from the values of the request's key headers.
    pub fn of<'a, Values>(values: Values) -> Self
    where
        Values: IntoIterator<Item = &'a [u8]>,
    {
        let mut values = values.into_iter();
        let Some(key) = values.next() else {
            return Self::None;
        };
        let valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
        // With two keys, components could disagree on which one applies.
        match valid && values.next().is_none() {
            true => Self::Key(KeyDigest::of(key)),
            false => Self::Malformed,
        }
    }
}
