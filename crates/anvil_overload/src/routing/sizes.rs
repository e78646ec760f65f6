//! How many bytes the answers to each kind of request take.

use serde::Serialize;

use crate::kind;

/// Kinds remembered for each service; the one heard of longest ago gives way.
const KINDS_KEPT: usize = 64;

/// Weight of one answer in the mean, as its divisor: some ten answers make it, and one that is
/// unlike the others moves it by a tenth.
const MEAN_DIVISOR: u32 = 10;

/// What is taken for the answer to a kind that was never answered: a head and a short body.
const UNKNOWN_BYTES: u32 = 512;

#[derive(Clone, Debug, Serialize)]
struct KindSize {
    kind: kind::CallKind,
    bytes: u32,
    /// Count of answers of all kinds when the latest of this one came.
    heard: u64,
}

/// Mean sizes of the answers of one service, by kind of request.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct AnswerSizes {
    /// Sorted by kind.
    kinds: Vec<KindSize>,
    heard: u64,
}

impl AnswerSizes {
    /// Takes in an answer of `bytes` to a request of `kind`.
    pub(super) fn update(&mut self, kind: kind::CallKind, bytes: u32) {
        self.heard += 1;
        let heard = self.heard;
        match self.place(kind) {
            Ok(place) => {
                let known = &mut self.kinds[place];
                known.bytes = known.bytes - known.bytes / MEAN_DIVISOR + bytes / MEAN_DIVISOR;
                known.heard = heard;
            }
            Err(place) => {
                self.kinds.insert(place, KindSize { kind, bytes, heard });
                self.shrink();
            }
        }
    }

    /// The bytes that an answer to a request of `kind` may be expected to take.
    pub(super) fn expected(&self, kind: kind::CallKind) -> u32 {
        let place = self.place(kind);
        place.map_or(UNKNOWN_BYTES, |place| self.kinds[place].bytes)
    }

    fn place(&self, kind: kind::CallKind) -> Result<usize, usize> {
        self.kinds.binary_search_by_key(&kind, |known| known.kind)
    }

    fn shrink(&mut self) {
        if self.kinds.len() <= KINDS_KEPT {
            return;
        }
        let oldest = (0..self.kinds.len()).min_by_key(|place| self.kinds[*place].heard);
        if let Some(place) = oldest {
            self.kinds.remove(place);
        }
    }
}
