//! The caller edge: serves callers over HTTP/1.1 and returns complete responses.

pub mod exchange;
pub mod framing;
pub mod head_timer;
pub mod header;
pub mod intake;
pub mod native;
pub mod pipeline;
pub mod problem;
pub mod reply;
pub mod server;
