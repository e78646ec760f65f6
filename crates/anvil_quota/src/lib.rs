//! Quotas of client accounts, held over all nodes of a fleet.
//!
//! Each account has a *home*, the node that counts its requests. Entry nodes let requests in ahead of
//! its word while the account is far below its quota, tell it at once, and ask before each request
//! when the account is near it. [`ledger::QuotaLedger`] is both sides in one node; nothing in here
//! reads a clock or opens a socket. See `docs/design/accounts.md`.

pub mod bucket;
pub mod effect;
pub mod entry;
pub mod expiring;
pub mod handover;
pub mod home;
pub mod ledger;
pub mod meter;
pub mod recent;
pub mod ring;
