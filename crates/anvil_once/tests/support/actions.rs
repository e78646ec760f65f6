//! The actions that are possible in a [`world::World`], and the number of faults in a run.

use anvil_types::ident;

use super::world;

/// How many faults of each kind may still happen in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FaultBudget {
    pub(crate) crashes: u8,
    pub(crate) entry_crashes: u8,
    pub(crate) suspicions: u8,
    pub(crate) duplicates: u8,
    pub(crate) losses: u8,
    pub(crate) lost_replies: u8,
    pub(crate) ticks: u8,
    pub(crate) not_runs: u8,
    pub(crate) abandons: u8,
    pub(crate) resends: u8,
    pub(crate) leaves: u8,
}

impl FaultBudget {
    /// No fault.
    pub(crate) const NONE: Self = Self {
        crashes: 0,
        entry_crashes: 0,
        suspicions: 0,
        duplicates: 0,
        losses: 0,
        lost_replies: 0,
        ticks: 0,
        not_runs: 0,
        abandons: 0,
        resends: 0,
        leaves: 0,
    };
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WorldAction {
    Submit(ident::NodeId),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Store(usize, StoreDelivery),
    Reply(usize),
    Suspect(ident::NodeId, ident::NodeId),
    Crash(ident::NodeId),
    Tick(ident::NodeId),
    End(ident::CallId, RunOutcome),
    Abandon(ident::CallId),
    /// A node begins a planned stop; the other nodes are notified, or the notice is lost.
    Leave(ident::NodeId, NoticeDelivery),
    /// A stopping node that has handed over its slots exits.
    Exit(ident::NodeId),
}

/// Whether the other nodes are notified that a node leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoticeDelivery {
    Delivered,
    Lost,
}

/// What happens to a request to the store and its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreDelivery {
    Answered,
    AnswerLost,
    NeverArrived,
}

/// How a dispatched call ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    Answered,
    NotRun,
}

impl world::World {
    /// All actions that are possible in this state.
    pub(crate) fn actions(&self) -> Vec<WorldAction> {
        let mut actions = Vec::new();
        self.call_actions(&mut actions);
        self.network_actions(&mut actions);
        self.store_actions(&mut actions);
        self.fault_actions(&mut actions);
        self.leave_actions(&mut actions);
        actions
    }

    fn call_actions(&self, actions: &mut Vec<WorldAction>) {
        for node in world::ENTRIES {
            let calls = self
                .submitted
                .iter()
                .filter(|call| call.node == node)
                .count();
            let open = self.has_open_call(node);
            // The entry nodes are interchangeable, so the first call is always submitted to the
            // first one.
            let in_turn = node == world::ENTRIES[0] || !self.submitted.is_empty();
            let allowed = (calls == 0 && in_turn) || (!open && self.budget.resends > 0);
            if self.is_alive(node) && allowed {
                actions.push(WorldAction::Submit(node));
            }
        }
        for call in &self.running {
            actions.push(WorldAction::End(*call, RunOutcome::Answered));
            if self.budget.not_runs > 0 {
                actions.push(WorldAction::End(*call, RunOutcome::NotRun));
            }
        }
        if self.budget.abandons > 0 {
            let open = self.submitted.iter().filter(|call| self.is_waiting(**call));
            actions.extend(open.map(|call| WorldAction::Abandon(*call)));
        }
    }

    fn network_actions(&self, actions: &mut Vec<WorldAction>) {
        for at in 0..self.network.len() {
            actions.push(WorldAction::Deliver(at));
            if self.budget.duplicates > 0 {
                actions.push(WorldAction::Duplicate(at));
            }
            if self.budget.losses > 0 {
                actions.push(WorldAction::Lose(at));
            }
        }
    }

    fn store_actions(&self, actions: &mut Vec<WorldAction>) {
        for at in 0..self.store_requests.len() {
            actions.push(WorldAction::Store(at, StoreDelivery::Answered));
            if self.budget.lost_replies > 0 {
                actions.push(WorldAction::Store(at, StoreDelivery::AnswerLost));
                actions.push(WorldAction::Store(at, StoreDelivery::NeverArrived));
            }
        }
        actions.extend((0..self.replies.len()).map(WorldAction::Reply));
    }

    fn fault_actions(&self, actions: &mut Vec<WorldAction>) {
        for node in world::OWNERS
            .into_iter()
            .filter(|node| self.is_alive(*node))
        {
            if self.budget.crashes > 0 && node != world::THIRD {
                actions.push(WorldAction::Crash(node));
            }
            if self.budget.ticks > 0 {
                actions.push(WorldAction::Tick(node));
            }
            let others = world::OWNERS.into_iter().filter(|other| *other != node);
            if self.budget.suspicions > 0 {
                actions.extend(others.map(|other| WorldAction::Suspect(node, other)));
            }
        }
        let running = self
            .running
            .first()
            .filter(|_| self.budget.entry_crashes > 0);
        actions.extend(running.map(|call| WorldAction::Crash(call.node)));
        if self.budget.ticks > 0 {
            let waiting = world::ENTRIES
                .into_iter()
                .filter(|node| self.has_open_call(*node));
            actions.extend(waiting.map(WorldAction::Tick));
        }
    }

    fn leave_actions(&self, actions: &mut Vec<WorldAction>) {
        let running = |node: &ident::NodeId| self.is_alive(*node) && !self.leaving.contains(node);
        if self.budget.leaves > 0 {
            for node in [world::PRIMARY, world::BACKUP, world::ENTRIES[0]]
                .into_iter()
                .filter(running)
            {
                actions.push(WorldAction::Leave(node, NoticeDelivery::Delivered));
                actions.push(WorldAction::Leave(node, NoticeDelivery::Lost));
            }
        }
        let done = self.leaving.iter().filter(|node| self.may_exit(**node));
        actions.extend(done.map(|node| WorldAction::Exit(*node)));
    }
}
