//! Requests that crash their targets, while nodes come, go and lose messages.

#[path = "rate_fleet/mod.rs"]
mod rate_fleet;

use std::time::Duration;

use anvil_testkit::test_cases;
use rate_fleet::{FleetPlan, PoisonPlan, RateFleet, Script};

/// Number of seeds of each case.
const SEEDS: u64 = 4;

/// Seconds of traffic of each case.
const SECONDS: u64 = 30;

fn poison(path: &'static str) -> PoisonPlan {
    PoisonPlan {
        path,
        gap: Duration::from_millis(250),
        first: 1.0,
    }
}

fn plan(demand: f64, script: Vec<(f64, usize, Script)>) -> FleetPlan {
    FleetPlan {
        nodes: 16,
        targets: 8,
        demand,
        seconds: SECONDS,
        poison: Some(poison("/poison/1")),
        script,
        ..FleetPlan::default()
    }
}

/// Kills all nodes with a target in turn, from `first` seconds on.
fn rolling_kills(first: f64) -> Vec<(f64, usize, Script)> {
    let kills = (0..24_u8).map(|round| {
        let at = first + f64::from(round);
        (at, usize::from(round % 8), Script::KillNode)
    });
    kills.collect()
}

/// Cuts the frames of four nodes while the first crashes are told.
fn lost_notices() -> Vec<(f64, usize, Script)> {
    let cut = (0..4).map(|node| (0.9, node, Script::LoseFrames(true)));
    let healed = (0..4).map(|node| (8.0, node, Script::LoseFrames(false)));
    cut.chain(healed).collect()
}

/// Sends another poisonous request in a fleet with two services.
fn with_two_services(path: &'static str, plan: FleetPlan) -> FleetPlan {
    FleetPlan {
        poison: Some(poison(path)),
        second_service: true,
        ..plan
    }
}

/// Gives a fleet a store, which outlasts its nodes.
fn with_store(plan: FleetPlan) -> FleetPlan {
    FleetPlan {
        store: true,
        ..plan
    }
}

// Guards against targets that go on crashing after the third crash of one request.
fn poison_is_stopped(plan: &FleetPlan) {
    for seed in 1..=SEEDS {
        let plan = FleetPlan {
            seed,
            ..plan.clone()
        };
        let report = RateFleet::play(plan);
        let violations = report.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert!(!report.poisoned.is_empty(), "seed {seed}");
    }
}

test_cases! {
    poison_is_stopped:
    poison_in_an_idle_fleet => (&plan(4.0, Vec::new())),
    poison_in_a_calm_fleet => (&plan(60.0, Vec::new())),
    poison_beside_a_busy_fleet => (&plan(300.0, Vec::new())),
    poison_while_nodes_are_killed_in_turn => (&plan(60.0, rolling_kills(4.0))),
    poison_while_nodes_are_killed_from_the_first_crash_on => (&plan(60.0, rolling_kills(1.0))),
    poison_whose_notices_are_lost => (&plan(60.0, lost_notices())),
    poison_on_a_route_to_two_services => (&with_two_services("/poison/2", plan(60.0, Vec::new()))),
    poison_on_a_route_to_two_services_while_nodes_are_killed => (
        &with_two_services("/poison/2", plan(60.0, rolling_kills(4.0)))),
    poison_on_a_route_to_two_services_in_an_idle_fleet => (
        &with_two_services("/poison/2", plan(4.0, Vec::new()))),
    poison_on_a_route_that_moves_to_another_service => (
        &with_two_services("/poison/3", plan(4.0, vec![(8.0, 0, Script::MoveRoute)]))),
    poison_while_all_nodes_are_killed => (&with_store(plan(60.0, vec![(8.0, 0, Script::KillAll)]))),
    poison_while_all_nodes_of_an_idle_fleet_are_killed => (
        &with_store(plan(4.0, vec![(8.0, 0, Script::KillAll)]))),
}

/// Lets targets end one after the other, whatever they run.
fn ends_in_series() -> Vec<(f64, usize, Script)> {
    let ends = (0..40_u8).map(|round| {
        let at = 2.0 + f64::from(round) * 0.4;
        (at, usize::from(round % 3), Script::Replace)
    });
    let kills = (0..10_u8).map(|round| {
        let at = 2.3 + f64::from(round) * 1.6;
        (at, 4 + usize::from(round % 8), Script::KillNode)
    });
    ends.chain(kills).collect()
}

// Guards against a common request that is refused because targets ended for another reason.
fn a_common_request_is_served(demand: f64) {
    for seed in 1..=SEEDS {
        let report = RateFleet::play(FleetPlan {
            seed,
            common_path: true,
            poison: None,
            ..plan(demand, ends_in_series())
        });
        let share = report.share_in_time();
        assert!(
            share >= 0.9,
            "seed {seed}: share {share}, {} refused",
            report.refused
        );
    }
}

test_cases! {
    a_common_request_is_served:
    common_request_in_an_idle_fleet => (20.0),
    common_request_in_a_calm_fleet => (80.0),
}
