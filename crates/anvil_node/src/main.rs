//! The node process.

fn main() {}
