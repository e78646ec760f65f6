//! The target's side of a call: from another node's call to the answer of the local target.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::{allowance, deadline, kind, refusal};
use anvil_types::{ident, verdict};
use anvil_wire::{call, frame, outcome};

use crate::{effect, event, overload, reducer, request_log, runs, stopping, timers, waits};

impl reducer::NodeReducer {
    pub(crate) fn peer_called(&mut self, peer: ident::NodeId, call: call::PeerCall) {
        if peer != self.config.node {
            self.shutdown.record_call(self.now, peer, call.reply_to);
        }
        if self.is_repeat(&call) {
            self.counters.calls_repeated += 1;
            return;
        }
        if let Some(notice) = call.notice {
            self.told_of_target(peer, notice);
        }
        if let Some(admission) = &mut self.overload.admission {
            admission.count_sender(self.now, peer);
        }
        if let Some(cause) = self.refusal_at_target(&call) {
            self.refuse_peer_call(peer, &call, cause);
            return;
        }
        let kind = kind::CallKind::of(&call.request);
        // An attempt that repeats others only because its parent run is a repeat is not held back:
        // the parent would fail, and its calls so far would be lost.
        let is_retry = call.attempt > 1 && call.context.repeat;
        if is_retry && !self.pay_calls_of_repeat(kind) {
            let percent = call.treatment.retry_ratio_percent;
            let cause = overload::RefusalCause {
                reason: verdict::RefusalReason::Shed,
                limit: refusal::RefusalLimit::RetryRatio(percent),
                by: self.config.node,
            };
            self.counters.retries_over_ratio += 1;
            self.refuse_peer_call(peer, &call, cause);
            return;
        }
        let deadline = self.now + Duration::from_micros(call.context.remaining_micros);
        let run = runs::TargetRun {
            peer,
            reply_to: call.reply_to,
            call: call.call,
            attempt: call.attempt,
            account: call.account,
            label: call.label,
            accepted: self.now,
            kind,
            service: call.request.service.clone(),
            request: Some(call.request),
            context: call.context,
            treatment: call.treatment,
            rule: call.rule,
            deadline,
            stage: runs::RunStage::Queued,
            calls_paid: is_retry,
            exchange: None,
            failed_notices: 0,
            allowance: allowance::ChainAllowance::new(call.context.retries_left),
            started: None,
            incarnation: None,
            report: None,
            entry_rate: call.notice.and_then(|notice| notice.rate),
            named_rate: None,
            expired: false,
            target_lost: false,
            waits: waits::CallWaits::default(),
        };
        let id = self.runs.accept(Box::new(run));
        self.timers
            .set(deadline, timers::TimerKind::RunDeadline(id.0));
        self.offer_run(id);
    }

    /// Refuses a call for whose body no memory was left.
    pub(crate) fn peer_call_refused(&mut self, peer: ident::NodeId, call: &call::PeerCall) {
        self.shutdown.record_call(self.now, peer, call.reply_to);
        if self.is_repeat(call) {
            self.counters.calls_repeated += 1;
            return;
        }
        let cause = overload::RefusalCause {
            reason: verdict::RefusalReason::NoMemory,
            limit: refusal::RefusalLimit::Other,
            by: self.config.node,
        };
        self.refuse_peer_call(peer, call, cause);
    }

    fn refuse_peer_call(
        &mut self,
        peer: ident::NodeId,
        call: &call::PeerCall,
        cause: overload::RefusalCause,
    ) {
        self.counters.runs_refused += 1;
        let service = call.request.service.clone();
        self.record_refusal(&service, &call.context, call.rule, cause);
        self.answer_refusal(peer, call, cause.reason);
    }

    /// Whether the frame is a duplicate of an attempt. The run of the first frame answers it.
    fn is_repeat(&mut self, call: &call::PeerCall) -> bool {
        let record = self.memory.record_for(call.context.idempotent);
        !record.received.admit(self.now, call.attempt_id())
    }

    pub(crate) fn run_ended(&mut self, run: event::RunId, outcome: event::RunOutcome) {
        if let event::RunOutcome::Misdirected { holder } = &outcome {
            self.target_misdirected(holder.as_ref());
        }
        let found = self.runs.get(run);
        let expired = found.is_some_and(|run| run.expired);
        let outcome = match outcome {
            // The node closed the connection because the target's incarnation has ended.
            event::RunOutcome::Cancelled if found.is_some_and(|run| run.target_lost) => {
                event::RunOutcome::Broken { in_answer: false }
            }
            outcome => outcome,
        };
        self.record_run_outcome(run, &outcome);
        let (verdict, answer) = match outcome {
            // The node cancelled the run at its deadline; "cancelled" would mean that the caller
            // did.
            event::RunOutcome::Cancelled if expired => verdict_of(event::RunOutcome::TimedOut),
            outcome => verdict_of(outcome),
        };
        match verdict {
            verdict::CallVerdict::Answered => self.counters.runs_whole += 1,
            _ => self.counters.runs_failed += 1,
        }
        self.finish_run(run, verdict, answer);
    }

    /// Answers and removes a run; calls that it left open end with it.
    pub(crate) fn finish_run(
        &mut self,
        run: event::RunId,
        verdict: verdict::CallVerdict,
        answer: Option<call::CallAnswer>,
    ) {
        self.abandon_children(run);
        let Some(ended) = self.runs.end(run) else {
            return;
        };
        if ended.calls_paid && matches!(verdict, verdict::CallVerdict::NotRun(_)) {
            self.refund_calls_of_repeat(ended.kind);
        }
        let status = answer.as_ref().map(|answer| answer.status);
        self.log_run(&ended, verdict, status);
        let step = request_log::AttemptStep::Ended {
            run: run.0,
            verdict,
            status,
            exchange: ended.exchange,
        };
        if let Some(record) = ended.attempt_record(step) {
            self.log_attempt(record);
        }
        let status = status.unwrap_or(0);
        let decisions = self.release_run(run, &ended, verdict, status);
        let load = self.load_report(ended.kind);
        let reply = call::PeerAnswer {
            call: ended.call,
            attempt: ended.attempt,
            verdict,
            answer,
            retries_spent: ended.allowance.spent(),
            failed_below: ended.waits.has_failed(),
            load,
        };
        self.send_answer(ended.peer, ended.reply_to, reply, ended.context.idempotent);
        self.apply_decisions(decisions);
    }

    /// Answers an attempt of another node, and caches the answer in case it doesn't arrive.
    pub(crate) fn send_answer(
        &mut self,
        peer: ident::NodeId,
        reply_to: SocketAddr,
        answer: call::PeerAnswer,
        idempotent: bool,
    ) {
        if peer != self.config.node {
            self.shutdown.record_call(self.now, peer, reply_to);
            let answers = &mut self.memory.record_for(idempotent).answers;
            let evicted = answers.evicted_early();
            answers.insert(self.now, &answer);
            self.counters.answers_evicted += answers.evicted_early() - evicted;
        }
        let frame = frame::PeerFrame::Answer(Box::new(answer));
        self.send_frame(peer, reply_to, frame);
    }

    /// Ends the calls that a run left open, because nobody uses their answers any more.
    ///
    /// A stopping node lets them finish instead: a call aborted at that time would look to its
    /// caller as if it had failed due to the stop, and it takes no longer than the stop itself.
    fn abandon_children(&mut self, run: event::RunId) {
        if matches!(self.phase, stopping::NodePhase::Leaving { .. }) {
            return;
        }
        for sequence in self.calls.children(run) {
            self.abandon_call(sequence);
        }
    }

    fn log_run(
        &mut self,
        ended: &runs::TargetRun,
        verdict: verdict::CallVerdict,
        status: Option<u16>,
    ) {
        if !request_log::is_logged(verdict, status, self.uniform_lane(&ended.context)) {
            return;
        }
        let started = ended.started.unwrap_or(self.now);
        let summary = request_log::RunSummary {
            request: ended.label.clone(),
            root: ended.context.request,
            entry: ended.peer,
            attempt: ended.attempt,
            report: ended.report.clone(),
            verdict,
            status,
            queued_ms: request_log::millis(started.since(ended.accepted)),
            ran_ms: ended
                .started
                .map(|at| request_log::millis(self.now.since(at))),
            running: self.runs.running(),
            queued: self.runs.queued(),
            named_rate: ended.named_rate,
            entry_rate: ended.entry_rate,
        };
        self.log_request(effect::StateChange::RunEnded(Box::new(summary)));
    }

    pub(crate) fn run_expired(&mut self, run: event::RunId) {
        let now = self.now;
        let Some(found) = self.runs.get_mut(run) else {
            return;
        };
        let cancelled_at = found.deadline + deadline::LAST_ANSWER_TIME;
        match found.stage {
            runs::RunStage::Running if now < cancelled_at => {
                self.timers
                    .set(cancelled_at, timers::TimerKind::RunDeadline(run.0));
            }
            runs::RunStage::Queued => {
                self.counters.runs_refused += 1;
                let verdict = verdict::CallVerdict::NotRun(verdict::RefusalReason::Deadline);
                self.finish_run(run, verdict, None);
            }
            runs::RunStage::Running if self.overload.policy.cancellation => {
                found.expired = true;
                self.effects.push(effect::NodeEffect::CancelRun(run));
            }
            runs::RunStage::Running => {
                found.expired = true;
                let (verdict, _) = verdict_of(event::RunOutcome::TimedOut);
                self.finish_run(run, verdict, None);
            }
        }
    }

    pub(crate) fn attempt_cancelled(&mut self, id: outcome::AttemptId) {
        if let Some(run) = self.runs.find_by_attempt(id) {
            self.cancel_run(run);
        }
    }

    pub(crate) fn cancel_run(&mut self, run: event::RunId) {
        let Some(found) = self.runs.get(run) else {
            return;
        };
        self.counters.runs_cancelled += 1;
        match found.stage {
            runs::RunStage::Queued => {
                let verdict = verdict::CallVerdict::NotRun(verdict::RefusalReason::Cancelled);
                self.finish_run(run, verdict, None);
            }
            runs::RunStage::Running => {
                self.abandon_children(run);
                self.effects.push(effect::NodeEffect::CancelRun(run));
            }
        }
    }

    /// Cancels the runs of a lost node, because no answer can reach it.
    pub(crate) fn cancel_runs_of(&mut self, peer: ident::NodeId) {
        let lost: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.peer == peer)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.cancel_run(event::RunId(id));
        }
    }

    fn answer_refusal(
        &mut self,
        peer: ident::NodeId,
        call: &call::PeerCall,
        reason: verdict::RefusalReason,
    ) {
        let load = self.load_report(kind::CallKind::of(&call.request));
        let reply = call::PeerAnswer {
            call: call.call,
            attempt: call.attempt,
            verdict: verdict::CallVerdict::NotRun(reason),
            answer: None,
            retries_spent: 0,
            failed_below: false,
            load,
        };
        self.send_answer(peer, call.reply_to, reply, call.context.idempotent);
    }
}

fn verdict_of(outcome: event::RunOutcome) -> (verdict::CallVerdict, Option<call::CallAnswer>) {
    let verdict = match outcome {
        event::RunOutcome::Answered(answer) => {
            return (verdict::CallVerdict::Answered, Some(answer));
        }
        event::RunOutcome::Refused => {
            verdict::CallVerdict::NotRun(verdict::RefusalReason::TargetRefused)
        }
        event::RunOutcome::Unreachable | event::RunOutcome::Misdirected { .. } => {
            verdict::CallVerdict::NotRun(verdict::RefusalReason::Unreachable)
        }
        event::RunOutcome::Withdrawn => {
            verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving)
        }
        event::RunOutcome::Broken { in_answer: false } => {
            verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost)
        }
        event::RunOutcome::Broken { in_answer: true } => {
            verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::AnswerCut)
        }
        event::RunOutcome::TimedOut => {
            verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Deadline)
        }
        event::RunOutcome::Cancelled => {
            verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Cancelled)
        }
    };
    (verdict, None)
}
