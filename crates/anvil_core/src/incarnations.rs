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
const MAX_IDS: usize = 64;

/// How late a word may arrive: cuts that hold words back last ten seconds or so.
///
/// Two things can't be told from the word alone: an earlier start from a later one whose clock went
/// back between them, and the end of which start a word means that names none. Within this time of
/// the present start's words they count as late, so that nothing is revived; after it the target
/// that goes on speaking is there, whatever its clock says.
pub const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(15);

/// How a word of a target stands to those before it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncementStatus {
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
    started_at_ms: Option<u64>,
    sequence: u64,
    /// When its first word came.
    first_received: time::NodeTime,
    /// When its latest word came.
    last_received: time::NodeTime,
    ended: Option<IncarnationEnd>,
}

/// How far it is known that a start ended.
#[derive(Clone, Copy, Debug)]
enum IncarnationEnd {
    /// It said so, or another one stands in its place.
    Certain,
    /// A word that named no start said so soon after this one came, so it may mean an earlier one.
    Unclear(time::NodeTime),
}

impl KnownIncarnation {
    fn new(now: time::NodeTime, word: &event::TargetIncarnation) -> Self {
        Self {
            id: word.id.clone(),
            started_at_ms: word.started_at_ms,
            sequence: word.sequence,
            first_received: now,
            last_received: now,
            ended: None,
        }
    }

    /// Whether a word of the birth that is known is heard as one of an ended start.
    fn has_ended(&self, now: time::NodeTime) -> bool {
        match self.ended {
            None => false,
            Some(IncarnationEnd::Certain) => true,
            Some(IncarnationEnd::Unclear(at)) => now.since(at) < MAX_ANNOUNCEMENT_DELAY,
        }
    }

    /// Whether `word` is of an earlier start than the one that is known.
    fn follows(&self, now: time::NodeTime, word: &event::TargetIncarnation) -> bool {
        word.started_at_ms < self.started_at_ms
            && now.since(self.last_received) < MAX_ANNOUNCEMENT_DELAY
    }
}

/// The starts of the local target that this node has heard of.
#[derive(Clone, Debug, Default)]
pub struct IncarnationHistory {
    known: VecDeque<KnownIncarnation>,
}

impl IncarnationHistory {
    /// Takes in a word and tells how it stands: by birth first, then by its place among the words
    /// of that start.
    pub fn receive(
        &mut self,
        now: time::NodeTime,
        word: &event::TargetIncarnation,
    ) -> AnnouncementStatus {
        let Some(known) = self.find(&word.id) else {
            self.push(KnownIncarnation::new(now, word));
            return AnnouncementStatus::Newest;
        };
        if known.follows(now, word) {
            return AnnouncementStatus::EarlierStart;
        }
        if word.started_at_ms != known.started_at_ms {
            *known = KnownIncarnation::new(now, word);
            return AnnouncementStatus::Newest;
        }
        if known.has_ended(now) {
            return AnnouncementStatus::Ended;
        }
        if word.sequence <= known.sequence {
            return AnnouncementStatus::Late;
        }
        known.sequence = word.sequence;
        known.last_received = now;
        known.ended = None;
        AnnouncementStatus::Newest
    }

    /// Takes in that a start is gone, by a word that may name no birth, and tells how it stands.
    ///
    /// Failure: the end of an earlier start arrives after the target is back under its id. Symptom:
    /// the target that serves is never used again. A word that names a birth ends just that one;
    /// one that names none binds whatever is there, but where the present start is so young that
    /// the word may mean an earlier one, only until no late word can speak for it any more.
    pub fn end(
        &mut self,
        now: time::NodeTime,
        word: &event::TargetIncarnation,
    ) -> AnnouncementStatus {
        let Some(known) = self.find(&word.id) else {
            let mut ended = KnownIncarnation::new(now, word);
            ended.ended = Some(IncarnationEnd::Certain);
            self.push(ended);
            return AnnouncementStatus::Newest;
        };
        let unnamed = word.started_at_ms.is_none() && known.started_at_ms.is_some();
        if !unnamed && known.follows(now, word) {
            return AnnouncementStatus::EarlierStart;
        }
        if known.has_ended(now) && (unnamed || word.started_at_ms == known.started_at_ms) {
            return AnnouncementStatus::Ended;
        }
        let born = if unnamed {
            known.started_at_ms
        } else {
            word.started_at_ms
        };
        let unclear = unnamed && now.since(known.first_received) < MAX_ANNOUNCEMENT_DELAY;
        known.started_at_ms = born;
        known.ended = Some(match unclear {
            true => IncarnationEnd::Unclear(now),
            false => IncarnationEnd::Certain,
        });
        AnnouncementStatus::Newest
    }

    /// Remembers that a start has ended for good, since another one stands in its place.
    pub fn supersede(&mut self, now: time::NodeTime, present: &event::TargetIncarnation) {
        let ended = Some(IncarnationEnd::Certain);
        match self.find(&present.id) {
            Some(known) if known.started_at_ms == present.started_at_ms => known.ended = ended,
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
        if self.known.len() == MAX_IDS {
            self.known.pop_front();
        }
        self.known.push_back(known);
    }
}
