//! At-most-once execution of non-idempotent requests: key owners, records and handover.
//!
//! A caller identifies a non-idempotent action by an idempotency key. Each key is hashed to a slot,
//! and each slot is owned by a pair of nodes that a record in the platform's store names. The
//! primary grants a key to one call of one entry node, after the backup has recorded the grant; no
//! other call may ever run the key. See `docs/design/at-most-once.md`.
//!
//! This crate performs no I/O, reads no clock and takes no lock: [`owner::KeyOwner`] is a state
//! machine that turns [`event::KeyEvent`]s into [`effect::KeyEffect`]s.

mod adopt;
mod backup;
mod change;
pub mod counters;
pub mod dump;
pub mod effect;
mod entry;
pub mod event;
mod grant;
mod handover;
pub mod owner;
pub mod peers;
pub mod policy;
mod proposal;
mod role;
mod settle;
pub mod slots;
pub mod table;
pub mod view;
