//! The node's own dialect towards callers: `anvil-` headers and problem bodies.

use std::time::Duration;

use anvil_core::{effect, event};
use anvil_edge::caller::{self, CallHead, IntakeRefusal};
use anvil_edge::hops;
use anvil_types::{account, ident, name, number, verdict};
use anvil_wire::call;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header as names, request, uri};

use super::{header, problem, reply};
use crate::target::parent;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Speaks the node's own dialect towards callers.
#[derive(Clone, Debug)]
pub struct NativeCallers {
    /// Verifies parent tokens.
    pub issuer: parent::TokenIssuer,
}

impl caller::CallerDialect for NativeCallers {
    fn read_head(&self, head: &request::Parts) -> Result<CallHead, IntakeRefusal> {
        read_head(head, &self.issuer)
    }

    fn refused(&self, refusal: &IntakeRefusal) -> caller::FullResponse {
        let detail = Some(refusal.to_string());
        reply::refused(&problem_of(refusal), refusal.retry_after(), detail)
    }

    fn reply(&self, reply: effect::CallerReply) -> caller::FullResponse {
        reply::response(reply)
    }
}

/// The problem that a caller gets for a refusal at the edge.
fn problem_of(refusal: &IntakeRefusal) -> problem::ProblemKind {
    let mut kind = problem::refusal(verdict::RefusalReason::Malformed);
    match refusal {
        IntakeRefusal::Method(_) => {
            kind.status = StatusCode::NOT_IMPLEMENTED;
            kind.title = "the method is not served";
        }
        IntakeRefusal::BodyOversized { .. } => {
            kind = problem::refusal(verdict::RefusalReason::BodyTooLarge);
        }
        IntakeRefusal::NoMemory => kind = problem::refusal(verdict::RefusalReason::NoMemory),
        IntakeRefusal::BodySlow => {
            kind.status = StatusCode::REQUEST_TIMEOUT;
            kind.title = "the request did not arrive in time";
        }
        _ => {}
    }
    kind
}

/// Parses the head of a request into a call and its hints.
pub fn read_head(
    head: &request::Parts,
    issuer: &parent::TokenIssuer,
) -> Result<CallHead, IntakeRefusal> {
    if head.method == Method::CONNECT {
        return Err(IntakeRefusal::Method(head.method.clone()));
    }
    let service = service(head)?;
    let hints = hints(&head.headers, issuer)?;
    let request = call::CallRequest {
        service,
        method: head.method.as_str().to_owned(),
        path: path(&head.uri),
        headers: hops::request_lines(&head.headers, header::is_own),
        body: Bytes::new(),
    };
    Ok(CallHead { request, hints })
}

fn service(head: &request::Parts) -> Result<name::ServiceName, IntakeRefusal> {
    let stated = head.headers.get(header::SERVICE);
    let text = match stated {
        Some(value) => value.to_str().unwrap_or("?").to_owned(),
        None => host_label(head).ok_or(IntakeRefusal::ServiceMissing)?,
    };
    name::ServiceName::new(&text).map_err(|reason| IntakeRefusal::ServiceMalformed { text, reason })
}

/// The first label of the host; none if the host is an IP address.
fn host_label(head: &request::Parts) -> Option<String> {
    let host = head.headers.get(names::HOST);
    let authority: uri::Authority = match head.uri.authority() {
        Some(authority) => authority.clone(),
        None => host?.to_str().ok()?.parse().ok()?,
    };
    let host = authority.host();
    let is_address = host.starts_with('[') || host.parse::<std::net::IpAddr>().is_ok();
    if is_address {
        return None;
    }
    let label = host.split('.').next()?;
    Some(label.to_ascii_lowercase())
}

fn path(uri: &http::Uri) -> String {
    match uri.path_and_query() {
        Some(path) => path.as_str().to_owned(),
        None => "/".to_owned(),
    }
}

fn hints(
    headers: &HeaderMap,
    issuer: &parent::TokenIssuer,
) -> Result<event::CallerHints, IntakeRefusal> {
    let request = hint(headers, header::REQUEST_ID, "32 hex digits", request_id)?;
    let expected = "a number of milliseconds above zero";
    let timeout = hint(headers, header::TIMEOUT, expected, timeout)?;
    let key = match headers.get(header::KEY) {
        Some(value) => Some(key(value.as_bytes())?),
        None => None,
    };
    let parent = match headers.get(header::PARENT) {
        Some(value) => Some(parent(value, issuer)?),
        None => None,
    };
    let keys = headers.get_all(header::ACCOUNT_KEY).iter();
    Ok(event::CallerHints {
        request,
        timeout,
        key,
        credential: account::CallerCredential::of(keys.map(http::HeaderValue::as_bytes)),
        parent,
        label: None,
        parent_label: None,
        pipelined: false,
    })
}

fn hint<T, F>(
    headers: &HeaderMap,
    header: &'static str,
    expected: &'static str,
    parse: F,
) -> Result<Option<T>, IntakeRefusal>
where
    F: Fn(&str) -> Option<T>,
{
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(parse);
    let refusal = || IntakeRefusal::malformed_hint(header, Some(value), expected);
    parsed.map(Some).ok_or_else(refusal)
}

fn request_id(text: &str) -> Option<ident::RequestId> {
    const DIGITS: usize = 32;
    let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != DIGITS || !digits {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(ident::RequestId)
}

fn timeout(text: &str) -> Option<Duration> {
    let millis: number::StatedNumber = text.parse().ok()?;
    Some(millis.millis()).filter(|timeout| !timeout.is_zero())
}

fn key(value: &[u8]) -> Result<Bytes, IntakeRefusal> {
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        return Err(IntakeRefusal::malformed_hint(
            header::KEY,
            None,
            "a key of 1 to 256 bytes",
        ));
    }
    Ok(Bytes::copy_from_slice(value))
}

fn parent(
    value: &http::HeaderValue,
    issuer: &parent::TokenIssuer,
) -> Result<event::ParentToken, IntakeRefusal> {
    let text = value.to_str().ok();
    text.and_then(|text| issuer.verify(text))
        .ok_or(IntakeRefusal::ParentForged)
}
