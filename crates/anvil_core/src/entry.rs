//! The entry node's side of a call: from its caller's request to the one reply.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{context, ident, treatment, verdict};
use anvil_wire::{call, frame};
use xxhash_rust::xxh3;

use crate::{calls, directory, effect, event, reducer, rulebook, stopping, timers};

/// Refusals by leaving or unreachable nodes that one call follows without spending a retry.
///
/// Such an attempt put no load on any target; four cover a rack that leaves at once, and the
/// bound keeps a call from wandering through a service that is shutting down.
const REDIRECT_LIMIT: u8 = 4;

/// When a caller is told to come back after a refusal for want of capacity.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl reducer::NodeReducer {
    pub(crate) fn call_arrived(
        &mut self,
        handle: event::CallerHandle,
        request: call::CallRequest,
        hints: &event::CallerHints,
    ) {
        self.counters.calls_arrived += 1;
        let rulebook::BookDecision {
            treatment, mark, ..
        } = self.book.decide(&request);
        let parent = hints.parent.map(|token| token.0);
        let context = match parent {
            Some(run) => self.child_context(run, &request, &treatment, hints),
            None => Some(self.root_context(&request, &treatment, hints)),
        };
        let Some(context) = context else {
            // The parent run has ended, so nobody waits for this call.
            let reply = refusal(verdict::RefusalReason::Cancelled, mark);
            self.reply(handle, reply);
            return;
        };
        if let Some(reason) = self.refusal_at_entry(&treatment) {
            let mut reply = refusal(reason, mark);
            reply.request = context.request;
            self.reply(handle, reply);
            return;
        }
        let sequence = self.calls.mint();
        let deadline = self.now + Duration::from_micros(context.remaining_micros);
        let call = calls::OpenCall {
            handle,
            request,
            context,
            treatment,
            mark,
            deadline,
            attempts: 0,
            redirects: 0,
            tried: Vec::new(),
            stage: calls::CallStage::Pausing,
            parent,
        };
        self.calls.open(sequence, Box::new(call));
        self.timers
            .set(deadline, timers::TimerKind::CallDeadline(sequence));
        self.dispatch_attempt(sequence);
    }

    fn refusal_at_entry(
        &self,
        treatment: &treatment::RuleTreatment,
    ) -> Option<verdict::RefusalReason> {
        if treatment.action == treatment::RuleAction::Refuse {
            return Some(verdict::RefusalReason::Rule);
        }
        self.refuses_callers()
            .then_some(verdict::RefusalReason::Leaving)
    }

    fn root_context(
        &mut self,
        request: &call::CallRequest,
        treatment: &treatment::RuleTreatment,
        hints: &event::CallerHints,
    ) -> context::CallContext {
        let minted = u128::from(self.random()) << 64 | u128::from(self.random());
        let id = hints.request.unwrap_or(ident::RequestId(minted));
        let lane = xxh3::xxh3_64(&id.0.to_le_bytes()).to_le_bytes()[0];
        let wait = hints.timeout.unwrap_or(treatment.deadline);
        context::CallContext {
            request: id,
            class: treatment.class,
            lane: context::LaneHash(lane),
            remaining_micros: micros(wait.min(treatment.deadline)),
            retries_left: treatment.chain_retries,
            depth: 0,
            idempotent: treatment.idempotent,
            key: key_of(request, hints),
            print: print_of(request),
        }
    }

    /// The context of a call that the local target makes on behalf of `run`; none where that run
    /// has ended.
    fn child_context(
        &mut self,
        run: event::RunId,
        request: &call::CallRequest,
        treatment: &treatment::RuleTreatment,
        hints: &event::CallerHints,
    ) -> Option<context::CallContext> {
        let now = self.now;
        let parent = self.runs.get_mut(run)?;
        // The grant leaves the parent's allowance until the child's answer brings back what it
        // did not spend; so parallel children can't spend the same retry twice.
        let granted = parent
            .context
            .retries_left
            .div_ceil(2)
            .min(treatment.chain_retries);
        parent.context.retries_left -= granted;
        let left = parent.deadline.since(now);
        let wait = hints.timeout.unwrap_or(treatment.deadline);
        let wait = wait.min(treatment.deadline).min(left);
        Some(context::CallContext {
            request: parent.context.request,
            class: parent.context.class,
            lane: parent.context.lane,
            remaining_micros: micros(wait),
            retries_left: granted,
            depth: parent.context.depth.saturating_add(1),
            idempotent: treatment.idempotent,
            key: key_of(request, hints),
            print: print_of(request),
        })
    }

    /// Sends the next attempt of an open call, or ends the call where that can't be done.
    pub(crate) fn dispatch_attempt(&mut self, sequence: u64) {
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        if open.deadline <= self.now {
            self.end_call(sequence, not_run(verdict::RefusalReason::Deadline), None);
            return;
        }
        let choice = self.directory.choose(&open.request.service, &open.tried);
        match choice {
            Ok((peer, address)) => self.send_attempt(sequence, peer, address),
            Err(directory::ChoiceError::Unknown) => {
                self.end_call(
                    sequence,
                    not_run(verdict::RefusalReason::UnknownService),
                    None,
                );
            }
            Err(directory::ChoiceError::Nobody) => {
                self.end_call(sequence, not_run(verdict::RefusalReason::NoTarget), None);
            }
        }
    }

    fn send_attempt(&mut self, sequence: u64, peer: ident::NodeId, address: SocketAddr) {
        let node = self.config.node;
        let reply_to = self.config.peer_address;
        let now = self.now;
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        open.attempts += 1;
        open.stage = calls::CallStage::Out { peer, address };
        let mut context = open.context;
        context.remaining_micros = micros(open.deadline.since(now));
        let call = call::PeerCall {
            call: ident::CallId { node, sequence },
            attempt: open.attempts,
            reply_to,
            context,
            treatment: open.treatment.clone(),
            mark: open.mark,
            request: open.request.clone(),
        };
        if open.attempts > 1 {
            self.counters.retries += 1;
        }
        self.send_frame(peer, address, frame::PeerFrame::Call(Box::new(call)));
    }

    pub(crate) fn peer_answered(&mut self, peer: ident::NodeId, answer: call::PeerAnswer) {
        let sequence = answer.call.sequence;
        let open = self.calls.get(sequence).filter(|open| {
            // An answer late by an attempt, repeated, or sent to another incarnation of this
            // node would reach the wrong caller; call, attempt and sender must all agree.
            answer.call.node == self.config.node
                && open.attempts == answer.attempt
                && open.is_out_at(peer)
        });
        if open.is_none() {
            self.counters.answers_stale += 1;
            return;
        }
        if let Some(open) = self.calls.get_mut(sequence) {
            let left = open.context.retries_left;
            open.context.retries_left = left.saturating_sub(answer.retries_spent);
        }
        self.attempt_ended(sequence, answer.verdict, answer.answer);
    }

    /// Decides what follows the end of an attempt: a reply, a redirect or a retry.
    fn attempt_ended(
        &mut self,
        sequence: u64,
        verdict: verdict::CallVerdict,
        answer: Option<call::CallAnswer>,
    ) {
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        if let calls::CallStage::Out { peer, .. } = open.stage {
            open.tried.push(peer);
        }
        open.stage = calls::CallStage::Pausing;
        if self.phase == stopping::NodePhase::Gone {
            self.end_call(sequence, verdict, answer);
            return;
        }
        if is_redirect(verdict) && open.redirects < REDIRECT_LIMIT {
            open.redirects += 1;
            self.dispatch_attempt(sequence);
            return;
        }
        if !may_retry(verdict, open.treatment.idempotent) || open.context.retries_left == 0 {
            self.end_call(sequence, verdict, answer);
            return;
        }
        open.context.retries_left -= 1;
        let step = u32::from(open.attempts.min(6)).saturating_sub(1);
        let pause = open.treatment.backoff * 2_u32.pow(step);
        // Half of the pause is random, so that calls refused together do not return together.
        let jitter = self.random() % (micros(pause) / 2 + 1);
        let when = self.now + pause / 2 + Duration::from_micros(jitter);
        let late = self
            .calls
            .get(sequence)
            .is_some_and(|open| when >= open.deadline);
        if late {
            self.end_call(sequence, verdict, answer);
            return;
        }
        self.timers
            .set(when, timers::TimerKind::CallRetry(sequence));
    }

    pub(crate) fn call_resumes(&mut self, sequence: u64) {
        let open = self.calls.get(sequence);
        if open.is_some_and(|open| open.stage == calls::CallStage::Pausing) {
            self.dispatch_attempt(sequence);
        }
    }

    pub(crate) fn call_expired(&mut self, sequence: u64) {
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        let verdict = match open.stage {
            calls::CallStage::Out { .. } => {
                verdict::CallVerdict::MayHaveRun(verdict::DoubtReason::Deadline)
            }
            calls::CallStage::Pausing => not_run(verdict::RefusalReason::Deadline),
        };
        self.cancel_attempt(sequence);
        self.end_call(sequence, verdict, None);
    }

    pub(crate) fn caller_gone(&mut self, handle: event::CallerHandle) {
        self.counters.callers_gone += 1;
        if let Some(sequence) = self.calls.of_caller(handle) {
            self.abandon_call(sequence);
        }
    }

    /// Ends a call that nobody waits for, and the work below it.
    pub(crate) fn abandon_call(&mut self, sequence: u64) {
        self.cancel_attempt(sequence);
        let verdict = verdict::CallVerdict::MayHaveRun(verdict::DoubtReason::Cancelled);
        self.end_call(sequence, verdict, None);
    }

    pub(crate) fn cancel_attempt(&mut self, sequence: u64) {
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        let calls::CallStage::Out { peer, address } = open.stage else {
            return;
        };
        let call = ident::CallId {
            node: self.config.node,
            sequence,
        };
        let attempt = open.attempts;
        self.send_frame(peer, address, frame::PeerFrame::Cancel { call, attempt });
    }

    pub(crate) fn peer_lost(&mut self, peer: ident::NodeId) {
        for sequence in self.calls.out_at(peer) {
            let verdict = verdict::CallVerdict::MayHaveRun(verdict::DoubtReason::NodeLost);
            self.attempt_ended(sequence, verdict, None);
        }
        self.drop_runs_of(peer);
    }

    pub(crate) fn peer_unreachable(&mut self, peer: ident::NodeId, unsent: Vec<frame::PeerFrame>) {
        for frame in unsent {
            let frame::PeerFrame::Call(call) = frame else {
                continue;
            };
            let sequence = call.call.sequence;
            let current = self
                .calls
                .get(sequence)
                .is_some_and(|open| open.attempts == call.attempt && open.is_out_at(peer));
            if current {
                self.attempt_ended(sequence, not_run(verdict::RefusalReason::Unreachable), None);
            }
        }
    }

    /// Replies and forgets the call; its unspent allowance goes back to the parent run.
    pub(crate) fn end_call(
        &mut self,
        sequence: u64,
        verdict: verdict::CallVerdict,
        answer: Option<call::CallAnswer>,
    ) {
        let Some(open) = self.calls.close(sequence) else {
            return;
        };
        self.return_allowance(&open);
        let reply = effect::CallerReply {
            verdict,
            answer,
            request: open.context.request,
            attempts: open.attempts,
            mark: open.mark,
            retry_after: retry_after(verdict),
        };
        self.reply(open.handle, reply);
    }

    fn return_allowance(&mut self, open: &calls::OpenCall) {
        let Some(run) = open.parent else {
            return;
        };
        if let Some(parent) = self.runs.get_mut(run) {
            parent.context.retries_left += open.context.retries_left;
        }
    }

    fn reply(&mut self, handle: event::CallerHandle, reply: effect::CallerReply) {
        self.counters.count_reply(reply.verdict);
        self.effects.push(effect::NodeEffect::ReplyCaller {
            handle,
            reply: Box::new(reply),
        });
    }
}

fn not_run(reason: verdict::RefusalReason) -> verdict::CallVerdict {
    verdict::CallVerdict::NotRun(reason)
}

fn refusal(reason: verdict::RefusalReason, mark: treatment::RuleMark) -> effect::CallerReply {
    let verdict = not_run(reason);
    effect::CallerReply {
        verdict,
        answer: None,
        request: ident::RequestId(0),
        attempts: 0,
        mark,
        retry_after: retry_after(verdict),
    }
}

fn retry_after(verdict: verdict::CallVerdict) -> Option<Duration> {
    let verdict::CallVerdict::NotRun(reason) = verdict else {
        return None;
    };
    match reason {
        verdict::RefusalReason::Shed
        | verdict::RefusalReason::QueueFull
        | verdict::RefusalReason::NoTarget
        | verdict::RefusalReason::Leaving
        | verdict::RefusalReason::Unreachable
        | verdict::RefusalReason::KeyUnavailable
        | verdict::RefusalReason::RulesUnknown
        | verdict::RefusalReason::AttemptsSpent => Some(RETRY_AFTER),
        verdict::RefusalReason::UnknownService
        | verdict::RefusalReason::Deadline
        | verdict::RefusalReason::Quarantined
        | verdict::RefusalReason::BodyTooLarge
        | verdict::RefusalReason::KeyMismatch
        | verdict::RefusalReason::Cancelled
        | verdict::RefusalReason::Rule
        | verdict::RefusalReason::Malformed => None,
    }
}

fn is_redirect(verdict: verdict::CallVerdict) -> bool {
    matches!(
        verdict,
        verdict::CallVerdict::NotRun(
            verdict::RefusalReason::Leaving | verdict::RefusalReason::Unreachable
        )
    )
}

/// A non-idempotent request is repeated only where it is proved that it did not run.
fn may_retry(verdict: verdict::CallVerdict, idempotent: bool) -> bool {
    match verdict {
        verdict::CallVerdict::Answered => false,
        verdict::CallVerdict::NotRun(reason) => matches!(
            reason,
            verdict::RefusalReason::QueueFull
                | verdict::RefusalReason::Shed
                | verdict::RefusalReason::Leaving
                | verdict::RefusalReason::NoTarget
                | verdict::RefusalReason::Unreachable
        ),
        verdict::CallVerdict::MayHaveRun(reason) => match reason {
            verdict::DoubtReason::ConnectionLost
            | verdict::DoubtReason::AnswerCut
            | verdict::DoubtReason::NodeLost
            | verdict::DoubtReason::Stopped => idempotent,
            verdict::DoubtReason::Deadline
            | verdict::DoubtReason::RecordLost
            | verdict::DoubtReason::Cancelled
            | verdict::DoubtReason::InProgress => false,
        },
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn key_of(request: &call::CallRequest, hints: &event::CallerHints) -> Option<ident::RequestKey> {
    let key = hints.key.as_ref()?;
    Some(ident::RequestKey::of(request.service.as_str(), key))
}

fn print_of(request: &call::CallRequest) -> ident::PrintHash {
    let mut hasher = xxh3::Xxh3::new();
    for part in [request.service.as_str(), &request.method, &request.path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&request.body);
    ident::PrintHash(hasher.digest())
}
