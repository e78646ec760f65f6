//! Types shared by all crates of anvilworks.
//!
//! The terms follow `docs/GLOSSARY.md`: an *instance* is a machine or container, an *availability
//! zone* is its location, a *caller* sends requests and a *target* runs them.

pub mod account;
pub mod backoff;
pub mod context;
pub mod ident;
pub mod name;
pub mod number;
pub mod rate;
pub mod sorted;
pub mod store;
pub mod time;
pub mod treatment;
pub mod verdict;
