//! Quotas of client accounts, enforced over all nodes of a fleet.
//!
//! Each account has a *home*, the node that counts its requests. While an account is far below its
//! quota, entry nodes admit requests ahead of the home's count and report them at once; near the
//! quota they request a decision before each request. [`ledger::QuotaLedger`] implements both roles
//! of a node; nothing in this crate reads a clock or opens a socket. See `docs/design/accounts.md`.

pub mod bucket;
pub mod contact;
pub mod demand;
pub mod effect;
pub mod entry;
pub mod expiring;
pub mod handover;
pub mod home;
pub mod ledger;
pub mod meter;
pub mod recent;
pub mod ring;
