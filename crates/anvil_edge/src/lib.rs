//! What a dialect must do at a node's edges, and what all dialects share.
//!
//! The reducer knows requests, answers and announcements; a *dialect* knows which headers, paths
//! and bodies stand for them on the wire. A node speaks its own dialect unless its settings name
//! another one; see `docs/design/platform.md`.

pub mod caller;
pub mod control;
pub mod hops;
pub mod target;
