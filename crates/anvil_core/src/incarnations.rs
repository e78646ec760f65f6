//! Which start of the local target speaks, and whether its word is the newest.
//!
//! A target's words may come seconds late, even after its process has crashed and another one has
//! registered at the same address. Taken as they come, a late word would revive a target that left.

use std::collections::VecDeque;

use anvil_types::ident;
use derive_more::Display;
use serde::Serialize;

use crate::event;

/// Starts of targets that are remembered as ended, the latest ones.
///
/// A target restarts within seconds at the fastest and its words are late by seconds at most, so a
/// handful would do.
const ENDED_KEPT: usize = 64;

/// How a word of a target stands to those before it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WordStanding {
    /// The newest word of a start that has not ended.
    #[display("newest")]
    Newest,
    /// A later word of the same start came before it.
    #[display("late")]
    Late,
    /// The start has ended.
    #[display("ended")]
    Ended,
}

#[derive(Clone, Debug)]
struct KnownIncarnation {
    id: ident::IncarnationId,
    sequence: u64,
}

/// The starts of the local target that this node has heard of.
#[derive(Clone, Debug, Default)]
pub struct IncarnationBook {
    known: VecDeque<KnownIncarnation>,
    ended: VecDeque<ident::IncarnationId>,
}

impl IncarnationBook {
    /// Takes in a word and tells how it stands.
    pub fn hear(&mut self, word: &event::TargetIncarnation) -> WordStanding {
        if self.ended.contains(&word.id) {
            return WordStanding::Ended;
        }
        let known = self.known.iter_mut().find(|known| known.id == word.id);
        match known {
            Some(known) if word.sequence <= known.sequence => return WordStanding::Late,
            Some(known) => known.sequence = word.sequence,
            None => {
                push_bounded(
                    &mut self.known,
                    KnownIncarnation {
                        id: word.id.clone(),
                        sequence: word.sequence,
                    },
                );
            }
        }
        WordStanding::Newest
    }

    /// Remembers that a start has ended for good, so that none of its late words counts.
    pub fn end(&mut self, id: &ident::IncarnationId) {
        self.known.retain(|known| known.id != *id);
        if !self.ended.contains(id) {
            push_bounded(&mut self.ended, id.clone());
        }
    }
}

fn push_bounded<T>(kept: &mut VecDeque<T>, entry: T) {
    if kept.len() == ENDED_KEPT {
        kept.pop_front();
    }
    kept.push_back(entry);
}
