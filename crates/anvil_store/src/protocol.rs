//! The HTTP form of requests and outcomes, shared by the client and the stand-in.
//!
//! | operation | HTTP request | responses |
//! |---|---|---|
//! | get | `GET /kv/{key}` | 200, value, `x-version`; 404 |
//! | swap | `PUT /kv/{key}?base=absent\|{version}&lease={id}` | 200, `x-version`; 412, current |
//! | remove | `DELETE /kv/{key}?base={version}` | 204; 412, current |
//! | grant | `POST /leases?millis={span}` | 200, the id as text |
//! | renew | `PUT /leases/{id}` | 204; 404 |
//! | list | `GET /list?prefix=&after=&limit=` | 200, JSON |
//! | watch | `GET /watch?prefix=&seen=&millis=` | 200, JSON |

use anvil_types::store;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The header with an entry's version.
pub const VERSION_HEADER: &str = "x-version";

/// One entry in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEntry {
    /// The entry's key.
    pub key: String,
    /// The version of the write that created it.
    pub version: u64,
    /// The entry's value in lower-case hexadecimal digits.
    pub value: String,
}

/// The body of a list or of an ended watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBody {
    /// The point up to which the list is complete.
    pub seen: u64,
    /// Whether further entries follow.
    pub more: bool,
    /// The entries.
    pub entries: Vec<ListedEntry>,
}

impl ListedBody {
    /// The body that lists `entries`.
    pub fn new(entries: &[store::StoreEntry], seen: store::StoreVersion, more: bool) -> Self {
        let listed = |entry: &store::StoreEntry| ListedEntry {
            key: entry.key.as_str().to_owned(),
            version: entry.version.0,
            value: to_hex(&entry.value),
        };
        Self {
            seen: seen.0,
            more,
            entries: entries.iter().map(listed).collect(),
        }
    }

    /// Converts the body into a reply. Returns nothing if a value is not valid hexadecimal text.
    pub fn into_reply(self) -> Option<store::StoreReply> {
        let entry = |listed: ListedEntry| {
            Some(store::StoreEntry {
                key: store::StoreKey::new(&listed.key),
                version: store::StoreVersion(listed.version),
                value: from_hex(&listed.value)?,
            })
        };
        let entries: Option<Vec<_>> = self.entries.into_iter().map(entry).collect();
        Some(store::StoreReply::Listed {
            entries: entries?,
            seen: store::StoreVersion(self.seen),
            more: self.more,
        })
    }
}

/// The path and query of a request.
pub fn request_target(request: &store::StoreRequest) -> String {
    match request {
        store::StoreRequest::Get { key } => format!("/kv/{key}"),
        store::StoreRequest::Swap {
            key,
            condition,
            lease,
            ..
        } => {
            let base = match condition {
                store::SwapCondition::Absent => "absent".to_owned(),
                store::SwapCondition::At(version) => version.to_string(),
            };
            let lease = lease.map(|lease| format!("&lease={lease}"));
            format!("/kv/{key}?base={base}{}", lease.unwrap_or_default())
        }
        store::StoreRequest::Remove { key, version } => format!("/kv/{key}?base={version}"),
        store::StoreRequest::Grant { lease } => format!("/leases?millis={}", lease.as_millis()),
        store::StoreRequest::Renew { lease } => format!("/leases/{lease}"),
        store::StoreRequest::List {
            prefix,
            after,
            limit,
        } => {
            let after = after.as_ref().map(|after| format!("&after={after}"));
            let after = after.unwrap_or_default();
            format!("/list?prefix={prefix}&limit={limit}{after}")
        }
        store::StoreRequest::Watch { prefix, seen, wait } => {
            let millis = wait.as_millis();
            format!("/watch?prefix={prefix}&seen={seen}&millis={millis}")
        }
    }
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |half: u8| char::from(DIGITS[usize::from(half)]);
    let pairs = bytes.iter().flat_map(|b| [digit(b >> 4), digit(b & 15)]);
    pairs.collect()
}

fn from_hex(text: &str) -> Option<Bytes> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let byte = |pair: &[u8]| u8::try_from(digit(pair[0])? << 4 | digit(pair[1])?).ok();
    text.as_bytes().chunks_exact(2).map(byte).collect()
}
