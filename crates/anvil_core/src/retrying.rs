//! Decides what follows an ended attempt: a reply, a redirect or a retry; see
//! `docs/design/retries.md`.

use std::time::Duration;

use anvil_overload::{backoff, deadline, quarantine, refusal, routing};
use anvil_types::{ident, treatment, verdict};
use anvil_wire::call;

use crate::{calls, entry, keys, overload, reducer, request_log, stopping, timers};

/// Maximum number of redirects per call: refusals by leaving, unready or unreachable nodes that are
/// followed by another attempt without spending a retry.
///
/// Such an attempt put no load on any target. Four cover a rack that leaves at once, and the bound
/// keeps a call from trying every node of a service that is shutting down.
const MAX_REDIRECTS: u8 = 4;

/// Lowest HTTP status that counts as a failure of the target.
pub(crate) const SERVER_ERROR: u16 = 500;

impl reducer::NodeReducer {
    /// Why a request is refused before any target is chosen.
    pub(crate) fn refusal_at_entry(&mut self, sequence: u64) -> Option<verdict::RefusalReason> {
        let open = self.calls.get(sequence)?;
        if open.treatment.action == treatment::RuleAction::Refuse {
            return Some(verdict::RefusalReason::Rule);
        }
        // A leaving node finishes its runs, which includes the calls that they make. A refusal here
        // would fail the root request, although the node waits for the run anyway.
        if open.parent.is_none() && self.refuses_callers() {
            return Some(verdict::RefusalReason::Leaving);
        }
        // A node that just started may hold outdated rules and would treat the request by them; the
        // caller is asked to retry instead.
        if !self.fleet.is_ready() {
            return Some(verdict::RefusalReason::RulesUnknown);
        }
        if open.treatment.action == treatment::RuleAction::NotFound {
            return Some(verdict::RefusalReason::NotFound);
        }
        if open.treatment.action == treatment::RuleAction::Unreadable {
            self.counters.calls_unreadable += 1;
            return Some(verdict::RefusalReason::RuleUnreadable);
        }
        if let Some(reason) = open.account.refusal {
            match reason {
                verdict::RefusalReason::AccountsUnreadable => self.counters.calls_unreadable += 1,
                _ => self.counters.calls_unauthenticated += 1,
            }
            return Some(reason);
        }
        if let Some(limit) = self.quarantine_of(open.context.fingerprint) {
            self.record_limit(sequence, limit);
            return Some(verdict::RefusalReason::Quarantined);
        }
        self.draw_root_allowance(sequence)
    }

    /// The time left for the next hop, or why there is none.
    ///
    /// A stopping node passes on no more time than it has itself. Its target would otherwise be at
    /// work when the node gives the call up, and nobody would get the answer.
    pub(crate) fn hop_time(
        &self,
        open: &calls::OpenCall,
        near: bool,
    ) -> Result<Duration, verdict::RefusalReason> {
        let (deadline, reason) = match self.answers_until() {
            Some(until) if until < open.deadline => (until, verdict::RefusalReason::Leaving),
            _ => (open.deadline, verdict::RefusalReason::Deadline),
        };
        if self.overload.policy.cancellation {
            deadline::hop_remaining(self.now, deadline, near).ok_or(reason)
        } else {
            Ok(deadline.since(self.now))
        }
    }

    /// Ends a call that this node refuses, and records the limit for the logs.
    pub(crate) fn refuse_call(
        &mut self,
        sequence: u64,
        reason: verdict::RefusalReason,
        limit: refusal::RefusalLimit,
    ) {
        self.record_limit(sequence, limit);
        self.end_call(sequence, entry::not_run(reason), None);
    }

    pub(crate) fn record_limit(&mut self, sequence: u64, limit: refusal::RefusalLimit) {
        let node = self.config.node;
        if let Some(open) = self.calls.get_mut(sequence) {
            open.refused = Some((limit, node));
        }
    }

    /// Marks the requests that were in flight at a lost node as suspects of having crashed it, and
    /// notifies the peers.
    pub(crate) fn suspect_lost_requests(&mut self, peer: ident::NodeId, lost: &[u64]) {
        let open = lost.iter().filter_map(|sequence| self.calls.get(*sequence));
        // Membership may have removed the node already; the service is still known from its calls.
        let mut services = open.clone().map(|open| &open.request.service);
        let Some(service) = services.next().cloned() else {
            return;
        };
        let fingerprints: Vec<(ident::RequestFingerprint, quarantine::CrashRule)> = open
            .map(|open| {
                (
                    open.context.fingerprint,
                    overload::crash_rule(&open.treatment),
                )
            })
            .collect();
        let now = self.now;
        let notice = self
            .overload
            .poison
            .peer_lost(now, peer, &service, &fingerprints);
        self.broadcast_suspicion(&notice);
        self.spread_quarantined();
    }

    /// Clears the suspicion against a request that was served.
    pub(crate) fn clear_suspicion(&mut self, sequence: u64) {
        if let Some(open) = self.calls.get(sequence) {
            self.overload
                .poison
                .answered(self.now, open.context.fingerprint);
        }
    }

    /// Decides what follows the end of an attempt.
    pub(crate) fn attempt_ended(
        &mut self,
        sequence: u64,
        verdict: verdict::CallVerdict,
        answer: Option<call::CallAnswer>,
    ) {
        let status = answer.as_ref().map(|answer| answer.status);
        let step = request_log::AttemptStep::Settled { verdict, status };
        self.log_call_attempt(sequence, step);
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        if let calls::CallStage::Out { peer, .. } = open.stage {
            open.tried.push(peer);
        }
        if let verdict::CallVerdict::MayHaveRun(reason) = verdict {
            open.uncertainty = Some(reason);
        }
        open.possible_runs += u16::from(may_have_run(verdict));
        open.reached += u16::from(reached_target(verdict));
        open.stage = calls::CallStage::Pausing;
        if self.phase == stopping::NodePhase::Gone {
            self.end_call(sequence, verdict, answer);
            return;
        }
        if open.redirects < MAX_REDIRECTS && self.is_redirected(sequence, verdict) {
            if let Some(open) = self.calls.get_mut(sequence) {
                open.redirects += 1;
            }
            self.dispatch_attempt(sequence);
            return;
        }
        if self.is_free_refusal(sequence, verdict) {
            self.retry_refused(sequence, false);
            return;
        }
        let failed = status.is_some_and(|status| status >= SERVER_ERROR);
        match self.retry_pause(sequence, verdict, failed) {
            Some(pause) => {
                let when = self.now + pause;
                self.timers
                    .set(when, timers::TimerKind::CallRetry(sequence));
            }
            None => self.end_call(sequence, verdict, answer),
        }
    }

    /// Whether an attempt is sent elsewhere at once, without spending a retry.
    ///
    /// A target that would get more than its rate says nothing about the others, unless the request
    /// has waited for its tokens.
    fn is_redirected(&mut self, sequence: u64, verdict: verdict::CallVerdict) -> bool {
        if verdict != verdict::CallVerdict::NotRun(verdict::RefusalReason::RateLimited) {
            return is_redirect(verdict);
        }
        let now = self.now;
        let Some(open) = self.calls.get(sequence) else {
            return false;
        };
        let waited = now.since(open.arrived) >= open.treatment.queue_wait;
        !waited && self.directory.has_other(now, open.route_query())
    }

    /// The pause before a retry, which also spends the retry; none if there is no retry, so that
    /// the caller gets its reply immediately.
    ///
    /// A complete answer is final, whatever its status, because the service that sent it had its
    /// own retries. Only the naive policy repeats requests that `failed` with a server error, as
    /// hops commonly do.
    fn retry_pause(
        &mut self,
        sequence: u64,
        verdict: verdict::CallVerdict,
        failed: bool,
    ) -> Option<Duration> {
        let now = self.now;
        let policy = self.overload.policy;
        let open = self.calls.get(sequence)?;
        let idempotent = open.treatment.idempotent;
        let error = failed && idempotent && !policy.chain_allowance;
        let spent = open.allowance.available() == 0 || open.attempts_exhausted();
        if spent || !(error || may_retry(verdict, idempotent)) {
            return None;
        }
        // A request that has already waited in a queue for as long as its rule allows isn't retried
        // for lack of capacity.
        let waited = now.since(open.arrived) >= open.treatment.queue_wait;
        if policy.bounded_queue && waited && is_capacity_refusal(verdict) {
            return None;
        }
        let pause = self.backoff_pause(sequence)?;
        let open = self.calls.get(sequence)?;
        if now + pause >= open.deadline || !self.has_available_target(sequence) {
            return None;
        }
        if policy.retry_ratio && reached_target(verdict) && !self.spend_retry(sequence) {
            self.counters.retries_over_ratio += 1;
            let percent = self.calls.get(sequence)?.treatment.retry_ratio_percent;
            self.record_limit(sequence, refusal::RefusalLimit::RetryRatio(percent));
            return None;
        }
        let open = self.calls.get_mut(sequence)?;
        open.allowance.spend().then_some(pause)
    }

    /// Spends a retry from the budget of the call's service.
    fn spend_retry(&mut self, sequence: u64) -> bool {
        let Some(open) = self.calls.get(sequence) else {
            return false;
        };
        let rank = self.retry_rank(open);
        let (service, now) = (open.request.service.clone(), self.now);
        self.retry_budget(&service).spend(now, &rank)
    }

    fn backoff_pause(&mut self, sequence: u64) -> Option<Duration> {
        if !self.overload.policy.backoff {
            return Some(Duration::ZERO);
        }
        let open = self.calls.get(sequence)?;
        // The pause grows with the attempts that say something about the load.
        let retry = open.attempts.saturating_sub(open.free_refusals);
        let first = open.treatment.backoff;
        Some(backoff::pause(first, retry, &mut self.rng))
    }

    /// Whether a known target may accept the request. Otherwise the caller would wait for the pause
    /// only to be refused.
    pub(crate) fn has_available_target(&mut self, sequence: u64) -> bool {
        if !self.overload.policy.early_refusal {
            return true;
        }
        let choice = self.choose_target(sequence);
        matches!(choice, routing::RouteChoice::Target { .. })
    }

    pub(crate) fn call_resumes(&mut self, sequence: u64) {
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        match (open.stage, open.awaits_retry) {
            (calls::CallStage::Pausing, true) => self.retry_refused(sequence, true),
            (calls::CallStage::Pausing, false) => self.dispatch_attempt(sequence),
            _ => {}
        }
    }

    pub(crate) fn record_call_refusal(
        &mut self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
    ) {
        let verdict::CallVerdict::NotRun(reason) = verdict else {
            return;
        };
        let own = (refusal::RefusalLimit::Other, self.config.node);
        let (limit, by) = open.refused.unwrap_or(own);
        let cause = overload::RefusalCause { reason, limit, by };
        self.record_refusal(&open.request.service, &open.context, open.rule, cause);
    }

    /// When the caller should retry; none if a retry would not help.
    pub(crate) fn retry_after(
        &self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
    ) -> Option<Duration> {
        let in_progress = verdict::UncertaintyReason::InProgress;
        if verdict == verdict::CallVerdict::MayHaveRun(in_progress) {
            return Some(keys::IN_PROGRESS_RETRY);
        }
        let verdict::CallVerdict::NotRun(reason) = verdict else {
            return None;
        };
        if let Some(pause) = self.retry_after_objective(open, reason) {
            return Some(pause);
        }
        match reason {
            verdict::RefusalReason::Shed
            | verdict::RefusalReason::TargetRefused
            | verdict::RefusalReason::QueueFull
            | verdict::RefusalReason::RateLimited
            | verdict::RefusalReason::Deadline
            | verdict::RefusalReason::NoTarget
            | verdict::RefusalReason::Leaving
            | verdict::RefusalReason::Unreachable
            | verdict::RefusalReason::KeyUnavailable
            | verdict::RefusalReason::RulesUnknown
            | verdict::RefusalReason::AccountUnknown
            | verdict::RefusalReason::NoMemory
            | verdict::RefusalReason::AttemptsSpent => {
                let service = &open.request.service;
                let line = self.directory.line(self.now, service, open.kind);
                let spread = self.uniform_lane(&open.context);
                Some(refusal::retry_after(line.as_ref(), &open.rank(), spread))
            }
            verdict::RefusalReason::Quarantined => self.quarantine_remaining(open),
            verdict::RefusalReason::OverQuota => quota_pause(open),
            verdict::RefusalReason::RuleUnreadable | verdict::RefusalReason::AccountsUnreadable => {
                Some(refusal::retry_after_correction(open.context.lane))
            }
            verdict::RefusalReason::UnknownService
            | verdict::RefusalReason::BodyTooLarge
            | verdict::RefusalReason::KeyMismatch
            | verdict::RefusalReason::Cancelled
            | verdict::RefusalReason::NotFound
            | verdict::RefusalReason::Rule
            | verdict::RefusalReason::Malformed
            | verdict::RefusalReason::Unauthenticated
            | verdict::RefusalReason::OutOfTurn => None,
        }
    }

    /// When the caller should retry if the rule sets a latency objective and the refusal is
    /// temporary.
    fn retry_after_objective(
        &self,
        open: &calls::OpenCall,
        reason: verdict::RefusalReason,
    ) -> Option<Duration> {
        let objective = open.treatment.objective?;
        let lane = self.uniform_lane(&open.context);
        match reason {
            verdict::RefusalReason::Shed
            | verdict::RefusalReason::TargetRefused
            | verdict::RefusalReason::QueueFull
            | verdict::RefusalReason::Deadline
            | verdict::RefusalReason::AttemptsSpent => {
                let elapsed = self.now.since(open.arrived);
                Some(refusal::retry_within(objective, elapsed, lane))
            }
            verdict::RefusalReason::RateLimited => {
                let elapsed = self.now.since(open.arrived);
                let within = refusal::retry_within(objective, elapsed, lane);
                let service = &open.request.service;
                Some(within.max(self.directory.pause_left(self.now, service)))
            }
            verdict::RefusalReason::NoTarget
            | verdict::RefusalReason::UnknownService
            | verdict::RefusalReason::Leaving
            | verdict::RefusalReason::Unreachable
            | verdict::RefusalReason::RulesUnknown => Some(refusal::retry_after_restart(lane)),
            _ => None,
        }
    }

    fn quarantine_remaining(&self, open: &calls::OpenCall) -> Option<Duration> {
        match self
            .overload
            .poison
            .status(self.now, open.context.fingerprint)
        {
            quarantine::QuarantineStatus::Quarantined { left, .. } => Some(left),
            // The target's node refused it, and this node has not been notified of the crashes.
            quarantine::QuarantineStatus::Clean | quarantine::QuarantineStatus::Suspect => {
                Some(open.treatment.quarantine)
            }
        }
    }
}

/// When the account's quota admits requests again, according to its home node.
fn quota_pause(open: &calls::OpenCall) -> Option<Duration> {
    match open.refused {
        Some((refusal::RefusalLimit::Quota { pause, .. }, _)) => Some(pause),
        _ => None,
    }
}

fn is_redirect(verdict: verdict::CallVerdict) -> bool {
    matches!(
        verdict,
        verdict::CallVerdict::NotRun(
            verdict::RefusalReason::Leaving
                | verdict::RefusalReason::RulesUnknown
                | verdict::RefusalReason::Unreachable
        )
    )
}

/// Whether the attempt may have reached a target and put load on it.
///
/// An attempt that a node refused put no load on any target, so a further one isn't a retry for the
/// targets.
fn reached_target(verdict: verdict::CallVerdict) -> bool {
    let refused = verdict::CallVerdict::NotRun(verdict::RefusalReason::TargetRefused);
    may_have_run(verdict) || verdict == refused
}

fn may_have_run(verdict: verdict::CallVerdict) -> bool {
    !matches!(verdict, verdict::CallVerdict::NotRun(_))
}

fn is_capacity_refusal(verdict: verdict::CallVerdict) -> bool {
    matches!(
        verdict,
        verdict::CallVerdict::NotRun(
            verdict::RefusalReason::QueueFull
                | verdict::RefusalReason::RateLimited
                | verdict::RefusalReason::Shed
                | verdict::RefusalReason::TargetRefused
        )
    )
}

/// Whether the reason is a lack of capacity for the request's rank. A refusal by the target itself is
/// not: it may refuse for other reasons, whatever the rank.
pub(crate) const fn lacks_capacity(reason: verdict::RefusalReason) -> bool {
    matches!(
        reason,
        verdict::RefusalReason::QueueFull
            | verdict::RefusalReason::RateLimited
            | verdict::RefusalReason::Shed
            | verdict::RefusalReason::Deadline
    )
}

/// Whether an attempt may be retried. A non-idempotent request is only repeated if it certainly did
/// not run.
fn may_retry(verdict: verdict::CallVerdict, idempotent: bool) -> bool {
    match verdict {
        verdict::CallVerdict::Answered => false,
        verdict::CallVerdict::NotRun(reason) => matches!(
            reason,
            verdict::RefusalReason::QueueFull
                | verdict::RefusalReason::RateLimited
                | verdict::RefusalReason::Shed
                | verdict::RefusalReason::TargetRefused
                | verdict::RefusalReason::NoMemory
                | verdict::RefusalReason::Leaving
                | verdict::RefusalReason::NoTarget
                | verdict::RefusalReason::Unreachable
        ),
        verdict::CallVerdict::MayHaveRun(reason) => match reason {
            verdict::UncertaintyReason::ConnectionLost
            | verdict::UncertaintyReason::AnswerCut
            | verdict::UncertaintyReason::NodeLost
            | verdict::UncertaintyReason::Stopped => idempotent,
            verdict::UncertaintyReason::Deadline
            | verdict::UncertaintyReason::RecordLost
            | verdict::UncertaintyReason::Cancelled
            | verdict::UncertaintyReason::InProgress => false,
        },
    }
}
