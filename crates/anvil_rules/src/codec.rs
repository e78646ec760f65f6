//! Binary encoding of changes and documents, for the log in the store and messages between nodes.
//!
//! The first byte is the format version. The log outlives the nodes that wrote it, so a node that
//! reads a later format must report it instead of misinterpreting the bytes.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{change, check, document};

/// The format version of changes, and of documents without the paths of checks.
pub const FORMAT_VERSION: u8 = 2;

/// The format version of documents that end with the paths of checks.
const CHECKED_FORMAT_VERSION: u8 = 3;

/// Why bytes could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum CodecError {
    /// They have another format version.
    #[display("format {found} is none of the formats of this version")]
    Format {
        /// The format version of the bytes.
        found: u8,
    },
    /// They are not a valid encoding.
    #[display("the bytes are malformed: {reason}")]
    Malformed {
        /// The message of the decoder.
        #[error(not(source))]
        reason: String,
    },
    /// The rules of a document contradict each other.
    #[display("{conflict}")]
    Conflict {
        /// The contradiction.
        conflict: change::ChangeConflict,
    },
}

/// Encodes a change.
pub fn encode_change(change: &change::RuleChange) -> Result<Vec<u8>, CodecError> {
    encode(change)
}

/// Decodes a change.
pub fn decode_change(bytes: &[u8]) -> Result<change::RuleChange, CodecError> {
    decode(bytes)
}

/// Encodes a document.
pub fn encode_document(document: &document::RuleDocument) -> Result<Vec<u8>, CodecError> {
    let checks = document.checks();
    if checks.is_empty() {
        return encode(document);
    }
    let bytes = postcard::to_extend(document, vec![CHECKED_FORMAT_VERSION]);
    let bytes = bytes.and_then(|bytes| postcard::to_extend(&**checks, bytes));
    bytes.map_err(|error| malformed(&error))
}

/// Decodes a document and validates it, including its accounts.
pub fn decode_document(bytes: &[u8]) -> Result<document::RuleDocument, CodecError> {
    let document = match bytes.split_first() {
        Some((&CHECKED_FORMAT_VERSION, rest)) => decode_checked(rest)?,
        _ => decode(bytes)?,
    };
    let checked = document.check();
    checked.map_err(|conflict| CodecError::Conflict { conflict })?;
    Ok(document)
}

fn decode_checked(bytes: &[u8]) -> Result<document::RuleDocument, CodecError> {
    let (document, rest) = take::<document::RuleDocument>(bytes)?;
    let (checks, rest) = take::<check::CheckTable>(rest)?;
    end(rest)?;
    if !checks.is_valid() {
        let reason = "the paths of checks are invalid".to_owned();
        return Err(CodecError::Malformed { reason });
    }
    Ok(document.with_checks(checks))
}

fn encode<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    let bytes = postcard::to_extend(value, vec![FORMAT_VERSION]);
    bytes.map_err(|error| malformed(&error))
}

fn decode<'a, T>(bytes: &'a [u8]) -> Result<T, CodecError>
where
    T: Deserialize<'a>,
{
    let (format, rest) = bytes.split_first().ok_or_else(|| CodecError::Malformed {
        reason: "empty input".to_owned(),
    })?;
    if *format != FORMAT_VERSION {
        return Err(CodecError::Format { found: *format });
    }
    let (value, rest) = take(rest)?;
    end(rest)?;
    Ok(value)
}

fn take<'a, T>(bytes: &'a [u8]) -> Result<(T, &'a [u8]), CodecError>
where
    T: Deserialize<'a>,
{
    postcard::take_from_bytes(bytes).map_err(|error| malformed(&error))
}

/// Fails if bytes are left.
fn end(rest: &[u8]) -> Result<(), CodecError> {
    if rest.is_empty() {
        return Ok(());
    }
    let reason = format!("{} trailing bytes", rest.len());
    Err(CodecError::Malformed { reason })
}

fn malformed(error: &postcard::Error) -> CodecError {
    CodecError::Malformed {
        reason: error.to_string(),
    }
}
