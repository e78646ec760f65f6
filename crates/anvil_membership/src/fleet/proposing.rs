//! Writing an operator's change to the rule log in the store.

use anvil_types::{store, time};
use anvil_wire::gossip;
use bytes::Bytes;

use crate::{effect, fleet, keys, proposal, store_requests};

/// Why a change was rejected without an attempt to write it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ProposalRefusal {
    /// Another change is being written through this node.
    #[display("another change is being written through this node; try again")]
    Busy,
    /// The node has not compared its rules with peers or the store yet.
    #[display("this node has not compared its rules with its peers or the store yet")]
    NotReady,
    /// No store is configured.
    #[display("no platform store is configured to keep the rules in")]
    NoStore,
}

impl fleet::FleetState {
    /// Starts to write a change that follows the revision held; the outcome is reported as
    /// [`effect::FleetEffect::ProposalEnded`].
    pub fn propose(
        &mut self,
        now: time::NodeTime,
        change: u128,
        body: Bytes,
    ) -> Result<Vec<effect::FleetEffect>, ProposalRefusal> {
        if !self.config.store {
            return Err(ProposalRefusal::NoStore);
        }
        if !self.rules.ready {
            return Err(ProposalRefusal::NotReady);
        }
        if self.rules.proposal.is_some() {
            return Err(ProposalRefusal::Busy);
        }
        let mut revision = self.revision();
        revision.0 = revision.0.saturating_add(1);
        let change = gossip::LoggedChange {
            revision,
            change,
            body,
        };
        self.rules.proposal = Some(proposal::OpenProposal::new(change, now));
        let mut out = Vec::new();
        self.propose_when_due(now, &mut out);
        Ok(out)
    }

    /// Runs the next step of the open proposal, if it is due.
    pub(super) fn propose_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(open) = &mut self.rules.proposal else {
            return;
        };
        let Some((_, step)) = open.next.take_if(|(at, _)| *at <= now) else {
            return;
        };
        let change = open.change.clone();
        let key = keys::log_entry(change.revision);
        let known = self
            .rules
            .log
            .tail()
            .find(|c| c.revision == change.revision);
        if let Some(known) = known.cloned() {
            self.resolve_proposal(now, &known, out);
            return;
        }
        match (step, change.to_value()) {
            (proposal::ProposalStep::Write, Some(value)) => {
                let request = store::StoreRequest::Swap {
                    key,
                    condition: store::SwapCondition::Absent,
                    value,
                    lease: None,
                };
                self.request_store(now, store_requests::RequestPurpose::Propose, request, out);
            }
            (proposal::ProposalStep::Write, None) => {
                self.end_proposal(proposal::ProposalOutcome::Unavailable, out);
            }
            (proposal::ProposalStep::Read, _) => {
                self.request_store(
                    now,
                    store_requests::RequestPurpose::Resolve,
                    store::StoreRequest::Get { key },
                    out,
                );
            }
        }
    }

    /// Handles the outcome of writing the change, or of reading it back.
    ///
    /// A write whose reply was lost may have taken effect, so it must not be reported as a
    /// failure, and a retry could conflict with the change itself. Therefore the entry is read and
    /// its change id compared. The change is written again only if there is no entry, and only if
    /// it is still absent.
    pub(super) fn on_proposal_outcome(
        &mut self,
        now: time::NodeTime,
        outcome: store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        match outcome {
            store::StoreOutcome::Done(store::StoreReply::Swapped { .. }) => {
                let own = self.rules.proposal.as_ref().map(|p| p.change.clone());
                if let Some(own) = own {
                    self.resolve_proposal(now, &own, out);
                }
            }
            store::StoreOutcome::Done(store::StoreReply::Entry(None)) => {
                self.schedule_step(now, proposal::ProposalStep::Write, out);
            }
            store::StoreOutcome::Done(store::StoreReply::Entry(Some(entry)))
            | store::StoreOutcome::Conflict {
                current: Some(entry),
            } => match gossip::LoggedChange::from_value(&entry.value) {
                Some(found) => self.resolve_proposal(now, &found, out),
                None => self.end_proposal(proposal::ProposalOutcome::Unknown, out),
            },
            store::StoreOutcome::Unavailable => self.proposal_unavailable(now, out),
            store::StoreOutcome::Conflict { current: None }
            | store::StoreOutcome::Done(_)
            | store::StoreOutcome::HistoryTrimmed
            | store::StoreOutcome::Unknown => {
                if let Some(open) = &mut self.rules.proposal {
                    open.uncertain = true;
                }
                self.schedule_step(now, proposal::ProposalStep::Read, out);
            }
        }
    }

    fn proposal_unavailable(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(open) = &self.rules.proposal else {
            return;
        };
        if open.uncertain {
            self.schedule_step(now, proposal::ProposalStep::Read, out);
        } else if open.backoff.failures() >= proposal::UNAVAILABLE_LIMIT {
            self.end_proposal(proposal::ProposalOutcome::Unavailable, out);
        } else {
            self.schedule_step(now, proposal::ProposalStep::Write, out);
        }
    }

    fn schedule_step(
        &mut self,
        now: time::NodeTime,
        step: proposal::ProposalStep,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let draw = self.choice.any();
        let Some(open) = &mut self.rules.proposal else {
            return;
        };
        if now >= open.deadline {
            let outcome = if open.uncertain {
                proposal::ProposalOutcome::Unknown
            } else {
                proposal::ProposalOutcome::Unavailable
            };
            self.end_proposal(outcome, out);
            return;
        }
        let pause = open.backoff.next_pause(draw);
        open.next = Some((now + pause, step));
    }

    /// Compares the log entry of the revision with the proposed change, and ends the proposal.
    fn resolve_proposal(
        &mut self,
        now: time::NodeTime,
        found: &gossip::LoggedChange,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(open) = &self.rules.proposal else {
            return;
        };
        let accepted = open.change.change == found.change;
        let gap = self.apply_changes(
            now,
            effect::RulePath::Proposal,
            std::slice::from_ref(found),
            out,
        );
        if gap {
            self.read_log_soon(now);
        }
        if accepted {
            // The change is sent to peers before the operator is notified.
            self.send_rumour(out);
            self.end_proposal(proposal::ProposalOutcome::Accepted, out);
        } else {
            let other = found.clone();
            self.end_proposal(proposal::ProposalOutcome::Conflict { other }, out);
        }
    }

    fn end_proposal(
        &mut self,
        outcome: proposal::ProposalOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(open) = self.rules.proposal.take() else {
            return;
        };
        out.push(effect::FleetEffect::ProposalEnded {
            change: open.change.change,
            revision: open.change.revision,
            outcome,
        });
    }
}
