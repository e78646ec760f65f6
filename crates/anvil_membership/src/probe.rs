//! This node's own probe, one at a time, and the pings that it relays for other nodes.

use anvil_types::{ident, time};

use crate::{config, health, random};

/// Number of relayed pings that may be pending at once; further requests are dropped.
const RELAYED_LIMIT: usize = 64;

/// The progress of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeStep {
    Sent,
    Resent,
    Indirect,
}

/// The pending probe.
#[derive(Clone, Debug)]
struct OpenProbe {
    target: ident::NodeId,
    number: u32,
    sent: time::NodeTime,
    step: ProbeStep,
    helpers: usize,
    nacks: usize,
}

/// A ping that was sent for another node.
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
        /// The member to ping.
        target: ident::NodeId,
        /// The probe's number.
        number: u32,
    },
    /// Request indirect pings of `target` from helpers.
    PingIndirectly {
        /// The member to ping.
        target: ident::NodeId,
        /// The probe's number.
        number: u32,
    },
    /// The probe period passed without an ack.
    Failed {
        /// The member that did not answer.
        target: ident::NodeId,
        /// Whether indirect pings were requested and none of the helpers sent a nack, which
        /// suggests that this node is at fault. Some silent helpers do not: when a zone is lost,
        /// many helpers are lost with it.
        helpers_silent: bool,
    },
    /// Notify `requester` that the member did not answer this node either.
    Nack {
        /// The node that requested the ping.
        requester: ident::NodeId,
        /// The requester's number of the probe.
        probe: u32,
    },
    /// The next probe period begins; choose a target.
    NextPeriod,
}

/// What an answer to a probe means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeAnswer {
    /// The target is alive.
    Alive,
    /// Another node answered at the address of `target`.
    Replaced {
        /// The member that was expected there.
        target: ident::NodeId,
    },
    /// The ping was relayed for `requester`, which waits for the ack.
    Relay {
        /// The node that requested the ping.
        requester: ident::NodeId,
        /// The requester's number of the probe.
        probe: u32,
    },
    /// The ack is late, or matches no probe of this node.
    Unmatched,
}

/// The probes of one node.
#[derive(Clone, Debug)]
pub struct ProbeState {
    last_number: u32,
    open: Option<OpenProbe>,
    relayed: Vec<RelayedProbe>,
    round: Vec<ident::NodeId>,
    next_period_at: time::NodeTime,
}

impl ProbeState {
    /// Starts with the first probe of `local` at `next_period_at`.
    pub fn new(local: ident::NodeId, next_period_at: time::NodeTime) -> Self {
        Self {
            last_number: local.first_number(),
            open: None,
            relayed: Vec::new(),
            round: Vec::new(),
            next_period_at,
        }
    }

    /// A new number for a ping.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Takes the next target of the round; `refill` supplies the members of a new round, which are
    /// shuffled.
    ///
    /// Independent random draws could leave a member unprobed for a long time; with rounds, that
    /// time is bounded by the size of the fleet.
    pub fn next_target<Refill>(
        &mut self,
        choice: &mut random::ChoiceSource,
        refill: Refill,
    ) -> Option<ident::NodeId>
    where
        Refill: FnOnce() -> Vec<ident::NodeId>,
    {
        if self.round.is_empty() {
            self.round = refill();
            choice.shuffle(&mut self.round);
        }
        self.round.pop()
    }

    /// Inserts a new member at a random position of the current round.
    ///
    /// A round of a large fleet takes hours; until the next one, a crash of the new member would go
    /// unnoticed.
    pub fn insert(&mut self, node: ident::NodeId, choice: &mut random::ChoiceSource) {
        if self.round.is_empty() {
            return;
        }
        self.round.push(node);
        let last = self.round.len() - 1;
        let index = choice.below(self.round.len());
        self.round.swap(last, index);
    }

    /// Opens a probe of `target` and returns its number.
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

    /// Records how many helpers were requested to ping the target of the open probe.
    pub fn set_helpers(&mut self, helpers: usize) {
        if let Some(open) = &mut self.open {
            open.helpers = helpers;
        }
    }

    /// Drops the open probe without a result.
    pub fn cancel(&mut self) {
        self.open = None;
    }

    /// Opens a ping for `requester` and returns its number, or none if too many are pending.
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

    /// Handles the ack of the node `of` to the ping with the number `probe`.
    pub fn on_ack(&mut self, probe: u32, of: ident::NodeId) -> ProbeAnswer {
        if let Some(open) = self.open.take_if(|open| open.number == probe) {
            let target = open.target;
            return match target == of {
                true => ProbeAnswer::Alive,
                false => ProbeAnswer::Replaced { target },
            };
        }
        let Some(index) = self.relayed.iter().position(|r| r.number == probe) else {
            return ProbeAnswer::Unmatched;
        };
        let relayed = self.relayed.swap_remove(index);
        ProbeAnswer::Relay {
            requester: relayed.requester,
            probe: relayed.requester_probe,
        }
    }

    /// Records that a helper received no ack either.
    pub fn on_nack(&mut self, probe: u32) {
        if let Some(open) = self.open.as_mut().filter(|open| open.number == probe) {
            open.nacks += 1;
        }
    }

    /// The actions that are due at `now`.
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

    /// When the next action is due.
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
        let overdue = |relayed: &RelayedProbe| relayed.nack_at <= now;
        let nack = |relayed: &RelayedProbe| ProbeAction::Nack {
            requester: relayed.requester,
            probe: relayed.requester_probe,
        };
        let actions = self
            .relayed
            .iter()
            .filter(|r| overdue(r))
            .map(nack)
            .collect();
        self.relayed.retain(|relayed| !overdue(relayed));
        actions
    }
}
