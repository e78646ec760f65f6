//! The planned stop of a node: announce it, refuse new requests, finish the running ones, exit.

use std::time::Duration;

use anvil_types::{time, verdict};

use crate::{calls, effect, event, keys, reducer, runs, timers};

/// Time in front of [`StopPlan::limit`] by which a target that gets a call from a stopping node has
/// to answer it, so that its answer still reaches the caller.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(150);

/// How a node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// How long a leaving node still accepts callers' requests and sends them to other nodes, which
    /// serves callers that don't know yet that it is leaving.
    pub linger: Duration,
    /// How long a leaving node still accepts runs for its target.
    ///
    /// A target keeps working while its node restarts, so any time without runs is lost capacity.
    /// Other nodes are informed only after this time; a refusal costs them no retry.
    pub run_linger: Duration,
    /// When a leaving node gives up the requests in progress, so that callers get a reply before
    /// the supervisor kills the process; none if nothing kills it.
    pub limit: Option<Duration>,
}

impl Default for StopPlan {
    /// One second in which other nodes learn that this one is leaving, and no limit.
    fn default() -> Self {
        Self {
            linger: Duration::from_secs(1),
            run_linger: Duration::ZERO,
            limit: None,
        }
    }
}

/// The lifecycle phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// It accepts requests and runs.
    Serving,
    /// It has been asked to stop.
    Leaving {
        /// When it stops accepting runs for its target.
        runs_until: time::NodeTime,
        /// When it stops accepting callers' requests.
        callers_until: time::NodeTime,
        /// When it gives up the requests in progress; none if nothing kills the process.
        limit: Option<time::NodeTime>,
    },
    /// It has requested the exit of its process.
    Gone,
}

impl reducer::NodeReducer {
    pub(crate) fn refuses_runs(&self) -> bool {
        match self.phase {
            NodePhase::Serving => false,
            NodePhase::Leaving { runs_until, .. } => self.now >= runs_until,
            NodePhase::Gone => true,
        }
    }

    pub(crate) fn refuses_callers(&self) -> bool {
        match self.phase {
            NodePhase::Serving => false,
            NodePhase::Leaving { callers_until, .. } => self.now >= callers_until,
            NodePhase::Gone => true,
        }
    }

    /// When the answers to the calls of a stopping node have to be on their way; none if it is not
    /// stopping, or may take as long as its calls do.
    pub(crate) fn answers_until(&self) -> Option<time::NodeTime> {
        match self.phase {
            NodePhase::Leaving { limit, .. } => limit.map(|limit| limit - FINAL_ANSWER_TIME),
            NodePhase::Serving | NodePhase::Gone => None,
        }
    }

    pub(crate) fn stop_requested(&mut self) {
        let running = self.calls.len() + self.runs.running() as usize;
        let repeated = self.phase != NodePhase::Serving;
        // A stop may be requested twice without the intent to force it, for example if the stops of
        // a machine and of its whole zone overlap. A forced stop would abort requests seconds
        // before their answers. If a limit is set, the process ends in time anyway, so a second
        // request has no effect.
        let forced = repeated && self.stop.limit.is_none();
        self.report(effect::StateChange::Stopping { forced, running });
        if forced {
            self.stop_by_force();
        }
        if repeated {
            return;
        }
        let callers_until = self.now + self.stop.linger;
        let limit = self.stop.limit.map(|limit| self.now + limit);
        if let Some(stop_at) = limit {
            self.timers.set(stop_at, timers::TimerKind::StopLimit);
        }
        let runs_until = self.now + self.stop.run_linger;
        self.phase = NodePhase::Leaving {
            runs_until,
            callers_until,
            limit,
        };
        self.timers.set(runs_until, timers::TimerKind::StopRuns);
        self.timers.set(callers_until, timers::TimerKind::Leave);
        let handover_until = callers_until + keys::HANDOVER_TIMEOUT;
        self.timers.set(handover_until, timers::TimerKind::Leave);
        self.publish_target();
        self.leave_keys();
    }

    /// Exits once the last request is answered and callers had time to learn of the stop.
    pub(crate) fn leave_if_done(&mut self) {
        let NodePhase::Leaving { callers_until, .. } = self.phase else {
            return;
        };
        let handed_over =
            self.keys_released() || self.now >= callers_until + keys::HANDOVER_TIMEOUT;
        let done = self.calls.is_empty() && self.runs.is_empty();
        let noticed = self.shutdown.is_acknowledged(self.now);
        if self.now >= callers_until && done && handed_over && noticed && self.callers_confirmed() {
            self.phase = NodePhase::Gone;
            self.leave_fleet();
            self.effects.push(effect::NodeEffect::Exit);
        }
    }

    /// Whether no recent caller still waits for an answer; begins the handshake with them if that
    /// has not happened.
    fn callers_confirmed(&mut self) -> bool {
        if self.shutdown.has_begun() {
            return self.shutdown.is_done(self.now);
        }
        self.contact_silent_members();
        let (until, callers) = self.shutdown.begin(self.now);
        for (peer, to) in callers {
            self.send_leaving(peer, to);
        }
        self.timers.set(until, timers::TimerKind::Leave);
        self.shutdown.is_done(self.now)
    }

    /// Lets members that have not acknowledged the stop take part in the handshake.
    ///
    /// Their datagrams may be lost while they send calls on a silent connection. When they notice
    /// the silence, no process would be left that could confirm that the calls never ran. The
    /// handshake uses connections, and replaces a silent one.
    fn contact_silent_members(&mut self) {
        for peer in self.shutdown.silent_members() {
            let member = self.fleet.table().get(peer);
            if let Some(address) = member.map(|member| member.facts.tcp) {
                self.shutdown.record_call(self.now, peer, address);
            }
        }
    }

    /// Notifies the fleet that this node accepts no more runs.
    pub(crate) fn stop_runs(&mut self) {
        if matches!(self.phase, NodePhase::Leaving { .. }) {
            self.publish_target();
            let until = self.shutdown.begin_notice(self.now, self.fleet_peers());
            self.timers.set(until, timers::TimerKind::Leave);
            self.send_notices();
        }
    }

    pub(crate) fn stop_limit_reached(&mut self) {
        if matches!(self.phase, NodePhase::Leaving { .. }) {
            self.stop_by_force();
        }
    }

    fn stop_by_force(&mut self) {
        if self.phase == NodePhase::Gone {
            return;
        }
        // Ending a run starts the next queued one. In this phase no run is started, so the queued
        // ones can be reported as not run.
        self.phase = NodePhase::Gone;
        let remaining: Vec<(u64, runs::RunStage)> =
            self.runs.iter().map(|(id, run)| (*id, run.stage)).collect();
        for (id, stage) in remaining {
            let in_flight = stage == runs::RunStage::Running;
            self.finish_run(event::RunId(id), verdict_when_stopped(in_flight), None);
        }
        // If a run was for a call of this node, its answer is more precise than the state of the
        // call, so it is delivered first.
        self.deliver_loopback();
        let open: Vec<u64> = self.calls.iter().map(|(sequence, _)| *sequence).collect();
        for sequence in open {
            let in_flight = self
                .calls
                .get(sequence)
                .is_some_and(|call| matches!(call.stage, calls::CallStage::Out { .. }));
            self.cancel_attempt(sequence);
            self.end_call(sequence, verdict_when_stopped(in_flight), None);
        }
        self.leave_fleet();
        self.effects.push(effect::NodeEffect::Exit);
    }
}

fn verdict_when_stopped(in_flight: bool) -> verdict::CallVerdict {
    if in_flight {
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Stopped)
    } else {
        verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving)
    }
}
