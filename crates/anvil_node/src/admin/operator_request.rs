//! Parses operators' HTTP requests into requests to the reducer.

use anvil_core::event;
use anvil_rules::{fault, parse};
use anvil_types::{ident, name};
use anvil_wire::call;
use bytes::Bytes;
use derive_more::{Display, Error, From};
use serde::Deserialize;

/// Header with the id of a change, so that an operator who lost the response to an apply can send
/// it again.
pub const CHANGE_HEADER: &str = "anvil-change";

/// Header with the revision that the operator's change is based on.
pub const BASE_HEADER: &str = "anvil-base";

/// Header with the author of a change; optional, shown in the history.
pub const AUTHOR_HEADER: &str = "anvil-author";

/// Longest accepted author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;

/// Stands for the file name in faults; `anvilctl` replaces it by the name of the file.
const TEXT_NAME: &str = "rules";

/// Response header with the revision in force at the time of the response.
pub const REVISION_HEADER: &str = "anvil-revision";

/// Why an operator's request was refused before it reached the reducer.
#[derive(Debug, Display, Error, From)]
pub enum RequestError {
    /// The body is not a valid request to explain.
    #[display("the request to explain is malformed: {_0}")]
    Explain(serde_json::Error),
    /// The rules have faults; nothing was changed.
    #[display("{_0}")]
    Rules(fault::RuleFaults),
    /// The rules are not UTF-8.
    #[display("the rules are not UTF-8")]
    #[from(skip)]
    NotUtf8,
    /// A header is missing or malformed.
    #[display("the header {header} is missing or malformed: {expected} is expected")]
    #[from(skip)]
    Header {
        /// The name of the header.
        header: &'static str,
        /// The expected value, in words.
        expected: &'static str,
    },
    /// A header line of the request to explain is malformed.
    #[display("the header {name:?} to explain is malformed")]
    #[from(skip)]
    ExplainHeader {
        /// The name of the header.
        name: String,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExplainBody {
    service: name::ServiceName,
    #[serde(default = "get")]
    method: String,
    #[serde(default = "root")]
    path: String,
    /// Header lines in order; a name may occur more than once.
    #[serde(default)]
    headers: Vec<(String, String)>,
}

fn get() -> String {
    "GET".to_owned()
}

fn root() -> String {
    "/".to_owned()
}

/// Parses the request to explain from the JSON in `bytes`.
pub fn parse_explain(bytes: &[u8]) -> Result<event::OperatorRequest, RequestError> {
    let body: ExplainBody = serde_json::from_slice(bytes)?;
    let mut headers = Vec::with_capacity(body.headers.len());
    for (name, value) in body.headers {
        let parsed: Result<http::HeaderName, _> = name.parse();
        let Ok(parsed) = parsed else {
            return Err(RequestError::ExplainHeader { name });
        };
        headers.push(call::HeaderLine {
            name: parsed.as_str().to_owned(),
            value: Bytes::from(value),
        });
    }
    let request = call::CallRequest {
        service: body.service,
        method: body.method,
        path: body.path,
        headers,
        body: Bytes::new(),
    };
    Ok(event::OperatorRequest::Explain(Box::new(request)))
}

/// Parses a change of the rules.
///
/// The rules are parsed and checked here and not in the reducer: a text of a thousand rules takes
/// 40 ms, which would block every other decision of the node.
pub fn parse_apply(
    bytes: &[u8],
    change: Option<&str>,
    author: Option<&str>,
    base: Option<&str>,
) -> Result<event::OperatorRequest, RequestError> {
    let text = std::str::from_utf8(bytes).map_err(|_| RequestError::NotUtf8)?;
    let change = change.and_then(|text| u128::from_str_radix(text, 16).ok());
    let change = change.ok_or(RequestError::Header {
        header: CHANGE_HEADER,
        expected: "up to 32 hex digits",
    })?;
    let author = author.unwrap_or_default();
    if author.len() > MAX_AUTHOR_BYTES || author.contains(char::is_control) {
        return Err(RequestError::Header {
            header: AUTHOR_HEADER,
            expected: "at most 64 bytes",
        });
    }
    let base = base.and_then(|text| text.parse().ok());
    let base = base.ok_or(RequestError::Header {
        header: BASE_HEADER,
        expected: "the number of a revision",
    })?;
    Ok(event::OperatorRequest::Apply {
        rules: parse::parse_rules(TEXT_NAME, text)?,
        change,
        author: author.to_owned(),
        base: ident::RuleRevision(base),
    })
}
