//! Where the fleet's entries stand in the platform's store.

use anvil_types::{ident, name, store};

/// Start of the keys of all contact entries.
pub const CONTACTS: &str = "contacts/";

/// Start of the keys of the changes' log.
pub const LOG: &str = "rules/log/";

/// Start of the keys of all chunks of snapshots.
pub const SNAPSHOTS: &str = "rules/chunks/";

/// The key of the newest snapshot's manifest.
pub const MANIFEST: &str = "rules/snapshot/latest";

/// The key of a contact slot of a zone.
pub fn contact(zone: &name::ZoneName, slot: u8) -> store::StoreKey {
    store::StoreKey::new(&format!("{CONTACTS}{zone}/{slot}"))
}

/// The key of the change that made `revision`; padded, so that keys sort as revisions do.
pub fn log_entry(revision: ident::RuleRevision) -> store::StoreKey {
    store::StoreKey::new(&format!("{LOG}{:020}", revision.0))
}

/// The key of one chunk of a snapshot.
///
/// The writer is part of it, so that two writers of the same revision can't mix their chunks.
pub fn chunk(revision: ident::RuleRevision, writer: ident::NodeId, chunk: u32) -> store::StoreKey {
    let revision = revision.0;
    store::StoreKey::new(&format!("{SNAPSHOTS}{revision:020}-{writer}/{chunk:04}"))
}
