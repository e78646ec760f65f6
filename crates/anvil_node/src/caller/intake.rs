//! From the head and body of an HTTP request to a call, or the reason why it is refused.

use std::time::Duration;

use anvil_core::event;
use anvil_types::{ident, name, verdict};
use anvil_wire::{call, codec};
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, Method, StatusCode, header as names, request, uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use super::{header, hops, problem};
use crate::counters;
use crate::target::parent;

/// Longest idempotency key, in bytes.
pub const KEY_LIMIT: usize = 256;

/// Why the edge refused a request before the reducer saw it; it never ran.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum IntakeRefusal {
    /// The method has no meaning for a request that is forwarded whole.
    #[display("the method {_0} is not served")]
    Method(Method),
    /// Neither header names a service.
    #[display("name the service by the header anvil-service or as the first label of Host")]
    ServiceMissing,
    /// The service's name is malformed.
    #[display("the service {text:?} is malformed: {reason}")]
    ServiceMalformed {
        /// What was sent.
        text: String,
        /// What is wrong with it.
        reason: name::NameError,
    },
    /// A header of this system is malformed.
    #[display("the header {header} is malformed: {expected} is expected")]
    HintMalformed {
        /// Which.
        header: &'static str,
        /// What it should hold.
        expected: &'static str,
    },
    /// The parent token was not minted by this node.
    #[display("the header anvil-parent holds no token of this node")]
    ParentForged,
    /// The body is above the limit.
    #[display("the body is above {} bytes", codec::BODY_LIMIT)]
    BodyOversized,
    /// The body did not arrive in time.
    #[display("the body did not arrive in time")]
    BodySlow,
    /// The body broke off or has bad chunking.
    #[display("the body broke off or its chunks are malformed")]
    BodyMalformed,
}

impl IntakeRefusal {
    /// The counter of the refusal.
    pub fn cause(&self) -> counters::EdgeCause {
        match self {
            Self::Method(_) => counters::EdgeCause::CallerMethodRefused,
            Self::ServiceMissing | Self::ServiceMalformed { .. } => {
                counters::EdgeCause::CallerServiceMalformed
            }
            Self::HintMalformed { .. } => counters::EdgeCause::CallerHintMalformed,
            Self::ParentForged => counters::EdgeCause::CallerParentForged,
            Self::BodyOversized => counters::EdgeCause::CallerBodyOversized,
            Self::BodySlow => counters::EdgeCause::CallerBodySlow,
            Self::BodyMalformed => counters::EdgeCause::CallerBodyMalformed,
        }
    }

    /// How the refusal shows to the caller.
    pub fn problem(&self) -> problem::ProblemKind {
        let mut kind = problem::refusal(verdict::RefusalReason::Malformed);
        match self {
            Self::Method(_) => {
                kind.status = StatusCode::NOT_IMPLEMENTED;
                kind.title = "the method is not served";
            }
            Self::BodyOversized => {
                kind = problem::refusal(verdict::RefusalReason::BodyTooLarge);
            }
            Self::BodySlow => {
                kind.status = StatusCode::REQUEST_TIMEOUT;
                kind.title = "the request did not arrive in time";
            }
            _ => {}
        }
        kind
    }

    /// Whether unread bytes of the body may stand on the connection, so that it has to close.
    pub fn leaves_body(&self) -> bool {
        !matches!(
            self,
            Self::HintMalformed { .. } | Self::ParentForged | Self::ServiceMissing
        )
    }
}

/// A call as read from a head, before its body.
#[derive(Debug)]
pub struct CallHead {
    /// The request with an empty body.
    pub request: call::CallRequest,
    /// What the headers say beside it.
    pub hints: event::CallerHints,
}

/// Reads the head of a request.
pub fn read_head(
    head: &request::Parts,
    mint: &parent::ParentMint,
) -> Result<CallHead, IntakeRefusal> {
    if head.method == Method::CONNECT {
        return Err(IntakeRefusal::Method(head.method.clone()));
    }
    let service = service(head)?;
    let hints = hints(&head.headers, mint)?;
    let request = call::CallRequest {
        service,
        method: head.method.as_str().to_owned(),
        path: path(&head.uri),
        headers: hops::request_lines(&head.headers),
        body: Bytes::new(),
    };
    Ok(CallHead { request, hints })
}

/// Reads the whole body, or refuses it.
pub async fn read_body(body: Incoming, patience: Duration) -> Result<Bytes, IntakeRefusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A stated length above the limit is refused before a byte of the body is read.
    let stated = body.size_hint().lower();
    if stated > codec::BODY_LIMIT as u64 {
        return Err(IntakeRefusal::BodyOversized);
    }
    let limited = Limited::new(body, codec::BODY_LIMIT);
    let Ok(collected) = tokio::time::timeout(patience, limited.collect()).await else {
        return Err(IntakeRefusal::BodySlow);
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(IntakeRefusal::BodyOversized),
        Err(_) => Err(IntakeRefusal::BodyMalformed),
    }
}

fn service(head: &request::Parts) -> Result<name::ServiceName, IntakeRefusal> {
    let named = head.headers.get(header::SERVICE);
    let text = match named {
        Some(value) => value.to_str().unwrap_or("?").to_owned(),
        None => host_label(head).ok_or(IntakeRefusal::ServiceMissing)?,
    };
    name::ServiceName::new(&text).map_err(|reason| IntakeRefusal::ServiceMalformed { text, reason })
}

/// The first label of the host; nothing where the host is an address.
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
    mint: &parent::ParentMint,
) -> Result<event::CallerHints, IntakeRefusal> {
    let request = hint(headers, header::REQUEST_ID, "32 hex digits", request_id)?;
    let timeout = hint(headers, header::TIMEOUT, "milliseconds above zero", timeout)?;
    let key = match headers.get(header::KEY) {
        Some(value) => Some(key(value.as_bytes())?),
        None => None,
    };
    let parent = match headers.get(header::PARENT) {
        Some(value) => Some(parent(value, mint)?),
        None => None,
    };
    Ok(event::CallerHints {
        request,
        timeout,
        key,
        parent,
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
    let refusal = IntakeRefusal::HintMalformed { header, expected };
    parsed.map(Some).ok_or(refusal)
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
    let millis: u32 = text.parse().ok()?;
    (millis > 0).then(|| Duration::from_millis(u64::from(millis)))
}

fn key(value: &[u8]) -> Result<Bytes, IntakeRefusal> {
    if value.is_empty() || value.len() > KEY_LIMIT {
        return Err(IntakeRefusal::HintMalformed {
            header: header::KEY,
            expected: "a key of 1 to 256 bytes",
        });
    }
    Ok(Bytes::copy_from_slice(value))
}

fn parent(
    value: &http::HeaderValue,
    mint: &parent::ParentMint,
) -> Result<event::ParentToken, IntakeRefusal> {
    let text = value.to_str().ok();
    text.and_then(|text| mint.check(text))
        .ok_or(IntakeRefusal::ParentForged)
}
