//! Operators' HTTP requests as questions to the reducer.

use anvil_core::event;
use anvil_rules::{fault, parse};
use anvil_types::{ident, name};
use anvil_wire::call;
use bytes::Bytes;
use derive_more::{Display, Error, From};
use serde::Deserialize;

/// Names the change, so that an apply whose answer was lost can be asked about again.
pub const CHANGE_HEADER: &str = "anvil-change";

/// The revision that the operator's change was made from.
pub const BASE_HEADER: &str = "anvil-base";

/// Who makes a change; optional, shown in the history.
pub const AUTHOR_HEADER: &str = "anvil-author";

/// Longest author kept, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;

/// Names the text in faults; the operators' command puts the file's name in its place.
const TEXT_NAME: &str = "rules";

/// The revision in force at the time of the answer.
pub const REVISION_HEADER: &str = "anvil-revision";

/// Why an operator's request was refused before the reducer heard it.
#[derive(Debug, Display, Error, From)]
pub enum RequestError {
    /// The body is no request to explain.
    #[display("the request to explain is malformed: {_0}")]
    Explain(serde_json::Error),
    /// The rules are wrong; nothing was changed.
    #[display("{_0}")]
    Rules(fault::RuleFaults),
    /// The rules are no text.
    #[display("the rules are not UTF-8")]
    #[from(skip)]
    NotUtf8,
    /// A header is missing or malformed.
    #[display("the header {header} is missing or malformed: {expected} is expected")]
    #[from(skip)]
    Header {
        /// Which.
        header: &'static str,
        /// What it should hold.
        expected: &'static str,
    },
    /// A header line to explain is malformed.
    #[display("the header {name:?} to explain is malformed")]
    #[from(skip)]
    ExplainHeader {
        /// Its name.
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
    /// Lines in order; a name may come twice.
    #[serde(default)]
    headers: Vec<(String, String)>,
}

fn get() -> String {
    "GET".to_owned()
}

fn root() -> String {
    "/".to_owned()
}

/// Reads what to explain from the JSON in `bytes`.
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

/// Reads a change of the rules, and checks the rules here: a text of a thousand rules takes 40 ms,
/// in which the reducer would decide nothing.
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
