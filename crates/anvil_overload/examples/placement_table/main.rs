//! Prints the table of `docs/design/placement.md`: simulated nodes and targets without and with the
//! choice by expected completion. `cargo run --release -p anvil_overload --example placement_table`.

#![allow(clippy::expect_used)]

mod fleet;

use anvil_overload::policy;
use fleet::Fleet;

/// Share of the slots that a target uses; the others are spare.
const USED_SHARE: f64 = 0.95;

/// Length of a run of the simulation, of which the first second is not counted.
const MILLIS: u64 = 5_000;

/// The nodes, the targets and the load of one row.
struct Scenario {
    name: &'static str,
    nodes: usize,
    /// Zone, slots and run time in milliseconds of each target.
    targets: Vec<(char, u32, u64)>,
    /// Load of each zone as a multiple of its share of the capacity. If there are fewer loads than
    /// zones, the last one is that of the others.
    loads: &'static [f64],
    /// Factor by which the first target slows after two seconds.
    slowdown: u64,
}

fn main() {
    println!("fleet | refused off | on | crossing off | on | longest off | on (ms)");
    for scenario in scenarios() {
        let [off, on] = [false, true].map(|switch| row(&scenario, switch));
        println!(
            "{} | {:.4} | {:.4} | {:.3} | {:.3} | {} | {}",
            scenario.name, off.0, on.0, off.1, on.1, off.2, on.2
        );
    }
}

fn scenarios() -> Vec<Scenario> {
    let equal = |zones: &str, slots| zones.chars().map(|zone| (zone, slots, 60)).collect();
    let unequal = |zones: &str| -> Vec<_> {
        let runs = zones.chars().zip([60, 80, 120, 150]);
        runs.map(|(zone, run)| (zone, 40, run)).collect()
    };
    let many = (0..200_u8).map(|index| {
        (
            char::from(b'a' + index / 50),
            8,
            60 + u64::from(index % 3) * 30,
        )
    });
    let of = |name, nodes, targets, loads, slowdown| Scenario {
        name,
        nodes,
        targets,
        loads,
        slowdown,
    };
    vec![
        of(
            "20 nodes, 159 slots, one zone at 1.3",
            20,
            equal("abcd", 159),
            &[1.3, 0.2],
            1,
        ),
        of(
            "20 nodes, 159 slots, one zone at 2.5",
            20,
            equal("abcd", 159),
            &[2.5, 0.2],
            1,
        ),
        of(
            "20 nodes, 159 slots, one zone at 0.9",
            20,
            equal("abcd", 159),
            &[0.9, 0.2],
            1,
        ),
        of(
            "78 nodes, 40 slots, one zone at 1.3",
            78,
            equal("abcd", 40),
            &[1.3, 0.2],
            1,
        ),
        of(
            "200 nodes, 40 slots, one zone at 1.3",
            200,
            equal("abcd", 40),
            &[1.3, 0.2],
            1,
        ),
        of(
            "20 nodes, 8 slots, one zone at 1.3",
            20,
            equal("abcd", 8),
            &[1.3, 0.2],
            1,
        ),
        of(
            "78 nodes, 4 equal targets, 0.97",
            78,
            equal("abcd", 40),
            &[0.97],
            1,
        ),
        of(
            "78 nodes, 4 equal targets, 1.4",
            78,
            equal("abcd", 40),
            &[1.4],
            1,
        ),
        of(
            "78 nodes, 4 unequal targets, 0.97",
            78,
            unequal("abcd"),
            &[0.97],
            1,
        ),
        of(
            "200 nodes, 4 unequal targets, 0.97",
            200,
            unequal("abcd"),
            &[0.97],
            1,
        ),
        of(
            "200 nodes, 4 unequal targets, 1.3",
            200,
            unequal("abcd"),
            &[1.3],
            1,
        ),
        of(
            "the fastest slows to a fifth, 4 zones, 0.95",
            78,
            unequal("abcd"),
            &[0.95],
            5,
        ),
        of(
            "the fastest slows to a fifth, one zone, 0.95",
            78,
            unequal("aaaa"),
            &[0.95],
            5,
        ),
        of("200 targets of 8 slots, 0.9", 78, many.collect(), &[0.9], 1),
    ]
}

/// The shares of refused and crossing calls, and the longest time to an answer in milliseconds.
fn row(scenario: &Scenario, switch: bool) -> (f64, f64, u64) {
    let policy = policy::OverloadPolicy {
        expected_completion: switch,
        stay_in_zone: true,
        ..policy::OverloadPolicy::FULL
    };
    let targets = &scenario.targets;
    let mut fleet = Fleet::new(policy, scenario.nodes, targets);
    fleet.slow_down(2_000, 0, scenario.slowdown);
    let mut zones: Vec<char> = targets.iter().map(|target| target.0).collect();
    zones.dedup();
    let mut capacity = 0.0;
    for (index, (_, slots, run)) in targets.iter().enumerate() {
        let factor = if index == 0 { scenario.slowdown } else { 1 };
        let run = u32::try_from(run * factor).expect("a short run");
        capacity += f64::from(*slots) * USED_SHARE * 1e3 / f64::from(run);
    }
    let share = capacity / f64::from(u32::try_from(zones.len()).expect("a few zones"));
    let load_of = |zone| scenario.loads.get(zone).or(scenario.loads.last());
    let rates = (0..zones.len()).map(|zone| share * load_of(zone).unwrap_or(&1.0));
    let result = fleet.play(MILLIS, &rates.collect::<Vec<_>>());
    let sent = f64::from(result.sent);
    (
        f64::from(result.refused) / sent,
        f64::from(result.crossed) / sent,
        result.longest / 1_000,
    )
}
