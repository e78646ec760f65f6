//! Goes through every state that a [`world::World`] can reach.

use std::collections::HashSet;

use anvil_once::policy;

use super::world;

/// What an exploration found.
pub(crate) struct Exploration {
    /// Different states seen.
    pub(crate) states: usize,
    /// States in which the key has run or may be running.
    pub(crate) dispatches: usize,
    /// The actions that lead to a second run, with the first state in which it shows.
    pub(crate) second_run: Option<Vec<String>>,
}

/// Goes through every state within `budget`, depth first, until a promise is broken: a key that
/// may have run twice, or a call that ran though its caller was told that it did not.
pub(crate) fn explore(guards: policy::KeyGuards, budget: world::FaultBudget) -> Exploration {
    explore_from(world::World::new(guards, budget))
}

/// Goes through every state that follows `first`.
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
            let packet = &world.net[*at].part;
            format!(
                "{action:?}: {} to {}: {:?}",
                packet.from, packet.to, packet.message
            )
        }
        _ => format!("{action:?}"),
    }
}
