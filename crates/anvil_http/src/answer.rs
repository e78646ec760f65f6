//! Tells a whole answer from one whose connection ended early.

use std::io::Read;

use attohttpc::header;
use derive_more::{Display, Error, From};

/// Why there is no whole answer.
#[derive(Debug, Display, Error, From)]
pub enum AnswerError {
    /// The call or its connection failed.
    #[display("{_0}")]
    Failed(attohttpc::Error),
    /// The body's length differs from the stated one.
    #[display("the body has {received} bytes in place of {stated:?}")]
    #[from(skip)]
    LengthMismatch {
        /// The value of the `content-length` header.
        #[error(not(source))]
        stated: header::HeaderValue,
        /// Received bytes.
        received: usize,
    },
    /// The body is above the limit, or has no end.
    #[display("the body is above {limit} bytes")]
    #[from(skip)]
    Oversized {
        /// The limit in bytes.
        limit: u64,
    },
    /// The body is not text, although the caller expects text.
    #[display("{_0}")]
    NotText(std::string::FromUtf8Error),
}

/// An answer whose body is complete as far as its framing tells.
#[derive(Debug)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: attohttpc::StatusCode,
    /// Header lines.
    pub headers: header::HeaderMap,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Reads the body of `response`, of at most `limit` bytes, which is whole if it has the stated
/// length.
///
/// The client library returns what it received without an error if the connection ends before the
/// stated length. A body without a stated length or chunks is whole when its connection ends. An
/// answer to `HEAD` states the length of a body that it doesn't have, and is a mismatch here.
pub fn read_whole(response: attohttpc::Response, limit: u64) -> Result<WholeAnswer, AnswerError> {
    let (status, headers, reader) = response.split();
    let mut body = Vec::new();
    let read = reader.take(limit + 1).read_to_end(&mut body);
    read.map_err(attohttpc::Error::from)?;
    let received = body.len();
    if received as u64 > limit {
        return Err(AnswerError::Oversized { limit });
    }
    let differs = |stated: &&header::HeaderValue| {
        let stated = stated.to_str().ok().and_then(|text| text.parse().ok());
        stated != Some(received)
    };
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    if let Some(stated) = lengths.find(differs).cloned() {
        return Err(AnswerError::LengthMismatch { stated, received });
    }
    Ok(WholeAnswer {
        status,
        headers,
        body,
    })
}
