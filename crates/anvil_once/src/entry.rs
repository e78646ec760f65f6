//! The entry node's side: requesting keys for its calls and reporting how the calls ended.

use std::time::Duration;

use anvil_types::{ident, time, verdict};
use anvil_wire::key;

use crate::{effect, event, owner, proposal, slots};

/// A call's request for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KeyRequest {
    /// The call.
    pub(crate) call: ident::CallId,
    /// The key.
    pub(crate) key: ident::RequestKey,
    /// The digest of the caller's request.
    pub(crate) fingerprint: ident::RequestFingerprint,
}

/// The progress of a request for a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestState {
    /// The owner has not decided yet.
    Pending,
    /// The call is over and will never run; retained so that a late grant is returned.
    Abandoned {
        /// Whether the owner may still record the call as the holder of the key.
        may_hold_key: bool,
    },
    /// The call runs.
    Granted,
    /// The call has ended, and the owner has not confirmed its outcome yet.
    Ended(key::KeyOutcome),
}

/// A call of this node that has requested a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RequestEntry {
    pub(crate) request: KeyRequest,
    pub(crate) state: RequestState,
    /// The node that the last message was sent to.
    target: ident::NodeId,
    /// Selects the next target among the candidates; see [`owner::KeyOwner::route`].
    target_index: usize,
    /// Whether `target` has replied, or is known to be unreachable.
    target_answered: bool,
    /// When to send the next message.
    retry_at: time::NodeTime,
    /// When to abandon a pending request, or to remove a finished one.
    expires_at: time::NodeTime,
}

impl RequestEntry {
    /// Whether a leaving node has to wait for this call.
    pub(crate) const fn delays_stop(&self) -> bool {
        matches!(self.state, RequestState::Granted | RequestState::Ended(_))
    }

    /// The outcome of the call, if the owner still has to be notified of it.
    fn unconfirmed_outcome(&self) -> Option<key::KeyOutcome> {
        match &self.state {
            RequestState::Ended(outcome) => Some(outcome.clone()),
            RequestState::Abandoned { may_hold_key: true } => Some(key::KeyOutcome::NotRun),
            RequestState::Pending
            | RequestState::Granted
            | RequestState::Abandoned {
                may_hold_key: false,
            } => None,
        }
    }
}

impl owner::KeyOwner {
    pub(crate) fn request_key(&mut self, now: time::NodeTime, request: KeyRequest, wait: Duration) {
        if self.requests.len() >= self.policy.max_requests {
            let reason = verdict::RefusalReason::KeyUnavailable;
            self.decide(request.call, effect::KeyVerdict::NotRun(reason));
            return;
        }
        let Err(at) = self.request_position(request.call) else {
            return;
        };
        let entry = RequestEntry {
            request,
            state: RequestState::Pending,
            target: self.own,
            target_index: 0,
            target_answered: false,
            retry_at: now,
            expires_at: now + wait,
        };
        self.requests.insert(at, entry);
        self.wake_at(now + wait);
        self.send_request(now, at);
    }

    pub(crate) fn abandon(&mut self, now: time::NodeTime, call: ident::CallId) {
        if let Some(at) = self.pending_position(call) {
            self.give_up(now, at);
        }
    }

    pub(crate) fn finish(
        &mut self,
        now: time::NodeTime,
        call: ident::CallId,
        outcome: event::CallOutcome,
    ) {
        let Ok(at) = self.request_position(call) else {
            return;
        };
        if self.requests[at].state != RequestState::Granted {
            return;
        }
        let outcome = match outcome {
            event::CallOutcome::Answered(answer) => key::KeyOutcome::Answered(Some(answer)),
            event::CallOutcome::NotRun => key::KeyOutcome::NotRun,
            event::CallOutcome::MayHaveRun(reason) => key::KeyOutcome::MayHaveRun(reason),
        };
        let entry = &mut self.requests[at];
        entry.state = RequestState::Ended(outcome);
        entry.expires_at = now + self.policy.max_call_duration;
        self.send_outcome(now, at);
    }

    /// Handles a grant; a call runs only under its first one.
    pub(crate) fn handle_grant(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        call: ident::CallId,
        key: ident::RequestKey,
    ) {
        let late = |entry: &RequestEntry| now > entry.expires_at;
        let Ok(at) = self.request_position(call) else {
            self.reject_unknown_grant(from, call, key);
            return;
        };
        match &self.requests[at].state {
            RequestState::Pending if late(&self.requests[at]) => self.give_up(now, at),
            RequestState::Pending => self.dispatch(at),
            // A grant that is duplicated by the network, or repeated by the next primary, must not
            // run the call a second time.
            RequestState::Abandoned { .. } | RequestState::Granted
                if !self.policy.guards.one_run_per_call =>
            {
                self.dispatch(at);
            }
            RequestState::Abandoned { .. } => self.return_grant(from, call, key),
            RequestState::Granted => {}
            RequestState::Ended(_) => self.send_outcome(now, at),
        }
    }

    pub(crate) fn handle_refusal(
        &mut self,
        now: time::NodeTime,
        call: ident::CallId,
        refusal: key::KeyRefusal,
    ) {
        let Some(at) = self.pending_position(call) else {
            return;
        };
        let verdict = match refusal {
            key::KeyRefusal::Busy => {
                self.retry_later(now, at);
                return;
            }
            key::KeyRefusal::NotOwner(view) => {
                self.handle_redirect(now, at, view);
                return;
            }
            key::KeyRefusal::Answered(answer) => effect::KeyVerdict::Answered(answer),
            key::KeyRefusal::MayHaveRun(reason) => effect::KeyVerdict::MayHaveRun(reason),
            key::KeyRefusal::Mismatch => {
                effect::KeyVerdict::NotRun(verdict::RefusalReason::KeyMismatch)
            }
            key::KeyRefusal::Unavailable => {
                effect::KeyVerdict::NotRun(verdict::RefusalReason::KeyUnavailable)
            }
        };
        self.mark_abandoned(now, at, false);
        self.decide(call, verdict);
    }

    pub(crate) fn handle_settled(&mut self, call: ident::CallId) {
        let Ok(at) = self.request_position(call) else {
            return;
        };
        match self.requests[at].state {
            RequestState::Ended(_) => {
                self.requests.remove(at);
            }
            RequestState::Abandoned { .. } => {
                self.requests[at].state = RequestState::Abandoned {
                    may_hold_key: false,
                };
            }
            RequestState::Pending | RequestState::Granted => {}
        }
    }

    /// Sends the outcomes of a slot to its new primary; if the view is not newer than the known
    /// one, after a short delay instead.
    pub(crate) fn resend_outcomes(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        is_newer: bool,
    ) {
        let retry_at = now + self.policy.request_retry;
        for at in 0..self.requests.len() {
            let entry = &mut self.requests[at];
            let same_slot = slots::slot_of(entry.request.key) == slot;
            if !same_slot || entry.unconfirmed_outcome().is_none() {
                continue;
            }
            entry.retry_at = entry.retry_at.min(retry_at);
            // A node that replies with a view is not the primary.
            entry.target_index += usize::from(!entry.target_answered);
            entry.target_answered = true;
            if is_newer {
                entry.target_index = 0;
                self.send_outcome(now, at);
            }
            self.wake_at(retry_at);
        }
    }

    pub(crate) fn handle_unreachable(&mut self, now: time::NodeTime, node: ident::NodeId) {
        let retry_at = now + self.policy.request_retry;
        for entry in &mut self.requests {
            if entry.target == node {
                entry.target_index += usize::from(!entry.target_answered);
                entry.target_answered = true;
                entry.retry_at = entry.retry_at.min(retry_at);
            }
        }
        self.wake_at(retry_at);
    }

    pub(crate) fn tick_requests(&mut self, now: time::NodeTime) {
        for at in 0..self.requests.len() {
            let entry = &self.requests[at];
            match entry.state {
                RequestState::Pending if entry.expires_at <= now => self.give_up(now, at),
                RequestState::Pending if entry.retry_at <= now => {
                    self.skip_silent_target(at);
                    self.send_request(now, at);
                }
                RequestState::Ended(_) | RequestState::Abandoned { may_hold_key: true }
                    if entry.retry_at <= now =>
                {
                    self.skip_silent_target(at);
                    self.send_outcome(now, at);
                }
                _ => {}
            }
        }
        let expired = |entry: &RequestEntry| {
            let over = matches!(
                entry.state,
                RequestState::Abandoned { .. } | RequestState::Ended(_)
            );
            over && entry.expires_at <= now
        };
        self.requests.retain(|entry| !expired(entry));
        let active = |entry: &&RequestEntry| {
            entry.state == RequestState::Pending || entry.unconfirmed_outcome().is_some()
        };
        let next = self
            .requests
            .iter()
            .filter(active)
            .map(|entry| entry.retry_at.min(entry.expires_at))
            .min();
        if let Some(next) = next {
            self.wake_at(next);
        }
    }

    /// Advances to the next candidate if the last target did not reply.
    ///
    /// For a target that replied, the index has already been advanced, or the same target is to be
    /// used again. Advancing twice would select the same one of two owners forever.
    fn skip_silent_target(&mut self, at: usize) {
        let entry = &mut self.requests[at];
        entry.target_index += usize::from(!entry.target_answered);
    }

    fn dispatch(&mut self, at: usize) {
        let entry = &mut self.requests[at];
        entry.state = RequestState::Granted;
        let call = entry.request.call;
        self.push(effect::KeyEffect::Dispatch { call });
    }

    fn decide(&mut self, call: ident::CallId, verdict: effect::KeyVerdict) {
        self.push(effect::KeyEffect::Decide { call, verdict });
    }

    /// Abandons a pending request, and releases its key if the owner has recorded it.
    ///
    /// The owner may have granted the key although the grant was lost, and the notice that the call
    /// is over may be lost too or reach a node that is not the owner. Every later copy of the
    /// request would then be refused as in progress for as long as a call may last, although the
    /// first one never ran. So the notice is repeated, also to other nodes, until the owner has
    /// confirmed it.
    fn give_up(&mut self, now: time::NodeTime, at: usize) {
        let call = self.requests[at].request.call;
        self.mark_abandoned(now, at, true);
        self.send_outcome(now, at);
        let reason = verdict::RefusalReason::KeyUnavailable;
        self.decide(call, effect::KeyVerdict::NotRun(reason));
    }

    fn mark_abandoned(&mut self, now: time::NodeTime, at: usize, may_hold_key: bool) {
        self.requests[at].state = RequestState::Abandoned { may_hold_key };
        self.requests[at].expires_at = now + self.policy.abandoned_retention;
    }

    fn return_grant(&mut self, to: ident::NodeId, call: ident::CallId, key: ident::RequestKey) {
        let outcome = key::KeyOutcome::NotRun;
        self.send(to, key::KeyMessage::Settle { call, key, outcome });
    }

    /// Answers a grant for a call that this node has no entry for: the call won't run now, but may
    /// have run before.
    fn reject_unknown_grant(
        &mut self,
        from: ident::NodeId,
        call: ident::CallId,
        key: ident::RequestKey,
    ) {
        let outcome = key::KeyOutcome::MayHaveRun(verdict::UncertaintyReason::RecordLost);
        self.send(from, key::KeyMessage::Settle { call, key, outcome });
    }

    /// Handles the reply of a node that is not the primary, with the view that it knows.
    ///
    /// The request is sent to the primary of a newer view at once. After a view that is not newer
    /// it waits for the retry delay; otherwise it would circulate between nodes with outdated views
    /// as fast as the network allows.
    fn handle_redirect(&mut self, now: time::NodeTime, at: usize, view: Option<key::SlotView>) {
        if view.is_some_and(|view| self.learn(now, view, None)) {
            self.requests[at].target_index = 0;
            self.send_request(now, at);
            return;
        }
        self.requests[at].target_index += 1;
        let slot = slots::slot_of(self.requests[at].request.key);
        let known = self.views.get(slot);
        let owner_unknown = view.is_none() && known.is_none();
        // A backup may not know its role yet, and a dead primary can't notify it.
        if let Some(known) = known.filter(|known| view.is_none_or(|view| view.epoch < known.epoch))
        {
            let target = self.requests[at].target;
            self.send(target, key::KeyMessage::View(known));
        }
        // No node knows an owner: the slot was never claimed and the store is unavailable, so a
        // retry would change nothing.
        if owner_unknown && self.requests[at].target_index >= proposal::MAX_LIKELY_OWNERS {
            self.give_up(now, at);
            return;
        }
        self.retry_later(now, at);
    }

    fn retry_later(&mut self, now: time::NodeTime, at: usize) {
        let next = now + self.policy.request_retry;
        self.requests[at].retry_at = next;
        self.requests[at].target_answered = true;
        self.wake_at(next);
    }

    fn send_request(&mut self, now: time::NodeTime, at: usize) {
        let KeyRequest {
            call,
            key,
            fingerprint,
        } = self.requests[at].request;
        let target = self.select_target(now, at);
        self.send(
            target,
            key::KeyMessage::Request {
                call,
                key,
                fingerprint,
            },
        );
    }

    fn send_outcome(&mut self, now: time::NodeTime, at: usize) {
        let Some(outcome) = self.requests[at].unconfirmed_outcome() else {
            return;
        };
        let KeyRequest { call, key, .. } = self.requests[at].request;
        let target = self.select_target(now, at);
        self.send(target, key::KeyMessage::Settle { call, key, outcome });
    }

    /// Selects the node that the next message of a request goes to, and when to repeat it.
    fn select_target(&mut self, now: time::NodeTime, at: usize) -> ident::NodeId {
        let request = self.requests[at].request;
        let target = self.route(now, request.key, self.requests[at].target_index);
        let next = now + self.policy.send_retry;
        let entry = &mut self.requests[at];
        entry.target = target;
        entry.target_answered = false;
        entry.retry_at = next;
        self.wake_at(next);
        target
    }

    /// The node to send a request to: the owners that are not missing, the primary first, or the
    /// likely owners if there are none.
    fn route(
        &self,
        now: time::NodeTime,
        key: ident::RequestKey,
        target_index: usize,
    ) -> ident::NodeId {
        let slot = slots::slot_of(key);
        let view = self.views.get(slot);
        let owners = view.map(|view| [Some(view.primary), view.backup]);
        let owners = owners.into_iter().flatten().flatten();
        let present = |node: &ident::NodeId| !self.is_missing(now, *node, Duration::ZERO);
        let mut nodes: Vec<ident::NodeId> = owners.filter(present).collect();
        if nodes.is_empty() {
            nodes = self.likely_owners(slot);
        }
        let at = target_index % nodes.len().max(1);
        nodes.get(at).copied().unwrap_or(self.own)
    }

    fn pending_position(&self, call: ident::CallId) -> Option<usize> {
        let at = self.request_position(call).ok()?;
        (self.requests[at].state == RequestState::Pending).then_some(at)
    }

    fn request_position(&self, call: ident::CallId) -> Result<usize, usize> {
        self.requests
            .binary_search_by_key(&call, |entry| entry.request.call)
    }
}
