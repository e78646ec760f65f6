//! Prints a table of the effect of each safeguard, simulated with a small mesh of reducers:
//! `cargo run --release -p anvil_core --example overload_table [scenario] [policy] [seeds]`.
//!
//! `scenario` and `policy` select the rows whose names contain them. A policy named `-x` is the
//! full policy without the safeguard `x`.

#![allow(clippy::unwrap_used)]

#[path = "../tests/mesh/mod.rs"]
mod mesh;

use anvil_overload::policy;
use anvil_types::context;

/// Begin and end of the overload, in seconds.
const PRESSURE: (f64, f64) = (3.0, 8.0);

/// The load and the faults during the overload.
struct Scenario {
    name: &'static str,
    /// Demand as a multiple of [`mesh::SATURATION_PER_S`].
    demand_factor: f64,
    /// Factor on the run time of the service `expediente`, the deepest one.
    slowdown: f64,
    /// Maximum number of resends of a request by its caller.
    resends: u32,
    /// Requests per second that only need the first service.
    side_rate: f64,
    fault: mesh::Fault,
    /// How long a caller waits for an answer, in milliseconds.
    patience_ms: u64,
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

const fn scenario(name: &'static str, demand_factor: f64, slowdown: f64, resends: u32) -> Scenario {
    Scenario {
        name,
        demand_factor,
        slowdown,
        resends,
        side_rate: 0.0,
        fault: mesh::Fault::None,
        patience_ms: 2_000,
    }
}

const fn faulty(
    name: &'static str,
    demand_factor: f64,
    resends: u32,
    fault: mesh::Fault,
) -> Scenario {
    Scenario {
        fault,
        ..scenario(name, demand_factor, 1.0, resends)
    }
}

/// Callers wait for 400 ms only.
const fn hurried(name: &'static str, demand_factor: f64, resends: u32) -> Scenario {
    Scenario {
        patience_ms: 400,
        ..scenario(name, demand_factor, 1.0, resends)
    }
}

/// Adds requests that only need the first service, at the rate of [`mesh::SATURATION_PER_S`].
const fn beside(name: &'static str, demand_factor: f64, slowdown: f64) -> Scenario {
    Scenario {
        side_rate: mesh::SATURATION_PER_S,
        ..scenario(name, demand_factor, slowdown, 0)
    }
}

/// A load of the scarce mesh, whose deepest service is short of capacity from second 2 to 8.
struct ScarceScenario {
    name: &'static str,
    /// Demand as a multiple of [`mesh::SCARCE_SATURATION_PER_S`].
    demand_factor: f64,
    fault: mesh::Fault,
    restart_at: Option<f64>,
}

const SCARCE_SCENARIOS: [ScarceScenario; 6] = [
    scarce("scarce-1.0x", 1.0, mesh::Fault::None, None),
    scarce("scarce-1.5x", 1.5, mesh::Fault::None, None),
    scarce("scarce-2.5x", 2.5, mesh::Fault::None, None),
    scarce("scarce-refusing", 0.6, mesh::Fault::HalfRefusing, None),
    scarce("scarce-2.5x-refusing", 2.5, mesh::Fault::HalfRefusing, None),
    scarce("scarce-2.5x-restart", 2.5, mesh::Fault::None, Some(4.0)),
];

const fn scarce(
    name: &'static str,
    demand_factor: f64,
    fault: mesh::Fault,
    restart_at: Option<f64>,
) -> ScarceScenario {
    ScarceScenario {
        name,
        demand_factor,
        fault,
        restart_at,
    }
}

/// The switches for scarce services, which no full policy has on.
const SCARCE_POLICIES: [(&str, Switch); 2] = [
    ("full", |_| {}),
    ("+refusal_retries", |p| p.refusal_retries = true),
];

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
    let scenario_filter = arguments.next().unwrap_or_default();
    let policy_filter = arguments.next().unwrap_or_default();
    let seeds: u64 = arguments.next().map_or(3, |text| text.parse().unwrap());
    println!("median of {seeds} seeds; complete answers during the overload");
    println!(
        "| scenario | policy | goodput/s | critical | high | normal | low | recovery s | side | waste | most runs of a root |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in SCENARIOS
        .iter()
        .filter(|s| s.name.contains(&scenario_filter))
    {
        for (name, switch) in POLICIES
            .iter()
            .filter(|(name, _)| name.contains(&policy_filter))
        {
            let rows: Vec<Vec<f64>> = (1..=seeds)
                .map(|seed| measure(scenario, *switch, seed))
                .collect();
            let cells: Vec<String> = (0..rows[0].len())
                .map(|column| median(&rows, column))
                .collect();
            println!("| {} | {name} | {} |", scenario.name, cells.join(" | "));
        }
    }
    println!(
        "\n| scenario | policy | kind | goodput/s of all kinds | served | completed of started | wasted runs | recovery s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let is_selected = |s: &&ScarceScenario| s.name.contains(&scenario_filter);
    for scenario in SCARCE_SCENARIOS.iter().filter(is_selected) {
        for policy in SCARCE_POLICIES {
            if policy.0.contains(&policy_filter) {
                print_scarce(scenario, policy, seeds);
            }
        }
    }
}

/// Prints one row for each kind of request of the scarce mesh.
fn print_scarce(scenario: &ScarceScenario, policy: (&str, Switch), seeds: u64) {
    let runs: Vec<mesh::Mesh> = (1..=seeds)
        .map(|seed| run_scarce(scenario, policy.1, seed))
        .collect();
    for (kind, _, _) in mesh::SCARCE_KINDS {
        let row = |mesh: &mesh::Mesh| {
            let shares = mesh.shares(kind, SCARCE_SPAN.0, SCARCE_SPAN.1);
            let recovery = mesh.recovery(8.0).unwrap_or(f64::INFINITY);
            let goodput = mesh.goodput(SCARCE_SPAN.0, SCARCE_SPAN.1);
            vec![
                goodput,
                shares.served,
                shares.completed,
                shares.wasted,
                recovery,
            ]
        };
        let rows: Vec<Vec<f64>> = runs.iter().map(row).collect();
        let cells: Vec<String> = (0..rows[0].len())
            .map(|column| median(&rows, column))
            .collect();
        println!(
            "| {} | {} | {kind} | {} |",
            scenario.name,
            policy.0,
            cells.join(" | ")
        );
    }
}

/// Arrivals that the rows of the scarce mesh count, in seconds; the first second of the overload is
/// left out.
const SCARCE_SPAN: (f64, f64) = (3.0, 8.0);

fn run_scarce(scenario: &ScarceScenario, switch: Switch, seed: u64) -> mesh::Mesh {
    let mut policy = policy::OverloadPolicy::FULL;
    switch(&mut policy);
    let mut plan = mesh::Plan::scarce(policy, scenario.demand_factor);
    plan.seed = seed;
    plan.fault = (scenario.fault, 2.0, 8.0);
    plan.restart_at = scenario.restart_at;
    mesh::Mesh::new(plan, mesh::scarce_mesh()).run()
}

fn measure(scenario: &Scenario, switch: Switch, seed: u64) -> Vec<f64> {
    let mut policy = policy::OverloadPolicy::FULL;
    switch(&mut policy);
    let mut plan = mesh::Plan::new(policy);
    let (from, to) = PRESSURE;
    plan.seed = seed;
    plan.until = 20.0;
    plan.resends = scenario.resends;
    plan.side_rate = scenario.side_rate;
    plan.fault = (scenario.fault, from, to);
    plan.client_timeout = std::time::Duration::from_millis(scenario.patience_ms);
    let base_rate = mesh::SATURATION_PER_S / 2.0;
    plan.rates = vec![
        (0.0, base_rate),
        (from, mesh::SATURATION_PER_S * scenario.demand_factor),
        (to, base_rate),
    ];
    plan.slow = vec![
        (from, "expediente", scenario.slowdown),
        (to, "expediente", 1.0),
    ];
    let mesh = mesh::Mesh::new(plan, mesh::claims_mesh()).run();
    let mut row = vec![mesh.goodput(from + 1.0, to)];
    let classes = context::PriorityClass::ALL.iter().rev();
    row.extend(classes.map(|class| mesh.share(*class, from, to)));
    row.push(mesh.recovery(to).unwrap_or(f64::INFINITY));
    row.push(mesh.side_share(from, to));
    row.push(mesh.waste());
    row.push(mesh.max_runs_per_root());
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
