//! Settles ended attempts and root requests with the retry allowance of their chain and with the
//! routes; see `docs/design/retries.md`.

use anvil_overload::{allowance, policy, refusal, resend, routing};
use anvil_types::{ident, verdict};
use anvil_wire::call;

use crate::{calls, reducer, retrying};

impl reducer::NodeReducer {
    /// Draws the retry allowance of a root request; earlier copies of it may have spent a part.
    /// Returns why the request is refused if nothing is left.
    pub(crate) fn draw_root_allowance(&mut self, sequence: u64) -> Option<verdict::RefusalReason> {
        if !self.overload.policy.chain_allowance {
            return None;
        }
        let open = self.calls.get_mut(sequence)?;
        if open.parent.is_some() {
            return None;
        }
        let bound = open.treatment.chain_retries;
        match self
            .overload
            .resends
            .begin(self.now, open.context.request, bound)
        {
            resend::ResendGrant::Granted(retries) => {
                open.allowance = allowance::ChainAllowance::new(retries);
                open.holds_root = true;
                None
            }
            resend::ResendGrant::Spent => {
                open.allowance = allowance::ChainAllowance::new(0);
                self.record_limit(sequence, refusal::RefusalLimit::ChainRetries(bound));
                Some(verdict::RefusalReason::AttemptsSpent)
            }
        }
    }

    pub(crate) fn call_allowance(&self, retries: u16) -> allowance::ChainAllowance {
        let bound = if self.overload.policy.chain_allowance {
            retries
        } else {
            policy::NAIVE_HOP_RETRIES
        };
        allowance::ChainAllowance::new(bound)
    }

    /// Reclaims the retries that an answered attempt did not spend, and records its load report.
    pub(crate) fn settle_attempt(&mut self, sequence: u64, answer: &call::PeerAnswer) {
        let now = self.now;
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        let calls::CallStage::Out { peer, address } = open.stage else {
            return;
        };
        open.allowance
            .settle(u64::from(answer.attempt), answer.retries_spent);
        if let verdict::CallVerdict::NotRun(_) = answer.verdict {
            let line = answer.load.cut.max(answer.load.deep);
            open.refused = Some((refusal::RefusalLimit::Cut(line), peer));
        }
        let took = now.since(open.sent_at);
        let report = routing::AttemptReport {
            class: open.context.class,
            kind: open.kind,
            end: attempt_end(answer),
            load: Some(&answer.load),
            answer_bytes: answer
                .answer
                .as_ref()
                .map(|answer| calls::frame_bytes(&answer.body)),
        };
        let service = open.request.service.clone();
        self.directory.attempt_ended(now, &service, peer, report);
        self.record_target_reply(sequence, peer, answer, took);
        if let Some(notice) = answer.load.notice {
            self.notice_arrived(peer, address, notice);
        }
    }

    /// Writes off the retries lent to an attempt whose node was lost.
    pub(crate) fn attempt_lost(&mut self, sequence: u64, peer: ident::NodeId) {
        self.close_attempt(sequence, peer, routing::AttemptEnd::Unreachable, u16::MAX);
    }

    /// Reclaims the retries lent to an attempt that was never sent.
    pub(crate) fn attempt_unsent(&mut self, sequence: u64, peer: ident::NodeId) {
        self.close_attempt(sequence, peer, routing::AttemptEnd::Unreachable, 0);
    }

    /// Writes off the retries lent to an attempt that nobody waits for any more.
    pub(crate) fn attempt_given_up(&mut self, sequence: u64, peer: ident::NodeId, expired: bool) {
        let end = if expired {
            routing::AttemptEnd::Failed
        } else {
            routing::AttemptEnd::Succeeded
        };
        self.close_attempt(sequence, peer, end, u16::MAX);
    }

    fn close_attempt(
        &mut self,
        sequence: u64,
        peer: ident::NodeId,
        end: routing::AttemptEnd,
        spent: u16,
    ) {
        let now = self.now;
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        open.allowance.settle(u64::from(open.attempts), spent);
        let service = open.request.service.clone();
        let report = routing::AttemptReport {
            class: open.context.class,
            kind: open.kind,
            end,
            load: None,
            answer_bytes: None,
        };
        self.directory.attempt_ended(now, &service, peer, report);
    }

    /// Returns the unspent retries of a call to the run that made it, or saves them for later
    /// copies of its root request.
    ///
    /// A call that was not `served` is assumed to fail its run, which can't be observed directly.
    pub(crate) fn return_allowance(&mut self, sequence: u64, open: &calls::OpenCall, served: bool) {
        let now = self.now;
        if !self.overload.policy.chain_allowance {
            if let Some(parent) = open.parent.and_then(|run| self.runs.get_mut(run)) {
                parent.waits.end(now, !served);
            }
            return;
        }
        let Some(run) = open.parent else {
            let left = open.allowance.available();
            let dispatched = open.attempts > 0;
            if open.holds_root {
                self.overload
                    .resends
                    .end(now, open.context.request, left, dispatched);
            }
            return;
        };
        if let Some(parent) = self.runs.get_mut(run) {
            parent.allowance.settle(sequence, open.allowance.spent());
            parent.waits.end(now, !served);
        }
    }
}

/// Whether an answer counts as a success for the caller.
pub(crate) fn is_served(answer: &call::CallAnswer) -> bool {
    answer.status < retrying::SERVER_ERROR
}

/// What the outcome of an attempt says about its target.
///
/// If a service deep in the call graph refuses some of its calls, the requests that need it fail at
/// every target above. Counted against those targets, the failures would make requests leave their
/// availability zone for another one that fails as often; three of four requests did so, together
/// with their bodies. A failure caused by a call further down therefore doesn't count against the
/// target.
fn attempt_end(answer: &call::PeerAnswer) -> routing::AttemptEnd {
    match answer.verdict {
        verdict::CallVerdict::Answered => match &answer.answer {
            Some(complete) if is_served(complete) || answer.failed_below => {
                routing::AttemptEnd::Succeeded
            }
            _ => routing::AttemptEnd::Failed,
        },
        verdict::CallVerdict::NotRun(verdict::RefusalReason::Unreachable) => {
            routing::AttemptEnd::Unreachable
        }
        verdict::CallVerdict::NotRun(_) => routing::AttemptEnd::Succeeded,
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Cancelled) => {
            routing::AttemptEnd::Succeeded
        }
        verdict::CallVerdict::MayHaveRun(_) if answer.failed_below => {
            routing::AttemptEnd::Succeeded
        }
        verdict::CallVerdict::MayHaveRun(_) => routing::AttemptEnd::Failed,
    }
}
