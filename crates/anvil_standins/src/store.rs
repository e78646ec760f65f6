//! The platform's key-value service, as a pure state and as an HTTP server around it.

pub mod fake;
pub mod server;
