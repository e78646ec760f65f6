//! The admin edge: operators' requests and the local target's announcements, over HTTP.
//!
//! It is not on the path of callers' requests, so its handlers block threads of their own; see
//! `docs/OPERATIONS.md` for each address.

pub mod announcement;
pub mod metrics;
pub mod operator_request;
pub mod server;
