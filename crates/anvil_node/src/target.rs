//! The edge towards the local target: requests over kept HTTP connections.

pub mod exchange;
pub mod message;
pub mod native;
pub mod parent;
pub mod pool;
pub mod runs;
