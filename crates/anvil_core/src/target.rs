//! What the local target says of itself, and what the fleet hears of it.

use anvil_types::{ident, name};

use crate::{directory, effect, event, incarnations, reducer, runs, timers};

impl reducer::NodeReducer {
    pub(crate) fn target_announced(&mut self, announcement: event::TargetAnnouncement) {
        if self.is_foreign(&announcement.service) {
            if let Some(word) = &announcement.incarnation {
                self.ignore_word(word, incarnations::WordStanding::UnknownService);
            }
            return;
        }
        if let Some(word) = &announcement.incarnation {
            let standing = self.incarnations.hear(self.now, word);
            if standing != incarnations::WordStanding::Newest {
                self.ignore_word(word, standing);
                return;
            }
        }
        self.follow_target(announcement);
    }

    /// Whether a target of `service` can't be the one beside this node.
    ///
    /// Failure: another program announces itself at the node under a service that nobody knows.
    /// Symptom: it takes the place of the target, whose requests are refused until its next
    /// heartbeat. A service that a rule sends requests to is taken, since an address may come to
    /// serve another one.
    fn is_foreign(&self, service: &name::ServiceName) -> bool {
        let home = self.home.as_ref();
        home.is_some_and(|home| home != service) && !self.book.names_service(service)
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
                && former.is_same_start(&announcement)
        });
        let slots = announcement.slots;
        if !renewed {
            self.former_target = self.target.take();
            self.drop_former_life(&announcement);
        }
        self.target = Some(runs::LocalTarget {
            announcement,
            until,
            leaving: false,
        });
        self.announce_admission(slots, renewed);
        self.publish_target();
    }

    /// Ends the runs at an earlier start of a target that is back under its id.
    ///
    /// Failure: a target loses power and starts again, and the connections to its former life stay
    /// silent. Symptom: their callers wait for their whole deadline for answers that nobody can
    /// give. Only the same id proves that the former start is gone; a new id may be a late word.
    fn drop_former_life(&mut self, announcement: &event::TargetAnnouncement) {
        let back = self.former_target.as_ref().is_some_and(|former| {
            let id = former.announcement.incarnation_id();
            id.is_some()
                && id == announcement.incarnation_id()
                && !former.announcement.is_same_start(announcement)
        });
        if !back {
            return;
        }
        for run in self.runs.lose_running() {
            self.effects.push(effect::NodeEffect::CancelRun(run));
        }
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
        let standing = match gone {
            true => self.incarnations.end(self.now, word),
            false => self.incarnations.hear(self.now, word),
        };
        match standing {
            // A leaving binds whatever came before it, also where a later word was first.
            incarnations::WordStanding::Newest | incarnations::WordStanding::Late => {
                if self.is_present(word) {
                    self.target_leaving();
                }
            }
            incarnations::WordStanding::EarlierStart
            | incarnations::WordStanding::Ended
            | incarnations::WordStanding::UnknownService => self.ignore_word(word, standing),
        }
    }

    fn ignore_word(
        &mut self,
        word: &event::TargetIncarnation,
        standing: incarnations::WordStanding,
    ) {
        self.counters.words_ignored += 1;
        self.report(effect::StateChange::WordIgnored {
            incarnation: word.id.clone(),
            born: word.born,
            sequence: word.sequence,
            standing,
        });
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
        self.incarnations.replace(self.now, &present);
        let former = self.former_target.take().filter(|former| {
            let id = former.announcement.incarnation_id();
            id.is_some() && id == holder && !former.leaving
        });
        match former {
            Some(former) => self.follow_target(former.announcement),
            None => self.target_leaving(),
        }
    }

    /// Whether the local target goes by the id of `word`. A word of a later start under that id is
    /// meant as well: where that one leaves, nothing of the former one is there any more.
    fn is_present(&self, word: &event::TargetIncarnation) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| target.announcement.incarnation_id() == Some(&word.id))
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
            announced: self.fleet.incarnation(),
        };
        self.directory.upsert(self.now, self.config.node, record);
    }
}
