//! What a node holds for a slot that it owns, as primary or as backup.

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::table;

/// A key that waits for the backup's acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingGrant {
    pub(crate) order: u64,
    pub(crate) key: ident::RequestKey,
    pub(crate) call: ident::CallId,
    pub(crate) sent: time::NodeTime,
}

/// The part of a copy that waits for the backup's acknowledgement.
///
/// The end of a part is fixed when it is first sent: a repeated part that ended further on could
/// be acknowledged by a backup that has only the first one, and the rest would never arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CopyPart {
    pub(crate) part: u32,
    pub(crate) after: Option<ident::RequestKey>,
    pub(crate) end: Option<ident::RequestKey>,
    pub(crate) last: bool,
    pub(crate) sent: time::NodeTime,
}

/// The primary's side of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PrimaryRole {
    pub(crate) backup: Option<ident::NodeId>,
    /// The copy under way; none once the backup holds everything.
    pub(crate) copy: Option<CopyPart>,
    /// Sorted by order.
    pub(crate) pending: Vec<PendingGrant>,
    /// When the store was asked the question that last confirmed this role.
    pub(crate) confirmed: Option<time::NodeTime>,
}

/// The backup's side of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BackupRole {
    pub(crate) primary: ident::NodeId,
    /// The part of the copy expected next.
    pub(crate) next_part: u32,
    /// Whether every record of the primary is held.
    pub(crate) whole: bool,
}

/// One of the two sides.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum SlotRole {
    Primary(PrimaryRole),
    Backup(BackupRole),
}

/// A slot that this node owns, as far as it knows.
///
/// The epoch changes only when the node learns of a newer record. Until then a primary goes on
/// with its backup, and a backup acknowledges, whatever either has asked of the store: a claim
/// that fails, or a store that is out, costs nothing while both nodes live.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OwnedSlot {
    pub(crate) slot: key::SlotId,
    pub(crate) epoch: key::SlotEpoch,
    pub(crate) table: table::KeyTable,
    /// The order of the last change.
    pub(crate) order: u64,
    /// Until when unknown keys may have run under records that were lost.
    pub(crate) doubt: Option<time::NodeTime>,
    pub(crate) role: SlotRole,
}

impl OwnedSlot {
    /// Whether every record of the slot is held here.
    pub(crate) const fn is_whole(&self) -> bool {
        match &self.role {
            SlotRole::Primary(_) => true,
            SlotRole::Backup(role) => role.whole,
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
