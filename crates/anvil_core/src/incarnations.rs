//! Which start of the local target speaks, and whether its word is the newest.
//!
//! A target's words may come seconds late, even after its process has crashed and another one has
//! registered at the same address, or the same one under the id that it had. Taken as they come, a
//! late word would revive a target that left.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{ident, time};
use derive_more::Display;
use serde::Serialize;

use crate::event;

/// Ids of targets that are remembered, the latest ones.
///
/// A target restarts within seconds at the fastest and its words are late by seconds at most, so a
/// handful would do.
const IDS_KEPT: usize = 64;

/// How late a word may arrive: cuts that hold words back last ten seconds or so.
///
/// Two things can't be told from the word alone: an earlier start from a later one whose clock went
/// back between them, and the end of which start a word means that names none. Within this time of
/// the present start's words they count as late, so that nothing is revived; after it the target
/// that goes on speaking is there, whatever its clock says.
pub const WORD_LATENESS: Duration = Duration::from_secs(15);

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
    /// A word of a later start under the same id came before it.
    #[display("earlier-start")]
    EarlierStart,
    /// The start has ended.
    #[display("ended")]
    Ended,
    /// It offers a service that neither the settings nor the rules name.
    #[display("unknown-service")]
    UnknownService,
}

/// The latest start that is known under an id.
#[derive(Clone, Debug)]
struct KnownIncarnation {
    id: ident::IncarnationId,
    /// When it started by its own clock, in Unix milliseconds, where it said so.
    born: Option<u64>,
    sequence: u64,
    /// When its first word came.
    met: time::NodeTime,
    /// When its latest word came.
    heard: time::NodeTime,
    ended: Option<StartEnd>,
}

/// How far it is known that a start ended.
#[derive(Clone, Copy, Debug)]
enum StartEnd {
    /// It said so, or another one stands in its place.
    Certain,
    /// A word that named no start said so soon after this one came, so it may mean an earlier one.
    Unclear(time::NodeTime),
}

impl KnownIncarnation {
    fn new(now: time::NodeTime, word: &event::TargetIncarnation) -> Self {
        Self {
            id: word.id.clone(),
            born: word.born,
            sequence: word.sequence,
            met: now,
            heard: now,
            ended: None,
        }
    }

    /// Whether a word of the birth that is known is heard as one of an ended start.
    fn has_ended(&self, now: time::NodeTime) -> bool {
        match self.ended {
            None => false,
            Some(StartEnd::Certain) => true,
            Some(StartEnd::Unclear(at)) => now.since(at) < WORD_LATENESS,
        }
    }

    /// Whether `word` is of an earlier start than the one that is known.
    fn follows(&self, now: time::NodeTime, word: &event::TargetIncarnation) -> bool {
        word.born < self.born && now.since(self.heard) < WORD_LATENESS
    }
}

/// The starts of the local target that this node has heard of.
#[derive(Clone, Debug, Default)]
pub struct IncarnationBook {
    known: VecDeque<KnownIncarnation>,
}

impl IncarnationBook {
    /// Takes in a word and tells how it stands: by birth first, then by its place among the words
    /// of that start.
    pub fn hear(&mut self, now: time::NodeTime, word: &event::TargetIncarnation) -> WordStanding {
        let Some(known) = self.find(&word.id) else {
            self.push(KnownIncarnation::new(now, word));
            return WordStanding::Newest;
        };
        if known.follows(now, word) {
            return WordStanding::EarlierStart;
        }
        if word.born != known.born {
            *known = KnownIncarnation::new(now, word);
            return WordStanding::Newest;
        }
        if known.has_ended(now) {
            return WordStanding::Ended;
        }
        if word.sequence <= known.sequence {
            return WordStanding::Late;
        }
        known.sequence = word.sequence;
        known.heard = now;
        known.ended = None;
        WordStanding::Newest
    }

    /// Takes in that a start is gone, by a word that may name no birth, and tells how it stands.
    ///
    /// Failure: the end of an earlier start arrives after the target is back under its id. Symptom:
    /// the target that serves is never used again. A word that names a birth ends just that one;
    /// one that names none binds whatever is there, but where the present start is so young that
    /// the word may mean an earlier one, only until no late word can speak for it any more.
    pub fn end(&mut self, now: time::NodeTime, word: &event::TargetIncarnation) -> WordStanding {
        let Some(known) = self.find(&word.id) else {
            let mut ended = KnownIncarnation::new(now, word);
            ended.ended = Some(StartEnd::Certain);
            self.push(ended);
            return WordStanding::Newest;
        };
        let unnamed = word.born.is_none() && known.born.is_some();
        if !unnamed && known.follows(now, word) {
            return WordStanding::EarlierStart;
        }
        if known.has_ended(now) && (unnamed || word.born == known.born) {
            return WordStanding::Ended;
        }
        let born = if unnamed { known.born } else { word.born };
        let unclear = unnamed && now.since(known.met) < WORD_LATENESS;
        known.born = born;
        known.ended = Some(match unclear {
            true => StartEnd::Unclear(now),
            false => StartEnd::Certain,
        });
        WordStanding::Newest
    }

    /// Remembers that a start has ended for good, since another one stands in its place.
    pub fn replace(&mut self, now: time::NodeTime, present: &event::TargetIncarnation) {
        let ended = Some(StartEnd::Certain);
        match self.find(&present.id) {
            Some(known) if known.born == present.born => known.ended = ended,
            Some(_) => {}
            None => {
                let known = KnownIncarnation::new(now, present);
                self.push(KnownIncarnation { ended, ..known });
            }
        }
    }

    fn find(&mut self, id: &ident::IncarnationId) -> Option<&mut KnownIncarnation> {
        self.known.iter_mut().find(|known| known.id == *id)
    }

    fn push(&mut self, known: KnownIncarnation) {
        if self.known.len() == IDS_KEPT {
            self.known.pop_front();
        }
        self.known.push_back(known);
    }
}
