//! The operators' rules: parsing, validation, matching, changes and explanations.
//!
//! `docs/RULES.md` documents the language and `docs/design/rules.md` its design. This crate
//! performs no I/O and reads no clock: it turns text into typed values.

pub mod account;
pub mod change;
pub mod check;
pub mod codec;
pub mod condition;
pub mod destination;
pub mod document;
pub mod duration;
pub mod explain;
pub mod fault;
mod field;
pub mod matcher;
pub mod method;
pub mod outcome;
pub mod parse;
mod parse_account;
mod parse_then;
mod parse_when;
pub mod path;
pub mod range;
pub mod render;
mod rule_list;
pub mod service;
pub mod shadow;
mod table;
pub mod view;
pub mod yaml;
