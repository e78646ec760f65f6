//! The nodes' structured logs, read as the platform keeps them.

pub mod line;
pub mod source;
