//! The edge towards operators and the local target's announcements: HTTP by `rouille`.
//!
//! It is off the path of requests, a thread per question is enough; see `docs/OPERATIONS.md` for
//! each address.

pub mod announcement;
pub mod metrics;
pub mod operator_request;
pub mod server;
