//! Sizes of the answers to each kind of request.

use serde::Serialize;

use crate::kind;

/// Capacity of the table of kinds of a service; the kind that was updated longest ago is evicted.
const MAX_KINDS: usize = 64;

/// Weight of one answer in the mean, as its divisor: about ten answers determine it, and an unusual
/// answer moves it by a tenth.
const MEAN_DIVISOR: u32 = 10;

/// Assumed size of the answer to a kind without a sample: a head and a short body.
const DEFAULT_BYTES: u32 = 512;

#[derive(Clone, Debug, Serialize)]
struct KindSize {
    kind: kind::CallKind,
    bytes: u32,
    /// Value of [`AnswerSizes::updates`] at the latest answer of this kind.
    #[serde(rename = "heard")]
    updated: u64,
}

/// Mean sizes of the answers of one service, by kind of request.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct AnswerSizes {
    /// Sorted by kind.
    kinds: Vec<KindSize>,
    #[serde(rename = "heard")]
    updates: u64,
}

impl AnswerSizes {
    /// Records an answer of `bytes` to a request of `kind`.
    pub(super) fn update(&mut self, kind: kind::CallKind, bytes: u32) {
        self.updates += 1;
        let updated = self.updates;
        match self.place(kind) {
            Ok(place) => {
                let known = &mut self.kinds[place];
                known.bytes = known.bytes - known.bytes / MEAN_DIVISOR + bytes / MEAN_DIVISOR;
                known.updated = updated;
            }
            Err(place) => {
                self.kinds.insert(
                    place,
                    KindSize {
                        kind,
                        bytes,
                        updated,
                    },
                );
                self.evict_oldest();
            }
        }
    }

    /// Expected size in bytes of the answer to a request of `kind`.
    pub(super) fn expected(&self, kind: kind::CallKind) -> u32 {
        let place = self.place(kind);
        place.map_or(DEFAULT_BYTES, |place| self.kinds[place].bytes)
    }

    fn place(&self, kind: kind::CallKind) -> Result<usize, usize> {
        self.kinds.binary_search_by_key(&kind, |known| known.kind)
    }

    fn evict_oldest(&mut self) {
        if self.kinds.len() <= MAX_KINDS {
            return;
        }
        let oldest = (0..self.kinds.len()).min_by_key(|place| self.kinds[*place].updated);
        if let Some(place) = oldest {
            self.kinds.remove(place);
        }
    }
}
