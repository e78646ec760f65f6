//! Where a request on a caller's connection ends, for requests whose end is beyond doubt.
//!
//! The HTTP library reads and answers one request of a connection after the other. To begin with
//! the ones behind, the node has to know where each begins; what this module can't tell for sure is
//! left to the library alone, in its turn.

use anvil_wire::codec;
use http::{Method, Request, Uri, header, request};

use crate::head;

/// Most header lines that are looked at; the settings may allow fewer.
const HEAD_LINES: usize = 128;

/// What stands at the front of a connection's bytes.
#[derive(Debug)]
pub enum RequestFrame {
    /// The head has not come whole yet.
    Partial,
    /// A request whose length is known.
    Known(Box<KnownRequest>),
    /// Something whose end can't be told here: chunks, an upgrade, another version, or no request.
    Unclear,
}

/// A request whose length is known from its head.
#[derive(Debug)]
pub struct KnownRequest {
    /// Length of the head, in bytes.
    pub head_bytes: usize,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
    /// Whether it asks for an interim answer before its body, which only its turn can bring.
    pub expects: bool,
    /// Whether it is the last of its connection, so that what stands behind counts as not read.
    pub closes: bool,
    /// The head.
    pub parts: request::Parts,
}

impl KnownRequest {
    /// Length of the whole request, in bytes.
    pub fn bytes(&self) -> usize {
        self.head_bytes + self.body_bytes
    }
}

/// Reads the front of `bytes`; heads above `limit` bytes are unclear.
pub fn front(bytes: &[u8], limit: usize) -> RequestFrame {
    let mut lines = [httparse::EMPTY_HEADER; HEAD_LINES];
    let mut parsed = httparse::Request::new(&mut lines);
    let head_bytes = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= limit => length,
        Ok(httparse::Status::Partial) if bytes.len() <= limit => return RequestFrame::Partial,
        _ => return RequestFrame::Unclear,
    };
    match known(&parsed, head_bytes) {
        Some(known) => RequestFrame::Known(Box::new(known)),
        None => RequestFrame::Unclear,
    }
}

/// The request of a head; none where its end is open to doubt.
fn known(parsed: &httparse::Request<'_, '_>, head_bytes: usize) -> Option<KnownRequest> {
    if parsed.version != Some(1) {
        return None;
    }
    let parts = parts(parsed)?;
    let headers = &parts.headers;
    let unclear = [header::TRANSFER_ENCODING, header::UPGRADE];
    let unclear = unclear.iter().any(|name| headers.contains_key(name));
    if unclear || parts.method == Method::CONNECT {
        return None;
    }
    let body_bytes = body_bytes(&parts)?;
    let closes = head::says_close(headers);
    let expects = headers.contains_key(header::EXPECT);
    Some(KnownRequest {
        head_bytes,
        body_bytes,
        expects,
        closes,
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

/// The stated length, or none of a body; a length told twice could be read in two ways.
fn body_bytes(parts: &request::Parts) -> Option<usize> {
    let mut lengths = parts.headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Some(0);
    };
    if lengths.next().is_some() {
        return None;
    }
    let length = head::body_length(length)?;
    (length <= codec::MAX_BODY_BYTES).then_some(length)
}
