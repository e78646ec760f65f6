//! The keys of the fleet's entries in the store.

use anvil_types::{ident, name, store};

/// Prefix of the keys of all contact entries.
pub const CONTACTS: &str = "contacts/";

/// Prefix of the keys of the rule log.
pub const LOG: &str = "rules/log/";

/// Prefix of the keys of all snapshot chunks.
pub const SNAPSHOTS: &str = "rules/chunks/";

/// The key of the newest snapshot's manifest.
pub const MANIFEST: &str = "rules/snapshot/latest";

/// The key of a contact slot of a zone.
pub fn contact(zone: &name::ZoneName, slot: u8) -> store::StoreKey {
    store::StoreKey::new(&format!("{CONTACTS}{zone}/{slot}"))
}

/// The key of the change that made `revision`, zero-padded so that keys sort by revision.
pub fn log_entry(revision: ident::RuleRevision) -> store::StoreKey {
    store::StoreKey::new(&format!("{LOG}{:020}", revision.0))
}

/// The key of one chunk of a snapshot.
///
/// It contains the writer, so that two nodes that write a snapshot of the same revision cannot mix
/// their chunks.
pub fn chunk(revision: ident::RuleRevision, writer: ident::NodeId, chunk: u32) -> store::StoreKey {
    let revision = revision.0;
    store::StoreKey::new(&format!("{SNAPSHOTS}{revision:020}-{writer}/{chunk:04}"))
}
