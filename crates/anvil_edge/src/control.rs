//! What the target and the platform around the node tell it and ask it, beside requests.

use anvil_core::event;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::Response;

/// What a call to the control address is.
#[derive(Clone, Debug)]
pub enum ControlCall {
    /// Asks whether callers should send this node work.
    Readiness,
    /// Tells something that the reducer takes in before it is acknowledged.
    Notify(event::NodeEvent),
}

/// Why a call to the control address was refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ControlRefusal {
    /// There is nothing at the path, or not for the method.
    #[display("there is nothing at {path}")]
    NotFound {
        /// The path asked for.
        path: String,
    },
    /// The node is ending and takes nothing in any more; another one may.
    #[display("the node is leaving")]
    Leaving,
    /// The body or the path is malformed.
    #[display("{reason}")]
    Malformed {
        /// What is wrong, with its place.
        reason: String,
    },
}

/// How a call to the control address ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// The answer to [`ControlCall::Readiness`].
    Ready(bool),
    /// The reducer has taken it in.
    Accepted,
    /// It was refused, and nothing was changed.
    Refused(ControlRefusal),
}

/// How the control address looks on the wire.
///
/// A trait, because what speaks to it is given by the platform around the node.
pub trait ControlDialect: std::fmt::Debug + Send + Sync {
    /// Reads a call.
    fn read(&self, method: &str, path: &str, body: &[u8]) -> Result<ControlCall, ControlRefusal>;

    /// The response that tells an outcome.
    fn respond(&self, outcome: &ControlOutcome) -> Response<Bytes>;
}
