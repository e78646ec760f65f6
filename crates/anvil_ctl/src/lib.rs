//! The operators' command: checks rule files, sends them to a node, and shows a node's state.
//!
//! Everything except the process itself is a function of its arguments, so that tests can call it
//! without starting a process. See `docs/ANVILCTL.md`.

pub mod apply;
pub mod arguments;
pub mod check;
pub mod command;
pub mod explain;
pub mod help;
pub mod logs;
pub mod node;
pub mod outcome;
pub mod render;
pub mod rule_file;
pub mod show;
pub mod story;
pub mod wait;
