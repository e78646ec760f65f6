//! The entry node's side of a call: from the caller's request to the reply.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::{kind, refusal, routing};
use anvil_rules::destination;
use anvil_types::{ident, name, treatment, verdict};
use anvil_wire::{call, frame, outcome};

use crate::{
    accounts, calls, contexts, effect, event, reducer, request_log, rulebook, settling, timers,
};

/// The percentage of the latency objective for which a request waits for a target of its service to
/// appear. Runs take about a quarter of the objective, and the round trip some milliseconds.
const TARGET_WAIT_PERCENT: u32 = 40;

/// The interval at which a waiting request checks for a target; a tenth of the shortest objective
/// of the users' routes.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(30);

impl reducer::NodeReducer {
    pub(crate) fn call_arrived(
        &mut self,
        handle: event::CallerHandle,
        mut request: call::CallRequest,
        hints: &event::CallerHints,
    ) {
        let rulebook::BookDecision {
            mut treatment,
            rule,
            send_to,
            ..
        } = self.book.decide(&request);
        if hints.pipelined && !treatment.idempotent {
            self.defer_pipelined(handle, hints);
            return;
        }
        self.counters.calls_arrived += 1;
        let fingerprint = contexts::fingerprint_of(&request);
        if let Some(send_to) = send_to.cloned() {
            request.service = self.pick_service(&send_to);
        }
        self.book.count_decision();
        let parent = self.parent_of(hints);
        let sequence = self.calls.allocate_sequence();
        let identity = self.identify_caller(hints, &treatment, parent);
        let by_rule = identity.class().map(|class| {
            // The class of the account takes precedence; the class of the rule ranks the requests
            // within it.
            std::mem::replace(&mut treatment.class, class)
        });
        if let Some(waiting) = parent.and_then(|run| self.runs.get(run)) {
            inherit_queue_wait(&mut treatment, &waiting.treatment);
        }
        let routed = contexts::RoutedRequest {
            request: &request,
            fingerprint,
        };
        let context = match parent {
            Some(run) => self.child_context(run, sequence, &routed, &treatment, hints),
            None => Some(self.root_context(&routed, &treatment, by_rule, hints, &identity)),
        };
        let Some(context) = context else {
            // The parent run has ended, so nobody waits for this call.
            let verdict = not_run(verdict::RefusalReason::Cancelled);
            let label = hints.label.clone();
            let reply = effect::CallerReply {
                rule,
                ..effect::CallerReply::without_answer(label, verdict, None)
            };
            self.reply(handle, reply);
            return;
        };
        let context = self.with_return_lane(context, &identity);
        let deadline = self.now + Duration::from_micros(context.remaining_micros);
        let call = calls::OpenCall {
            handle,
            label: hints.label.clone(),
            account: accounts::CallAccount::of(&identity, hints.credential),
            kind: kind::CallKind::of(&request),
            request,
            context,
            allowance: self.call_allowance(context.retries_left),
            holds_root: false,
            refused: None,
            treatment,
            rule,
            newer_revision: self.newer_revision(),
            arrived: self.now,
            deadline,
            attempts: 0,
            reached: 0,
            possible_runs: 0,
            redirects: 0,
            tried: Vec::new(),
            refusers: Vec::new(),
            free_refusals: 0,
            awaits_retry: false,
            uncertainty: None,
            stage: calls::CallStage::Pausing,
            parent,
            sent_at: self.now,
            outcome_query: None,
        };
        self.calls.open(sequence, Box::new(call));
        self.timers
            .set(deadline, timers::TimerKind::CallDeadline(sequence));
        if let Some(reason) = self.refusal_at_entry(sequence) {
            self.end_call(sequence, not_run(reason), None);
            return;
        }
        if self.take_token(sequence) {
            self.begin_attempts(sequence);
        }
    }

    /// Starts the attempts of an accepted call, after the grant of its key if it needs one.
    pub(crate) fn begin_attempts(&mut self, sequence: u64) {
        if !self.request_key(sequence) {
            self.dispatch_attempt(sequence);
        }
    }

    /// The newest revision that this node has heard of, if it is not in force here yet.
    fn newer_revision(&self) -> Option<ident::RuleRevision> {
        let known = self.fleet.known_revision();
        (known > self.book.revision()).then_some(known)
    }

    /// Picks the service of a request for which a rule sets the destination.
    fn pick_service(&mut self, send_to: &destination::RuleDestination) -> name::ServiceName {
        let draw = match send_to {
            destination::RuleDestination::Service(_) => 0,
            destination::RuleDestination::Split(_) => self.random(),
        };
        send_to.pick(draw).cloned().unwrap_or_default()
    }

    /// The run on whose behalf the local target makes a call, identified by the parent token or by
    /// the id of the call.
    fn parent_of(&self, hints: &event::CallerHints) -> Option<event::RunId> {
        let chained = self.overload.policy.cancellation;
        if let Some(event::ParentToken(run)) = hints.parent {
            return (chained || self.runs.get(run).is_some()).then_some(run);
        }
        self.runs.find_by_label(hints.parent_label.as_ref()?)
    }

    /// Defers a pipelined non-idempotent request until the requests before it are answered.
    ///
    /// If the answer to an earlier request closes the connection, the caller takes the pipelined
    /// one as not read and sends it again; had it been started early, it would run twice. The edge
    /// offers it again when its turn comes, so this is not counted as a refusal.
    fn defer_pipelined(&mut self, handle: event::CallerHandle, hints: &event::CallerHints) {
        let verdict = not_run(verdict::RefusalReason::OutOfTurn);
        let reply = effect::CallerReply::without_answer(hints.label.clone(), verdict, None);
        self.effects.push(effect::NodeEffect::ReplyCaller {
            handle,
            reply: Box::new(reply),
        });
    }

    /// Sends the next attempt of an open call, or ends the call if that is not possible.
    pub(crate) fn dispatch_attempt(&mut self, sequence: u64) {
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        if open.deadline <= self.now {
            self.end_call(sequence, not_run(verdict::RefusalReason::Deadline), None);
            return;
        }
        let fingerprint = open.context.fingerprint;
        if let Some(limit) = self.quarantine_of(fingerprint) {
            self.refuse_call(sequence, verdict::RefusalReason::Quarantined, limit);
            return;
        }
        if self.is_key_revoked(sequence) {
            let reason = self.unknown_key_reason();
            self.end_call(sequence, not_run(reason), None);
            return;
        }
        let service = open.request.service.clone();
        let choice = self.choose_target(sequence);
        if let Some(begins) = self.directory.overflow_change(&service) {
            let service = service.to_string();
            self.log_request(effect::StateChange::ZoneOverflow { service, begins });
        }
        match choice {
            routing::RouteChoice::Target {
                node,
                address,
                same_zone: near,
            } => {
                self.send_attempt(sequence, node, address, near);
            }
            routing::RouteChoice::Shed(line) => {
                let limit = refusal::RefusalLimit::Cut(Some(line));
                self.refuse_call(sequence, verdict::RefusalReason::Shed, limit);
            }
            routing::RouteChoice::NoTarget | routing::RouteChoice::UnknownService
                if self.may_wait_for_target(sequence) =>
            {
                let when = self.now + TARGET_POLL_INTERVAL;
                self.timers
                    .set(when, timers::TimerKind::CallRetry(sequence));
            }
            routing::RouteChoice::NoTarget => {
                let limit = refusal::RefusalLimit::Other;
                self.refuse_call(sequence, verdict::RefusalReason::NoTarget, limit);
            }
            routing::RouteChoice::UnknownService => {
                let limit = refusal::RefusalLimit::Other;
                self.refuse_call(sequence, verdict::RefusalReason::UnknownService, limit);
            }
        }
    }

    /// Whether a call may wait for a target of its service to appear.
    ///
    /// After all processes were killed, each target may only be known at its next heartbeat, a
    /// second later. Requests refused in that second would be retried after their objective has
    /// passed. A call therefore waits for a part of its objective, so that it can still be served
    /// in time.
    fn may_wait_for_target(&self, sequence: u64) -> bool {
        let Some(open) = self.calls.get(sequence) else {
            return false;
        };
        let Some(objective) = open.treatment.objective else {
            return false;
        };
        let until = open.arrived + objective * TARGET_WAIT_PERCENT / 100;
        self.now < until.min(open.deadline)
    }

    fn send_attempt(
        &mut self,
        sequence: u64,
        peer: ident::NodeId,
        address: SocketAddr,
        near: bool,
    ) {
        let node = self.config.node;
        let reply_to = self.config.peer_address;
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        let remaining = match self.hop_time(open, near) {
            Ok(remaining) => remaining,
            Err(reason) => {
                let limit = match reason {
                    verdict::RefusalReason::Leaving => refusal::RefusalLimit::Leaving,
                    _ => refusal::RefusalLimit::Deadline,
                };
                self.refuse_call(sequence, reason, limit);
                return;
            }
        };
        let chained = self.overload.policy.chain_allowance;
        let notice = self.notices.get(address);
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        open.attempts += 1;
        open.stage = calls::CallStage::Out { peer, address };
        open.sent_at = self.now;
        open.outcome_query = None;
        let mut context = open.context;
        context.remaining_micros = micros(remaining);
        context.repeat |= open.reached > 0;
        context.retries_left = match chained {
            true => open.allowance.lend_attempt(u64::from(open.attempts)),
            false => 0,
        };
        let call = call::PeerCall {
            call: ident::CallId { node, sequence },
            attempt: open.attempts,
            reply_to,
            context,
            treatment: open.treatment.clone(),
            rule: open.rule,
            account: open.account.name.clone(),
            label: open.label.clone(),
            request: open.request.clone(),
            notice,
        };
        let service = open.request.service.clone();
        let (attempt, inherited) = (open.attempts, open.context.repeat);
        let percent = open.treatment.retry_ratio_percent;
        let parent = open.parent.and_then(|run| self.runs.get(run));
        let is_paid = parent.is_some_and(|run| run.calls_paid);
        if attempt > 1 {
            self.counters.retries += 1;
        } else {
            let now = self.now;
            let budget = self.retry_budget(&service);
            budget.count_first_attempt(now, percent);
            if inherited && !is_paid {
                budget.charge_inherited(1);
            }
        }
        self.directory.attempt_sent(&service, peer, context.class);
        self.log_keyed_step(sequence, request_log::KeyedStep::Sent { attempt, to: peer });
        self.log_call_attempt(sequence, request_log::AttemptStep::Sent { to: peer });
        self.send_frame(peer, address, frame::PeerFrame::Call(Box::new(call)));
    }

    /// Logs a step of the current attempt of a call that must not run twice.
    pub(crate) fn log_call_attempt(&mut self, sequence: u64, step: request_log::AttemptStep) {
        let call = self.call_id(sequence);
        let open = self.calls.get(sequence);
        let Some(open) = open.filter(|open| !open.treatment.idempotent) else {
            return;
        };
        let record = request_log::AttemptRecord {
            request: open.label.clone(),
            root: open.context.request,
            call,
            attempt: open.attempts,
            step,
        };
        self.log_attempt(record);
    }

    pub(crate) fn peer_answered(&mut self, peer: ident::NodeId, answer: call::PeerAnswer) {
        let sequence = answer.call.sequence;
        // An answer to an earlier attempt, a duplicate, or an answer to another incarnation of this
        // node must not reach the caller.
        if !self.is_awaiting(peer, answer.attempt_id()) {
            self.counters.answers_stale += 1;
            return;
        }
        let answer = self.without_invalid_status(answer);
        self.settle_attempt(sequence, &answer);
        if answer.answer.as_ref().is_some_and(settling::is_served) {
            self.clear_suspicion(sequence);
        }
        self.attempt_ended(sequence, answer.verdict, answer.answer);
    }

    /// Drops an answer whose status ends no request: the target may have run it, and said nothing that a
    /// caller could use.
    fn without_invalid_status(&mut self, mut answer: call::PeerAnswer) -> call::PeerAnswer {
        if answer
            .answer
            .as_ref()
            .is_none_or(call::CallAnswer::has_final_status)
        {
            return answer;
        }
        self.counters.answers_invalid += 1;
        answer.answer = None;
        if answer.verdict == verdict::CallVerdict::Answered {
            answer.verdict =
                verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::AnswerCut);
        }
        answer
    }

    pub(crate) fn call_expired(&mut self, sequence: u64) {
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        let verdict = match open.stage {
            calls::CallStage::Out { .. } => {
                verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Deadline)
            }
            calls::CallStage::Pausing | calls::CallStage::Asking | calls::CallStage::Metering => {
                not_run(verdict::RefusalReason::Deadline)
            }
        };
        self.cancel_attempt(sequence);
        self.end_call(sequence, verdict, None);
    }

    pub(crate) fn caller_gone(&mut self, handle: event::CallerHandle) {
        self.counters.callers_gone += 1;
        let Some(sequence) = self.calls.find_by_caller(handle) else {
            return;
        };
        // The caller will send the request again with the same key. If this copy were cancelled,
        // its outcome would stay uncertain; instead it finishes, and the owner of the key answers
        // the second copy with the recorded answer.
        let must_finish = self.calls.get(sequence).is_some_and(|open| {
            let in_flight = matches!(open.stage, calls::CallStage::Out { .. });
            in_flight && self.guards_keys() && open.guarded_key().is_some()
        });
        if !must_finish {
            self.abandon_call(sequence);
        }
    }

    /// Ends a call that nobody waits for, and cancels its attempt.
    pub(crate) fn abandon_call(&mut self, sequence: u64) {
        self.cancel_attempt(sequence);
        let verdict = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Cancelled);
        self.end_call(sequence, verdict, None);
    }

    pub(crate) fn cancel_attempt(&mut self, sequence: u64) {
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        let calls::CallStage::Out { peer, address } = open.stage else {
            return;
        };
        let call = self.call_id(sequence);
        let attempt = open.attempts;
        let expired = open.deadline <= self.now;
        let reason = match expired {
            true => verdict::UncertaintyReason::Deadline,
            false => verdict::UncertaintyReason::Cancelled,
        };
        let step = request_log::AttemptStep::Settled {
            verdict: verdict::CallVerdict::MayHaveRun(reason),
            status: None,
        };
        self.log_call_attempt(sequence, step);
        self.attempt_given_up(sequence, peer, expired);
        if !self.overload.policy.cancellation {
            return;
        }
        self.send_frame(peer, address, frame::PeerFrame::Cancel { call, attempt });
    }

    /// The identity of a call of this node.
    pub(crate) fn call_id(&self, sequence: u64) -> ident::CallId {
        ident::CallId {
            node: self.config.node,
            sequence,
        }
    }

    /// Whether this attempt is the current one of a call of this node and in flight at `peer`:
    /// node, call, attempt and peer must all match.
    pub(crate) fn is_awaiting(&self, peer: ident::NodeId, id: outcome::AttemptId) -> bool {
        let open = self.calls.get(id.call.sequence);
        id.call.node == self.config.node
            && open.is_some_and(|open| open.attempts == id.attempt && open.is_in_flight_at(peer))
    }

    /// Ends the calls in flight at a node whose process has ended, and cancels the runs that it
    /// requested.
    pub(crate) fn peer_lost(&mut self, peer: ident::NodeId) {
        let lost = self.calls.in_flight_at(peer);
        self.end_lost_calls(peer, &lost);
        self.cancel_runs_of(peer);
        self.key_unreachable(peer);
    }

    /// Ends the attempts of calls whose node has ended or doesn't answer.
    pub(crate) fn end_lost_calls(&mut self, peer: ident::NodeId, lost: &[u64]) {
        self.suspect_lost_requests(peer, lost);
        for sequence in lost {
            self.attempt_lost(*sequence, peer);
            let verdict = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::NodeLost);
            self.attempt_ended(*sequence, verdict, None);
        }
    }

    pub(crate) fn peer_unreachable(&mut self, peer: ident::NodeId, unsent: Vec<frame::PeerFrame>) {
        for frame in unsent {
            let call = match frame {
                frame::PeerFrame::Call(call) => call,
                frame::PeerFrame::Outcome(message) => {
                    self.outcome_message_unsent(peer, *message);
                    continue;
                }
                // Answers are cached and will be queried; all other messages are repeated by their
                // senders if necessary.
                _ => continue,
            };
            let sequence = call.call.sequence;
            if self.is_awaiting(peer, call.attempt_id()) {
                self.attempt_unsent(sequence, peer);
                self.attempt_ended(sequence, not_run(verdict::RefusalReason::Unreachable), None);
            }
        }
        self.key_unreachable(peer);
    }

    /// Replies to the caller and closes the call; its unspent retries return to the parent run.
    pub(crate) fn end_call(
        &mut self,
        sequence: u64,
        verdict: verdict::CallVerdict,
        answer: Option<call::CallAnswer>,
    ) {
        let Some(open) = self.calls.close(sequence) else {
            return;
        };
        let verdict = open.final_verdict(verdict);
        let served = answer.as_ref().is_some_and(settling::is_served);
        self.count_refused_call(&open, verdict);
        self.return_allowance(sequence, &open, served);
        self.record_call_refusal(&open, verdict);
        self.finish_key(sequence, &open, verdict, answer.as_ref());
        self.settle_token(sequence, &open, verdict);
        self.count_account_refusal(&open, verdict);
        let appointment = self.settle_return(&open, verdict);
        let retry_after = appointment.or_else(|| self.retry_after(&open, verdict));
        let status = answer.as_ref().map(|answer| answer.status);
        self.log_call(&open, verdict, status, retry_after);
        let reply = effect::CallerReply {
            verdict,
            answer,
            request: open.context.request,
            attempts: open.attempts,
            rule: open.rule,
            retry_after,
            label: open.label.clone(),
        };
        self.reply(open.handle, reply);
    }

    fn log_call(
        &mut self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
        status: Option<u16>,
        retry_after: Option<Duration>,
    ) {
        let is_disputed = open.newer_revision.is_some();
        let lane = self.uniform_lane(&open.context);
        if !is_disputed && !request_log::is_logged(verdict, status, lane) {
            return;
        }
        let summary = request_log::CallSummary {
            request: open.label.clone(),
            root: open.context.request,
            service: open.request.service.clone(),
            account: open.account.name.clone(),
            class: open.context.class,
            lane: open.context.lane,
            rule: open.rule,
            newer_revision: open.newer_revision,
            verdict,
            status,
            attempts: open.attempts,
            reached: open.reached,
            nodes: open.tried.clone(),
            refused: open.refused.map(|(limit, _)| limit),
            refused_by: open.refused.map(|(_, node)| node),
            took_ms: request_log::millis(self.now.since(open.arrived)),
            left_ms: request_log::millis(open.deadline.since(self.now)),
            retry_after_ms: retry_after.map(request_log::millis),
        };
        self.log_request(effect::StateChange::CallEnded(Box::new(summary)));
    }

    pub(crate) fn reply(&mut self, handle: event::CallerHandle, reply: effect::CallerReply) {
        self.counters.count_reply(reply.verdict);
        self.effects.push(effect::NodeEffect::ReplyCaller {
            handle,
            reply: Box::new(reply),
        });
    }
}

/// Lets a call wait in queues for as long as its parent request may wait.
///
/// If a high-priority request calls a service whose rule only allows a short wait, the call would
/// be refused while its parent could still wait. The parent would fail behind a slow service in
/// spite of its priority, and its work so far would be lost. Everything else follows the call's own
/// rule. Its class and deadline are those of the parent, which bounds the wait.
fn inherit_queue_wait(own: &mut treatment::RuleTreatment, parent: &treatment::RuleTreatment) {
    own.queue_wait = own.queue_wait.max(parent.queue_wait);
}

pub(crate) fn not_run(reason: verdict::RefusalReason) -> verdict::CallVerdict {
    verdict::CallVerdict::NotRun(reason)
}

pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
