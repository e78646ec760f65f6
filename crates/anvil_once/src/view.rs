//! The slot records that a node has learnt of; any of them may be stale.

use anvil_wire::key;

/// The newest known view of each slot, sorted by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ViewTable {
    views: Vec<key::SlotView>,
}

impl ViewTable {
    /// Stores `view` if it is newer than the known one; returns whether it was.
    pub fn learn(&mut self, view: key::SlotView) -> bool {
        match self.position(view.slot) {
            Ok(at) if self.views[at].epoch >= view.epoch => false,
            Ok(at) => {
                self.views[at] = view;
                true
            }
            Err(at) => {
                self.views.insert(at, view);
                true
            }
        }
    }

    /// The newest known view of `slot`.
    pub fn get(&self, slot: key::SlotId) -> Option<key::SlotView> {
        self.position(slot).ok().map(|at| self.views[at])
    }

    /// All views, sorted by slot.
    pub fn list(&self) -> &[key::SlotView] {
        &self.views
    }

    fn position(&self, slot: key::SlotId) -> Result<usize, usize> {
        self.views.binary_search_by_key(&slot, |view| view.slot)
    }
}
