//! The state of a slot that a node owns, as primary or as backup.

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::table;

/// A key that waits for the backup's acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingGrant {
    pub(crate) order: u64,
    pub(crate) key: ident::RequestKey,
    pub(crate) call: ident::CallId,
    pub(crate) sent_at: time::NodeTime,
}

/// The part of a copy that waits for the backup's acknowledgement.
///
/// The end of a part is fixed when it is first sent. Otherwise a resent part could contain more
/// records, be acknowledged by a backup that has only received the first version, and the added
/// records would never arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CopyPart {
    pub(crate) part: u32,
    pub(crate) after: Option<ident::RequestKey>,
    pub(crate) end: Option<ident::RequestKey>,
    pub(crate) last: bool,
    pub(crate) sent_at: time::NodeTime,
}

/// The primary's side of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PrimaryRole {
    pub(crate) backup: Option<ident::NodeId>,
    /// The copy in progress; `None` once the backup holds all records.
    pub(crate) copy: Option<CopyPart>,
    /// Sorted by sequence number.
    pub(crate) pending: Vec<PendingGrant>,
    /// When the request was sent to the store whose reply last confirmed this role.
    pub(crate) confirmed_at: Option<time::NodeTime>,
}

/// The backup's side of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BackupRole {
    pub(crate) primary: ident::NodeId,
    /// The part of the copy expected next.
    pub(crate) next_part: u32,
    /// Whether this node holds every record of the primary.
    pub(crate) complete: bool,
}

/// The role of an owner in a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum SlotRole {
    Primary(PrimaryRole),
    Backup(BackupRole),
}

/// A slot that this node owns, in its own view.
///
/// The epoch changes only when the node learns of a newer record. Until then a primary keeps
/// working with its backup, and a backup keeps acknowledging, whatever change either has requested
/// from the store. So a failed swap or a store outage has no effect while both nodes are alive.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OwnedSlot {
    pub(crate) slot: key::SlotId,
    pub(crate) epoch: key::SlotEpoch,
    pub(crate) table: table::KeyTable,
    /// The sequence number of the last change.
    pub(crate) order: u64,
    /// Until when unknown keys count as possibly run, because records were lost.
    pub(crate) uncertain_until: Option<time::NodeTime>,
    pub(crate) role: SlotRole,
}

impl OwnedSlot {
    /// Whether this node holds every record of the slot.
    pub(crate) const fn is_complete(&self) -> bool {
        match &self.role {
            SlotRole::Primary(_) => true,
            SlotRole::Backup(role) => role.complete,
        }
    }

    /// The other owner.
    pub(crate) const fn other(&self) -> Option<ident::NodeId> {
        match &self.role {
            SlotRole::Primary(role) => role.backup,
            SlotRole::Backup(role) => Some(role.primary),
        }
    }

    pub(crate) const fn primary(&self) -> Option<&PrimaryRole> {
        match &self.role {
            SlotRole::Primary(role) => Some(role),
            SlotRole::Backup(_) => None,
        }
    }

    pub(crate) const fn primary_mut(&mut self) -> Option<&mut PrimaryRole> {
        match &mut self.role {
            SlotRole::Primary(role) => Some(role),
            SlotRole::Backup(_) => None,
        }
    }

    pub(crate) const fn next_order(&mut self) -> u64 {
        self.order += 1;
        self.order
    }
}
