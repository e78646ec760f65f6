//! Stand-ins of the platform's key-value service: a pure state machine, and an HTTP server around
//! it.

pub mod fake;
pub mod server;
