//! Connects the reducer with the admission queue of the local target.

use std::time::Duration;

use anvil_overload::{admission, kind, limit, policy, quarantine, rank, refusal};
use anvil_types::{ident, treatment, verdict};
use anvil_wire::call;

use crate::{effect, event, overload, reducer, request_log, retrying, runs, stopping, timers};

/// The part of the objective for which a request may wait for a token, as a divisor.
const TOKEN_WAIT_DIVISOR: u32 = 2;

impl reducer::NodeReducer {
    /// Why this node refuses a call before it is queued.
    pub(crate) fn refusal_at_target(
        &self,
        call: &call::PeerCall,
    ) -> Option<overload::RefusalCause> {
        let by = self.config.node;
        let cause = |reason, limit| Some(overload::RefusalCause { reason, limit, by });
        // An instance that replaced another one may offer another service at the same address.
        let offered = self.target.as_ref().filter(|target| {
            !target.leaving && target.announcement.service == call.request.service
        });
        if self.refuses_runs() || offered.is_none() {
            return cause(
                verdict::RefusalReason::Leaving,
                refusal::RefusalLimit::Leaving,
            );
        }
        // If a node accepted a run before it has compared its rules with its peers, it would refuse
        // the calls that the run makes, and the run would fail. The entry node sends the refused
        // call elsewhere without spending a retry.
        if !self.fleet.is_ready() {
            return cause(
                verdict::RefusalReason::RulesUnknown,
                refusal::RefusalLimit::Other,
            );
        }
        if call.context.remaining_micros == 0 {
            return cause(
                verdict::RefusalReason::Deadline,
                refusal::RefusalLimit::Deadline,
            );
        }
        if let Some(limit) = self.quarantine_of(call.context.fingerprint) {
            return cause(verdict::RefusalReason::Quarantined, limit);
        }
        // A run is wasted if a service that it needs refuses its call. The cut lines of services
        // that most runs of this kind call are therefore already applied here.
        let deep = self.downstream_line(kind::CallKind::of(&call.request));
        if !rank::admits(deep.as_ref(), &rank::CallRank::of(&call.context)) {
            return cause(
                verdict::RefusalReason::Shed,
                refusal::RefusalLimit::Cut(deep),
            );
        }
        None
    }

    pub(crate) fn quarantine_of(
        &self,
        fingerprint: ident::RequestFingerprint,
    ) -> Option<refusal::RefusalLimit> {
        match self.overload.poison.status(self.now, fingerprint) {
            quarantine::QuarantineStatus::Quarantined { seen, allowed, .. } => {
                Some(refusal::RefusalLimit::Crashes { seen, allowed })
            }
            quarantine::QuarantineStatus::Clean | quarantine::QuarantineStatus::Suspect => None,
        }
    }

    /// Offers an accepted run to the queue.
    pub(crate) fn offer_run(&mut self, id: event::RunId) {
        let now = self.now;
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let status = self.overload.poison.status(now, run.context.fingerprint);
        let waiting = admission::WaitingCall {
            id: id.0,
            rank: rank::CallRank::of(&run.context),
            deadline: run.deadline,
            queue_wait: self.longest_wait(&run.treatment),
            suspect: status == quarantine::QuarantineStatus::Suspect,
        };
        let Some(admission) = &mut self.overload.admission else {
            return;
        };
        let decisions = admission.offer(now, waiting);
        self.apply_decisions(decisions);
    }

    /// The longest wait of a request in the queue of the local target.
    ///
    /// Other targets of the service may have room while this one is bound by its rate, so a request
    /// waits for a token only as long as it can still be served elsewhere within its objective.
    fn longest_wait(&self, treatment: &treatment::RuleTreatment) -> Duration {
        let admission = self.overload.admission.as_ref();
        match treatment.objective {
            Some(objective) if admission.is_some_and(|queue| queue.is_rate_bound()) => {
                treatment.queue_wait.min(objective / TOKEN_WAIT_DIVISOR)
            }
            _ => treatment.queue_wait,
        }
    }

    pub(crate) fn apply_decisions(&mut self, decisions: Vec<admission::AdmissionDecision>) {
        for decision in decisions {
            match decision {
                admission::AdmissionDecision::Start(id) => self.start_run(event::RunId(id)),
                admission::AdmissionDecision::Refuse { id, reason, limit } => {
                    let by = self.config.node;
                    let cause = overload::RefusalCause { reason, limit, by };
                    self.refuse_run(event::RunId(id), cause);
                }
            }
        }
        self.schedule_admission_wake();
    }

    pub(crate) fn admission_timer_fired(&mut self) {
        self.overload.wake = None;
        let now = self.now;
        if let Some(admission) = &mut self.overload.admission {
            let decisions = admission.wake(now);
            self.apply_decisions(decisions);
        }
    }

    /// Frees the slot or the queue place of a run that ended, and returns what the queue decides
    /// next.
    pub(crate) fn release_run(
        &mut self,
        id: event::RunId,
        run: &runs::TargetRun,
        verdict: verdict::CallVerdict,
        status: u16,
    ) -> Vec<admission::AdmissionDecision> {
        let now = self.now;
        let Some(admission) = &mut self.overload.admission else {
            return Vec::new();
        };
        let Some(started) = run.started else {
            admission.cancel(now, id.0);
            return Vec::new();
        };
        self.overload
            .dependencies
            .record_run(run.kind, run.waits.called());
        if self.overload.policy.refusal_retries
            && verdict == verdict::CallVerdict::Answered
            && status < retrying::SERVER_ERROR
        {
            let waits = &run.waits;
            self.overload
                .run_calls
                .record(run.kind, waits.overlap(), waits.counts());
        }
        let sample = limit::RunSample {
            latency: now.since(started),
            downstream: run.waits.total(now),
            end: run_end(run, verdict, status),
        };
        admission.finish(now, id.0, sample)
    }

    /// Updates the queue after an announcement: a new target gets a new queue, and a target that
    /// crashed starts its cold ramp again.
    pub(crate) fn update_admission(&mut self, slots: u32, renewed: bool) {
        let warm = self
            .target
            .as_ref()
            .is_some_and(|target| target.announcement.warm);
        let now = self.now;
        let crashed = std::mem::take(&mut self.overload.crashed);
        let policy = self.overload.policy;
        let digest_of = |target: &runs::LocalTarget| target.announcement.incarnation_digest();
        let (incarnation, previous) = (
            self.target.as_ref().and_then(digest_of),
            self.previous_target.as_ref().and_then(digest_of),
        );
        if let Some(previous) = previous.filter(|_| !renewed) {
            self.overload.keep_rate(previous);
        }
        let decisions = match &mut self.overload.admission {
            Some(admission) if renewed => {
                if crashed {
                    admission.restart(now);
                }
                admission.set_slots(now, slots)
            }
            queue => {
                let refusals = queue.as_mut().map(admission::AdmissionQueue::leave);
                let new_queue = match warm {
                    true => admission::AdmissionQueue::warm(now, slots, policy),
                    false => admission::AdmissionQueue::new(now, slots, policy),
                };
                *queue = Some(new_queue);
                refusals.unwrap_or_default()
            }
        };
        if let Some(incarnation) = incarnation.filter(|_| !renewed) {
            self.overload.restore_rate(incarnation);
        }
        self.apply_decisions(decisions);
    }

    /// Refuses the queued runs of a target that is leaving, so that they can run elsewhere in time.
    pub(crate) fn drain_admission(&mut self) {
        if let Some(admission) = &mut self.overload.admission {
            let decisions = admission.leave();
            self.apply_decisions(decisions);
        }
    }

    fn start_run(&mut self, id: event::RunId) {
        if self.phase == stopping::NodePhase::Gone {
            return;
        }
        let now = self.now;
        let address = self
            .target
            .as_ref()
            .map(|target| target.announcement.address);
        let incarnation = self.target.as_ref().and_then(|target| {
            let incarnation = target.announcement.incarnation.as_ref();
            incarnation.map(|incarnation| incarnation.id.clone())
        });
        let digest = self.target_digest();
        let report = self.target.as_ref().and_then(|target| target.report(now));
        let named_rate = self
            .overload
            .admission
            .as_ref()
            .and_then(|queue| queue.rate().named());
        let (Some(address), Some(run)) = (address, self.runs.start(id, now)) else {
            return;
        };
        run.incarnation = digest;
        run.report = report;
        run.named_rate = named_rate;
        self.counters.runs_under_rate += u64::from(named_rate.is_some());
        let Some(request) = run.request.take() else {
            return;
        };
        let timeout = match self.overload.policy.cancellation {
            true => run.deadline.since(now),
            false => policy::NAIVE_TIMEOUT,
        };
        let order = effect::RunOrder {
            run: id,
            address,
            incarnation,
            account: run.account.clone(),
            label: run.label.clone(),
            request,
            root: run.context.request,
            idempotent: run.context.idempotent,
            timeout,
        };
        let (fingerprint, rule) = (
            run.context.fingerprint,
            overload::crash_rule(&run.treatment),
        );
        let keyed = run.keyed_record(id);
        let started = run.attempt_record(request_log::AttemptStep::Started {
            run: id.0,
            report: run.report.clone(),
        });
        self.overload.poison.run_started(id.0, fingerprint, rule);
        self.counters.runs_started += 1;
        self.effects
            .push(effect::NodeEffect::RunTarget(Box::new(order)));
        if let Some(record) = started {
            self.log_attempt(record);
        }
        if let Some(record) = keyed.filter(|_| self.guards_keys()) {
            self.log_request(effect::StateChange::KeyedCall(Box::new(record)));
        }
    }

    pub(crate) fn refuse_run(&mut self, id: event::RunId, cause: overload::RefusalCause) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let (service, context, rule) = (run.service.clone(), run.context, run.rule);
        self.record_refusal(&service, &context, rule, cause);
        self.counters.runs_refused += 1;
        self.finish_run(id, verdict::CallVerdict::NotRun(cause.reason), None);
    }

    fn schedule_admission_wake(&mut self) {
        let next = self
            .overload
            .admission
            .as_ref()
            .and_then(admission::AdmissionQueue::next_wake);
        let Some(next) = next else {
            return;
        };
        if self.overload.wake.is_none_or(|wake| next < wake) {
            self.overload.wake = Some(next);
            self.timers.set(next, timers::TimerKind::Admission);
        }
    }
}

fn run_end(run: &runs::TargetRun, verdict: verdict::CallVerdict, status: u16) -> limit::RunEnd {
    match verdict {
        // The latency of a failure says nothing about the latency of successful runs.
        verdict::CallVerdict::Answered if status >= retrying::SERVER_ERROR => limit::RunEnd::Failed,
        verdict::CallVerdict::Answered => limit::RunEnd::Completed,
        verdict::CallVerdict::NotRun(verdict::RefusalReason::TargetRefused) => {
            limit::RunEnd::Refused
        }
        verdict::CallVerdict::MayHaveRun(_) if run.expired => limit::RunEnd::TimedOut,
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Deadline) => {
            limit::RunEnd::TimedOut
        }
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Cancelled) => {
            limit::RunEnd::Cancelled
        }
        verdict::CallVerdict::NotRun(_) | verdict::CallVerdict::MayHaveRun(_) => {
            limit::RunEnd::Failed
        }
    }
}
