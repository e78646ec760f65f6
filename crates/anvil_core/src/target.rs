//! What the local target says of itself, and what the fleet hears of it.

use anvil_types::ident;

use crate::{directory, effect, event, incarnations, reducer, runs, timers};

impl reducer::NodeReducer {
    pub(crate) fn target_announced(&mut self, announcement: event::TargetAnnouncement) {
        if let Some(word) = &announcement.incarnation {
            let standing = self.incarnations.hear(word);
            if standing != incarnations::WordStanding::Newest {
                self.report(effect::StateChange::WordIgnored {
                    incarnation: word.id.clone(),
                    sequence: word.sequence,
                    standing,
                });
                return;
            }
        }
        self.follow_target(announcement);
    }

    /// Takes the announcement as that of the local target.
    fn follow_target(&mut self, announcement: event::TargetAnnouncement) {
        let until = self.now + announcement.lease;
        let known = self.target.as_ref().is_some_and(|target| {
            target.announcement.is_renewed_by(&announcement) && !target.leaving
        });
        self.timers.set(until, timers::TimerKind::TargetLease);
        if !known {
            self.report(effect::StateChange::TargetServing {
                service: announcement.service.to_string(),
                address: announcement.address,
                slots: announcement.slots,
            });
        }
        let renewed = self.target.as_ref().is_some_and(|target| {
            let former = &target.announcement;
            !target.leaving
                && former.service == announcement.service
                && former.address == announcement.address
                && former.incarnation_id() == announcement.incarnation_id()
        });
        let slots = announcement.slots;
        if !renewed {
            self.former_target = self.target.take();
        }
        self.target = Some(runs::LocalTarget {
            announcement,
            until,
            leaving: false,
        });
        self.announce_admission(slots, renewed);
        self.publish_target();
    }

    pub(crate) fn target_leaving(&mut self) {
        if let Some(target) = &mut self.target {
            target.leaving = true;
            let reason = "it said that it leaves".to_owned();
            self.report(effect::StateChange::TargetGone { reason });
            self.publish_target();
            self.leave_admission();
        }
    }

    /// Takes in that one start of the target leaves, or is gone for good.
    pub(crate) fn target_withdrawn(&mut self, word: &event::TargetIncarnation, gone: bool) {
        let standing = self.incarnations.hear(word);
        if gone {
            self.incarnations.end(&word.id);
        }
        let present = self.is_present(&word.id);
        // A leaving binds whatever came before it, so only one of an ended start says nothing new.
        if present && standing != incarnations::WordStanding::Ended {
            self.target_leaving();
        }
    }

    /// Takes in that another start of a target answered at the address.
    ///
    /// Failure: a late word of a start that crashed arrives after its successor registered, and the
    /// node takes it for the present one. Symptom: every request is turned away until the
    /// successor's next word. The refusal itself tells who is there, so the node goes back to it.
    pub(crate) fn target_misdirected(&mut self, holder: Option<&ident::IncarnationId>) {
        let Some(target) = &self.target else {
            return;
        };
        let Some(present) = target.announcement.incarnation.clone() else {
            return;
        };
        if holder == Some(&present.id) {
            return;
        }
        self.incarnations.end(&present.id);
        let former = self.former_target.take().filter(|former| {
            let id = former.announcement.incarnation_id();
            id.is_some() && id == holder && !former.leaving
        });
        match former {
            Some(former) => self.follow_target(former.announcement),
            None => self.target_leaving(),
        }
    }

    fn is_present(&self, id: &ident::IncarnationId) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| target.announcement.incarnation_id() == Some(id))
    }

    pub(crate) fn target_lapsed(&mut self) {
        let lapsed = self
            .target
            .as_ref()
            .is_some_and(|target| target.until <= self.now && !target.leaving);
        if lapsed {
            self.target_leaving();
        }
    }

    /// Tells the directory, and through it the fleet, what the local target offers.
    ///
    /// A node that can't take runs yet names no target, so that none is sent to it in vain; it
    /// does so as soon as it can.
    pub(crate) fn publish_target(&mut self) {
        if !self.fleet.is_ready() {
            return;
        }
        self.announce_local();
        let leaving = self.refuses_runs();
        let Some(target) = &self.target else {
            return;
        };
        let record = directory::PeerRecord {
            address: self.config.peer_address,
            service: target.announcement.service.clone(),
            zone: self.config.zone.clone(),
            slots: target.announcement.slots,
            leaving: target.leaving || leaving,
            announced: self.fleet.announced(),
        };
        self.directory.upsert(self.now, self.config.node, record);
    }
}
