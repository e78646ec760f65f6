//! The entry node's side of a call: from its caller's request to the one reply.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::{kind, refusal, routing};
use anvil_rules::destination;
use anvil_types::{ident, name, treatment, verdict};
use anvil_wire::{call, frame, outcome};

use crate::{accounts, calls, effect, event, notes, reducer, rulebook, settling, timers};

/// Part of the objective, in percent, for which a request waits for a target of its service to come.
/// Runs take a quarter of their objective or so, and the way there and back some milliseconds.
const TARGET_WAIT_PERCENT: u32 = 40;

/// Time between two looks for a target; a tenth of the shortest objective of the users' routes.
const TARGET_WAIT_STEP: Duration = Duration::from_millis(30);

impl reducer::NodeReducer {
    pub(crate) fn call_arrived(
        &mut self,
        handle: event::CallerHandle,
        mut request: call::CallRequest,
        hints: &event::CallerHints,
    ) {
        let rulebook::BookDecision {
            mut treatment,
            mark,
            send_to,
            ..
        } = self.book.decide(&request);
        if hints.behind && !treatment.idempotent {
            self.put_back(handle, hints);
            return;
        }
        self.counters.calls_arrived += 1;
        if let Some(send_to) = send_to.cloned() {
            request.service = self.divide(&send_to);
        }
        let parent = self.parent_of(hints);
        let sequence = self.calls.mint();
        let standing = self.standing(hints, &treatment, parent);
        let by_rule = standing.class().map(|class| {
            // The account's importance goes first, what the rule says of the request next.
            std::mem::replace(&mut treatment.class, class)
        });
        if let Some(waiting) = parent.and_then(|run| self.runs.get(run)) {
            inherit_wait(&mut treatment, &waiting.treatment);
        }
        let context = match parent {
            Some(run) => self.child_context(run, sequence, &request, &treatment, hints),
            None => Some(self.root_context(&request, &treatment, by_rule, hints)),
        };
        let Some(context) = context else {
            // The parent run has ended, so nobody waits for this call.
            let verdict = not_run(verdict::RefusalReason::Cancelled);
            let label = hints.label.clone();
            let reply = effect::CallerReply {
                mark,
                ..effect::CallerReply::without_answer(label, verdict, None)
            };
            self.reply(handle, reply);
            return;
        };
        let deadline = self.now + Duration::from_micros(context.remaining_micros);
        let call = calls::OpenCall {
            handle,
            label: hints.label.clone(),
            account: accounts::CallAccount::of(&standing, hints.credential),
            kind: kind::CallKind::of(&request),
            request,
            context,
            allowance: self.call_allowance(context.retries_left),
            holds_root: false,
            refused: None,
            treatment,
            mark,
            arrived: self.now,
            deadline,
            attempts: 0,
            reached: 0,
            ran: 0,
            redirects: 0,
            tried: Vec::new(),
            doubt: None,
            stage: calls::CallStage::Pausing,
            parent,
            sent: self.now,
            quest: None,
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

    /// Begins with the attempts of a call that nothing refuses.
    pub(crate) fn begin_attempts(&mut self, sequence: u64) {
        if !self.ask_key(sequence) {
            self.dispatch_attempt(sequence);
        }
    }

    /// The service of a request that a rule sends to one of several.
    fn divide(&mut self, send_to: &destination::RuleDestination) -> name::ServiceName {
        let draw = match send_to {
            destination::RuleDestination::Service(_) => 0,
            destination::RuleDestination::Split(_) => self.random(),
        };
        send_to.pick(draw).cloned().unwrap_or_default()
    }

    /// The run of the local target that a call serves: proved by its token, or told by its id.
    fn parent_of(&self, hints: &event::CallerHints) -> Option<event::RunId> {
        let chained = self.overload.policy.cancellation;
        if let Some(event::ParentToken(run)) = hints.parent {
            return (chained || self.runs.get(run).is_some()).then_some(run);
        }
        self.runs.labelled(hints.parent_label.as_ref()?)
    }

    /// Leaves a request to its turn on its connection.
    ///
    /// Failure: a claim stands behind a lookup whose answer closes the connection; begun early, it
    /// runs, while its caller takes it as not read and sends it again. Symptom: the claim has run
    /// twice. It comes again when the lookup is answered, so this is no refusal that counts.
    fn put_back(&mut self, handle: event::CallerHandle, hints: &event::CallerHints) {
        let verdict = not_run(verdict::RefusalReason::OutOfTurn);
        let reply = effect::CallerReply::without_answer(hints.label.clone(), verdict, None);
        self.effects.push(effect::NodeEffect::ReplyCaller {
            handle,
            reply: Box::new(reply),
        });
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
        if self.key_taken(sequence) {
            let reason = verdict::RefusalReason::Unauthenticated;
            self.end_call(sequence, not_run(reason), None);
            return;
        }
        match self.directory.choose(self.now, open.route_query()) {
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
                if self.may_wait(sequence) =>
            {
                let when = self.now + TARGET_WAIT_STEP;
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

    /// Whether a call may wait for a target of its service to come.
    ///
    /// Failure: all processes were killed, and each target's next heartbeat is a second away.
    /// Symptom: every request of that second is refused and comes back when its objective is over.
    /// A part of the objective is spent on waiting, so that what is served then is still in time.
    fn may_wait(&self, sequence: u64) -> bool {
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
        let Some(remaining) = self.hop_time(sequence, near) else {
            let limit = refusal::RefusalLimit::Deadline;
            self.refuse_call(sequence, verdict::RefusalReason::Deadline, limit);
            return;
        };
        let chained = self.overload.policy.chain_allowance;
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        open.attempts += 1;
        open.stage = calls::CallStage::Out { peer, address };
        open.sent = self.now;
        open.quest = None;
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
            rule: open.mark,
            account: open.account.name.clone(),
            label: open.label.clone(),
            request: open.request.clone(),
        };
        let service = open.request.service.clone();
        let (attempt, inherited) = (open.attempts, open.context.repeat);
        let percent = open.treatment.retry_ratio_percent;
        if attempt > 1 {
            self.counters.retries += 1;
        } else {
            let now = self.now;
            let budget = self.retry_budget(&service);
            budget.count_first_attempt(now, percent);
            if inherited {
                budget.charge_inherited();
            }
        }
        self.directory.sent(&service, peer, context.class);
        self.tell_keyed(sequence, notes::KeyedStep::Sent { attempt, to: peer });
        self.send_frame(peer, address, frame::PeerFrame::Call(Box::new(call)));
    }

    pub(crate) fn peer_answered(&mut self, peer: ident::NodeId, answer: call::PeerAnswer) {
        let sequence = answer.call.sequence;
        // An answer late by an attempt, repeated, or sent to another incarnation of this node would
        // reach the wrong caller.
        if !self.waits_for(peer, answer.attempt_id()) {
            self.counters.answers_stale += 1;
            return;
        }
        self.settle_attempt(sequence, &answer);
        if answer.verdict == verdict::CallVerdict::Answered {
            self.absolve(sequence);
        }
        self.attempt_ended(sequence, answer.verdict, answer.answer);
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
        let Some(sequence) = self.calls.of_caller(handle) else {
            return;
        };
        // The caller will send the request again under its key. Cutting the first copy short
        // would leave it in doubt for ever; its answer, kept by the owner, is what the second
        // copy is told.
        let kept = self.calls.get(sequence).is_some_and(|open| {
            let out = matches!(open.stage, calls::CallStage::Out { .. });
            out && self.guards_keys() && open.guarded_key().is_some()
        });
        if !kept {
            self.abandon_call(sequence);
        }
    }

    /// Ends a call that nobody waits for, and the work below it.
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

    /// Whether a call of this node is still out at `peer` with this attempt: node, call, attempt and
    /// sender must all agree.
    pub(crate) fn waits_for(&self, peer: ident::NodeId, id: outcome::AttemptId) -> bool {
        let open = self.calls.get(id.call.sequence);
        id.call.node == self.config.node
            && open.is_some_and(|open| open.attempts == id.attempt && open.is_out_at(peer))
    }

    /// Ends what was out at a node whose process is gone, and what it had asked for.
    pub(crate) fn peer_lost(&mut self, peer: ident::NodeId) {
        let lost = self.calls.out_at(peer);
        self.lose_calls(peer, &lost);
        self.drop_runs_of(peer);
        self.key_unreachable(peer);
    }

    /// Ends attempts whose node is gone, or says nothing of them.
    pub(crate) fn lose_calls(&mut self, peer: ident::NodeId, lost: &[u64]) {
        self.suspect_lost(peer, lost);
        for sequence in lost {
            self.lose_attempt(*sequence, peer);
            let verdict = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::NodeLost);
            self.attempt_ended(*sequence, verdict, None);
        }
    }

    pub(crate) fn peer_unreachable(&mut self, peer: ident::NodeId, unsent: Vec<frame::PeerFrame>) {
        for frame in unsent {
            let call = match frame {
                frame::PeerFrame::Call(call) => call,
                frame::PeerFrame::Outcome(message) => {
                    self.fate_unsent(peer, *message);
                    continue;
                }
                // An answer is kept and asked for; the rest is sent again by those who need it.
                _ => continue,
            };
            let sequence = call.call.sequence;
            if self.waits_for(peer, call.attempt_id()) {
                self.attempt_unsent(sequence, peer);
                self.attempt_ended(sequence, not_run(verdict::RefusalReason::Unreachable), None);
            }
        }
        self.key_unreachable(peer);
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
        let verdict = open.overall(verdict);
        let served = answer.as_ref().is_some_and(settling::is_served);
        self.return_allowance(sequence, &open, served);
        self.note_call_refusal(&open, verdict);
        self.close_key(sequence, &open, verdict, answer.as_ref());
        self.settle_token(sequence, &open, verdict);
        let retry_after = self.retry_after(&open, verdict);
        let status = answer.as_ref().map(|answer| answer.status);
        self.tell_call(&open, verdict, status, retry_after);
        let reply = effect::CallerReply {
            verdict,
            answer,
            request: open.context.request,
            attempts: open.attempts,
            mark: open.mark,
            retry_after,
            label: open.label.clone(),
        };
        self.reply(open.handle, reply);
    }

    fn tell_call(
        &mut self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
        status: Option<u16>,
        retry_after: Option<Duration>,
    ) {
        if !notes::is_told(verdict, status, open.context.lane) {
            return;
        }
        let note = notes::CallNote {
            request: open.label.clone(),
            root: open.context.request,
            service: open.request.service.clone(),
            account: open.account.name.clone(),
            class: open.context.class,
            lane: open.context.lane,
            rule: open.mark,
            verdict,
            status,
            attempts: open.attempts,
            reached: open.reached,
            nodes: open.tried.clone(),
            refused: open.refused.map(|(limit, _)| limit),
            refused_by: open.refused.map(|(_, node)| node),
            took_ms: notes::millis(self.now.since(open.arrived)),
            left_ms: notes::millis(open.deadline.since(self.now)),
            retry_after_ms: retry_after.map(notes::millis),
        };
        self.tell(effect::StateChange::CallEnded(Box::new(note)));
    }

    pub(crate) fn reply(&mut self, handle: event::CallerHandle, reply: effect::CallerReply) {
        self.counters.count_reply(reply.verdict);
        self.effects.push(effect::NodeEffect::ReplyCaller {
            handle,
            reply: Box::new(reply),
        });
    }
}

/// Lets a call wait in queues for as long as the request that it serves.
///
/// Failure: a claim calls a lookup whose rule allows a short wait, and the lookup is refused while
/// the claim could still wait. Symptom: claims fail behind a slow service although they come
/// first, and the work done for them so far is lost. The lookup keeps its own rule in all else;
/// its class and deadline are those of the claim already, so its wait stays bounded by them.
fn inherit_wait(own: &mut treatment::RuleTreatment, parent: &treatment::RuleTreatment) {
    own.queue_wait = own.queue_wait.max(parent.queue_wait);
}

pub(crate) fn not_run(reason: verdict::RefusalReason) -> verdict::CallVerdict {
    verdict::CallVerdict::NotRun(reason)
}

pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
