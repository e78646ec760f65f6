//! The confirmation of a target that is announced for the first time; see
//! `docs/design/leaving-targets.md`.
//!
//! A status report doesn't say when it was sent. One that arrives late, or twice, may be the first that a
//! process receives of its incarnation, although an earlier process has acknowledged that this
//! incarnation is leaving. Only the target still knows that, so it is asked before it is used.

use anvil_types::{ident, sorted, time};
use serde_json::json;

use crate::{effect, event, incarnations, reducer, reports};

/// Maximum number of announced incarnations that wait for their confirmation. Usually it is one; late
/// reports of earlier ones may add a few.
const MAX_UNCONFIRMED: usize = 8;

/// An announced target that is not used before it has confirmed that it accepts requests.
#[derive(Clone, Debug)]
struct UnconfirmedTarget {
    /// Its latest announcement.
    announcement: event::TargetAnnouncement,
    /// When its first announcement was received.
    first_received: time::NodeTime,
    /// Whether an answer is awaited.
    is_asked: bool,
}

/// The announced targets that wait for their confirmation.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetConfirmation {
    /// Whether targets can be asked at all.
    enabled: bool,
    waiting: sorted::SortedTable<ident::IncarnationDigest, UnconfirmedTarget>,
}

impl reducer::NodeReducer {
    /// Makes the node ask a target whether it accepts requests before it uses it. The rules name the
    /// paths for that; a target of a service without one is not asked.
    #[must_use]
    pub fn with_target_checks(mut self) -> Self {
        self.confirmation.enabled = true;
        self
    }

    /// Whether an announced target is not used before it has confirmed it.
    ///
    /// The target in use needs no confirmation. Any other one does, including an earlier one of which a
    /// late report arrives: it must not take the place of the one that serves.
    pub(crate) fn needs_confirmation(&self, announcement: &event::TargetAnnouncement) -> bool {
        let target = self.target.as_ref();
        let is_present =
            target.is_some_and(|target| target.announcement.is_same_incarnation(announcement));
        self.confirmation.enabled && announcement.incarnation.is_some() && !is_present
    }

    /// Asks the announced target, unless its answer is awaited already.
    pub(crate) fn confirm_target(&mut self, announcement: event::TargetAnnouncement) {
        let Some(digest) = announcement.incarnation_digest() else {
            return;
        };
        let (now, waiting) = (self.now, &mut self.confirmation.waiting);
        if waiting.get(digest).is_none() && waiting.len() >= MAX_UNCONFIRMED {
            let oldest = waiting.iter().min_by_key(|(_, known)| known.first_received);
            if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
                waiting.remove(oldest);
            }
        }
        let known = waiting.get_or_insert_with(digest, || UnconfirmedTarget {
            announcement: announcement.clone(),
            first_received: now,
            is_asked: false,
        });
        known.announcement = announcement;
        // A report that arrives so long after the first one was sent after it. Any leaving since then
        // would have been reported to this process.
        let is_recent = now.since(known.first_received) >= incarnations::MAX_ANNOUNCEMENT_DELAY;
        match is_recent {
            true => self.adopt_confirmed(digest),
            false => self.ask_target(digest),
        }
    }

    /// Asks the targets that could not be asked for want of rules.
    pub(crate) fn ask_unconfirmed(&mut self) {
        let unasked = self
            .confirmation
            .waiting
            .keys_where(|known| !known.is_asked);
        for digest in unasked {
            self.ask_target(digest);
        }
    }

    fn ask_target(&mut self, digest: ident::IncarnationDigest) {
        let Some(known) = self.confirmation.waiting.get_mut(digest) else {
            return;
        };
        if known.is_asked || !self.book.is_known() {
            return;
        }
        let announcement = &known.announcement;
        let path = self.book.document().checks().find(&announcement.service);
        let (Some(path), Some(incarnation)) = (path, &announcement.incarnation) else {
            self.adopt_confirmed(digest);
            return;
        };
        let order = effect::CheckOrder {
            digest,
            address: announcement.address,
            incarnation: incarnation.id.clone(),
            path: path.clone(),
        };
        known.is_asked = true;
        self.counters.targets_asked += 1;
        self.effects.push(effect::NodeEffect::CheckTarget(order));
    }

    /// Handles the answer of a target that was asked.
    pub(crate) fn target_checked(
        &mut self,
        digest: ident::IncarnationDigest,
        outcome: &event::CheckOutcome,
    ) {
        let Some(known) = self.confirmation.waiting.get_mut(digest) else {
            return;
        };
        known.is_asked = false;
        let incarnation = known.announcement.incarnation.clone();
        self.report(effect::StateChange::TargetChecked {
            incarnation: incarnation.as_ref().map(|known| known.id.clone()),
            outcome: outcome.clone(),
        });
        match outcome {
            event::CheckOutcome::Accepting | event::CheckOutcome::Unsupported => {
                self.adopt_confirmed(digest);
            }
            event::CheckOutcome::Leaving | event::CheckOutcome::Replaced { .. } => {
                self.withdraw_unconfirmed(digest);
            }
            // Its next report has it asked again.
            event::CheckOutcome::Rejecting | event::CheckOutcome::Unknown => {}
        }
    }

    /// Drops a target that waits for its confirmation, and remembers that it doesn't return.
    pub(crate) fn withdraw_unconfirmed(&mut self, digest: ident::IncarnationDigest) {
        let dropped = self.confirmation.waiting.remove(digest);
        let incarnation = dropped.and_then(|known| known.announcement.incarnation);
        if let Some(incarnation) = incarnation {
            self.incarnations.retire(self.now, &incarnation);
        }
    }

    /// Drops the targets with this id that wait for their confirmation. A last call may name no start, so
    /// the id alone decides, and the history tells for how long that holds.
    pub(crate) fn drop_unconfirmed(&mut self, id: &ident::IncarnationId) {
        let waiting = &mut self.confirmation.waiting;
        for digest in waiting.keys_where(|known| known.announcement.incarnation_id() == Some(id)) {
            waiting.remove(digest);
        }
    }

    fn adopt_confirmed(&mut self, digest: ident::IncarnationDigest) {
        let Some(known) = self.confirmation.waiting.remove(digest) else {
            return;
        };
        let announcement = known.announcement;
        if let Some(message) = &announcement.incarnation {
            let state = reports::ReportedState::Ready;
            self.log_report(message, state, reports::ReportChange::Serving);
        }
        self.adopt_target(announcement);
    }

    /// The targets that wait for their confirmation, for the dump.
    pub(crate) fn unconfirmed_dump(&self) -> serde_json::Value {
        let waiting = self.confirmation.waiting.iter();
        let waiting = waiting.map(|(_, known)| {
            json!({
                "incarnation": known.announcement.incarnation_id(),
                "address": known.announcement.address,
                "asked": known.is_asked,
                "first_received_micros": known.first_received,
            })
        });
        waiting.collect()
    }
}
