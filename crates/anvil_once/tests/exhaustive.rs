//! Explores every interleaving of small scopes: two entry nodes, two owners and a third candidate,
//! one key, and a few faults at any point.
//!
//! The nodes run the production state machine. See `docs/design/at-most-once.md` for the scopes and
//! their limits.

#[allow(dead_code)]
mod support;

use anvil_once::policy;
use support::{explorer, world};

const NONE: world::FaultBudget = world::FaultBudget::NONE;

// A caller sends its request to a second entry node again while owners crash, are falsely suspected
// or resume after a pause, and while messages and store replies are lost, duplicated or delayed. In
// no order is a second call dispatched while or after the first one may have run: a key is bound to
// one call, and every node that may take over knows the binding before the call runs.
fn check_scope(budget: world::FaultBudget) {
    let found = explorer::explore(policy::KeyGuards::ALL, budget);
    println!("{} states, {budget:?}", found.states);
    assert_eq!(found.second_run, None);
    assert!(found.dispatches > 0, "no state has a run");
}

anvil_testkit::test_cases! {
    check_scope:
    resend_and_not_run => (world::FaultBudget { resends: 1, not_runs: 1, ..NONE }),
    crash_and_pause => (world::FaultBudget { crashes: 1, suspicions: 1, ticks: 1, ..NONE }),
    crash_pause_and_lost_answer => (world::FaultBudget {
        crashes: 1, suspicions: 1, lost_replies: 1, resends: 1, ..NONE
    }),
    pause_and_lost_answer_read_back => (world::FaultBudget {
        suspicions: 1, lost_replies: 1, ticks: 1, ..NONE
    }),
    crash_pause_and_duplicate => (world::FaultBudget {
        crashes: 1, suspicions: 1, duplicates: 1, ..NONE
    }),
    crash_pause_and_loss => (world::FaultBudget {
        crashes: 1, suspicions: 1, losses: 1, resends: 1, ..NONE
    }),
    duplicate_of_a_freed_key => (world::FaultBudget {
        suspicions: 1, duplicates: 1, not_runs: 1, ..NONE
    }),
    duplicate_and_resend => (world::FaultBudget {
        duplicates: 2, not_runs: 1, resends: 1, ..NONE
    }),
    two_false_suspicions_and_crash => (world::FaultBudget { crashes: 1, suspicions: 2, ..NONE }),
    crash_of_the_entry_node => (world::FaultBudget {
        entry_crashes: 1, crashes: 1, suspicions: 1, resends: 1, ..NONE
    }),
    one_owner_leaves => (world::FaultBudget { leaves: 1, resends: 1, ..NONE }),
    both_owners_leave => (world::FaultBudget { leaves: 2, ..NONE }),
    an_owner_leaves_and_one_crashes => (world::FaultBudget { leaves: 1, crashes: 1, ..NONE }),
    an_owner_leaves_and_one_is_suspected => (
        world::FaultBudget { leaves: 1, suspicions: 1, ..NONE }
    ),
    an_owner_leaves_and_an_answer_is_lost => (
        world::FaultBudget { leaves: 1, lost_replies: 1, ..NONE }
    ),
    an_owner_leaves_and_a_message_is_lost => (
        world::FaultBudget { leaves: 1, losses: 1, ticks: 1, ..NONE }
    ),
    caller_goes_away => (world::FaultBudget {
        suspicions: 1, abandons: 1, ..NONE
    }),
}

// With one safeguard disabled, the same exploration finds the second run that it prevents.
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
        world::FaultBudget { suspicions: 1, ..NONE },
    ),
    without_epoch_check => (
        policy::KeyGuards { epoch_check: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { suspicions: 1, ticks: 1, ..NONE },
    ),
    without_copy_records => (
        policy::KeyGuards { copy_records: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { suspicions: 2, ..NONE },
    ),
    without_held_keys_refused => (
        policy::KeyGuards { held_keys_refused: false, ..policy::KeyGuards::ALL },
        NONE,
    ),
    without_one_run_per_call => (
        policy::KeyGuards { one_run_per_call: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { duplicates: 1, ..NONE },
    ),
    without_holder_frees => (
        policy::KeyGuards { holder_frees: false, ..policy::KeyGuards::ALL },
        world::FaultBudget { duplicates: 1, not_runs: 1, resends: 1, ..NONE },
    ),
}

#[test]
fn without_faults_both_callers_get_the_one_answer() {
    let mut world = world::World::new(policy::KeyGuards::ALL, NONE);
    for entry in world::ENTRIES {
        world.apply(&world::WorldAction::Submit(entry));
        world.run_without_faults();
    }
    assert_eq!(world.ran.len(), 1);
    assert_eq!(world.answered(), 2);
}

// A request has run; then both owners of its key crash, and the caller sends it again. A third node
// takes over the slot without the records. It can't know whether the key has run, so it answers
// may-have-run; without that safeguard the request would run a second time.
fn both_owners_lost(guards: policy::KeyGuards) -> explorer::Exploration {
    let budget = world::FaultBudget {
        crashes: 2,
        ticks: 3,
        duplicates: 1,
        ..NONE
    };
    let mut world = world::World::new(policy::KeyGuards { ..guards }, budget);
    world.apply(&world::WorldAction::Submit(world::ENTRIES[0]));
    world.run_without_faults();
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
