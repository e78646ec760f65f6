//! Longer random runs of the key owners with fixed seeds.
//!
//! The explorer of `exhaustive.rs` covers every order of a few faults. Here a single run combines
//! many faults of all kinds, and the reference model is what callers are guaranteed.

#[allow(dead_code)]
mod support;

use anvil_once::policy;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use support::world;

const BUDGET: world::FaultBudget = world::FaultBudget {
    crashes: 1,
    entry_crashes: 0,
    suspicions: 6,
    duplicates: 6,
    losses: 6,
    lost_replies: 4,
    ticks: 40,
    not_runs: 2,
    abandons: 2,
    resends: 6,
    leaves: 2,
};

/// The guarantee to callers: the key runs at most this often.
#[derive(Clone, Debug)]
struct Guarantee {
    max_runs: usize,
}

/// Selects one of the actions that are possible in the current state.
#[derive(Clone, Copy, Debug)]
struct Step(usize);

impl ReferenceStateMachine for Guarantee {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { max_runs: 1 }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        any::<u16>().prop_map(|at| Step(usize::from(at))).boxed()
    }

    fn apply(state: Self, _: &Step) -> Self {
        state
    }
}

struct Fleet(policy::KeyGuards);

impl Fleet {
    fn step(mut world: world::World, step: Step) -> world::World {
        let actions = world.actions();
        if let Some(action) = actions.get(step.0 % actions.len().max(1)) {
            world.apply(action);
        }
        world
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = world::World;
    type Reference = Guarantee;

    fn init_test(_: &Guarantee) -> world::World {
        world::World::new(policy::KeyGuards::ALL, BUDGET)
    }

    fn apply(world: world::World, guarantee: &Guarantee, step: Step) -> world::World {
        let world = Self::step(world, step);
        assert!(world.ran.len() <= guarantee.max_runs);
        assert!(!world.is_broken());
        world
    }

    // After the faults have ended, every waiting caller receives a verdict, and every answer is
    // that of the single run.
    fn teardown(mut world: world::World, guarantee: Guarantee) {
        world.settle();
        assert!(!world.is_broken());
        assert!(world.ran.len() <= guarantee.max_runs);
        assert!(world.answered() == 0 || world.ran.len() == 1);
        assert_eq!(world.waiting(), 0, "a caller waits forever");
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    #[test]
    fn many_faults_never_run_a_key_twice(sequential 50..150 => Fleet);
}

/// Whether one of many random runs breaks the guarantee.
fn some_run_breaks(guards: policy::KeyGuards) -> bool {
    let config = ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let steps = proptest::collection::vec(any::<u16>(), 50..150);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let fleet = Fleet(guards);
    let result = runner.run(&steps, |steps| {
        let mut world = world::World::new(fleet.0, BUDGET);
        for step in steps {
            world = Fleet::step(world, Step(usize::from(step)));
            prop_assert!(!world.is_broken());
        }
        Ok(())
    });
    result.is_err()
}

fn check_guard(guards: policy::KeyGuards) {
    assert!(some_run_breaks(guards));
}

#[test]
fn with_every_guard_no_run_breaks() {
    assert!(!some_run_breaks(policy::KeyGuards::ALL));
}

anvil_testkit::test_cases! {
    check_guard:
    without_ack_before_grant => (
        policy::KeyGuards { ack_before_grant: false, ..policy::KeyGuards::ALL },
    ),
    without_held_keys_refused => (
        policy::KeyGuards { held_keys_refused: false, ..policy::KeyGuards::ALL },
    ),
    without_one_run_per_call => (
        policy::KeyGuards { one_run_per_call: false, ..policy::KeyGuards::ALL },
    ),
}
