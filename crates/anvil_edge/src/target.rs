//! The interface for dialects between a node and its local target.

use anvil_core::{effect, event};
use anvil_types::ident;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, response};

use crate::hops;

/// The value by which a target states that it is leaving.
const LEAVING_VALUE: &[u8] = b"1";

/// The meaning of an answer, as determined from its head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The answer to this request, valid once its body is complete.
    Answer,
    /// The target refused the request without running it.
    Refused,
    /// Another run of a target process has the address and refused the request without running it.
    Misdirected {
        /// The run that answered, if the answer identifies it.
        holder: Option<ident::IncarnationId>,
    },
    /// An answer to another request; the answer to this one has not arrived yet.
    Unrelated,
    /// Not a valid answer of the target, so it is unknown whether the request ran.
    Invalid,
}

impl AnswerMeaning {
    /// Whether the head alone proves that the request did not run.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Refused | Self::Misdirected { .. } => true,
            Self::Answer | Self::Unrelated | Self::Invalid => false,
        }
    }
}

/// Meaning of the end of the connection for a body without a stated length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMeaning {
    /// The body counts as truncated, because the connection ends in the same way whether the target
    /// completed the body or crashed.
    Truncated,
    /// A regular close of the connection completes the body; a reset truncates it.
    Complete,
}

/// Whether a connection has carried other requests before the one that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// It has not, so every answer on it is one to the request that waits.
    First,
    /// It has, so an extra answer to one of them may come.
    Repeated,
}

/// The wire format of requests to the target and of its answers.
///
/// It is a trait because both the node's own dialect and the dialect of a platform implement it.
pub trait TargetDialect: std::fmt::Debug + Send + Sync {
    /// Builds the request for `order`; returns `None` if it has no valid HTTP form.
    fn build(&self, order: &effect::RunOrder) -> Option<http::Request<Bytes>>;

    /// Determines how an answer with this head identifies the request that it belongs to.
    fn identity(&self, order: &effect::RunOrder, head: &response::Parts) -> event::AnswerIdentity;

    /// Whether every answer names its request. A connection on which one did not is not used again.
    fn names_answers(&self) -> bool;

    /// Determines what an answer with this head means for `order`.
    fn classify(
        &self,
        order: &effect::RunOrder,
        head: &response::Parts,
        connection_use: ConnectionUse,
    ) -> AnswerMeaning;

    /// Reads what the head of a valid answer states about the target itself.
    fn statement(&self, head: &response::Parts) -> event::TargetStatement;

    /// The meaning of the end of the connection for a body without a stated length.
    fn close_meaning(&self) -> CloseMeaning;

    /// Builds the request that asks a target whether it accepts requests; returns `None` if the dialect
    /// has no such request.
    fn build_check(&self, order: &effect::CheckOrder) -> Option<http::Request<Bytes>>;

    /// Determines what an answer with this head to the request of [`Self::build_check`] means.
    fn check_outcome(
        &self,
        order: &effect::CheckOrder,
        head: &response::Parts,
    ) -> event::CheckOutcome;

    /// Whether a header of the answer is meant for this node only and is not forwarded; `header` is
    /// in lower case.
    fn is_internal_header(&self, header: &str) -> bool;
}

/// Reads a target's statements from the headers with the names that a dialect gives them.
///
/// A rate or a load that is stated twice is malformed unless both headers agree.
pub fn statement_of(
    headers: &HeaderMap,
    rate_name: &str,
    leaving_name: &str,
    load_name: &str,
) -> event::TargetStatement {
    let mut rates = headers.get_all(rate_name).iter();
    let rate = match rates.next() {
        None => event::StatedRate::Unlimited,
        Some(first) if rates.all(|other| other == first) => rate_of(first),
        Some(_) => event::StatedRate::Malformed,
    };
    let mut loads = headers.get_all(load_name).iter();
    let load = match loads.next() {
        None => event::LoadStatement::Absent,
        Some(first) if loads.all(|other| other == first) => load_of(first),
        Some(_) => event::LoadStatement::Malformed,
    };
    let mut leaving = headers.get_all(leaving_name).iter();
    event::TargetStatement {
        rate,
        leaving: leaving.any(|value| value.as_bytes() == LEAVING_VALUE),
        load,
    }
}

fn rate_of(value: &HeaderValue) -> event::StatedRate {
    let text = value.to_str().ok();
    let parsed = text.and_then(|text| text.trim().parse().ok());
    parsed.map_or(event::StatedRate::Malformed, event::StatedRate::Limited)
}

fn load_of(value: &HeaderValue) -> event::LoadStatement {
    let text = value.to_str().ok();
    let parsed = text.and_then(|text| text.parse().ok());
    parsed.map_or(event::LoadStatement::Malformed, event::LoadStatement::Valid)
}

/// Builds the request of `order` with its end-to-end headers, to which a dialect adds its own.
///
/// Returns `None` if the method, the path or a header is malformed.
pub fn plain_request(order: &effect::RunOrder) -> Option<http::Request<Bytes>> {
    let request = &order.request;
    let mut built = http::Request::new(request.body.clone());
    *built.method_mut() = http::Method::from_bytes(request.method.as_bytes()).ok()?;
    *built.uri_mut() = request.path.parse().ok()?;
    hops::append_lines(built.headers_mut(), &request.headers)?;
    Some(built)
}
