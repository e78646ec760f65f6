//! One probe at a time, and the probes that this node carries out for others.

use anvil_types::{ident, time};

use crate::{config, health, random};

/// Probes for others that are out at once; further ones are not taken.
const RELAYED_LIMIT: usize = 64;

/// How far a probe has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeStep {
    Sent,
    Resent,
    Indirect,
}

/// The probe that is out.
#[derive(Clone, Debug)]
struct OpenProbe {
    target: ident::NodeId,
    number: u32,
    sent: time::NodeTime,
    step: ProbeStep,
    helpers: usize,
    nacks: usize,
}

/// A ping sent for another node.
#[derive(Clone, Debug)]
struct RelayedProbe {
    number: u32,
    requester: ident::NodeId,
    requester_probe: u32,
    nack_at: time::NodeTime,
}

/// What the probe does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeAction {
    /// Ping `target`.
    Ping {
        /// Whom.
        target: ident::NodeId,
        /// The probe's number.
        number: u32,
    },
    /// Ask helpers to ping `target`.
    PingIndirectly {
        /// Whom.
        target: ident::NodeId,
        /// The probe's number.
        number: u32,
    },
    /// The period passed without an answer.
    Failed {
        /// Who did not answer.
        target: ident::NodeId,
        /// Whether helpers were asked and none sent a word either, which speaks against this node.
        /// A few silent ones don't: in a zone's loss many helpers are among the lost.
        helpers_silent: bool,
    },
    /// Tell `asker` that its probe failed from here too.
    Nack {
        /// Who asked.
        requester: ident::NodeId,
        /// The asker's number of the probe.
        probe: u32,
    },
    /// The next period begins; choose a target.
    NextPeriod,
}

/// What an answer to a probe means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeAnswer {
    /// The target is alive.
    Alive,
    /// Another node answered at the address of `target`.
    Replaced {
        /// Who was expected there.
        target: ident::NodeId,
    },
    /// Carried out for `asker`, which waits for the word.
    Relay {
        /// Who asked.
        requester: ident::NodeId,
        /// The asker's number of the probe.
        probe: u32,
    },
    /// Too late, or to no probe of this node.
    Unmatched,
}

/// The probes of one node.
#[derive(Clone, Debug)]
pub struct ProbeState {
    last_number: u32,
    open: Option<OpenProbe>,
    relayed: Vec<RelayedProbe>,
    order: Vec<ident::NodeId>,
    next_period_at: time::NodeTime,
}

impl ProbeState {
    /// Starts with the first turn at `turn`.
    pub fn new(next_period_at: time::NodeTime) -> Self {
        Self {
            last_number: 0,
            open: None,
            relayed: Vec::new(),
            order: Vec::new(),
            next_period_at,
        }
    }

    /// A fresh number for a ping.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Takes the next of `candidates`, each once in a round, in a new random order each round.
    ///
    /// Random draws alone would leave some member of a small fleet unprobed for long; the round
    /// bounds that by the size of the fleet.
    pub fn next_target<Refill>(
        &mut self,
        choice: &mut random::ChoiceSource,
        refill: Refill,
    ) -> Option<ident::NodeId>
    where
        Refill: FnOnce() -> Vec<ident::NodeId>,
    {
        if self.order.is_empty() {
            self.order = refill();
            choice.shuffle(&mut self.order);
        }
        self.order.pop()
    }

    /// Puts a newcomer at a random place of the round.
    ///
    /// A round of a large fleet lasts hours; a newcomer that waited for the next one would crash
    /// unnoticed.
    pub fn insert(&mut self, node: ident::NodeId, choice: &mut random::ChoiceSource) {
        if self.order.is_empty() {
            return;
        }
        self.order.push(node);
        let last = self.order.len() - 1;
        let place = choice.below(self.order.len());
        self.order.swap(last, place);
    }

    /// Opens a probe of `target` and gives its number.
    pub fn open(&mut self, target: ident::NodeId, now: time::NodeTime) -> u32 {
        let number = self.next_number();
        self.open = Some(OpenProbe {
            target,
            number,
            sent: now,
            step: ProbeStep::Sent,
            helpers: 0,
            nacks: 0,
        });
        number
    }

    /// Notes how many helpers were asked for the open probe.
    pub fn set_helpers(&mut self, helpers: usize) {
        if let Some(open) = &mut self.open {
            open.helpers = helpers;
        }
    }

    /// Gives up the open probe without a verdict.
    pub fn cancel(&mut self) {
        self.open = None;
    }

    /// Starts a ping for `asker` and gives its number, or none where too many are out.
    pub fn relay(
        &mut self,
        requester: ident::NodeId,
        requester_probe: u32,
        nack_at: time::NodeTime,
    ) -> Option<u32> {
        if self.relayed.len() >= RELAYED_LIMIT {
            return None;
        }
        let number = self.next_number();
        self.relayed.push(RelayedProbe {
            number,
            requester,
            requester_probe,
            nack_at,
        });
        Some(number)
    }

    /// Takes an answer of `of` to the ping `probe`.
    pub fn on_ack(&mut self, probe: u32, of: ident::NodeId) -> ProbeAnswer {
        if let Some(open) = self.open.take_if(|open| open.number == probe) {
            let target = open.target;
            return match target == of {
                true => ProbeAnswer::Alive,
                false => ProbeAnswer::Replaced { target },
            };
        }
        let Some(place) = self.relayed.iter().position(|r| r.number == probe) else {
            return ProbeAnswer::Unmatched;
        };
        let relayed = self.relayed.swap_remove(place);
        ProbeAnswer::Relay {
            requester: relayed.requester,
            probe: relayed.requester_probe,
        }
    }

    /// Notes that a helper got no answer either.
    pub fn on_nack(&mut self, probe: u32) {
        if let Some(open) = self.open.as_mut().filter(|open| open.number == probe) {
            open.nacks += 1;
        }
    }

    /// What is due at `now`.
    pub fn on_wake(
        &mut self,
        now: time::NodeTime,
        config: &config::FleetConfig,
        health: health::LocalHealth,
    ) -> Vec<ProbeAction> {
        let mut actions = self.overdue_relays(now);
        actions.extend(self.next_step(now, config, health));
        if now >= self.next_period_at {
            if let Some(open) = self.open.take() {
                actions.push(ProbeAction::Failed {
                    target: open.target,
                    helpers_silent: open.helpers > 0 && open.nacks == 0,
                });
            }
            self.next_period_at = now + health.stretch(config.probe_interval);
            actions.push(ProbeAction::NextPeriod);
        }
        actions
    }

    /// When something is due next.
    pub fn next_wake(
        &self,
        config: &config::FleetConfig,
        health: health::LocalHealth,
    ) -> time::NodeTime {
        let step = self.open.as_ref().and_then(|open| match open.step {
            ProbeStep::Sent => Some(open.sent + health.stretch(config.resend_after)),
            ProbeStep::Resent => Some(open.sent + health.stretch(config.indirect_after)),
            ProbeStep::Indirect => None,
        });
        let nack = self.relayed.iter().map(|r| r.nack_at).min();
        let due = step.into_iter().chain(nack);
        due.fold(self.next_period_at, std::cmp::Ord::min)
    }

    fn next_step(
        &mut self,
        now: time::NodeTime,
        config: &config::FleetConfig,
        health: health::LocalHealth,
    ) -> Option<ProbeAction> {
        let open = self.open.as_mut()?;
        let (target, number) = (open.target, open.number);
        match open.step {
            ProbeStep::Sent if now >= open.sent + health.stretch(config.resend_after) => {
                open.step = ProbeStep::Resent;
                Some(ProbeAction::Ping { target, number })
            }
            ProbeStep::Resent if now >= open.sent + health.stretch(config.indirect_after) => {
                open.step = ProbeStep::Indirect;
                Some(ProbeAction::PingIndirectly { target, number })
            }
            ProbeStep::Sent | ProbeStep::Resent | ProbeStep::Indirect => None,
        }
    }

    fn overdue_relays(&mut self, now: time::NodeTime) -> Vec<ProbeAction> {
        let late = |relayed: &RelayedProbe| relayed.nack_at <= now;
        let nack = |relayed: &RelayedProbe| ProbeAction::Nack {
            requester: relayed.requester,
            probe: relayed.requester_probe,
        };
        let actions = self.relayed.iter().filter(|r| late(r)).map(nack).collect();
        self.relayed.retain(|relayed| !late(relayed));
        actions
    }
}
