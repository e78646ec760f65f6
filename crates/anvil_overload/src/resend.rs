//! Allowances of root requests that a caller may send again; see `docs/design/retries.md`.

use anvil_types::ident;
use serde::Serialize;

/// Requests kept in each of two generations; at 2,000 requests a second the younger fills in a
/// second, which covers the resends of callers that don't wait.
pub const REQUESTS_KEPT: usize = 2_048;

#[derive(Clone, Copy, Debug, Serialize)]
struct RootEntry {
    request: ident::RequestId,
    left: u16,
    dispatched: bool,
}

/// What a resend may still spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendGrant {
    /// The request has this many retries beyond its next attempt.
    Granted(u16),
    /// An earlier copy spent everything.
    Spent,
}

/// The allowances that root requests left behind.
///
/// Failure: callers resend hard and each resend brings a full allowance. Symptom: the bound of
/// the chain holds for each copy and not for the request. A copy that follows one which reached a
/// target spends one retry for itself; one that follows a refusal at this node spends none, since
/// nothing was done for it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResendLedger {
    /// Sorted by request, as is the older one.
    young: Vec<RootEntry>,
    old: Vec<RootEntry>,
}

impl ResendLedger {
    /// What a copy of `request` may spend where its rule allows `bound`; the copy holds it all
    /// until it ends.
    pub fn begin(&mut self, request: ident::RequestId, bound: u16) -> ResendGrant {
        let Some(entry) = self.find(request) else {
            return ResendGrant::Granted(bound);
        };
        let left = entry.left.min(bound);
        let grant = match (entry.dispatched, left) {
            (false, left) => ResendGrant::Granted(left),
            (true, 0) => ResendGrant::Spent,
            (true, left) => ResendGrant::Granted(left - 1),
        };
        entry.left = 0;
        grant
    }

    /// Keeps what a copy of `request` left, and whether it or an earlier one reached a target.
    pub fn end(&mut self, request: ident::RequestId, left: u16, dispatched: bool) {
        if let Some(entry) = self.find(request) {
            entry.left = left;
            entry.dispatched |= dispatched;
            return;
        }
        let entry = RootEntry {
            request,
            left,
            dispatched,
        };
        if self.young.len() == REQUESTS_KEPT {
            self.old = std::mem::take(&mut self.young);
        }
        let place = self.young.partition_point(|known| known.request < request);
        self.young.insert(place, entry);
    }

    fn find(&mut self, request: ident::RequestId) -> Option<&mut RootEntry> {
        if let Ok(place) = self
            .young
            .binary_search_by_key(&request, |known| known.request)
        {
            return self.young.get_mut(place);
        }
        let place = self
            .old
            .binary_search_by_key(&request, |known| known.request);
        self.old.get_mut(place.ok()?)
    }
}
