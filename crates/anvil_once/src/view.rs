//! The slot views that a node has heard of; any of them may be stale.

use anvil_wire::key;

/// The newest view heard of for each slot, sorted by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ViewTable {
    views: Vec<key::SlotView>,
}

impl ViewTable {
    /// Keeps `view` where it is newer than the one known; returns whether it was.
    pub fn learn(&mut self, view: key::SlotView) -> bool {
        match self.place(view.slot) {
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

    /// The newest view of `slot` heard of.
    pub fn get(&self, slot: key::SlotId) -> Option<key::SlotView> {
        self.place(slot).ok().map(|at| self.views[at])
    }

    /// All views, sorted by slot.
    pub fn list(&self) -> &[key::SlotView] {
        &self.views
    }

    fn place(&self, slot: key::SlotId) -> Result<usize, usize> {
        self.views.binary_search_by_key(&slot, |view| view.slot)
    }
}
