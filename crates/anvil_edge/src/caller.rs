//! The interface for dialects between callers and their node.

use std::time::Duration;

use anvil_core::{effect, event};
use anvil_types::name;
use anvil_wire::call;
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Method, Response, request};
use http_body_util::Full;

/// A response with its complete body.
pub type FullResponse = Response<Full<Bytes>>;

/// Bytes of a malformed header that a refusal shows.
const MAX_SHOWN_BYTES: usize = 64;

/// A call as read from a request head, before its body.
#[derive(Debug)]
pub struct CallHead {
    /// The request with an empty body.
    pub request: call::CallRequest,
    /// Further information from the headers.
    pub hints: event::CallerHints,
}

/// Why the edge refused a request before it reached the reducer; the request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum IntakeRefusal {
    /// The method can't be supported, because requests are forwarded only as a whole.
    #[display("the method {_0} is not served")]
    Method(Method),
    /// No header names a service.
    #[display("name the service by the header anvil-service or as the first label of Host")]
    ServiceMissing,
    /// The name of the service is malformed.
    #[display("the service {text:?} is malformed: {reason}")]
    ServiceMalformed {
        /// The name as sent.
        text: String,
        /// What is wrong with it.
        reason: name::NameError,
    },
    /// A header that the dialect interprets is malformed.
    #[display("the header {header} is malformed: {found:?} is not {expected}")]
    HintMalformed {
        /// The name of the header.
        header: &'static str,
        /// The beginning of its value; empty if the header is missing or its value must not be shown.
        found: String,
        /// The expected value.
        expected: &'static str,
    },
    /// The parent token was not issued by this process.
    #[display("the header anvil-parent holds no token of this node")]
    ParentForged,
    /// The body is longer than the node accepts.
    #[display("the body is above {limit} bytes")]
    BodyOversized {
        /// The longest body, in bytes.
        limit: usize,
    },
    /// Other bodies take the memory that the body needs.
    #[display("no memory is left for the body")]
    NoMemory,
    /// The body did not arrive in time.
    #[display("the body did not arrive in time")]
    BodySlow,
    /// The body is incomplete, or its chunked encoding is malformed.
    #[display("the body broke off or its chunks are malformed")]
    BodyMalformed,
}

/// Pause after which a caller should retry if no memory was left for its body.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);

impl IntakeRefusal {
    /// A refusal for the header with this `value`, of which the message shows the beginning.
    pub fn malformed_hint(
        header: &'static str,
        value: Option<&HeaderValue>,
        expected: &'static str,
    ) -> Self {
        let bytes = value.map_or(&[][..], HeaderValue::as_bytes);
        let shown = &bytes[..bytes.len().min(MAX_SHOWN_BYTES)];
        Self::HintMalformed {
            header,
            found: String::from_utf8_lossy(shown).into_owned(),
            expected,
        }
    }

    /// Pause after which the caller should retry; none if the same request would be refused again.
    pub fn retry_after(&self) -> Option<Duration> {
        matches!(self, Self::NoMemory).then_some(NO_MEMORY_RETRY)
    }

    /// Whether unread bytes of the body may remain on the connection, so that it must be closed.
    pub fn leaves_unread_body(&self) -> bool {
        !matches!(
            self,
            Self::HintMalformed { .. } | Self::ParentForged | Self::ServiceMissing
        )
    }
}

/// The wire format of callers' requests and of the replies to them.
///
/// It is a trait because both the node's own dialect and the dialect of a platform implement it.
pub trait CallerDialect: std::fmt::Debug + Send + Sync {
    /// Parses the head of a request.
    fn read_head(&self, head: &request::Parts) -> Result<CallHead, IntakeRefusal>;

    /// Builds the response to a request that the edge refused.
    fn refused(&self, refusal: &IntakeRefusal) -> FullResponse;

    /// Builds the response for a reply of the reducer.
    fn reply(&self, reply: effect::CallerReply) -> FullResponse;
}
