//! Targets in need name the requests a second that they accept from the whole fleet.

mod rate_fleet;

use std::time::Duration;

use anvil_overload::policy::OverloadPolicy;
use anvil_testkit::test_cases;
use rate_fleet::{FleetPlan, FleetReport, RateFleet, Script};

/// Number of seeds that each case is played with.
const SEEDS: u64 = 4;

/// Share of the requests that are answered in time while other copies have room for all of them.
const SERVED_SHARE: f64 = 0.99;

fn play(plan: &FleetPlan, seed: u64) -> FleetReport {
    let report = RateFleet::play(FleetPlan {
        seed,
        ..plan.clone()
    });
    let violations = &report.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    report
}

// Guards against a target in need that gets more than it named from nodes that know its rate.
fn a_target_gets_no_more_than_it_named(plan: &FleetPlan) {
    for seed in 1..=SEEDS {
        play(plan, seed);
    }
}

fn scripted(script: Vec<(f64, usize, Script)>) -> FleetPlan {
    FleetPlan {
        script,
        ..FleetPlan::default()
    }
}

fn name(after: f64, rate: f64) -> (f64, usize, Script) {
    (after, 0, Script::Name(Some(rate)))
}

fn kill(after: f64) -> (f64, usize, Script) {
    (after, 0, Script::KillNode)
}

fn large(nodes: usize, targets: usize, rate: f64) -> FleetPlan {
    let named = (0..targets / 2).map(|target| (2.0, target, Script::Name(Some(rate))));
    FleetPlan {
        nodes,
        targets,
        demand: targets as f64 * 20.0,
        script: named.collect(),
        ..FleetPlan::default()
    }
}

test_cases! {
    a_target_gets_no_more_than_it_named:
    a_rate_is_held => (&scripted(vec![name(2.0, 7.9)])),
    a_rate_of_one_in_five_seconds_is_held => (&scripted(vec![name(2.0, 0.2)])),
    a_rate_of_nothing_is_held => (&scripted(vec![name(2.0, 0.0)])),
    a_lowered_rate_is_held => (&scripted(vec![name(2.0, 9.7), name(7.0, 3.0)])),
    a_raised_rate_is_held_until_its_window_has_passed => (&scripted(vec![name(2.0, 3.0), name(8.0, 12.0)])),
    a_rate_that_changes_all_the_time_is_held => (&scripted((0..40).map(|step| {
        name(2.0 + 0.25 * f64::from(step), 4.0 + f64::from(step * 7 % 5))
    }).collect())),
    a_rate_is_held_through_malformed_answers => (&scripted(vec![name(2.0, 5.0), (6.0, 0, Script::Garble)])),
    a_rate_is_held_over_a_restart_of_its_node => (&scripted(vec![name(2.0, 5.0), kill(6.0)])),
    a_rate_is_held_over_a_restart_before_the_first_answer => (&FleetPlan {
        demand: 90.0,
        work: Duration::from_secs(2),
        ..scripted(vec![name(2.0, 2.0), kill(8.0)])
    }),
    a_rate_is_held_over_restarts_in_series => (&FleetPlan {
        demand: 150.0,
        ..scripted(vec![name(2.0, 2.0), kill(5.0), kill(7.5), kill(10.0)])
    }),
    a_rate_is_held_after_a_freeze_of_its_node => (&scripted(vec![
        name(2.0, 5.0), (6.0, 0, Script::Freeze(Duration::from_secs(2))),
    ])),
    a_rate_is_held_over_a_restart_of_all_nodes => (&scripted(
        std::iter::once(name(2.0, 5.0)).chain((0..12).map(|node| (6.0, node, Script::KillNode))).collect(),
    )),
    the_rates_of_all_copies_are_held => (&scripted((0..3).map(|target| (2.0, target, Script::Name(Some(6.0)))).collect())),
    half_of_the_rates_among_65_nodes_are_held => (&large(65, 20, 2.5)),
}

// Guards against callers who wait or are refused at a limited target while its copies have room.
fn the_other_copies_serve_what_a_limited_target_does_not(plan: &FleetPlan) {
    for seed in 1..=SEEDS {
        let report = play(plan, seed);
        assert!(
            report.share_in_time() >= SERVED_SHARE,
            "seed {seed}: {report:#?}"
        );
    }
}

test_cases! {
    the_other_copies_serve_what_a_limited_target_does_not:
    beside_a_rate_of_eight => (&scripted(vec![name(2.0, 8.0)])),
    beside_a_rate_of_one_in_five_seconds => (&scripted(vec![name(2.0, 0.2)])),
    beside_restarts_in_series => (&scripted(vec![name(2.0, 2.0), kill(5.0), kill(8.0), kill(11.0)])),
    beside_half_of_65_nodes => (&large(65, 20, 2.5)),
}

// Guards against a limit that outlives its naming, since a target that gets nothing can't lift it.
fn a_target_without_a_limit_gets_its_share_again(rate: f64) {
    let plan = FleetPlan {
        seconds: 30,
        ..scripted(vec![name(2.0, rate), (12.0, 0, Script::Name(None))])
    };
    for seed in 1..=SEEDS {
        let last = play(&plan, seed).last_arrivals;
        let others = last[1].min(last[2]);
        assert!(last[0] * 2 >= others, "seed {seed}: {last:?}");
    }
}

test_cases! {
    a_target_without_a_limit_gets_its_share_again:
    after_a_rate_of_eight => (8.0),
    after_a_rate_of_one_in_five_seconds => (0.2),
    after_a_rate_of_nothing => (0.0),
}

// Guards against a limited target that is left idle: what it accepts is used.
#[test]
fn a_limited_fleet_uses_what_its_targets_accept() {
    let limited = (0..3).map(|target| (2.0, target, Script::Name(Some(8.0))));
    let plan = FleetPlan {
        seconds: 20,
        ..scripted(limited.collect())
    };
    for seed in 1..=SEEDS {
        let last = play(&plan, seed).last_arrivals;
        // 8 a second in 4 s, less a tenth.
        assert!(
            last.iter().all(|count| *count >= 29),
            "seed {seed}: {last:?}"
        );
    }
}

/// Prints what targets and callers get with and without each mechanism.
#[test]
#[ignore = "a measurement; takes a minute with --release"]
fn table_of_mechanisms() {
    let full = FleetPlan::default().policy;
    let policies = [
        (
            "none",
            OverloadPolicy {
                named_rate: false,
                told_notices: false,
                rate_pacing: false,
                ..full
            },
        ),
        (
            "rate alone",
            OverloadPolicy {
                told_notices: false,
                rate_pacing: false,
                ..full
            },
        ),
        (
            "rate, told",
            OverloadPolicy {
                rate_pacing: false,
                ..full
            },
        ),
        ("all", full),
    ];
    let all_of_three = (0..3).map(|target| (2.0, target, Script::Name(Some(8.0))));
    let plans = [
        (
            "12 nodes, 8 a second at one of 3",
            scripted(vec![name(2.0, 8.0), kill(8.0)]),
        ),
        (
            "12 nodes, 8 a second at all of 3",
            scripted(all_of_three.collect()),
        ),
        ("14 nodes, 2 a second at half of 4", large(14, 4, 2.0)),
        ("65 nodes, 2.5 a second at half of 20", large(65, 20, 2.5)),
        (
            "300 nodes, 2.5 a second at half of 100",
            large(300, 100, 2.5),
        ),
        (
            "300 nodes, 0.2 a second at half of 100",
            large(300, 100, 0.2),
        ),
    ];
    for (title, plan) in plans {
        for (label, policy) in policies {
            let report = RateFleet::play(FleetPlan {
                policy,
                ..plan.clone()
            });
            println!(
                "{title} | {label} | in time {:.4} | refused {:.4} | refusals by nodes a request {:.3} | \
                 promises broken {} | a limited target in the last 4 s {}",
                report.share_in_time(),
                report.refused as f64 / report.requests as f64,
                report.rate_refusals as f64 / report.requests as f64,
                report.violations.len(),
                report.last_arrivals[0],
            );
        }
    }
}
