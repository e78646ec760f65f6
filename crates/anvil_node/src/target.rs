//! The target edge: sends requests to the local target over pooled HTTP connections.

pub mod exchange;
pub mod message;
pub mod native;
pub mod parent;
pub mod pool;
pub mod runs;
