//! Retries of calls that a target refused although it had free slots; see
//! `docs/design/refused-calls.md`.

use std::time::Duration;

use anvil_overload::{backoff, kind, ratio, refusal, refusals, routing};
use anvil_types::{ident, verdict};
use anvil_wire::call;
use serde_json::json;

use crate::{calls, effect, entry, overload, reducer, timers};

/// Longest pause until a retry that the budget could not pay is claimed again. Nodes of a large
/// fleet get about one retry in 50 to 100 ms.
const CLAIM_INTERVAL: Duration = Duration::from_millis(25);

/// What follows a refusal.
enum RefusalStep {
    /// A retry, after a pause.
    Retry(Duration),
    /// Another claim for the retry, after a pause.
    Claim(Duration),
    /// The end of the call, because of this limit.
    End(refusal::RefusalLimit),
}

impl overload::OverloadState {
    /// The number of calls of a run of `kind` that are usually open at the same time, if that
    /// decides how its retries are divided.
    pub(crate) fn call_overlap(&self, kind: kind::CallKind) -> Option<u16> {
        let overlap = self.run_calls.overlap(kind)?;
        self.policy.refusal_retries.then_some(overlap)
    }
}

impl reducer::NodeReducer {
    /// Chooses the target of the next attempt.
    ///
    /// A target that refused an attempt although it had free slots may accept the next one, so it is
    /// used again once all others were tried; the target just asked comes last. Targets that failed
    /// otherwise remain excluded as long as there is any of these.
    pub(crate) fn choose_target(&mut self, sequence: u64) -> routing::RouteChoice {
        self.update_own_load(sequence);
        let now = self.now;
        let Some(open) = self.calls.get(sequence) else {
            return routing::RouteChoice::NoTarget;
        };
        let query = open.route_query();
        if open.refusers.is_empty() {
            return self.directory.choose(now, query);
        }
        let choice = self.directory.choose_other(now, query);
        if choice != routing::RouteChoice::NoTarget {
            return choice;
        }
        let is_failed = |node: &&ident::NodeId| !open.refusers.contains(*node);
        let mut exclude: Vec<_> = open.tried.iter().filter(is_failed).copied().collect();
        let failed = exclude.len();
        exclude.extend(open.tried.last());
        let query = |exclude| routing::RouteQuery { exclude, ..query };
        match self.directory.choose_other(now, query(&exclude)) {
            routing::RouteChoice::NoTarget => self.directory.choose(now, query(&exclude[..failed])),
            choice => choice,
        }
    }

    /// Records how a target received an attempt that took `took`.
    pub(crate) fn record_target_reply(
        &mut self,
        sequence: u64,
        peer: ident::NodeId,
        answer: &call::PeerAnswer,
        took: Duration,
    ) {
        if !self.overload.policy.refusal_retries {
            return;
        }
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        open.refusers.retain(|node| *node != peer);
        let reply = match answer.verdict {
            verdict::CallVerdict::NotRun(verdict::RefusalReason::TargetRefused)
                if has_free_slots(&answer.load) =>
            {
                open.refusers.push(peer);
                open.free_refusals += 1;
                refusals::TargetReply::RefusedFree
            }
            // A refusal by a full target or by a node, and an attempt without an outcome, say
            // nothing about refusals by targets with free slots.
            verdict::CallVerdict::Answered => refusals::TargetReply::Ran,
            _ => return,
        };
        let (service, now) = (open.request.service.clone(), self.now);
        let known = self.overload.refusal_shares.get_or_insert(&service);
        let change = known.record(now, reply, took);
        if let Some(refusing) = change {
            let share_percent = percent(known.share(now));
            self.report(effect::StateChange::ServiceRefuses {
                service,
                share_percent,
                refusing,
            });
        }
    }

    /// Whether the attempt that has just ended was refused by a target with free slots.
    pub(crate) fn is_free_refusal(&self, sequence: u64, verdict: verdict::CallVerdict) -> bool {
        let refused = verdict::CallVerdict::NotRun(verdict::RefusalReason::TargetRefused);
        let open = self.calls.get(sequence);
        verdict == refused
            && open.is_some_and(|open| {
                let last = open.tried.last();
                last.is_some_and(|last| open.refusers.contains(last))
            })
    }

    /// Continues or ends a call after a target with free slots refused it; `repeated` if its retry
    /// was claimed before.
    pub(crate) fn retry_refused(&mut self, sequence: u64, repeated: bool) {
        let step = self.next_step(sequence, repeated);
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        open.awaits_retry = matches!(step, RefusalStep::Claim(_));
        let pause = match step {
            RefusalStep::Retry(pause) | RefusalStep::Claim(pause) => pause,
            RefusalStep::End(limit) => {
                let reason = verdict::RefusalReason::TargetRefused;
                if limit != refusal::RefusalLimit::Other {
                    self.record_limit(sequence, limit);
                }
                self.end_call(sequence, entry::not_run(reason), None);
                return;
            }
        };
        let when = self.now + pause;
        self.timers
            .set(when, timers::TimerKind::CallRetry(sequence));
    }

    fn next_step(&mut self, sequence: u64, repeated: bool) -> RefusalStep {
        let now = self.now;
        let policy = self.overload.policy;
        let Some(open) = self.calls.get(sequence) else {
            return RefusalStep::End(refusal::RefusalLimit::Other);
        };
        let (rank, percent) = (self.retry_rank(open), open.treatment.retry_ratio_percent);
        let may_wait = now.since(open.arrived) < open.treatment.queue_wait;
        let (case, allowed) = (self.retry_case(open), !open.attempts_exhausted());
        if case.allowance == 0 || !allowed {
            let limit = refusal::RefusalLimit::ChainRetries(open.treatment.chain_retries);
            return RefusalStep::End(limit);
        }
        let pause = self.refusal_pause(case.pause);
        if pause >= case.time_left {
            return RefusalStep::End(refusal::RefusalLimit::Deadline);
        }
        if !self.has_available_target(sequence) {
            return RefusalStep::End(refusal::RefusalLimit::Other);
        }
        let worth = self.judge(sequence, &case);
        let refusals::RetryWorth::Worthwhile { needed } = worth else {
            self.counters.retries_hopeless += 1;
            return RefusalStep::End(refusal::RefusalLimit::Other);
        };
        let claim = ratio::RetryClaim {
            rank,
            needed,
            repeated,
        };
        let grant = match policy.retry_ratio {
            true => self.claim_retry(sequence, &claim),
            false => ratio::RetryGrant::Granted,
        };
        match grant {
            ratio::RetryGrant::Granted if self.spend_allowance(sequence) => {
                RefusalStep::Retry(pause)
            }
            ratio::RetryGrant::Later if may_wait => {
                self.counters.retries_delayed += u64::from(!repeated);
                RefusalStep::Claim(self.refusal_pause(CLAIM_INTERVAL))
            }
            _ => {
                self.counters.retries_over_ratio += 1;
                RefusalStep::End(refusal::RefusalLimit::RetryRatio(percent))
            }
        }
    }

    /// What the retry of a refused call would have to achieve, and with what.
    fn retry_case(&self, open: &calls::OpenCall) -> refusals::RetryCase {
        let service = &open.request.service;
        let parent = open.parent.and_then(|run| self.runs.get(run));
        let usual = parent.map_or(0, |run| self.overload.run_calls.calls(run.kind, service));
        let counts = parent.map_or(&[][..], |run| run.waits.counts());
        let made = counts.iter().find(|(called, _)| called == service);
        let made = made.map_or(0, |(_, count)| *count);
        let lendable = match self.overload.policy.chain_allowance {
            true => parent.map_or(0, |run| run.allowance.available()),
            false => 0,
        };
        let first = match self.overload.policy.backoff {
            true => open.treatment.backoff / refusals::PAUSE_DIVISOR,
            false => Duration::ZERO,
        };
        refusals::RetryCase {
            // The call itself is among those made.
            calls_left: usual.saturating_sub(made) + 1,
            allowance: open.allowance.available().saturating_add(lendable),
            time_left: open.deadline.since(self.now),
            pause: first,
        }
    }

    fn judge(&self, sequence: u64, case: &refusals::RetryCase) -> refusals::RetryWorth {
        let open = self.calls.get(sequence);
        let known = open.and_then(|open| self.overload.refusal_shares.get(&open.request.service));
        known.map_or(refusals::RetryWorth::Hopeless, |known| {
            known.judge(self.now, case)
        })
    }

    fn claim_retry(&mut self, sequence: u64, claim: &ratio::RetryClaim) -> ratio::RetryGrant {
        let Some(open) = self.calls.get(sequence) else {
            return ratio::RetryGrant::Denied;
        };
        let (service, now) = (open.request.service.clone(), self.now);
        self.retry_budget(&service).claim(now, claim)
    }

    /// Spends a retry of the call, or one that its run has left.
    ///
    /// Calls of one run are lent their retries before it is known which of them is refused. The run
    /// and its calls are at the same node, so what the others did not get is available at once.
    fn spend_allowance(&mut self, sequence: u64) -> bool {
        let Some(open) = self.calls.get_mut(sequence) else {
            return false;
        };
        if open.allowance.available() == 0 {
            let parent = open.parent.and_then(|run| self.runs.get_mut(run));
            if parent.is_some_and(|run| run.allowance.extend(sequence)) {
                open.allowance.add_extension();
            }
        }
        open.allowance.spend()
    }

    /// A random pause of at most `longest`. It does not grow, because the chance of the next attempt
    /// does not depend on when it is made.
    fn refusal_pause(&mut self, longest: Duration) -> Duration {
        backoff::pause(longest, 1, &mut self.rng)
    }

    /// Counts the end of a call for the share of those that fail after refusals.
    pub(crate) fn count_refused_call(
        &mut self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
    ) {
        let is_answered = verdict == verdict::CallVerdict::Answered;
        let end = match (open.refusers.is_empty(), is_answered) {
            (true, true) => refusals::CallEnd::Answered,
            (true, false) => return,
            (false, true) => refusals::CallEnd::Recovered,
            (false, false) => refusals::CallEnd::Failed,
        };
        let shares = &mut self.overload.refusal_shares;
        if let Some(known) = shares.get_mut(&open.request.service) {
            known.call_ended(end);
        }
    }

    /// Totals of the refused calls, and the highest values of any service: the attempts that a call
    /// needs, and the share of calls that fail, in percent.
    pub(crate) fn refused_call_gauges(&self) -> serde_json::Value {
        let totals = self.overload.refusal_shares.totals(self.now);
        json!({
            "refusals": totals.refused,
            "recovered": totals.calls_recovered,
            "failed": totals.calls_failed,
            "expected_attempts_percent": percent(totals.expected_attempts),
            "failed_percent": percent(totals.failed_share),
        })
    }
}

/// Whether the target had a slot for one more request when it answered.
fn has_free_slots(load: &call::LoadReport) -> bool {
    load.running < load.limit && load.queued.iter().all(|queued| *queued == 0)
}

fn percent(share: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most some thousand percent"
    )]
    let percent = (share * 100.0).round() as u16;
    percent
}
