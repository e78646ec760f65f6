//! Every interleaving of a small scope: two entry nodes, two owners and a third candidate, one
//! key, and a few faults at any moment.
//!
//! The explored steps are those of the real state machine. See `docs/design/at-most-once.md` for
//! the scopes and what they leave out.

#[allow(dead_code)]
mod support;

use anvil_once::policy;
use support::{explorer, world};

const CALM: world::FaultBudget = world::FaultBudget::NONE;

// The caller resends its claim through a second entry node while owners crash, are wrongly taken
// for dead, wake from a pause, and messages and answers of the store are lost, doubled or late.
// Whatever the order, no second call is dispatched while or after the first one may have run,
// because a key is bound to one call and whoever may take over knows the binding beforehand.
fn check_scope(budget: world::FaultBudget) {
    let found = explorer::explore(policy::KeyGuards::ALL, budget);
    println!("{} states, {budget:?}", found.states);
    assert_eq!(found.second_run, None);
    assert!(found.dispatches > 0, "nothing ran at all");
}

anvil_testkit::test_cases! {
    check_scope:
    calm => (world::FaultBudget { resends: 1, not_runs: 1, ..CALM }),
    crash_and_pause => (world::FaultBudget { crashes: 1, suspicions: 1, ticks: 1, ..CALM }),
    crash_pause_and_lost_answer => (world::FaultBudget {
        crashes: 1, suspicions: 1, lost_replies: 1, resends: 1, ..CALM
    }),
    pause_and_lost_answer_read_back => (world::FaultBudget {
        suspicions: 1, lost_replies: 1, ticks: 1, ..CALM
    }),
    crash_pause_and_duplicate => (world::FaultBudget {
        crashes: 1, suspicions: 1, duplicates: 1, ..CALM
    }),
    crash_pause_and_loss => (world::FaultBudget {
        crashes: 1, suspicions: 1, losses: 1, resends: 1, ..CALM
    }),
    duplicate_of_a_freed_key => (world::FaultBudget {
        suspicions: 1, duplicates: 1, not_runs: 1, ..CALM
    }),
    duplicate_and_resend => (world::FaultBudget {
        duplicates: 2, not_runs: 1, resends: 1, ..CALM
    }),
    two_false_suspicions_and_crash => (world::FaultBudget { crashes: 1, suspicions: 2, ..CALM }),
    crash_of_the_entry_node => (world::FaultBudget {
        entry_crashes: 1, crashes: 1, suspicions: 1, resends: 1, ..CALM
    }),
    one_owner_leaves => (world::FaultBudget { leaves: 1, resends: 1, ..CALM }),
    both_owners_leave => (world::FaultBudget { leaves: 2, ..CALM }),
    an_owner_leaves_and_one_crashes => (world::FaultBudget { leaves: 1, crashes: 1, ..CALM }),
    an_owner_leaves_and_one_is_suspected => (
        world::FaultBudget { leaves: 1, suspicions: 1, ..CALM }
    ),
    an_owner_leaves_and_an_answer_is_lost => (
        world::FaultBudget { leaves: 1, lost_replies: 1, ..CALM }
    ),
    an_owner_leaves_and_a_message_is_lost => (
        world::FaultBudget { leaves: 1, losses: 1, ticks: 1, ..CALM }
    ),
    caller_goes_away => (world::FaultBudget {
        suspicions: 1, abandons: 1, ..CALM
    }),
}

// With one safeguard off, the same exploration finds the second run that it prevents.
fn check_guard(guards: policy::KeyGuards, budget: world::FaultBudget) {
    let found = explorer::explore(guards, budget);
    let trace = found
        .second_run
        .expect("no second run without the safeguard");
    println!(
        "{} states; a second run in {} steps:",
        found.states,
        trace.len()
    );
    for line in trace {
        println!("  {line}");
    }
}

anvil_testkit::test_cases! {
    check_guard:
    without_ack_before_grant => (
        policy::KeyGuards { ack_before_grant: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { suspicions: 1, ..CALM },
    ),
    without_epoch_check => (
        policy::KeyGuards { epoch_check: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { suspicions: 1, ticks: 1, ..CALM },
    ),
    without_copy_records => (
        policy::KeyGuards { copy_records: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { suspicions: 2, ..CALM },
    ),
    without_held_keys_refused => (
        policy::KeyGuards { held_keys_refused: false, ..policy::KeyGuards::ALL },
        CALM,
    ),
    without_one_run_per_call => (
        policy::KeyGuards { one_run_per_call: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { duplicates: 1, ..CALM },
    ),
    without_holder_frees => (
        policy::KeyGuards { holder_frees: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { duplicates: 1, not_runs: 1, resends: 1, ..CALM },
    ),
}

#[test]
fn without_faults_both_callers_get_the_one_answer() {
    let mut world = world::World::new(policy::KeyGuards::ALL, CALM);
    for entry in world::ENTRIES {
        world.apply(&world::WorldAction::Submit(entry));
        world.run_calm();
    }
    assert_eq!(world.ran.len(), 1);
    assert_eq!(world.answered(), 2);
}

// A claim has run; then both owners of its key are lost within seconds, and the caller resends.
// A third node takes the slot without records. It can't tell whether the key ran, so it answers
// may-have-run; without that rule the claim would be filed a second time.
fn both_owners_lost(guards: policy::KeyGuards) -> explorer::Exploration {
    let budget = world::FaultBudget {
        crashes: 2,
        ticks: 3,
        duplicates: 1,
        ..CALM
    };
    let mut world = world::World::new(policy::KeyGuards { ..guards }, budget);
    world.apply(&world::WorldAction::Submit(world::ENTRIES[0]));
    world.run_calm();
    world.lose_owners();
    explorer::explore_from(world)
}

#[test]
fn both_owners_lost_never_runs_again() {
    let found = both_owners_lost(policy::KeyGuards::ALL);
    println!("{} states", found.states);
    assert_eq!(found.second_run, None);
}

#[test]
fn without_lost_keys_refused() {
    let found = both_owners_lost(policy::KeyGuards {
        lost_keys_refused: false,
        ..policy::KeyGuards::ALL
    });
    let trace = found
        .second_run
        .expect("no second run without the safeguard");
    println!("{}", trace.join("\n"));
}
