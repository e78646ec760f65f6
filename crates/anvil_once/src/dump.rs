//! The state of the key owners as `/dump` reports it.

use anvil_types::ident;
use serde::Serialize;

use crate::{counters, owner, role};

/// One owned slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SlotDump {
    /// The slot.
    pub slot: u16,
    /// Its epoch.
    pub epoch: u64,
    /// `primary` or `backup`.
    pub role: &'static str,
    /// The other owner, in hexadecimal.
    pub other: Option<String>,
    /// Records held.
    pub records: usize,
    /// Bytes of cached answers.
    pub answer_bytes: usize,
    /// Keys that wait for the backup's acknowledgement.
    pub pending: usize,
    /// Whether both owners hold all records.
    pub whole: bool,
    /// Whether unknown keys are answered as may-have-run, because records were lost.
    pub in_doubt: bool,
}

/// The state of the key owners.
#[derive(Clone, Debug, Serialize)]
pub struct KeyDump {
    /// Slots whose owners this node knows.
    pub known_slots: usize,
    /// Slots that this node owns.
    pub owned: Vec<SlotDump>,
    /// Calls of this node that wait for a key, hold one or have an outcome to deliver, and recently
    /// abandoned ones.
    #[serde(rename = "asks")]
    pub requests: usize,
    /// Reads and changes of slot records in progress.
    pub changes: usize,
    /// Whether the node is handing over.
    pub leaving: bool,
    /// Counters since the start of the process.
    pub counters: counters::KeyCounters,
}

impl owner::KeyOwner {
    /// Captures the current state.
    pub fn dump(&self) -> KeyDump {
        KeyDump {
            known_slots: self.views.list().len(),
            owned: self.slots.iter().map(dump_slot).collect(),
            requests: self.requests.len(),
            changes: self.changes.len(),
            leaving: self.leaving,
            counters: self.counters,
        }
    }
}

fn dump_slot(owned: &role::OwnedSlot) -> SlotDump {
    let (role, other, pending, whole) = match &owned.role {
        role::SlotRole::Primary(role) => (
            "primary",
            role.backup,
            role.pending.len(),
            role.copy.is_none(),
        ),
        role::SlotRole::Backup(role) => ("backup", Some(role.primary), 0, role.complete),
    };
    SlotDump {
        slot: owned.slot.0,
        epoch: owned.epoch.0,
        role,
        other: other.map(|node: ident::NodeId| node.to_string()),
        records: owned.table.len(),
        answer_bytes: owned.table.answer_bytes(),
        pending,
        whole,
        in_doubt: owned.uncertain_until.is_some(),
    }
}
