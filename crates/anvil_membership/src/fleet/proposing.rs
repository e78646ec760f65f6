//! Writing an operator's change into the store's log.

use anvil_types::{store, time};
use anvil_wire::gossip;
use bytes::Bytes;

use crate::{effect, fleet, keys, proposal, store_requests};

/// Why a change was not even tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ProposalRefusal {
    /// Another change is being written through this node.
    #[display("another change is being written through this node; try again")]
    Busy,
    /// The node has not compared its rules with others yet.
    #[display("this node has not learned the rules in force yet")]
    NotReady,
    /// The node's settings name no store.
    #[display("this node's settings name no platform store to keep the rules in")]
    NoStore,
}

impl fleet::FleetState {
    /// Writes a change that follows the revision held; the end comes as
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

    /// Takes the next step of the open proposal.
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
            self.settle(now, &known, out);
            return;
        }
        match (step, change.to_value()) {
            (proposal::ProposalStep::Write, Some(value)) => {
                let ask = store::StoreRequest::Swap {
                    key,
                    condition: store::SwapCondition::Absent,
                    value,
                    lease: None,
                };
                self.ask(now, store_requests::RequestPurpose::Propose, ask, out);
            }
            (proposal::ProposalStep::Write, None) => {
                self.end_proposal(proposal::ProposalOutcome::Unavailable, out);
            }
            (proposal::ProposalStep::Read, _) => {
                self.ask(
                    now,
                    store_requests::RequestPurpose::Resolve,
                    store::StoreRequest::Get { key },
                    out,
                );
            }
        }
    }

    /// Takes the outcome of writing the change, or of reading it back.
    ///
    /// An answer lost behind the effect must not be told as a failure, and a blind repetition
    /// could collide with the own change: what stands at the place is read and its id compared.
    /// Only where nothing stands there is the change written again, still only if absent.
    pub(super) fn on_proposal_answer(
        &mut self,
        now: time::NodeTime,
        outcome: store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        match outcome {
            store::StoreOutcome::Done(store::StoreReply::Swapped { .. }) => {
                let own = self.rules.proposal.as_ref().map(|p| p.change.clone());
                if let Some(own) = own {
                    self.settle(now, &own, out);
                }
            }
            store::StoreOutcome::Done(store::StoreReply::Entry(None)) => {
                self.next_step(now, proposal::ProposalStep::Write, out);
            }
            store::StoreOutcome::Done(store::StoreReply::Entry(Some(entry)))
            | store::StoreOutcome::Conflict {
                current: Some(entry),
            } => match gossip::LoggedChange::from_value(&entry.value) {
                Some(found) => self.settle(now, &found, out),
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
                self.next_step(now, proposal::ProposalStep::Read, out);
            }
        }
    }

    fn proposal_unavailable(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(open) = &self.rules.proposal else {
            return;
        };
        if open.uncertain {
            self.next_step(now, proposal::ProposalStep::Read, out);
        } else if open.backoff.failures() >= proposal::UNAVAILABLE_LIMIT {
            self.end_proposal(proposal::ProposalOutcome::Unavailable, out);
        } else {
            self.next_step(now, proposal::ProposalStep::Write, out);
        }
    }

    fn next_step(
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
            let end = if open.uncertain {
                proposal::ProposalOutcome::Unknown
            } else {
                proposal::ProposalOutcome::Unavailable
            };
            self.end_proposal(end, out);
            return;
        }
        let pause = open.backoff.next_pause(draw);
        open.next = Some((now + pause, step));
    }

    /// Compares what stands in the log with the own change.
    fn settle(
        &mut self,
        now: time::NodeTime,
        found: &gossip::LoggedChange,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(open) = &self.rules.proposal else {
            return;
        };
        let accepted = open.change.change == found.change;
        let gap = self.take_changes(std::slice::from_ref(found), out);
        if gap {
            self.read_log_soon(now);
        }
        if accepted {
            // The operator is told only once the change is on its way to others.
            self.push_rumour(out);
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
