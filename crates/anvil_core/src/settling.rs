//! What each attempt and each root request does to the allowance of its chain and to the routes; see
//! `docs/design/retries.md`.

use anvil_overload::{allowance, policy, refusal, resend, routing};
use anvil_types::{ident, verdict};
use anvil_wire::call;

use crate::{calls, reducer, retrying};

impl reducer::NodeReducer {
    /// Draws the allowance of a root request that may have been here before.
    pub(crate) fn begin_root(&mut self, sequence: u64) -> Option<verdict::RefusalReason> {
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
                self.blame(sequence, refusal::RefusalLimit::ChainRetries(bound));
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

    /// Takes back what an answered attempt did not spend, and learns from its load.
    pub(crate) fn settle_attempt(&mut self, sequence: u64, answer: &call::PeerAnswer) {
        let now = self.now;
        let Some(open) = self.calls.get_mut(sequence) else {
            return;
        };
        let calls::CallStage::Out { peer, .. } = open.stage else {
            return;
        };
        open.allowance
            .settle(u64::from(answer.attempt), answer.retries_spent);
        if let verdict::CallVerdict::NotRun(_) = answer.verdict {
            let line = answer.load.cut.max(answer.load.deep);
            open.refused = Some((refusal::RefusalLimit::Cut(line), peer));
        }
        let report = routing::AttemptReport {
            class: open.context.class,
            kind: open.kind,
            end: attempt_end(answer),
            load: Some(&answer.load),
            answer_bytes: answer
                .answer
                .as_ref()
                .map(|whole| calls::frame_bytes(&whole.body)),
        };
        let service = open.request.service.clone();
        self.directory.ended(now, &service, peer, report);
    }

    /// Writes off what was lent to an attempt whose node is lost.
    pub(crate) fn lose_attempt(&mut self, sequence: u64, peer: ident::NodeId) {
        self.close_attempt(sequence, peer, routing::AttemptEnd::Unreachable, u16::MAX);
    }

    /// Takes back what was lent to an attempt that never left.
    pub(crate) fn attempt_unsent(&mut self, sequence: u64, peer: ident::NodeId) {
        self.close_attempt(sequence, peer, routing::AttemptEnd::Unreachable, 0);
    }

    /// Writes off an attempt that nobody waits for any more.
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
        self.directory.ended(now, &service, peer, report);
    }

    /// Gives back what the call left: to the run that made it, or to later copies of the root.
    ///
    /// A call that was not `served` fails its run, as far as that can be known from outside.
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

/// Whether an answer is of use to whoever asked.
pub(crate) fn is_served(answer: &call::CallAnswer) -> bool {
    answer.status < retrying::SERVER_ERROR
}

/// What the end of an attempt says of its target.
///
/// Failure: a deep service refuses a part of its calls, and every request that needs it fails.
/// Symptom: each target above looks bad for some seconds after each such failure, so that requests
/// leave their availability zone for one that fails no less; three of four claims did, with their
/// bodies. A failure for that of a call below therefore counts for nothing.
fn attempt_end(answer: &call::PeerAnswer) -> routing::AttemptEnd {
    match answer.verdict {
        verdict::CallVerdict::Answered => match &answer.answer {
            Some(whole) if is_served(whole) || answer.failed_below => {
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
