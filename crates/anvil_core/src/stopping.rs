//! A planned stop: announce, refuse new work, finish what runs, leave.

use std::time::Duration;

use anvil_types::{time, verdict};

use crate::{calls, effect, event, keys, reducer, runs, timers};

/// How a node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// How long a leaving node still takes callers' requests and sends them to other nodes, so that
    /// callers which have not heard yet are served meanwhile.
    pub linger: Duration,
    /// How long it still takes runs for its target.
    ///
    /// A target whose node restarts works on, so each moment without runs is lost capacity; the
    /// nodes that send them hear of the leaving only then, and follow a refusal at no cost.
    pub run_linger: Duration,
    /// When it gives up what is still out, so that callers hear so before whoever stops the process
    /// kills it; none where nobody does.
    pub limit: Option<Duration>,
}

impl Default for StopPlan {
    /// A second, in which other nodes hear of the leaving, and no limit.
    fn default() -> Self {
        Self {
            linger: Duration::from_secs(1),
            run_linger: Duration::ZERO,
            limit: None,
        }
    }
}

/// Where a node stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// It takes work.
    Serving,
    /// It says that it leaves.
    Leaving {
        /// When it takes no more work for its target.
        runs_until: time::NodeTime,
        /// When callers are refused too.
        callers_until: time::NodeTime,
    },
    /// It has told its process to end.
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

    pub(crate) fn stop_requested(&mut self) {
        let running = self.calls.len() + self.runs.running() as usize;
        let again = self.phase != NodePhase::Serving;
        // Failure: whoever stops the process asks twice, as stops of one machine and of a whole zone
        // overlap. Symptom: requests in progress are cut seconds before their answers. A limit says that
        // somebody ends the process in time anyway, so there the second request changes nothing.
        let forced = again && self.stop.limit.is_none();
        self.report(effect::StateChange::Stopping { forced, running });
        if forced {
            self.stop_by_force();
        }
        if again {
            return;
        }
        let callers_until = self.now + self.stop.linger;
        if let Some(limit) = self.stop.limit {
            let stop_at = self.now + limit;
            self.timers.set(stop_at, timers::TimerKind::StopLimit);
        }
        let runs_until = self.now + self.stop.run_linger;
        self.phase = NodePhase::Leaving {
            runs_until,
            callers_until,
        };
        self.timers.set(runs_until, timers::TimerKind::StopRuns);
        self.timers.set(callers_until, timers::TimerKind::Leave);
        let handover_until = callers_until + keys::HANDOVER_TIMEOUT;
        self.timers.set(handover_until, timers::TimerKind::Leave);
        self.publish_target();
        self.leave_keys();
    }

    /// Leaves once the last request is answered and callers had time to hear of it.
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

    /// Whether no node that called lately may still wait for this one; asks them where that is open.
    fn callers_confirmed(&mut self) -> bool {
        if self.shutdown.has_begun() {
            return self.shutdown.is_done(self.now);
        }
        let (until, told) = self.shutdown.begin(self.now);
        for (peer, to) in told {
            self.send_leaving(peer, to);
        }
        self.timers.set(until, timers::TimerKind::Leave);
        self.shutdown.is_done(self.now)
    }

    /// Tells the fleet that this node takes no more runs.
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
        // Ending a run starts the next queued one; a node that is gone starts none, so what was
        // queued stays proved not run.
        self.phase = NodePhase::Gone;
        let left: Vec<(u64, runs::RunStage)> =
            self.runs.iter().map(|(id, run)| (*id, run.stage)).collect();
        for (id, stage) in left {
            let out = stage == runs::RunStage::Running;
            self.finish_run(event::RunId(id), stopped(out), None);
        }
        // The answers of this node's own runs tell its own callers more than the calls know.
        self.deliver_loopback();
        let open: Vec<u64> = self.calls.iter().map(|(sequence, _)| *sequence).collect();
        for sequence in open {
            let out = self
                .calls
                .get(sequence)
                .is_some_and(|call| matches!(call.stage, calls::CallStage::Out { .. }));
            self.cancel_attempt(sequence);
            self.end_call(sequence, stopped(out), None);
        }
        self.leave_fleet();
        self.effects.push(effect::NodeEffect::Exit);
    }
}

fn stopped(out: bool) -> verdict::CallVerdict {
    if out {
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Stopped)
    } else {
        verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving)
    }
}
