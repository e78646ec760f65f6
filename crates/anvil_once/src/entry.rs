//! The entry node's side: it asks for its own calls and tells how they ended.

use std::time::Duration;

use anvil_types::{ident, time, verdict};
use anvil_wire::key;

use crate::{effect, event, owner, proposal, slots};

/// A call's question for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KeyQuestion {
    /// The call.
    pub(crate) call: ident::CallId,
    /// The key.
    pub(crate) key: ident::RequestKey,
    /// The digest of the request.
    pub(crate) print: ident::RequestFingerprint,
}

/// How far a call of this node has come with its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AskState {
    /// The owner has not decided.
    Asking,
    /// The call is over and will never run; kept for a late grant.
    Abandoned {
        /// Whether an owner may hold the key for it still.
        held: bool,
    },
    /// The call runs.
    Granted,
    /// The call is over and the owner has not confirmed that it knows how.
    Ended(key::KeyOutcome),
}

/// A call of this node that asked for a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KeyAsk {
    pub(crate) question: KeyQuestion,
    pub(crate) state: AskState,
    /// The node asked last.
    target: ident::NodeId,
    /// Chooses the node to ask next.
    tried: usize,
    /// Whether the node asked last has answered or is known not to.
    answered: bool,
    /// When to repeat.
    next: time::NodeTime,
    /// When to give up or to forget.
    until: time::NodeTime,
}

impl KeyAsk {
    pub(crate) const fn holds_node(&self) -> bool {
        matches!(self.state, AskState::Granted | AskState::Ended(_))
    }

    /// How the call ended, as far as its owner has not confirmed to know.
    fn untold_outcome(&self) -> Option<key::KeyOutcome> {
        match &self.state {
            AskState::Ended(outcome) => Some(outcome.clone()),
            AskState::Abandoned { held: true } => Some(key::KeyOutcome::NotRun),
            AskState::Asking | AskState::Granted | AskState::Abandoned { held: false } => None,
        }
    }
}

impl owner::KeyOwner {
    pub(crate) fn ask(&mut self, now: time::NodeTime, question: KeyQuestion, wait: Duration) {
        if self.asks.len() >= self.policy.max_requests {
            let reason = verdict::RefusalReason::KeyUnavailable;
            self.decide(question.call, effect::KeyVerdict::NotRun(reason));
            return;
        }
        let Err(at) = self.ask_place(question.call) else {
            return;
        };
        let ask = KeyAsk {
            question,
            state: AskState::Asking,
            target: self.own,
            tried: 0,
            answered: false,
            next: now,
            until: now + wait,
        };
        self.asks.insert(at, ask);
        self.wake_at(now + wait);
        self.send_ask(now, at);
    }

    pub(crate) fn abandon(&mut self, now: time::NodeTime, call: ident::CallId) {
        if let Some(at) = self.asking(call) {
            self.give_up(now, at);
        }
    }

    pub(crate) fn end(
        &mut self,
        now: time::NodeTime,
        call: ident::CallId,
        end: event::CallOutcome,
    ) {
        let Ok(at) = self.ask_place(call) else { return };
        if self.asks[at].state != AskState::Granted {
            return;
        }
        let outcome = match end {
            event::CallOutcome::Answered(answer) => key::KeyOutcome::Answered(Some(answer)),
            event::CallOutcome::NotRun => key::KeyOutcome::NotRun,
            event::CallOutcome::MayHaveRun(reason) => key::KeyOutcome::MayHaveRun(reason),
        };
        let ask = &mut self.asks[at];
        ask.state = AskState::Ended(outcome);
        ask.until = now + self.policy.max_call_duration;
        self.send_outcome(now, at);
    }

    /// Takes a grant; the call runs only under its first one.
    pub(crate) fn take_grant(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        call: ident::CallId,
        key: ident::RequestKey,
    ) {
        let late = |ask: &KeyAsk| now > ask.until;
        let Ok(at) = self.ask_place(call) else {
            self.refuse_unknown_grant(from, call, key);
            return;
        };
        match &self.asks[at].state {
            AskState::Asking if late(&self.asks[at]) => self.give_up(now, at),
            AskState::Asking => self.dispatch(at),
            // A grant repeated on the way, or by the next primary, would run the call again: the
            // target would count two runs. One call has one run, whoever grants it.
            AskState::Abandoned { .. } | AskState::Granted
                if !self.policy.guards.one_run_per_call =>
            {
                self.dispatch(at);
            }
            AskState::Abandoned { .. } => self.return_grant(from, call, key),
            AskState::Granted => {}
            AskState::Ended(_) => self.send_outcome(now, at),
        }
    }

    pub(crate) fn take_refusal(
        &mut self,
        now: time::NodeTime,
        call: ident::CallId,
        refusal: key::KeyRefusal,
    ) {
        let Some(at) = self.asking(call) else { return };
        let verdict = match refusal {
            key::KeyRefusal::Busy => {
                self.repeat_later(now, at);
                return;
            }
            key::KeyRefusal::NotOwner(view) => {
                self.follow_view(now, at, view);
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
        self.shelve(now, at, false);
        self.decide(call, verdict);
    }

    pub(crate) fn forget_outcome(&mut self, call: ident::CallId) {
        let Ok(at) = self.ask_place(call) else { return };
        match self.asks[at].state {
            AskState::Ended(_) => {
                self.asks.remove(at);
            }
            AskState::Abandoned { .. } => {
                self.asks[at].state = AskState::Abandoned { held: false };
            }
            AskState::Asking | AskState::Granted => {}
        }
    }

    /// Sends the outcomes of a slot to its new primary, or soon where the view is no news.
    pub(crate) fn resend_outcomes(&mut self, now: time::NodeTime, slot: key::SlotId, news: bool) {
        let soon = now + self.policy.request_retry;
        for at in 0..self.asks.len() {
            let ask = &mut self.asks[at];
            let concerned = slots::slot_of(ask.question.key) == slot;
            if !concerned || ask.untold_outcome().is_none() {
                continue;
            }
            ask.next = ask.next.min(soon);
            // The node that told of the view is not the primary.
            ask.tried += usize::from(!ask.answered);
            ask.answered = true;
            if news {
                ask.tried = 0;
                self.send_outcome(now, at);
            }
            self.wake_at(soon);
        }
    }

    pub(crate) fn lose_messages(&mut self, now: time::NodeTime, node: ident::NodeId) {
        let soon = now + self.policy.request_retry;
        for ask in &mut self.asks {
            if ask.target == node {
                ask.tried += usize::from(!ask.answered);
                ask.answered = true;
                ask.next = ask.next.min(soon);
            }
        }
        self.wake_at(soon);
    }

    pub(crate) fn tick_asks(&mut self, now: time::NodeTime) {
        for at in 0..self.asks.len() {
            let ask = &self.asks[at];
            match ask.state {
                AskState::Asking if ask.until <= now => self.give_up(now, at),
                AskState::Asking if ask.next <= now => {
                    self.turn_from_silent(at);
                    self.send_ask(now, at);
                }
                AskState::Ended(_) | AskState::Abandoned { held: true } if ask.next <= now => {
                    self.turn_from_silent(at);
                    self.send_outcome(now, at);
                }
                _ => {}
            }
        }
        let forgotten = |ask: &KeyAsk| {
            let over = matches!(ask.state, AskState::Abandoned { .. } | AskState::Ended(_));
            over && ask.until <= now
        };
        self.asks.retain(|ask| !forgotten(ask));
        let waits = |ask: &&KeyAsk| ask.state == AskState::Asking || ask.untold_outcome().is_some();
        let next = self
            .asks
            .iter()
            .filter(waits)
            .map(|ask| ask.next.min(ask.until))
            .min();
        if let Some(next) = next {
            self.wake_at(next);
        }
    }

    /// Turns to the next node where the last one did not answer.
    ///
    /// One that answered was turned from, or is to be asked again; turning twice would come back
    /// to the same one of two owners for ever.
    fn turn_from_silent(&mut self, at: usize) {
        let ask = &mut self.asks[at];
        ask.tried += usize::from(!ask.answered);
    }

    fn dispatch(&mut self, at: usize) {
        let ask = &mut self.asks[at];
        ask.state = AskState::Granted;
        let call = ask.question.call;
        self.push(effect::KeyEffect::Dispatch { call });
    }

    fn decide(&mut self, call: ident::CallId, verdict: effect::KeyVerdict) {
        self.push(effect::KeyEffect::Decide { call, verdict });
    }

    /// Ends a call that waited too long, and frees its key where the owner has recorded it.
    ///
    /// Failure: the owner granted the key and the grant was lost, or the word that the call is over
    /// went to a node that is not the owner. Symptom: every later copy hears that the first one is in
    /// progress, for as long as a call may last, though it never ran. The word is repeated, also to
    /// other nodes, until the owner has confirmed it.
    fn give_up(&mut self, now: time::NodeTime, at: usize) {
        let call = self.asks[at].question.call;
        self.shelve(now, at, true);
        self.send_outcome(now, at);
        let reason = verdict::RefusalReason::KeyUnavailable;
        self.decide(call, effect::KeyVerdict::NotRun(reason));
    }

    fn shelve(&mut self, now: time::NodeTime, at: usize, held: bool) {
        self.asks[at].state = AskState::Abandoned { held };
        self.asks[at].until = now + self.policy.abandoned_retention;
    }

    fn return_grant(&mut self, to: ident::NodeId, call: ident::CallId, key: ident::RequestKey) {
        let outcome = key::KeyOutcome::NotRun;
        self.send(to, key::KeyMessage::Settle { call, key, outcome });
    }

    /// Nothing is known about the call any more, so it may have run; it won't run now.
    fn refuse_unknown_grant(
        &mut self,
        from: ident::NodeId,
        call: ident::CallId,
        key: ident::RequestKey,
    ) {
        let outcome = key::KeyOutcome::MayHaveRun(verdict::UncertaintyReason::RecordLost);
        self.send(from, key::KeyMessage::Settle { call, key, outcome });
    }

    /// Asks the primary of a newer view at once.
    ///
    /// A view that is no news would send the question around between nodes that know no better,
    /// as fast as the network allows; it waits its turn instead.
    fn follow_view(&mut self, now: time::NodeTime, at: usize, view: Option<key::SlotView>) {
        if view.is_some_and(|view| self.learn(now, view, None)) {
            self.asks[at].tried = 0;
            self.send_ask(now, at);
            return;
        }
        self.asks[at].tried += 1;
        let slot = slots::slot_of(self.asks[at].question.key);
        let known = self.views.get(slot);
        let nobody_knows = view.is_none() && known.is_none();
        // A backup may not know yet that it is one; with the primary gone, nobody else tells it.
        if let Some(known) = known.filter(|known| view.is_none_or(|view| view.epoch < known.epoch))
        {
            let target = self.asks[at].target;
            self.send(target, key::KeyMessage::View(known));
        }
        // The store is out and the slot was never claimed: waiting would change nothing.
        if nobody_knows && self.asks[at].tried >= proposal::LIKELY_NODES {
            self.give_up(now, at);
            return;
        }
        self.repeat_later(now, at);
    }

    fn repeat_later(&mut self, now: time::NodeTime, at: usize) {
        let next = now + self.policy.request_retry;
        self.asks[at].next = next;
        self.asks[at].answered = true;
        self.wake_at(next);
    }

    fn send_ask(&mut self, now: time::NodeTime, at: usize) {
        let KeyQuestion { call, key, print } = self.asks[at].question;
        let target = self.aim(now, at);
        self.send(
            target,
            key::KeyMessage::Request {
                call,
                key,
                fingerprint: print,
            },
        );
    }

    fn send_outcome(&mut self, now: time::NodeTime, at: usize) {
        let Some(outcome) = self.asks[at].untold_outcome() else {
            return;
        };
        let KeyQuestion { call, key, .. } = self.asks[at].question;
        let target = self.aim(now, at);
        self.send(target, key::KeyMessage::Settle { call, key, outcome });
    }

    /// Chooses the node that the next message of an ask goes to, and when to repeat it.
    fn aim(&mut self, now: time::NodeTime, at: usize) -> ident::NodeId {
        let question = self.asks[at].question;
        let target = self.route(now, question.key, self.asks[at].tried);
        let next = now + self.policy.send_retry;
        let ask = &mut self.asks[at];
        ask.target = target;
        ask.answered = false;
        ask.next = next;
        self.wake_at(next);
        target
    }

    /// The node to ask: the primary, then the backup, then whoever would take the slot.
    fn route(&self, now: time::NodeTime, key: ident::RequestKey, tried: usize) -> ident::NodeId {
        let slot = slots::slot_of(key);
        let view = self.views.get(slot);
        let owners = view.map(|view| [Some(view.primary), view.backup]);
        let owners = owners.into_iter().flatten().flatten();
        let present = |node: &ident::NodeId| !self.is_missing(now, *node, Duration::ZERO);
        let mut nodes: Vec<ident::NodeId> = owners.filter(present).collect();
        if nodes.is_empty() {
            nodes = self.likely(slot);
        }
        let at = tried % nodes.len().max(1);
        nodes.get(at).copied().unwrap_or(self.own)
    }

    fn asking(&self, call: ident::CallId) -> Option<usize> {
        let at = self.ask_place(call).ok()?;
        (self.asks[at].state == AskState::Asking).then_some(at)
    }

    fn ask_place(&self, call: ident::CallId) -> Result<usize, usize> {
        self.asks
            .binary_search_by_key(&call, |ask| ask.question.call)
    }
}
