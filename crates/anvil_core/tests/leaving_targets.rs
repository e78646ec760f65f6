//! Targets that state in their answers that they are leaving.

mod rate_fleet;

use std::time::Duration;

use anvil_testkit::test_cases;
use rate_fleet::{FleetPlan, FleetReport, RateFleet, Script};

/// Number of seeds that each case is played with.
const SEEDS: u64 = 4;

fn play(script: &[(f64, usize, Script)], seed: u64) -> FleetReport {
    let report = RateFleet::play(FleetPlan {
        seed,
        script: script.to_vec(),
        ..FleetPlan::default()
    });
    let violations = &report.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    report
}

// Guards against requests for a target whose leaving their entry node has passed on. The target
// announces itself as ready all the time.
fn a_target_that_states_its_leaving_gets_nothing_more(script: &[(f64, usize, Script)]) {
    for seed in 1..=SEEDS {
        play(script, seed);
    }
}

const LEAVE: (f64, usize, Script) = (2.0, 0, Script::Leave);

const fn kill(after: f64) -> (f64, usize, Script) {
    (after, 0, Script::KillNode)
}

test_cases! {
    a_target_that_states_its_leaving_gets_nothing_more:
    leaving_is_obeyed => (&[LEAVE]),
    leaving_is_obeyed_over_a_restart_of_its_node => (&[LEAVE, kill(5.0)]),
    leaving_is_obeyed_over_restarts_in_series => (&[LEAVE, kill(3.0), kill(5.0), kill(7.0), kill(9.0), kill(11.0)]),
    leaving_is_obeyed_after_a_freeze_of_its_node => (&[LEAVE, (2.1, 0, Script::Freeze(Duration::from_secs(3)))]),
    leaving_is_obeyed_beside_a_named_rate => (&[(1.0, 0, Script::Name(Some(5.0))), LEAVE, kill(5.0)]),
}

// Guards against refusals that are not true when every copy leaves.
#[test]
fn every_copy_may_leave() {
    let script = [LEAVE, (3.0, 1, Script::Leave), (4.0, 2, Script::Leave)];
    for seed in 1..=SEEDS {
        let report = play(&script, seed);
        assert!(report.refused > 0, "seed {seed}: {report:#?}");
    }
}

// Guards against a leaving that is held against the next incarnation at the address.
#[test]
fn the_successor_of_a_leaving_target_is_used() {
    let script = [LEAVE, (5.0, 0, Script::Replace), kill(8.0)];
    for seed in 1..=SEEDS {
        let last = play(&script, seed).last_arrivals;
        let others = last[1].min(last[2]);
        assert!(last[0] * 2 >= others, "seed {seed}: {last:?}");
    }
}
