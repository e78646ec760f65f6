//! Allowances of root requests that a caller may send again; see `docs/design/retries.md`.

use std::time::Duration;

use anvil_types::{ident, time};
use serde::Serialize;

/// Requests kept in each of two generations; at 2,000 requests a second the younger fills in a
/// second, which covers the resends of callers that don't wait.
pub const GENERATION_CAPACITY: usize = 2_048;

/// How long the spent allowance of a request binds its copies; a caller that comes back later is
/// no part of the load that the bound is there for.
pub const RESEND_TTL: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Serialize)]
struct RootEntry {
    request: ident::RequestId,
    left: u16,
    dispatched: bool,
    running: bool,
    touched: time::NodeTime,
}

/// What a copy of a request may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendGrant {
    /// The copy has this many retries beyond its first attempt.
    Granted(u16),
    /// Earlier copies spent everything, or one is still out and holds it.
    Spent,
}

/// The allowances that root requests left behind.
///
/// Failure: callers resend hard and each resend brings a full allowance. Symptom: the bound of
/// the chain holds for each copy and not for the request. A copy that follows one which left this
/// node spends one retry for itself; one that follows a refusal at this node spends none, since
/// nothing was done for it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResendLedger {
    /// Sorted by request, as is the older one.
    young: Vec<RootEntry>,
    old: Vec<RootEntry>,
}

impl ResendLedger {
    /// What a copy of `request` may spend where its rule allows `bound`; the copy holds it all
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

    /// Keeps what a copy of `request` left, and whether it was sent to any node.
    pub fn end(
        &mut self,
        now: time::NodeTime,
        request: ident::RequestId,
        left: u16,
        dispatched: bool,
    ) {
        // A copy that was pushed out of memory meanwhile is not taken in again.
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
