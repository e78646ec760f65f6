//! Randomized runs, in virtual time, of keyed claims while nodes restart in waves, connections
//! break and the store fails.

#![allow(clippy::unwrap_used)]

mod keyed_fleet;

use std::time::Duration;

use anvil_types::ident;
use keyed_fleet::KeyedFleet;
use rand_core::{Rng, SeedableRng};

/// Nodes of a storm: enough for each slot's owner and backup, and a third node that may take it
/// over.
const NODES: usize = 5;
/// Number of steps in a storm.
const STEPS: usize = 400;
/// Nodes that keep running in the storms of odd seeds. In those of even seeds all nodes may stop at
/// once, after which no key can be granted for the retention time of its record.
const MIN_RUNNING_NODES: usize = 3;
/// Seeds of a run in which `STORM_SEEDS` is not set.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..12;
/// Number of latest claims that callers may send again.
const RECENT_CLAIMS: usize = 40;

/// The next step, drawn by weight.
#[derive(Clone, Copy, Debug)]
enum StormStep {
    /// A caller files a claim, or sends a recent one again, mostly to another node.
    Claim,
    /// Up to three nodes are stopped at once; each is restarted at its address soon after it exits.
    Stop,
    /// A node is stopped, and stopped again 1 ms later.
    StopAgain,
    /// A node crashes up to 40 ms after it was stopped, often in the middle of its hand-over.
    Crash,
    /// The connections between two nodes break.
    Disconnect,
    /// The store goes down, starts losing calls and answers, or recovers.
    StoreFault,
    /// Time passes.
    Wait,
}

fn draw(source: &mut rand_pcg::Pcg64Mcg) -> StormStep {
    match source.next_u64() >> 8 & 127 {
        0..64 => StormStep::Claim,
        64..72 => StormStep::Stop,
        72..76 => StormStep::StopAgain,
        76..79 => StormStep::Crash,
        79..87 => StormStep::Disconnect,
        87..92 => StormStep::StoreFault,
        _ => StormStep::Wait,
    }
}

/// One storm: a fleet and the random source of its steps.
struct KeyedStorm {
    fleet: KeyedFleet,
    source: rand_pcg::Pcg64Mcg,
    claims: usize,
    /// Number of nodes that are never stopped.
    min_running: usize,
    /// The current or last node at each address.
    addresses: Vec<ident::NodeId>,
}

impl KeyedStorm {
    fn new(seed: u64) -> Self {
        let mut fleet = KeyedFleet::start(NODES);
        fleet.delays = Some(rand_pcg::Pcg64Mcg::seed_from_u64(seed));
        let addresses = fleet.nodes();
        Self {
            fleet,
            source: rand_pcg::Pcg64Mcg::seed_from_u64(!seed),
            claims: 0,
            min_running: if seed.is_multiple_of(2) {
                0
            } else {
                MIN_RUNNING_NODES
            },
            addresses,
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.source.next_u64() >> 16) as usize % bound
    }

    /// A node that may be stopped, if enough others keep running.
    fn any_stoppable(&mut self) -> Option<ident::NodeId> {
        let running = self.fleet.not_stopping();
        let enough = running.len() > self.min_running;
        enough.then(|| running[self.below(running.len())])
    }

    fn any_node(&mut self) -> Option<ident::NodeId> {
        let nodes = self.fleet.nodes();
        (!nodes.is_empty()).then(|| nodes[self.below(nodes.len())])
    }

    fn step(&mut self) {
        self.restart_exited();
        match draw(&mut self.source) {
            StormStep::Claim => {
                let recent = self.claims.min(RECENT_CLAIMS);
                let claim = match self.below(2) {
                    1 if recent > 0 => self.claims - 1 - self.below(recent),
                    _ => {
                        self.claims += 1;
                        self.claims - 1
                    }
                };
                if let Some(node) = self.any_node() {
                    self.fleet.submit(node, &format!("claim-{claim}"));
                }
            }
            StormStep::Stop => {
                for _ in 0..=self.below(3) {
                    if let Some(node) = self.any_stoppable() {
                        self.fleet.stop(node);
                        self.fleet.run(Duration::ZERO);
                    }
                }
            }
            StormStep::StopAgain => {
                if let Some(node) = self.any_stoppable() {
                    self.fleet.stop(node);
                    self.fleet.run(Duration::from_millis(1));
                    self.fleet.stop(node);
                }
            }
            StormStep::Crash => {
                if let Some(node) = self.any_stoppable() {
                    self.fleet.stop(node);
                    let delay_ms = self.below(40) as u64;
                    self.fleet.run(Duration::from_millis(delay_ms));
                    self.fleet.crash(node);
                }
            }
            StormStep::Disconnect => {
                if let (Some(one), Some(other)) = (self.any_node(), self.any_node())
                    && one != other
                {
                    self.fleet.disconnect(one, other);
                }
            }
            StormStep::StoreFault => {
                let fault = self.below(4);
                self.fleet.store.faults.down = fault == 0;
                self.fleet.store.faults.lost_answers = if fault == 1 { 30 } else { 0 };
                self.fleet.store.faults.lost_calls = if fault == 1 { 10 } else { 0 };
            }
            StormStep::Wait => {
                let millis = 50 + self.below(3_000) as u64;
                self.fleet.run(Duration::from_millis(millis));
            }
        }
        let pause = self.below(20) as u64;
        self.fleet.run(Duration::from_millis(pause));
    }

    /// Restarts a node, with a chance of three in four, at each address whose last node has exited.
    fn restart_exited(&mut self) {
        for address_index in 0..self.addresses.len() {
            if !self.fleet.is_alive(self.addresses[address_index]) && self.below(4) > 0 {
                self.fleet.add(address_index);
                let nodes = self.fleet.nodes();
                self.addresses[address_index] = nodes[nodes.len() - 1];
            }
        }
    }
}

/// Runs one storm and returns the logged steps of each key that ran more than once.
fn run_storm(seed: u64) -> Vec<String> {
    let mut storm = KeyedStorm::new(seed);
    for _ in 0..STEPS {
        storm.step();
        if storm.fleet.max_runs_per_key() > 1 {
            break;
        }
    }
    storm.fleet.store.faults = anvil_standins::store::fake::StoreFaults::default();
    storm.fleet.run(Duration::from_secs(20));
    let runs = storm.fleet.runs.len();
    assert!(
        runs > 0 || storm.min_running == 0,
        "seed {seed}: nothing ran"
    );
    let repeated = storm.fleet.repeated_keys();
    let steps = storm.fleet.steps.iter();
    let violations = steps.filter(|(_, _, record)| repeated.contains(&record.key));
    violations
        .map(|(at, node, record)| format!("{at:?} {node} {record:?}"))
        .collect()
}

// Callers file and resend claims while nodes stop in waves less than a hand-over apart, are stopped
// twice, crash during their hand-over and restart at the same address, while connections between
// running nodes break and the store is down, slow or loses answers. No claim may run twice: a key
// is bound to one call of one process, and every node that may own it next knows the binding
// beforehand.
#[test]
fn no_storm_runs_a_claim_twice() {
    let seeds = std::env::var("STORM_SEEDS").ok();
    let range = seeds.as_deref().and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    for seed in range.unwrap_or(DEFAULT_SEEDS) {
        let violations = run_storm(seed);
        assert!(
            violations.is_empty(),
            "seed {seed}: a claim ran twice:\n{}",
            violations.join("\n")
        );
    }
}
