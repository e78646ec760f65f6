//! Connects the reducer with the quarantine: crashes of the local target, notices of other nodes,
//! and what the fleet refuses; see `docs/design/quarantine.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::quarantine;
use anvil_types::{ident, name, verdict};
use anvil_wire::{frame, gossip, suspicion};

use crate::{effect, event, overload, reducer, settling, timers};

/// Number of nodes that a newly quarantined request is sent to at once.
const QUARANTINE_FANOUT: usize = 3;

/// The time after which the quarantined requests are sent to another node again, because datagrams
/// may be lost and nodes may be new.
const QUARANTINE_INTERVAL: Duration = Duration::from_secs(1);

impl reducer::NodeReducer {
    /// Reports the outcome of a run to the quarantine, and notifies the peers of a crash.
    pub(crate) fn record_run_outcome(&mut self, id: event::RunId, outcome: &event::RunOutcome) {
        let now = self.now;
        let Some(service) = self.runs.get(id).map(|run| run.service.clone()) else {
            return;
        };
        let poison = &mut self.overload.poison;
        let notice = match run_end(outcome) {
            None => poison.run_broken(now, id.0, &service),
            Some(end) => poison.run_ended(now, id.0, end, &service),
        };
        self.report_crash(notice);
        self.probe_target();
    }

    /// Lets the target be probed if a broken run leaves open whether it crashed.
    fn probe_target(&mut self) {
        let target = self.target.as_ref().or(self.previous_target.as_ref());
        let Some(address) = target.map(|target| target.announcement.address) else {
            return;
        };
        if self.overload.poison.needs_probe() {
            self.effects.push(effect::NodeEffect::ProbeTarget(address));
        }
    }

    /// Handles whether the target at `address` accepted a connection.
    pub(crate) fn target_probed(&mut self, address: SocketAddr, accepted: bool) {
        let target = self.target.as_ref().or(self.previous_target.as_ref());
        let probed = target.filter(|target| target.announcement.address == address);
        let Some(service) = probed.map(|target| target.announcement.service.clone()) else {
            return;
        };
        let poison = &mut self.overload.poison;
        let notice = poison.target_probed(self.now, accepted, &service);
        self.report_crash(notice);
    }

    /// Reports the end of an incarnation of the local target to the quarantine.
    pub(crate) fn record_target_end(&mut self, service: &name::ServiceName) {
        let notice = self.overload.poison.target_ended(self.now, service);
        self.report_crash(notice);
    }

    fn report_crash(&mut self, notice: Option<suspicion::SuspicionNotice>) {
        let Some(notice) = notice else {
            return;
        };
        self.overload.crashed = true;
        self.counters.targets_crashed += 1;
        self.report(effect::StateChange::TargetCrashed {
            sequence: notice.crash.sequence,
            suspects: notice.suspects.clone(),
        });
        self.broadcast_suspicion(&notice);
        self.spread_quarantined();
    }

    /// Handles the notice of a crash at another node.
    pub(crate) fn crash_heard(&mut self, notice: &suspicion::SuspicionNotice) {
        let is_new = self.overload.poison.apply_notice(self.now, notice);
        self.counters.crashes_heard += u64::from(is_new);
        self.report(effect::StateChange::CrashHeard {
            crash: notice.crash,
            suspects: notice.suspects.len(),
            repeated: !is_new,
        });
        self.spread_quarantined();
    }

    /// Notifies the nodes beside the other targets of the service.
    pub(crate) fn broadcast_suspicion(&mut self, notice: &suspicion::SuspicionNotice) {
        if !self.overload.policy.quarantine {
            return;
        }
        let node = self.config.node;
        for (peer, address) in self.directory.nodes_of(&notice.service) {
            if peer == node || peer == notice.crash.node {
                continue;
            }
            let frame = frame::PeerFrame::Suspicion(Box::new(notice.clone()));
            self.send_frame(peer, address, frame);
        }
    }

    /// Handles the requests that another node refuses.
    pub(crate) fn quarantine_heard(&mut self, requests: &[suspicion::QuarantinedRequest]) {
        if !self.overload.policy.quarantine {
            return;
        }
        for request in requests {
            self.overload.poison.merge(self.now, request);
        }
        self.spread_quarantined();
    }

    /// Handles what another node refuses, and what it knows to be harmless; replies with what this
    /// node knows to be harmless of the former.
    pub(crate) fn quarantine_message_arrived(
        &mut self,
        from: SocketAddr,
        requests: &[suspicion::QuarantinedRequest],
        served: &[suspicion::ServedRequest],
    ) {
        for request in served {
            self.overload.poison.merge_served(self.now, request);
        }
        let harmless = self.overload.poison.served_among(self.now, requests);
        if !harmless.is_empty() {
            self.send_quarantine(from, Vec::new(), harmless);
        }
        self.quarantine_heard(requests);
    }

    /// Sends what was quarantined since the last call to a few nodes, each of which does the same.
    ///
    /// Notices reach the nodes that have a target of the service at that moment. A request that is
    /// sent again may reach any other one later: beside a new target, of another service, or one
    /// that the notices missed.
    pub(crate) fn spread_quarantined(&mut self) {
        let requests = self.overload.poison.take_quarantined();
        if requests.is_empty() || !self.overload.policy.quarantine {
            return;
        }
        for request in requests {
            self.counters.requests_quarantined += 1;
            self.report(effect::StateChange::RequestQuarantined { request });
            self.refuse_waiting(request.fingerprint);
            self.write_quarantined(request);
        }
        for _ in 0..QUARANTINE_FANOUT {
            self.send_quarantine_to_any();
        }
        self.schedule_quarantine();
    }

    /// Refuses the runs of a quarantined request that wait for the local target.
    fn refuse_waiting(&mut self, fingerprint: ident::RequestFingerprint) {
        let Some(limit) = self.quarantine_of(fingerprint) else {
            return;
        };
        let cause = overload::RefusalCause {
            reason: verdict::RefusalReason::Quarantined,
            limit,
            by: self.config.node,
        };
        for run in self.runs.queued_with(fingerprint) {
            self.refuse_run(run, cause);
        }
    }

    /// Sends the quarantined requests to one more node, as long as there are any.
    pub(crate) fn repeat_quarantine(&mut self) {
        if self.overload.quarantine_at.is_none_or(|at| at > self.now) {
            return;
        }
        self.overload.quarantine_at = None;
        if self.send_quarantine_to_any() {
            self.schedule_quarantine();
        }
    }

    /// Tells a node that joins through this one what the fleet refuses.
    pub(crate) fn tell_quarantine(&mut self, newcomer: SocketAddr) {
        let requests = self.overload.poison.quarantined(self.now);
        if !requests.is_empty() {
            self.send_quarantine(newcomer, requests, Vec::new());
        }
    }

    fn send_quarantine(
        &mut self,
        to: SocketAddr,
        requests: Vec<suspicion::QuarantinedRequest>,
        served: Vec<suspicion::ServedRequest>,
    ) {
        let kind = gossip::GossipKind::Quarantine { requests, served };
        let sent = self.fleet.message(to, kind);
        self.apply_fleet_effects(vec![sent]);
    }

    fn send_quarantine_to_any(&mut self) -> bool {
        let requests = self.overload.poison.quarantined(self.now);
        if requests.is_empty() {
            return false;
        }
        if let Some(to) = self.fleet.random_peer() {
            self.send_quarantine(to, requests, Vec::new());
        }
        true
    }

    fn schedule_quarantine(&mut self) {
        if self.overload.quarantine_at.is_none() {
            let at = self.now + QUARANTINE_INTERVAL;
            self.overload.quarantine_at = Some(at);
            self.timers.set(at, timers::TimerKind::Quarantine);
        }
    }
}

/// How a run ended for the quarantine; none if its connection broke.
fn run_end(outcome: &event::RunOutcome) -> Option<quarantine::RunEnd> {
    match outcome {
        event::RunOutcome::Broken { .. } => None,
        event::RunOutcome::Answered(answer) if settling::is_served(answer) => {
            Some(quarantine::RunEnd::Answered)
        }
        event::RunOutcome::Answered(_) => Some(quarantine::RunEnd::Failed),
        event::RunOutcome::Unreachable => Some(quarantine::RunEnd::Unreachable),
        event::RunOutcome::Refused
        | event::RunOutcome::Withdrawn
        | event::RunOutcome::Misdirected { .. }
        | event::RunOutcome::TimedOut
        | event::RunOutcome::Cancelled => Some(quarantine::RunEnd::Unknown),
    }
}
