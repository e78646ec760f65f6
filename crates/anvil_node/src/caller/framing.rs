//! Finds the end of a request on a caller's connection if it is unambiguous.
//!
//! The HTTP library reads and answers the requests of a connection one after the other. To start
//! pipelined requests early, the node has to know where each one begins. If this module can't
//! determine that for certain, it leaves the request to the library.

use anvil_wire::codec;
use http::{Method, Request, Uri, header, request};

use crate::head;

/// Maximum number of header lines that are parsed; the settings may allow fewer.
const MAX_HEADER_LINES: usize = 128;

/// The first request in the unread bytes of a connection.
#[derive(Debug)]
pub enum ParsedRequest {
    /// The head is incomplete.
    Partial,
    /// A request whose length is known.
    Known(Box<KnownRequest>),
    /// The end can't be determined here: a chunked body, an upgrade, another HTTP version, or not a
    /// request at all.
    Indeterminate,
}

/// A request whose length is known from its head.
#[derive(Debug)]
pub struct KnownRequest {
    /// Length of the head, in bytes.
    pub head_bytes: usize,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
    /// Whether it waits for an interim response before it sends its body; the library sends one
    /// only in the turn of the request.
    pub expects_continue: bool,
    /// Whether it closes the connection, so that the bytes after it must not be served.
    pub closes_connection: bool,
    /// The head.
    pub parts: request::Parts,
}

impl KnownRequest {
    /// Length of the whole request, in bytes.
    pub fn total_bytes(&self) -> usize {
        self.head_bytes + self.body_bytes
    }
}

/// Parses the request at the front of `bytes`; heads longer than `limit` bytes are indeterminate.
pub fn parse_front(bytes: &[u8], limit: usize) -> ParsedRequest {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut parsed = httparse::Request::new(&mut lines);
    let head_bytes = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= limit => length,
        Ok(httparse::Status::Partial) if bytes.len() <= limit => return ParsedRequest::Partial,
        _ => return ParsedRequest::Indeterminate,
    };
    match known(&parsed, head_bytes) {
        Some(known) => ParsedRequest::Known(Box::new(known)),
        None => ParsedRequest::Indeterminate,
    }
}

/// The request with this head; none if its end is ambiguous.
fn known(parsed: &httparse::Request<'_, '_>, head_bytes: usize) -> Option<KnownRequest> {
    if parsed.version != Some(1) {
        return None;
    }
    let parts = parts(parsed)?;
    let headers = &parts.headers;
    let indeterminate = [header::TRANSFER_ENCODING, header::UPGRADE];
    let indeterminate = indeterminate.iter().any(|name| headers.contains_key(name));
    if indeterminate || parts.method == Method::CONNECT {
        return None;
    }
    let body_bytes = body_bytes(&parts)?;
    let closes_connection = head::closes_connection(headers);
    let expects_continue = headers.contains_key(header::EXPECT);
    Some(KnownRequest {
        head_bytes,
        body_bytes,
        expects_continue,
        closes_connection,
        parts,
    })
}

fn parts(parsed: &httparse::Request<'_, '_>) -> Option<request::Parts> {
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    let uri: Uri = parsed.path?.parse().ok()?;
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = method;
    parts.uri = uri;
    parts.headers = head::header_map(parsed.headers)?;
    Some(parts)
}

/// The length of the body, zero if none is stated.
///
/// None if the length is stated twice or invalid, since two parsers could then disagree on it.
fn body_bytes(parts: &request::Parts) -> Option<usize> {
    let mut lengths = parts.headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Some(0);
    };
    if lengths.next().is_some() {
        return None;
    }
    let length = head::parse_content_length(length)?;
    (length <= codec::MAX_BODY_BYTES).then_some(length)
}
