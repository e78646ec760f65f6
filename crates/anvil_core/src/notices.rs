//! What this node knows about the targets beside other nodes from the answers that it passed on.
//!
//! A target's node forgets what its target stated when it restarts, and the target keeps running.
//! The nodes that passed the statements on to their callers still remember.

use std::net::SocketAddr;

use anvil_types::sorted;
use anvil_wire::call;

/// Maximum number of targets that are remembered. Only targets in need and leaving ones are, about
/// 40 bytes each.
const MAX_TARGETS: usize = 16_384;

/// The latest notices by the address of the target's node, which outlives its process.
#[derive(Clone, Debug, Default)]
pub(crate) struct NoticeTable {
    notices: sorted::SortedTable<SocketAddr, call::TargetNotice>,
}

impl NoticeTable {
    /// Records the notice of an answer from the node at `address`; returns whether it changed.
    ///
    /// An incarnation that is leaving never returns, so a later notice of it that says otherwise
    /// comes from a node that has restarted.
    pub(crate) fn record(&mut self, address: SocketAddr, notice: call::TargetNotice) -> bool {
        let known = self.notices.get(address).copied();
        let same = known.filter(|known| known.incarnation == notice.incarnation);
        let leaving = notice.leaving || same.is_some_and(|known| known.leaving);
        let notice = call::TargetNotice { leaving, ..notice };
        if !notice.leaving && notice.rate.is_none() {
            return self.notices.remove(address).is_some();
        }
        if known.is_none() && self.notices.len() >= MAX_TARGETS {
            return false;
        }
        self.notices.insert(address, notice) != Some(notice)
    }

    /// The latest notice about the target beside the node at `address`.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<call::TargetNotice> {
        self.notices.get(address).copied()
    }

    /// All notices, for the dump.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, (SocketAddr, call::TargetNotice)> {
        self.notices.iter()
    }
}
