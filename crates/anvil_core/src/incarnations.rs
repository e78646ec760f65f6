//! The incarnations of the local target, and whether a message of one is still current.
//!
//! A target's messages may arrive seconds late, even after its process has crashed and another one
//! has registered at the same address, possibly under the same id. If messages were applied in the
//! order of their arrival, a late one would revive a target that left.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{ident, time};
use derive_more::Display;
use serde::Serialize;

use crate::event;

/// Maximum number of target ids that are remembered.
///
/// A restart takes at least some seconds and messages are late by at most some seconds, so even a
/// handful would be enough.
const MAX_IDS: usize = 64;

/// How late a message may arrive: network partitions that delay messages last about ten seconds.
///
/// A message alone doesn't show whether an earlier start time means an earlier incarnation or a
/// later one whose clock was set back, nor which incarnation ended if it contains no start time.
/// Within this time after the latest message of the current incarnation such messages count as
/// late, so nothing is revived; after it, the incarnation that still sends messages is the current
/// one, whatever its clock says.
pub const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(15);

/// How a message of a target relates to those received before it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncementStatus {
    /// The newest message of an incarnation that has not ended.
    #[display("newest")]
    Newest,
    /// A later message of the same incarnation was received before.
    #[display("late")]
    Late,
    /// A message of a later incarnation with the same id was received before.
    #[display("earlier-start")]
    EarlierStart,
    /// The incarnation has ended.
    #[display("ended")]
    Ended,
    /// The message offers a service that neither the settings nor the rules contain.
    #[display("unknown-service")]
    UnknownService,
}

/// The latest known incarnation with an id.
#[derive(Clone, Debug)]
struct KnownIncarnation {
    id: ident::IncarnationId,
    /// When it started by its own clock, in Unix milliseconds, if it announced that.
    started_at_ms: Option<u64>,
    sequence: u64,
    /// When its first message was received.
    first_received: time::NodeTime,
    /// When its latest message was received.
    last_received: time::NodeTime,
    ended: Option<IncarnationEnd>,
}

/// How certain it is that an incarnation ended.
#[derive(Clone, Copy, Debug)]
enum IncarnationEnd {
    /// It announced its end, or another one replaced it.
    Certain,
    /// At this time an end without a start time was announced. It came soon after the first message
    /// of this incarnation, so it may refer to an earlier one.
    Uncertain(time::NodeTime),
}

impl KnownIncarnation {
    fn new(now: time::NodeTime, message: &event::TargetIncarnation) -> Self {
        Self {
            id: message.id.clone(),
            started_at_ms: message.started_at_ms,
            sequence: message.sequence,
            first_received: now,
            last_received: now,
            ended: None,
        }
    }

    /// Whether a message with the known start time counts as one of an ended incarnation.
    fn has_ended(&self, now: time::NodeTime) -> bool {
        match self.ended {
            None => false,
            Some(IncarnationEnd::Certain) => true,
            Some(IncarnationEnd::Uncertain(at)) => now.since(at) < MAX_ANNOUNCEMENT_DELAY,
        }
    }

    /// Whether `message` belongs to an earlier incarnation than the known one.
    fn supersedes(&self, now: time::NodeTime, message: &event::TargetIncarnation) -> bool {
        message.started_at_ms < self.started_at_ms
            && now.since(self.last_received) < MAX_ANNOUNCEMENT_DELAY
    }
}

/// The known incarnations of the local target.
#[derive(Clone, Debug, Default)]
pub struct IncarnationHistory {
    known: VecDeque<KnownIncarnation>,
}

impl IncarnationHistory {
    /// Records a message and returns how it relates to earlier ones: by start time first, then by
    /// its sequence number.
    pub fn receive(
        &mut self,
        now: time::NodeTime,
        message: &event::TargetIncarnation,
    ) -> AnnouncementStatus {
        let Some(known) = self.find(&message.id) else {
            self.push(KnownIncarnation::new(now, message));
            return AnnouncementStatus::Newest;
        };
        if known.supersedes(now, message) {
            return AnnouncementStatus::EarlierStart;
        }
        if message.started_at_ms != known.started_at_ms {
            *known = KnownIncarnation::new(now, message);
            return AnnouncementStatus::Newest;
        }
        if known.has_ended(now) {
            return AnnouncementStatus::Ended;
        }
        if message.sequence <= known.sequence {
            return AnnouncementStatus::Late;
        }
        known.sequence = message.sequence;
        known.last_received = now;
        known.ended = None;
        AnnouncementStatus::Newest
    }

    /// Records the end of an incarnation, and returns how the message relates to earlier ones.
    ///
    /// If the end of an earlier incarnation arrives after the target has restarted with the same
    /// id, the serving target must not be taken out of use for good. A message with a start time
    /// therefore ends just that incarnation. One without a start time ends the known incarnation;
    /// if that one is so new that the message may refer to an earlier one, the end only holds for
    /// [`MAX_ANNOUNCEMENT_DELAY`], after which no message of the earlier incarnation can arrive.
    pub fn end(
        &mut self,
        now: time::NodeTime,
        message: &event::TargetIncarnation,
    ) -> AnnouncementStatus {
        let Some(known) = self.find(&message.id) else {
            let mut ended = KnownIncarnation::new(now, message);
            ended.ended = Some(IncarnationEnd::Certain);
            self.push(ended);
            return AnnouncementStatus::Newest;
        };
        let undated = message.started_at_ms.is_none() && known.started_at_ms.is_some();
        if !undated && known.supersedes(now, message) {
            return AnnouncementStatus::EarlierStart;
        }
        if known.has_ended(now) && (undated || message.started_at_ms == known.started_at_ms) {
            return AnnouncementStatus::Ended;
        }
        let started_at_ms = if undated {
            known.started_at_ms
        } else {
            message.started_at_ms
        };
        let uncertain = undated && now.since(known.first_received) < MAX_ANNOUNCEMENT_DELAY;
        known.started_at_ms = started_at_ms;
        known.ended = Some(match uncertain {
            true => IncarnationEnd::Uncertain(now),
            false => IncarnationEnd::Certain,
        });
        AnnouncementStatus::Newest
    }

    /// Records that `retired` doesn't return: another incarnation took its place, or it stated that
    /// it is leaving.
    pub fn retire(&mut self, now: time::NodeTime, retired: &event::TargetIncarnation) {
        let ended = Some(IncarnationEnd::Certain);
        match self.find(&retired.id) {
            Some(known) if known.started_at_ms == retired.started_at_ms => known.ended = ended,
            Some(_) => {}
            None => {
                let known = KnownIncarnation::new(now, retired);
                self.push(KnownIncarnation { ended, ..known });
            }
        }
    }

    /// The time since the first message of the incarnation with this id.
    pub fn known_for(&self, now: time::NodeTime, id: &ident::IncarnationId) -> Duration {
        let known = self.known.iter().find(|known| known.id == *id);
        known.map_or(Duration::ZERO, |known| now.since(known.first_received))
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
