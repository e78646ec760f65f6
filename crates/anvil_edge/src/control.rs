//! Control calls to a node from its target and the platform: readiness checks and notifications.

use anvil_core::event;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::Response;

/// A call to the control address.
#[derive(Clone, Debug)]
pub enum ControlCall {
    /// Queries whether callers should send requests to this node.
    Readiness,
    /// Reports an event; it is acknowledged once the reducer has processed it.
    Notify(event::NodeEvent),
}

/// Why a call to the control address was refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ControlRefusal {
    /// Nothing exists at the path, or it doesn't support the method.
    #[display("there is nothing at {path}")]
    NotFound {
        /// The requested path.
        path: String,
    },
    /// The node is shutting down and accepts no more events; another node may.
    #[display("the node is leaving")]
    Leaving,
    /// The body or the path is malformed.
    #[display("{reason}")]
    Malformed {
        /// What is wrong, and at which position.
        reason: String,
    },
}

/// The outcome of a call to the control address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// The answer to [`ControlCall::Readiness`].
    Ready(bool),
    /// The reducer has processed the event.
    Accepted,
    /// The call was refused and had no effect.
    Refused(ControlRefusal),
}

/// The wire format of the control address.
///
/// It is a trait because the platform around the node determines the format.
pub trait ControlDialect: std::fmt::Debug + Send + Sync {
    /// Parses a call.
    fn read(&self, method: &str, path: &str, body: &[u8]) -> Result<ControlCall, ControlRefusal>;

    /// Builds the response for an outcome.
    fn respond(&self, outcome: &ControlOutcome) -> Response<Bytes>;
}
