//! The announcements of the local target, and what the fleet is told about it.

use anvil_types::{ident, name};

use crate::{directory, effect, event, incarnations, reducer, reports, runs, timers};

impl reducer::NodeReducer {
    pub(crate) fn target_announced(&mut self, announcement: event::TargetAnnouncement) {
        if self.is_unexpected_service(&announcement.service) {
            if let Some(message) = &announcement.incarnation {
                let status = incarnations::AnnouncementStatus::UnknownService;
                self.ignore_announcement(message, reports::ReportedState::Ready, status);
            }
            return;
        }
        if let Some(message) = &announcement.incarnation {
            let status = self.incarnations.receive(self.now, message);
            if status != incarnations::AnnouncementStatus::Newest {
                self.ignore_announcement(message, reports::ReportedState::Ready, status);
                return;
            }
            let state = reports::ReportedState::Ready;
            if self.needs_confirmation(&announcement) {
                self.log_report(message, state, reports::ReportChange::Unconfirmed);
                self.confirm_target(announcement);
                return;
            }
            let change = match self.is_renewal(&announcement) {
                true => reports::ReportChange::Renewed,
                false => reports::ReportChange::Serving,
            };
            self.log_report(message, state, change);
        }
        self.adopt_target(announcement);
    }

    /// Whether a target of `service` can't be the local target.
    ///
    /// Otherwise another program that announces an unknown service at this node would replace the
    /// target, whose requests would be refused until its next heartbeat. A service that a rule
    /// sends requests to is accepted, because the local target may change to that service.
    fn is_unexpected_service(&self, service: &name::ServiceName) -> bool {
        let home = self.expected_service.as_ref();
        home.is_some_and(|home| home != service) && !self.book.names_service(service)
    }

    /// Makes the announced target the local target.
    pub(crate) fn adopt_target(&mut self, announcement: event::TargetAnnouncement) {
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
        let renewed = self.is_renewal(&announcement);
        let slots = announcement.slots;
        if !renewed {
            self.previous_target = self.target.take();
            self.record_previous_end();
            self.cancel_previous_runs(&announcement);
        }
        self.target = Some(runs::LocalTarget {
            announcement,
            announced_at: self.now,
            until,
            leaving: false,
            retired: false,
        });
        self.update_admission(slots, renewed);
        self.publish_target();
    }

    /// Whether `announcement` is of the target in use.
    fn is_renewal(&self, announcement: &event::TargetAnnouncement) -> bool {
        self.target.as_ref().is_some_and(|target| {
            let known = &target.announcement;
            !target.leaving
                && known.service == announcement.service
                && known.address == announcement.address
                && known.is_same_incarnation(announcement)
        })
    }

    /// Reports the end of a target that was replaced although it was not leaving.
    fn record_previous_end(&mut self) {
        let previous = self.previous_target.as_ref();
        let unplanned = previous.filter(|previous| !previous.leaving);
        if let Some(service) = unplanned.map(|previous| previous.announcement.service.clone()) {
            self.record_target_end(&service);
        }
    }

    /// Cancels the runs of the previous incarnation if the target has restarted with the same id.
    ///
    /// After a power loss the connections to the previous incarnation stay silent, and callers
    /// would wait until their deadline for answers that never come. Only a reused id proves that
    /// the previous incarnation has ended; an announcement with another id may be a late one.
    fn cancel_previous_runs(&mut self, announcement: &event::TargetAnnouncement) {
        let restarted = self.previous_target.as_ref().is_some_and(|previous| {
            let id = previous.announcement.incarnation_id();
            id.is_some()
                && id == announcement.incarnation_id()
                && !previous.announcement.is_same_incarnation(announcement)
        });
        if !restarted {
            return;
        }
        for run in self.runs.mark_running_lost() {
            self.effects.push(effect::NodeEffect::CancelRun(run));
        }
    }

    pub(crate) fn target_leaving(&mut self) {
        if let Some(target) = &mut self.target {
            target.leaving = true;
            let reason = "left, expired or replaced".to_owned();
            self.report(effect::StateChange::TargetGone { reason });
            self.publish_target();
            self.drain_admission();
            if self.runs.running() > 0 {
                self.effects.push(effect::NodeEffect::WithdrawRuns);
            }
        }
    }

    /// Handles the fact that the present incarnation of the target is leaving.
    ///
    /// Its status report, its answers and other nodes that passed on such an answer all state the
    /// same fact. Whichever comes first holds for good: a target that has stated it in an answer may
    /// announce itself as ready until it ends.
    pub(crate) fn retire_target(&mut self, told_by: Option<ident::NodeId>) {
        let Some(target) = self.target.as_mut().filter(|target| !target.retired) else {
            return;
        };
        target.retired = true;
        let incarnation = target.announcement.incarnation.clone();
        if let Some(incarnation) = &incarnation {
            self.incarnations.retire(self.now, incarnation);
        }
        self.report(effect::StateChange::TargetRetired {
            incarnation: incarnation.map(|incarnation| incarnation.id),
            told_by: told_by.map(|node| node.to_string()),
        });
        self.target_leaving();
    }

    /// Handles the message that one incarnation of the target is leaving or has terminated.
    pub(crate) fn target_withdrawn(
        &mut self,
        message: &event::TargetIncarnation,
        terminated: bool,
    ) {
        let state = match terminated {
            true => reports::ReportedState::Gone,
            false => reports::ReportedState::Leaving,
        };
        // A target that is leaving repeats its status report until it ends.
        let known = self.target.as_ref().filter(|target| target.retired);
        if !terminated && known.is_some() && self.is_current(message) {
            self.log_report(message, state, reports::ReportChange::Nothing);
            return;
        }
        let status = match terminated {
            true => self.incarnations.end(self.now, message),
            false => self.incarnations.receive(self.now, message),
        };
        match status {
            // An incarnation that is leaving doesn't return, so the message also counts if a later
            // one of the same incarnation overtook it.
            incarnations::AnnouncementStatus::Newest | incarnations::AnnouncementStatus::Late => {
                self.drop_unconfirmed(&message.id);
                if !self.is_current(message) {
                    if !terminated {
                        self.incarnations.retire(self.now, message);
                    }
                    let change = self.withdraw_previous(message);
                    self.log_report(message, state, change);
                    return;
                }
                self.log_report(message, state, reports::ReportChange::Withdrawn);
                // A message without a start time may be the last call of an earlier
                // incarnation with the same id, so that one ends what is here only for a while.
                match terminated {
                    true => self.target_leaving(),
                    false => self.retire_target(None),
                }
            }
            incarnations::AnnouncementStatus::EarlierStart
            | incarnations::AnnouncementStatus::Ended
            | incarnations::AnnouncementStatus::UnknownService => {
                self.ignore_announcement(message, state, status);
            }
        }
    }

    /// Records that the previous incarnation is leaving, if `message` is one of its own.
    ///
    /// A late report may have put another incarnation in its place, and the refusal that proves the
    /// report late brings the node back to it.
    fn withdraw_previous(&mut self, message: &event::TargetIncarnation) -> reports::ReportChange {
        let previous = self.previous_target.as_mut();
        let previous =
            previous.filter(|known| known.announcement.incarnation_id() == Some(&message.id));
        match previous {
            Some(previous) => {
                previous.leaving = true;
                reports::ReportChange::Withdrawn
            }
            None => reports::ReportChange::Nothing,
        }
    }

    fn ignore_announcement(
        &mut self,
        message: &event::TargetIncarnation,
        state: reports::ReportedState,
        status: incarnations::AnnouncementStatus,
    ) {
        self.counters.messages_ignored += 1;
        let report = self.received_report(message, state);
        self.report(effect::StateChange::AnnouncementIgnored { report, status });
    }

    /// Logs a report of the target; one that changes nothing only within the budget for such lines.
    pub(crate) fn log_report(
        &mut self,
        message: &event::TargetIncarnation,
        state: reports::ReportedState,
        change: reports::ReportChange,
    ) {
        let report = self.received_report(message, state);
        let line = effect::StateChange::TargetReported { report, change };
        match change {
            reports::ReportChange::Serving | reports::ReportChange::Withdrawn => self.report(line),
            reports::ReportChange::Renewed
            | reports::ReportChange::Unconfirmed
            | reports::ReportChange::Nothing => self.log_request(line),
        }
    }

    fn received_report(
        &self,
        message: &event::TargetIncarnation,
        state: reports::ReportedState,
    ) -> reports::ReceivedReport {
        let known_for = self.incarnations.known_for(self.now, &message.id);
        reports::ReceivedReport::new(self.now, message, state, known_for)
    }

    /// Handles a run that was answered by another incarnation of the target at the same address.
    ///
    /// A late announcement of a crashed incarnation may arrive after its successor registered and
    /// replace it here. The successor would then refuse every request until its next announcement.
    /// The refusal contains the id of the incarnation that is there, so the node returns to it.
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
        self.incarnations.retire(self.now, &present);
        let previous = self.previous_target.take().filter(|previous| {
            let id = previous.announcement.incarnation_id();
            id.is_some() && id == holder && !previous.leaving
        });
        match previous {
            Some(previous) => self.adopt_target(previous.announcement),
            None => self.target_leaving(),
        }
    }

    /// Whether the local target has the id of `message`. The start time may differ: if a later
    /// incarnation with the id is leaving, the known one has ended as well.
    fn is_current(&self, message: &event::TargetIncarnation) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| target.announcement.incarnation_id() == Some(&message.id))
    }

    pub(crate) fn target_lease_expired(&mut self) {
        let target = self.target.as_ref();
        let lapsed = target.filter(|target| target.until <= self.now && !target.leaving);
        let Some(service) = lapsed.map(|target| target.announcement.service.clone()) else {
            return;
        };
        self.record_target_end(&service);
        self.target_leaving();
    }

    /// Publishes what the local target offers to the fleet and to the directory of this node.
    ///
    /// A node that is not ready for runs doesn't publish its target, so no run is sent to it only
    /// to be refused; the target is published as soon as the node is ready.
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
