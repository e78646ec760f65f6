//! Requests of callers, and the replies to them.

use anvil_core::{effect, event};
use anvil_types::name;
use anvil_wire::{call, codec};
use bytes::Bytes;
use derive_more::Display;
use http::{Method, Response, request};
use http_body_util::Full;

/// A response with its whole body.
pub type FullResponse = Response<Full<Bytes>>;

/// A call as read from a head, before its body.
#[derive(Debug)]
pub struct CallHead {
    /// The request with an empty body.
    pub request: call::CallRequest,
    /// What the headers say beside it.
    pub hints: event::CallerHints,
}

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
    /// A header that the dialect gives a meaning is malformed.
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
    #[display("the body is above {} bytes", codec::MAX_BODY_BYTES)]
    BodyOversized,
    /// The body did not arrive in time.
    #[display("the body did not arrive in time")]
    BodySlow,
    /// The body broke off or has bad chunking.
    #[display("the body broke off or its chunks are malformed")]
    BodyMalformed,
}

impl IntakeRefusal {
    /// Whether unread bytes of the body may stand on the connection, so that it has to close.
    pub fn leaves_unread_body(&self) -> bool {
        !matches!(
            self,
            Self::HintMalformed { .. } | Self::ParentForged | Self::ServiceMissing
        )
    }
}

/// How callers' requests and the replies to them look on the wire.
///
/// A trait, because the node's own dialect and that of a platform both stand behind it.
pub trait CallerDialect: std::fmt::Debug + Send + Sync {
    /// Reads the head of a request.
    fn read_head(&self, head: &request::Parts) -> Result<CallHead, IntakeRefusal>;

    /// The response to a request that the edge refused.
    fn refused(&self, refusal: &IntakeRefusal) -> FullResponse;

    /// The response that tells a reply of the reducer.
    fn reply(&self, reply: effect::CallerReply) -> FullResponse;
}
