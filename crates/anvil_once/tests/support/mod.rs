//! Support code shared by the tests of the key owners.

pub(crate) mod actions;
pub(crate) mod explorer;
pub(crate) mod world;
