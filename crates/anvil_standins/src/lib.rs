//! Stand-ins for what surrounds a node, for tests, measurements and the demo; no binary links it.

pub mod target;
