//! Prints what each safeguard is worth in a small mesh of reducers in injected time:
//! `cargo run --release -p anvil_core --example overload_table [scenario] [policy] [seeds]`.

#![allow(clippy::unwrap_used)]

#[path = "../tests/mesh/mod.rs"]
mod mesh;

use anvil_overload::policy;
use anvil_types::context;

/// Seconds at which the pressure begins and ends.
const PRESSURE: (f64, f64) = (3.0, 8.0);

struct Scenario {
    name: &'static str,
    factor: f64,
    slow: f64,
    resends: u32,
    side: f64,
    fault: mesh::Fault,
    patience: u64,
}

const SCENARIOS: [Scenario; 13] = [
    scenario("saturation", 1.0, 1.0, 0),
    scenario("demand-2x", 2.0, 1.0, 0),
    scenario("demand-4x", 4.0, 1.0, 0),
    scenario("demand-4x-resends", 4.0, 1.0, 5),
    scenario("deep-slow", 0.5, 5.0, 0),
    scenario("deep-slow-resends", 0.5, 5.0, 5),
    beside("deep-slow-beside", 1.0, 5.0),
    beside("demand-4x-beside", 4.0, 1.0),
    faulty("one-slow", 0.7, 0, mesh::Fault::OneSlow),
    faulty("one-failing", 0.7, 0, mesh::Fault::OneFailing),
    faulty("cold-half", 0.7, 0, mesh::Fault::ColdHalf),
    faulty("breaking", 0.7, 5, mesh::Fault::Breaking),
    hurried("hurried-2x", 2.0, 5),
];

const fn scenario(name: &'static str, factor: f64, slow: f64, resends: u32) -> Scenario {
    Scenario {
        name,
        factor,
        slow,
        resends,
        side: 0.0,
        fault: mesh::Fault::None,
        patience: 2_000,
    }
}

const fn faulty(name: &'static str, factor: f64, resends: u32, fault: mesh::Fault) -> Scenario {
    Scenario {
        fault,
        ..scenario(name, factor, 1.0, resends)
    }
}

const fn hurried(name: &'static str, factor: f64, resends: u32) -> Scenario {
    Scenario {
        patience: 400,
        ..scenario(name, factor, 1.0, resends)
    }
}

/// With as many requests again that need only the first service.
const fn beside(name: &'static str, factor: f64, slow: f64) -> Scenario {
    Scenario {
        side: mesh::SATURATION,
        ..scenario(name, factor, slow, 0)
    }
}

type Switch = fn(&mut policy::OverloadPolicy);

const POLICIES: [(&str, Switch); 20] = [
    ("full", |_| {}),
    ("naive", |p| *p = policy::OverloadPolicy::NAIVE),
    ("-adaptive_limit", |p| p.adaptive_limit = false),
    ("-cold_ramp", |p| p.cold_ramp = false),
    ("-attribution", |p| p.attribution = false),
    ("-ranked_queue", |p| p.ranked_queue = false),
    ("-bounded_queue", |p| p.bounded_queue = false),
    ("-deadline_drop", |p| p.deadline_drop = false),
    ("-cut_line", |p| p.cut_line = false),
    ("-early_refusal", |p| p.early_refusal = false),
    ("-deep_refusal", |p| p.deep_refusal = false),
    ("-chain_allowance", |p| p.chain_allowance = false),
    ("-retry_ratio", |p| p.retry_ratio = false),
    ("-backoff", |p| p.backoff = false),
    ("-better_of_two", |p| p.better_of_two = false),
    ("-zone_preference", |p| p.zone_preference = false),
    ("-slow_start", |p| p.slow_start = false),
    ("-ejection", |p| p.ejection = false),
    ("-quarantine", |p| p.quarantine = false),
    ("-cancellation", |p| p.cancellation = false),
];

fn main() {
    let mut arguments = std::env::args().skip(1);
    let only = arguments.next().unwrap_or_default();
    let which = arguments.next().unwrap_or_default();
    let seeds: u64 = arguments.next().map_or(3, |text| text.parse().unwrap());
    println!("median of {seeds} seeds; whole answers within the pressure");
    println!(
        "| scenario | policy | goodput/s | critical | high | normal | low | recovery s | side | waste | most runs of a root |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in SCENARIOS.iter().filter(|s| s.name.contains(&only)) {
        for (name, switch) in POLICIES.iter().filter(|(name, _)| name.contains(&which)) {
            let rows: Vec<Vec<f64>> = (1..=seeds)
                .map(|seed| measure(scenario, *switch, seed))
                .collect();
            let cells: Vec<String> = (0..rows[0].len())
                .map(|column| median(&rows, column))
                .collect();
            println!("| {} | {name} | {} |", scenario.name, cells.join(" | "));
        }
    }
}

fn measure(scenario: &Scenario, switch: Switch, seed: u64) -> Vec<f64> {
    let mut policy = policy::OverloadPolicy::FULL;
    switch(&mut policy);
    let mut plan = mesh::Plan::new(policy);
    let (from, to) = PRESSURE;
    plan.seed = seed;
    plan.until = 20.0;
    plan.resends = scenario.resends;
    plan.side_rate = scenario.side;
    plan.fault = (scenario.fault, from, to);
    plan.patience = std::time::Duration::from_millis(scenario.patience);
    let calm = mesh::SATURATION / 2.0;
    plan.rates = vec![
        (0.0, calm),
        (from, mesh::SATURATION * scenario.factor),
        (to, calm),
    ];
    plan.slow = vec![(from, "expediente", scenario.slow), (to, "expediente", 1.0)];
    let mesh = mesh::Mesh::new(plan, mesh::claims_mesh()).run();
    let mut row = vec![mesh.goodput(from + 1.0, to)];
    let classes = context::PriorityClass::ALL.iter().rev();
    row.extend(classes.map(|class| mesh.share(*class, from, to)));
    row.push(mesh.recovery(to).unwrap_or(f64::INFINITY));
    row.push(mesh.side_share(from, to));
    row.push(mesh.waste());
    row.push(mesh.most_runs());
    row
}

fn median(rows: &[Vec<f64>], column: usize) -> String {
    let mut values: Vec<f64> = rows.iter().map(|row| row[column]).collect();
    values.sort_by(f64::total_cmp);
    let value = values[values.len() / 2];
    if column == 0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
