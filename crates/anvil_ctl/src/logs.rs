//! Reading of the nodes' structured logs in the forms in which the platform stores them.

pub mod line;
pub mod source;
