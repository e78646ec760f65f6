//! At most once for non-idempotent requests: key owners, records and handover.
//!
//! A caller names a non-idempotent action by an idempotency key. Each key belongs to a slot, and
//! each slot to a pair of nodes named by a record in the platform's store. The primary grants a
//! key to one call of one entry node, after the backup has recorded it; that call alone may ever
//! run the key. See `docs/design/at-most-once.md`.
//!
//! Nothing in here reads a clock, opens a socket or takes a lock: [`owner::KeyOwner`] turns
//! [`event::KeyEvent`]s into [`effect::KeyEffect`]s.

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
