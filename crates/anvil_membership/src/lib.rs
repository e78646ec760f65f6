//! Membership and rule distribution: which nodes are alive, where they are, and which rule revision
//! is in force.
//!
//! [`fleet::FleetState`] is the state machine of one node. The crate reads no clock and opens no
//! socket. See `docs/design/membership.md` and `docs/design/rule-distribution.md`.

pub mod census;
pub mod config;
pub mod contact;
pub mod counters;
pub mod digest;
pub mod effect;
pub mod fleet;
pub mod health;
pub mod keys;
pub mod member;
pub mod names;
pub mod probe;
pub mod proposal;
pub mod random;
pub mod refresh;
pub mod relay;
pub mod roster;
pub mod rule_log;
pub mod rumour_budget;
pub mod snapshot;
pub mod spread;
pub mod store_requests;
pub mod suspicion;
pub mod table;
