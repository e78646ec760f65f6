//! Removal of hop-by-hop headers, following RFC 9110, section 7.6.1.

use anvil_wire::call;
use bytes::Bytes;
use http::header as names;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Headers that are never forwarded: those of the connection, and the framing, which each
/// connection sets itself for the body it sends.
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

/// The length of a body; it is not forwarded unless the answer has no body by definition.
const CONTENT_LENGTH: &str = "content-length";

/// Returns the end-to-end headers of a caller's request, in order, without those for which `is_own`
/// returns true: they belong to the dialect, which sets them itself.
pub fn request_lines<F>(headers: &HeaderMap, is_own: F) -> Vec<call::HeaderLine>
where
    F: Fn(&str) -> bool,
{
    lines(headers, false, is_own)
}

/// Returns the end-to-end headers of a target's answer, in order, without those for which `is_own`
/// returns true, so that a target can't forge the node's own headers.
///
/// `bodiless` answers, such as those to HEAD, keep their `Content-Length`.
pub fn answer_lines<F>(headers: &HeaderMap, bodiless: bool, is_own: F) -> Vec<call::HeaderLine>
where
    F: Fn(&str) -> bool,
{
    lines(headers, bodiless, is_own)
}

/// Appends `lines` to `headers`; returns `None` if one of them is malformed.
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
    let options = connection_options(headers);
    let mut lines = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        let framing = name == CONTENT_LENGTH && !keep_length;
        let own = is_own(name);
        let hop = HOP_BY_HOP.contains(&name) || options.iter().any(|option| option == name);
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

/// Returns the header names that `Connection` declares as hop-by-hop, in lower case.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(names::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect()
}
