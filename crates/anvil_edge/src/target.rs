//! Requests to the local target, and what its answers mean.

use anvil_core::effect;
use anvil_types::ident;
use bytes::Bytes;
use http::response;

use crate::hops;

/// What an answer means, told by its head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// It is the target's answer to this request, once its body is whole.
    Answer,
    /// The target refused the request without running it.
    Refused,
    /// Another start of a target holds the address and refused the request without running it.
    Misdirected {
        /// The one that answered, where it said so.
        holder: Option<ident::IncarnationId>,
    },
    /// It answers another request, so the answer to this one is still to come.
    Unrelated,
    /// It can't be what the target meant to say, so whether the request ran is not known.
    Invalid,
}

/// How a body that states no length ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMeaning {
    /// The end of its connection looks the same whether the target finished it or died, so it
    /// counts as cut off.
    Truncated,
    /// A clean end of the connection ends it; a reset cuts it off.
    Complete,
}

/// How requests to the target and its answers look on the wire.
///
/// A trait, because the node's own dialect and that of a platform both stand behind it.
pub trait TargetDialect: std::fmt::Debug + Send + Sync {
    /// The request to send for `order`, or none where it can't be put on the wire.
    fn build(&self, order: &effect::RunOrder) -> Option<http::Request<Bytes>>;

    /// What an answer with this head means for `order`.
    fn classify(&self, order: &effect::RunOrder, head: &response::Parts) -> AnswerMeaning;

    /// How a body that states no length ends.
    fn close_meaning(&self) -> CloseMeaning;

    /// Whether a header of the answer is for this node alone and goes no further; names are lower
    /// case.
    fn is_internal_header(&self, header: &str) -> bool;
}

/// The request of `order` with its end-to-end headers, to which a dialect adds its own; none where it
/// can't be put on the wire.
pub fn plain_request(order: &effect::RunOrder) -> Option<http::Request<Bytes>> {
    let request = &order.request;
    let mut built = http::Request::new(request.body.clone());
    *built.method_mut() = http::Method::from_bytes(request.method.as_bytes()).ok()?;
    *built.uri_mut() = request.path.parse().ok()?;
    hops::append_lines(built.headers_mut(), &request.headers)?;
    Some(built)
}
