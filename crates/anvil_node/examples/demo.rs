//! Demo: sixteen nodes with stand-in targets on loopback, in one process.
//!
//! `cargo run --release --example demo`

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::{fs, thread};

use anvil_node::{node, settings};
use anvil_rules::parse;
use anvil_standins::store::server;
use anvil_standins::{experiment, ledger, mesh, process, report, scenario};
use anvil_types::context;

/// The scenario: the last of four services in the call chain slows down while demand doubles.
const SCENARIO: &str = "\
name: demo
mesh: reclamo-simple
base_rate: 120
warm_seconds: 3
pressure_seconds: 5
after_seconds: 4
rate_factor: 2
callers: {timeout_ms: 2000}
faults:
  - slow: {service: expediente, factor: 4}
";

/// A node inside this process.
struct LocalNode {
    running: Option<node::RunningNode>,
    addresses: process::NodeAddresses,
}

impl process::NodeHandle for LocalNode {
    fn addresses(&self) -> process::NodeAddresses {
        self.addresses
    }

    fn kill(&mut self) {
        self.stop_with(2);
    }

    fn usage(&self) -> Option<ledger::UsageRecord> {
        None
    }

    fn stop(&mut self) -> eyre::Result<()> {
        self.stop_with(1);
        Ok(())
    }
}

impl LocalNode {
    fn stop_with(&mut self, signals: usize) {
        let Some(running) = self.running.take() else {
            return;
        };
        for _ in 0..signals {
            running.stop();
        }
        // The node blocks on its own runtime, which is not allowed on a thread of another runtime.
        // A panic of the node was already printed to standard error.
        let _ = thread::spawn(move || running.wait()).join();
    }
}

impl Drop for LocalNode {
    fn drop(&mut self) {
        process::NodeHandle::kill(self);
    }
}

fn main() -> eyre::Result<()> {
    print("anvilworks demo: Reclamo Simple, 4 services, 16 nodes with a target beside each.\n");
    print("A claim passes portal-ciudadano, mesa-entradas, audiencias and expediente.\n");
    print(
        "3 s quiet, then 5 s with expediente 4 times slower and twice the demand, then quiet.\n\n",
    );
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/reclamo-simple");
    let rules = fs::read_to_string(folder.join("rules.yaml"))?;
    let mesh = Arc::new(mesh::MeshPlan::parse(&fs::read_to_string(
        folder.join("mesh.yaml"),
    )?)?);
    let scenario = Arc::new(scenario::ScenarioPlan::parse(SCENARIO)?);
    let store = server::StoreServer::start(1)?;
    let plan = experiment::ExperimentPlan {
        starter: Arc::new(start_node),
        mesh: Arc::clone(&mesh),
        scenario: Arc::clone(&scenario),
        rules: Some(rules.clone()),
        store: store.address(),
        extra_settings: String::new(),
        seed: 1,
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let recorded = runtime.block_on(experiment::run_recorded(plan))?;
    print_phases(&recorded, &scenario);
    print_rules(&recorded, &rules)?;
    print_summary(&report::RunReport::of(&recorded, &scenario));
    Ok(())
}

fn start_node(_: &str, text: &str) -> eyre::Result<Box<dyn process::NodeHandle>> {
    let settings = settings::parse(text, Path::new("demo"))?;
    let running = node::start(&settings)?;
    let bound = running.bound();
    let addresses = process::NodeAddresses {
        caller: bound.caller,
        admin: bound.admin,
        peer: bound.peer,
        gossip: bound.gossip,
    };
    Ok(Box::new(LocalNode {
        running: Some(running),
        addresses,
    }))
}

fn print(text: &str) {
    // A closed pipe is not an error: the reader does not need the rest of the output.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

#[derive(Default)]
struct PhaseCount {
    sent: usize,
    complete: usize,
    not_run: usize,
    failed: usize,
    attempts: u32,
}

impl PhaseCount {
    fn add(&mut self, record: &ledger::CallerRecord) {
        self.sent += 1;
        self.attempts += record.attempts;
        match record.outcome {
            ledger::CallerOutcome::Complete => self.complete += 1,
            ledger::CallerOutcome::NotRun => self.not_run += 1,
            _ => self.failed += 1,
        }
    }
}

fn print_phases(ledger: &ledger::RunLedger, scenario: &scenario::ScenarioPlan) {
    print("phase     class      sent  whole  refused as not run  other  attempts per request\n");
    let times = scenario.times();
    let phases = [
        ("quiet", Duration::ZERO, times.pressure),
        ("pressure", times.pressure, times.relief),
        ("after", times.relief, times.end),
    ];
    let callers = ledger.callers();
    for (phase, from, to) in phases {
        for class in context::PriorityClass::ALL.iter().rev() {
            let mut count = PhaseCount::default();
            for record in &callers {
                if record.class == *class && record.sent >= from && record.sent < to {
                    count.add(record);
                }
            }
            print(&format!(
                "{phase:<9} {:<9} {:>5}  {:>5}  {:>18}  {:>5}  {:>20.2}\n",
                class.to_string(),
                count.sent,
                count.complete,
                count.not_run,
                count.failed,
                f64::from(count.attempts) / count.sent.max(1) as f64,
            ));
        }
    }
}

/// Prints how many requests each rule decided, by the rule index in the replies.
fn print_rules(ledger: &ledger::RunLedger, rules: &str) -> eyre::Result<()> {
    let document = parse::parse_rules("rules.yaml", rules)?;
    let mut decisions: BTreeMap<String, (usize, BTreeMap<String, usize>)> = BTreeMap::new();
    for record in ledger.callers() {
        let index = record.rule.as_deref().and_then(|text| text.parse().ok());
        let rule = index.and_then(|index: usize| document.rules().get(index));
        let name = rule.map_or("built-in default", |rule| rule.name.as_str());
        let entry = decisions.entry(name.to_owned()).or_default();
        entry.0 += 1;
        if let Some(reason) = record.reason {
            *entry.1.entry(reason).or_default() += 1;
        }
    }
    print("\nrule              decided  refused or failed, by reason\n");
    for (name, (count, reasons)) in decisions {
        let reasons: Vec<_> = reasons
            .iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        print(&format!("{name:<17} {count:>7}  {}\n", reasons.join(", ")));
    }
    Ok(())
}

fn print_summary(report: &report::RunReport) {
    let recovery = match report.recovery {
        Some(seconds) => format!("{seconds:.1} s after the pressure"),
        None => "not before the demo's end".to_owned(),
    };
    print(&format!(
        "\nwhole answers during the pressure: {:.0} a second; back at 95 %: {recovery}\n\
         share of the targets' time spent in vain: {:.1} %; runs of any one claim: at most {}\n",
        report.goodput, report.wasted_percent, report.max_runs_per_key
    ));
}
