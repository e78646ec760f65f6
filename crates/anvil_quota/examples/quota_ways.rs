//! Compares methods to enforce an account's quota over a fleet: tokens taken ahead of the home's
//! count, a decision for each request, and counts that every node publishes to all others.
//!
//! `cargo run --release -p anvil_quota --example quota_ways`

#[path = "../tests/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;

use std::time::Duration;

use anvil_quota::ledger;
use anvil_types::account;
use fleet::{AccountLoad, FleetFault, FleetPlan};
use rand_core::{Rng, SeedableRng};

/// Number of seeds of each row.
const SEEDS: u64 = 5;

/// Interval at which nodes publish their counts.
const PUBLISH_MILLIS: u64 = 250;

/// Size in bytes of one published count: account, sum, and its part of the header of a datagram.
const COUNT_BYTES: usize = 16;

/// Result of one method over all seeds.
#[derive(Default)]
struct ModeRow {
    over: f64,
    arrived: usize,
    refused_falsely: usize,
    p50: u64,
    p99: u64,
    bytes: usize,
}

fn accounts(surging: bool) -> Vec<AccountLoad> {
    let load = |rate: u32, normal: f64, surge: f64| AccountLoad {
        quota: account::AccountQuota::per_second(rate, rate),
        normal,
        surge,
        nodes: 0,
    };
    let large = if surging { 1_100.0 } else { 150.0 };
    let mut loads = vec![load(240, 150.0, large), load(80, 50.0, 50.0)];
    loads.extend((0..18).map(|_| load(16, 10.0, 10.0)));
    loads
}

fn plan(nodes: usize, seed: u64, mode: ledger::TokenMode, surging: bool, kills: bool) -> FleetPlan {
    let kill = |index: u64| {
        let node = index as usize * 7 % nodes;
        (Duration::from_secs(3 * index + 2), FleetFault::Kill(node))
    };
    FleetPlan {
        nodes,
        seed,
        mode,
        states_demand: false,
        sheds: false,
        delay_micros: 3_000,
        lost_per_mille: 10,
        length: Duration::from_secs(20),
        surge: (Duration::from_secs(6), Duration::from_secs(13)),
        accounts: accounts(surging),
        faults: match kills {
            true => (0..6).map(kill).collect(),
            false => Vec::new(),
        },
    }
}

fn simulate_ledger(nodes: usize, mode: ledger::TokenMode, surging: bool, kills: bool) -> ModeRow {
    let mut row = ModeRow {
        over: f64::MIN,
        ..ModeRow::default()
    };
    for seed in 0..SEEDS {
        let tally = fleet::simulate(plan(nodes, seed, mode, surging, kills));
        for account in &tally.accounts {
            row.over = row.over.max(account.over);
            row.arrived += account.arrived;
            row.refused_falsely += account.refused_falsely;
        }
        row.p50 = row.p50.max(tally.wait(0.5));
        row.p99 = row.p99.max(tally.wait(0.99));
        row.bytes += tally.bytes;
    }
    row
}

/// Simulates nodes that admit by the counts that the others last published, less an estimate of the
/// requests since.
fn simulate_counts(nodes: usize, surging: bool) -> ModeRow {
    let mut row = ModeRow {
        over: f64::MIN,
        ..ModeRow::default()
    };
    for seed in 0..SEEDS {
        for load in accounts(surging) {
            count_account(nodes, seed, load, &mut row);
        }
    }
    row
}

fn count_account(nodes: usize, seed: u64, load: AccountLoad, row: &mut ModeRow) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let rate = load.quota.rate();
    let burst = f64::from(load.quota.burst);
    let allowed = fleet::tally::allowed(load.quota);
    // Requests that each node admitted since it last published, and a bucket of the fleet as
    // published.
    let mut unpublished = vec![0_u32; nodes];
    let mut level = burst;
    let mut exact = burst;
    let mut admitted: Vec<u64> = Vec::new();
    for milli in 0..20_000_u64 {
        level = (level + rate / 1_000.0).min(burst);
        exact = (exact + rate / 1_000.0).min(burst);
        if milli % PUBLISH_MILLIS == 0 {
            let published: u32 = unpublished.iter().sum();
            let publishing = unpublished.iter().filter(|count| **count > 0).count();
            row.bytes += publishing * (nodes - 1) * COUNT_BYTES;
            level -= f64::from(published);
            unpublished.fill(0);
        }
        let surging = (6_000..13_000).contains(&milli);
        let a_milli = if surging { load.surge } else { load.normal } / 1_000.0;
        let certain = a_milli.floor();
        let chance = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let count = certain as u64 + u64::from(chance < a_milli - certain);
        for _ in 0..count {
            row.arrived += 1;
            let had_token = exact >= 1.0;
            exact -= f64::from(u8::from(had_token));
            let node = (rng.next_u64() % nodes as u64) as usize;
            // The other nodes are assumed to admit as many requests as this node.
            let own = f64::from(unpublished[node] + 1);
            if level - own * nodes as f64 >= 0.0 {
                unpublished[node] += 1;
                admitted.push(milli);
            } else {
                row.refused_falsely += usize::from(had_token);
            }
        }
    }
    for (position, end) in admitted.iter().enumerate() {
        let first = admitted.partition_point(|at| at + 5_000 <= *end);
        row.over = row.over.max((position + 1 - first) as f64 - allowed);
    }
}

fn print(nodes: usize, load: &str, mode: &str, row: &ModeRow) {
    let share = row.refused_falsely as f64 / row.arrived.max(1) as f64;
    let seconds = 20.0 * SEEDS as f64;
    println!(
        "{nodes:>5} {load:<14} {mode:<8} {:>9.1} {:>10.5} {:>8.2} {:>8.2} {:>10.1}",
        row.over,
        share,
        row.p50 as f64 / 1_000.0,
        row.p99 as f64 / 1_000.0,
        row.bytes as f64 / seconds / 1_000.0,
    );
}

fn main() {
    println!(
        "{:>5} {:<14} {:<8} {:>9} {:>10} {:>8} {:>8} {:>10}",
        "nodes", "load", "way", "over", "falsely", "p50 ms", "p99 ms", "kB/s"
    );
    for nodes in [14, 65, 300] {
        for (load, surging, kills) in [
            ("usual", false, false),
            ("surge", true, false),
            ("surge, kills", true, true),
        ] {
            for (name, mode) in [
                ("ahead", ledger::TokenMode::Ahead),
                ("ask", ledger::TokenMode::PerRequest),
            ] {
                print(
                    nodes,
                    load,
                    name,
                    &simulate_ledger(nodes, mode, surging, kills),
                );
            }
            if !kills {
                print(nodes, load, "counts", &simulate_counts(nodes, surging));
            }
        }
    }
}
