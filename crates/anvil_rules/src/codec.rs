//! Binary encoding of changes and documents, for the log in the store and messages between nodes.
//!
//! The first byte is the format version. The log outlives the nodes that wrote it, so a node that
//! reads a later format must report it instead of misinterpreting the bytes.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{change, document};

/// The format version that is written, and the only one that is read.
pub const FORMAT_VERSION: u8 = 2;

/// Why bytes could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum CodecError {
    /// They have another format version.
    #[display("format {found} is not the format {FORMAT_VERSION} of this version")]
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
    encode(document)
}

/// Decodes a document and validates it, including its accounts.
pub fn decode_document(bytes: &[u8]) -> Result<document::RuleDocument, CodecError> {
    let document: document::RuleDocument = decode(bytes)?;
    let checked = document.check();
    checked.map_err(|conflict| CodecError::Conflict { conflict })?;
    Ok(document)
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
    let (value, rest) = postcard::take_from_bytes(rest).map_err(|error| malformed(&error))?;
    if !rest.is_empty() {
        let reason = format!("{} trailing bytes", rest.len());
        return Err(CodecError::Malformed { reason });
    }
    Ok(value)
}

fn malformed(error: &postcard::Error) -> CodecError {
    CodecError::Malformed {
        reason: error.to_string(),
    }
}
