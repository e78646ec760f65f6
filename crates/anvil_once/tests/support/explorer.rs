//! Explores every state that a [`world::World`] can reach.

use std::collections::HashSet;

use anvil_once::policy;

use super::world;

/// The result of an exploration.
pub(crate) struct Exploration {
    /// Distinct states visited.
    pub(crate) states: usize,
    /// States in which the key has run or may be running.
    pub(crate) dispatches: usize,
    /// The actions up to the first state that breaks a guarantee; `None` if there is no such state.
    pub(crate) second_run: Option<Vec<String>>,
}

/// Explores every state within `budget`, depth first, until a guarantee is broken: a key may have
/// run twice, or a call ran although its caller received a not-run verdict.
pub(crate) fn explore(guards: policy::KeyGuards, budget: world::FaultBudget) -> Exploration {
    explore_from(world::World::new(guards, budget))
}

/// Explores every state that is reachable from `first`.
pub(crate) fn explore_from(first: world::World) -> Exploration {
    let mut seen = HashSet::from([first.digest()]);
    let mut dispatches = 0;
    let mut stack = vec![Frame::new(first, String::new())];
    while let Some(frame) = stack.last_mut() {
        let Some(action) = frame.actions.pop() else {
            stack.pop();
            continue;
        };
        let mut next = frame.world.clone();
        let line = describe(&next, &action);
        next.apply(&action);
        if !seen.insert(next.digest()) {
            continue;
        }
        dispatches += usize::from(next.may_have_run());
        let second_run = next.is_broken();
        stack.push(Frame::new(next, line));
        if second_run {
            let trace = stack.into_iter().skip(1).map(|frame| frame.line);
            return Exploration {
                states: seen.len(),
                dispatches,
                second_run: Some(trace.collect()),
            };
        }
    }
    Exploration {
        states: seen.len(),
        dispatches,
        second_run: None,
    }
}

struct Frame {
    world: world::World,
    actions: Vec<world::WorldAction>,
    line: String,
}

impl Frame {
    fn new(world: world::World, line: String) -> Self {
        let actions = world.actions();
        Self {
            world,
            actions,
            line,
        }
    }
}

fn describe(world: &world::World, action: &world::WorldAction) -> String {
    match action {
        world::WorldAction::Deliver(at)
        | world::WorldAction::Duplicate(at)
        | world::WorldAction::Lose(at) => {
            let packet = &world.network[*at].part;
            format!(
                "{action:?}: {} to {}: {:?}",
                packet.from, packet.to, packet.message
            )
        }
        _ => format!("{action:?}"),
    }
}
