//! Which slot a key belongs to, and which nodes a slot would like as owners.

use anvil_types::ident;
use anvil_wire::key;
use xxhash_rust::xxh3;

/// Slots in the fleet; the same on every node, so it is no setting.
///
/// More slots spread the records of a large fleet over more nodes, fewer cost a small one fewer
/// changes in the store at each restart; see `docs/design/at-most-once.md`.
pub const SLOT_COUNT: u16 = 1_024;

/// The slot of a key.
pub const fn slot_of(key: ident::RequestKey) -> key::SlotId {
    // The key is a digest already, so its low bits are spread evenly.
    key::SlotId((key.0 % SLOT_COUNT as u128) as u16)
}

/// The weight of a node for a slot; the highest among the live nodes is preferred.
///
/// Every node computes the same order without talking, and a node that comes or goes moves only
/// its own share.
pub fn node_weight(slot: key::SlotId, node: ident::NodeId) -> u64 {
    let mut bytes = [0; 10];
    bytes[..2].copy_from_slice(&slot.0.to_le_bytes());
    bytes[2..].copy_from_slice(&node.0.to_le_bytes());
    xxh3::xxh3_64(&bytes)
}
