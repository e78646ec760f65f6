//! Retry allowances of root requests that callers may resend; see `docs/design/retries.md`.

use std::time::Duration;

use anvil_types::{ident, time};
use serde::Serialize;

/// Capacity of each of two generations. At 2,000 requests a second the younger one fills in a
/// second, which covers callers that resend without waiting.
pub const GENERATION_CAPACITY: usize = 2_048;

/// How long the spent allowance of a request applies to its copies. A caller that resends later
/// does not add to the load that the bound limits.
pub const RESEND_TTL: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Serialize)]
struct RootEntry {
    request: ident::RequestId,
    left: u16,
    dispatched: bool,
    running: bool,
    touched: time::NodeTime,
}

/// Retries that a copy of a request may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendGrant {
    /// The copy may spend this many retries beyond its first attempt.
    Granted(u16),
    /// Earlier copies spent the whole allowance, or a running one holds it.
    Spent,
}

/// Remaining retry allowances of recent root requests.
///
/// If each copy of a request had a full allowance, callers that resend aggressively would defeat
/// the bound of the chain. A copy that follows one which was sent to another node therefore pays
/// one retry for itself; one that follows a refusal at this node pays nothing, because no work was
/// done for it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResendLedger {
    /// Sorted by request, as is `old`.
    young: Vec<RootEntry>,
    old: Vec<RootEntry>,
}

impl ResendLedger {
    /// Retries that a copy of `request` may spend if its rule allows `bound`; the copy holds them
    /// until [`Self::end`].
    pub fn begin(
        &mut self,
        now: time::NodeTime,
        request: ident::RequestId,
        bound: u16,
    ) -> ResendGrant {
        let Some(entry) = self.find(request) else {
            self.insert(now, request);
            return ResendGrant::Granted(bound);
        };
        if entry.running {
            return ResendGrant::Spent;
        }
        let forgotten = now.since(entry.touched) >= RESEND_TTL;
        let left = if forgotten {
            bound
        } else {
            entry.left.min(bound)
        };
        let grant = match (entry.dispatched && !forgotten, left) {
            (false, left) => ResendGrant::Granted(left),
            (true, 0) => return ResendGrant::Spent,
            (true, left) => ResendGrant::Granted(left - 1),
        };
        entry.dispatched &= !forgotten;
        entry.running = true;
        grant
    }

    /// Records the retries that a copy of `request` left, and whether it was sent to any node.
    pub fn end(
        &mut self,
        now: time::NodeTime,
        request: ident::RequestId,
        left: u16,
        dispatched: bool,
    ) {
        // An entry that was evicted meanwhile is not added again.
        if let Some(entry) = self.find(request) {
            entry.left = left;
            entry.dispatched |= dispatched;
            entry.running = false;
            entry.touched = now;
        }
    }

    fn insert(&mut self, now: time::NodeTime, request: ident::RequestId) {
        if self.young.len() == GENERATION_CAPACITY {
            self.old = std::mem::take(&mut self.young);
        }
        let entry = RootEntry {
            request,
            left: 0,
            dispatched: false,
            running: true,
            touched: now,
        };
        let place = self.young.partition_point(|known| known.request < request);
        self.young.insert(place, entry);
    }

    fn find(&mut self, request: ident::RequestId) -> Option<&mut RootEntry> {
        let key = |known: &RootEntry| known.request;
        if let Ok(place) = self.young.binary_search_by_key(&request, key) {
            return self.young.get_mut(place);
        }
        let place = self.old.binary_search_by_key(&request, key);
        self.old.get_mut(place.ok()?)
    }
}
