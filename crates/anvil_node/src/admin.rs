//! The admin edge: operators' requests and the local target's announcements, over HTTP by
//! `rouille`.
//!
//! It is not on the path of callers' requests, so one thread per admin request is enough; see
//! `docs/OPERATIONS.md` for each address.

pub mod announcement;
pub mod metrics;
pub mod operator_request;
pub mod server;
