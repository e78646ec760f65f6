//! The queue of claims to piggyback on datagrams.

use std::collections::VecDeque;

use anvil_types::ident;

use crate::{member, table};

/// Upper bound of the encoded size of a claim without facts, in bytes.
const SHORT_CLAIM_BYTES: usize = 28;

/// Upper bound of the encoded size of the facts without their names, in bytes.
const FACTS_BYTES: usize = 56;

/// Number of entries, beyond two per member, above which stale entries are removed from the queue.
const STALE_LIMIT: usize = 64;

/// An entry of the queue; it is stale if the member was queued again later.
#[derive(Clone, Copy, Debug)]
struct RelayEntry {
    node: ident::NodeId,
    serial: u32,
}

/// Members whose current claim is still to be piggybacked, the least often sent first.
///
/// The queue holds node ids, and the claim is read from the table when it is sent, so only the
/// latest claim about a member is sent. Without the order by the number of sends, an announcement
/// that a member leaves would wait for many seconds behind a backlog, such as that of a mass join.
#[derive(Clone, Debug, Default)]
pub struct RelayQueue {
    /// Entries by the number of datagrams that have carried the claim.
    levels: Vec<VecDeque<RelayEntry>>,
    entries: usize,
    last_serial: u32,
}

impl RelayQueue {
    /// Queues the current claim about `node` for `relays` datagrams, ahead of all others if it is
    /// `urgent`.
    pub fn push(
        &mut self,
        table: &mut table::MemberTable,
        node: ident::NodeId,
        relays: u8,
        urgent: bool,
    ) {
        let Some(record) = table.get_mut(node) else {
            return;
        };
        self.last_serial = self.last_serial.wrapping_add(1);
        let serial = self.last_serial;
        record.relays = relays;
        record.relay_serial = serial;
        let entry = RelayEntry { node, serial };
        if urgent && !self.levels.is_empty() {
            self.levels[0].push_front(entry);
            self.entries += 1;
        } else {
            self.enqueue(0, entry);
        }
        // Claims that quickly replace one another would otherwise let the queue outgrow the table.
        if self.entries > 2 * table.all().len() + STALE_LIMIT {
            self.remove_stale(table);
        }
    }

    /// Takes the members whose claims fit on one datagram with at most `bytes` of updates.
    pub fn take(&mut self, table: &mut table::MemberTable, bytes: usize) -> Vec<ident::NodeId> {
        let mut taken = Vec::new();
        let mut remaining_bytes = bytes;
        let mut requeued = Vec::new();
        for level in 0..self.levels.len() {
            while let Some(entry) = self.levels[level].pop_front() {
                self.entries -= 1;
                if !is_current(table, entry) {
                    continue;
                }
                let Some(record) = table.get_mut(entry.node) else {
                    continue;
                };
                let size = claim_bytes(record);
                if size > remaining_bytes {
                    self.levels[level].push_front(entry);
                    self.entries += 1;
                    break;
                }
                remaining_bytes -= size;
                taken.push(entry.node);
                record.relays -= 1;
                if record.relays > 0 {
                    requeued.push((level + 1, entry));
                }
            }
        }
        for (level, entry) in requeued {
            self.enqueue(level, entry);
        }
        taken
    }

    fn enqueue(&mut self, level: usize, entry: RelayEntry) {
        if level >= self.levels.len() {
            self.levels.resize_with(level + 1, VecDeque::new);
        }
        self.levels[level].push_back(entry);
        self.entries += 1;
    }

    fn remove_stale(&mut self, table: &table::MemberTable) {
        for level in &mut self.levels {
            level.retain(|entry| is_current(table, *entry));
        }
        self.entries = self.levels.iter().map(VecDeque::len).sum();
    }

    /// Number of entries, including stale ones.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }
}

fn is_current(table: &table::MemberTable, entry: RelayEntry) -> bool {
    let record = table.get(entry.node);
    record.is_some_and(|r| r.relay_serial == entry.serial && r.relays > 0)
}

/// Upper bound of the encoded size of the claim about `record`, in bytes.
pub fn claim_bytes(record: &member::MemberRecord) -> usize {
    if record.state != member::MemberState::Alive {
        return SHORT_CLAIM_BYTES;
    }
    let facts = &record.facts;
    let service = facts.service.as_ref().map_or(0, |s| s.as_str().len());
    let names = facts.zone.as_str().len() + facts.region.as_str().len() + service;
    SHORT_CLAIM_BYTES + FACTS_BYTES + names
}
