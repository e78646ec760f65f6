//! Headers that concern one connection only, after RFC 9110, section 7.6.1.

use anvil_wire::call;
use bytes::Bytes;
use http::header as names;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Headers that never go further: those of the connection, and the framing that each connection
/// builds anew for the whole body it sends.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The length of a body, built anew unless the body is left out on purpose.
const LENGTH: &str = "content-length";

/// End-to-end headers of a caller's request, in order, without those that `is_own` names: they
/// belong to the dialect and are set anew.
pub fn request_lines<F>(headers: &HeaderMap, is_own: F) -> Vec<call::HeaderLine>
where
    F: Fn(&str) -> bool,
{
    lines(headers, false, is_own)
}

/// End-to-end headers of a target's answer, in order, without those that `is_own` names, so that a
/// target can't forge what the node says of an answer.
///
/// `bodiless` answers, such as those to HEAD, keep the length that they state.
pub fn answer_lines<F>(headers: &HeaderMap, bodiless: bool, is_own: F) -> Vec<call::HeaderLine>
where
    F: Fn(&str) -> bool,
{
    lines(headers, bodiless, is_own)
}

/// Appends `lines` to `headers`; nothing where one is malformed.
pub fn append_lines(headers: &mut HeaderMap, lines: &[call::HeaderLine]) -> Option<()> {
    headers.reserve(lines.len());
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(line.value.clone()).ok()?;
        headers.append(name, value);
    }
    Some(())
}

fn lines<F>(headers: &HeaderMap, keep_length: bool, is_own: F) -> Vec<call::HeaderLine>
where
    F: Fn(&str) -> bool,
{
    let nominated = nominated(headers);
    let mut lines = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        let framing = name == LENGTH && !keep_length;
        let own = is_own(name);
        let hop = HOP_BY_HOP.contains(&name) || nominated.iter().any(|n| n == name);
        if framing || own || hop {
            continue;
        }
        lines.push(call::HeaderLine {
            name: name.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    lines
}

/// Names that `Connection` declares to concern this connection only, lower case.
fn nominated(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(names::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect()
}
