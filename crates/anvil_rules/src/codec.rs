//! Changes and documents as bytes, for the store's log and for messages between nodes.
//!
//! A byte for the format stands in front. The log outlives the nodes that wrote it, so a node
//! that meets a later format must say so instead of reading something else into it.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{change, document};

/// The format written, and the only one read.
pub const FORMAT_VERSION: u8 = 2;

/// Why bytes were refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum CodecError {
    /// Another version wrote them.
    #[display("format {found} is not the format {FORMAT_VERSION} of this version")]
    Format {
        /// The format found.
        found: u8,
    },
    /// They are no such value.
    #[display("the bytes are malformed: {reason}")]
    Malformed {
        /// What the decoder said.
        #[error(not(source))]
        reason: String,
    },
    /// The rules of a document contradict each other.
    #[display("{conflict}")]
    Conflict {
        /// How.
        conflict: change::ChangeConflict,
    },
}

/// Writes a change.
pub fn encode_change(change: &change::RuleChange) -> Result<Vec<u8>, CodecError> {
    encode(change)
}

/// Reads a change.
pub fn decode_change(bytes: &[u8]) -> Result<change::RuleChange, CodecError> {
    decode(bytes)
}

/// Writes a document.
pub fn encode_document(document: &document::RuleDocument) -> Result<Vec<u8>, CodecError> {
    encode(document)
}

/// Reads a document; duplicate names and too many rules are refused.
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
        reason: "there are none".to_owned(),
    })?;
    if *format != FORMAT_VERSION {
        return Err(CodecError::Format { found: *format });
    }
    let (value, rest) = postcard::take_from_bytes(rest).map_err(|error| malformed(&error))?;
    if !rest.is_empty() {
        let reason = format!("{} bytes behind the end", rest.len());
        return Err(CodecError::Malformed { reason });
    }
    Ok(value)
}

fn malformed(error: &postcard::Error) -> CodecError {
    CodecError::Malformed {
        reason: error.to_string(),
    }
}
