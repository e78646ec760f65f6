//! The mapping of keys to slots and of slots to preferred owners.

use anvil_types::ident;
use anvil_wire::key;
use xxhash_rust::xxh3;

/// Number of slots; it must be the same on every node, so it is not a setting.
///
/// More slots spread the records of a large fleet over more nodes; fewer slots cost a small fleet
/// fewer changes in the store at each restart. See `docs/design/at-most-once.md`.
pub const SLOT_COUNT: u16 = 512;

/// The slot of a key.
pub const fn slot_of(key: ident::RequestKey) -> key::SlotId {
    // The key is a digest, so its low bits are evenly distributed.
    key::SlotId((key.0 % SLOT_COUNT as u128) as u16)
}

/// The rendezvous hashing weight of a node for a slot; the live node with the highest is preferred.
///
/// Every node computes the same order without communication, and a node that joins or leaves moves
/// only its own share of the slots.
pub fn node_weight(slot: key::SlotId, node: ident::NodeId) -> u64 {
    let mut bytes = [0; 10];
    bytes[..2].copy_from_slice(&slot.0.to_le_bytes());
    bytes[2..].copy_from_slice(&node.0.to_le_bytes());
    xxh3::xxh3_64(&bytes)
}
