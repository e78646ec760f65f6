//! Quotas over fleets with lost messages, failed nodes and network partitions.

#[allow(dead_code, reason = "other tests use the rest of the harness")]
mod fleet;

use std::time::Duration;

use anvil_quota::ledger;
use anvil_testkit::test_cases;
use anvil_types::account;
use fleet::{AccountLoad, FleetFault, FleetPlan};

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn load(rate: u32, normal: f64, surge: f64) -> AccountLoad {
    AccountLoad {
        quota: account::AccountQuota::per_second(rate, rate),
        normal,
        surge,
        nodes: 0,
    }
}

/// Accounts of different sizes; for a while the first and the last send seven times their normal
/// rate.
fn accounts() -> Vec<AccountLoad> {
    vec![
        load(240, 150.0, 1_100.0),
        load(80, 50.0, 50.0),
        load(30, 18.0, 18.0),
        load(10, 6.0, 45.0),
    ]
}

fn plan(nodes: usize, seed: u64, faults: Vec<(Duration, FleetFault)>) -> FleetPlan {
    FleetPlan {
        nodes,
        seed,
        mode: ledger::TokenMode::Ahead,
        states_demand: false,
        sheds: false,
        delay_micros: 3_000,
        lost_per_mille: 10,
        length: secs(20),
        surge: (secs(6), secs(13)),
        accounts: accounts(),
        faults,
    }
}

fn holds(plan: &FleetPlan) {
    let tally = fleet::simulate(plan.clone());
    for (account, tally) in tally.accounts.iter().enumerate() {
        assert!(
            tally.over <= 0.0,
            "seed {}: account {account} is {} over: {tally:?}",
            plan.seed,
            tally.over
        );
    }
}

fn kills(nodes: usize, every: u64) -> Vec<(Duration, FleetFault)> {
    let times = (1..20_000 / every).map(|index| Duration::from_millis(index * every));
    let faults = times.enumerate();
    faults
        .map(|(index, at)| (at, FleetFault::Kill(index * 7 % nodes)))
        .collect()
}

fn cuts(nodes: usize, count: usize) -> Vec<(Duration, FleetFault)> {
    let cut = |node| (secs(5), FleetFault::Cut(node * 3 % nodes, secs(8)));
    (0..count).map(cut).collect()
}

fn freezes(nodes: usize) -> Vec<(Duration, FleetFault)> {
    let freeze = |index: u64| {
        let node = index as usize * 5 % nodes;
        (secs(4 + index), FleetFault::Freeze(node, secs(4)))
    };
    (0..8).map(freeze).collect()
}

// An account surges to seven times its normal rate while nodes end, freeze or are partitioned in
// any order. Its requests over all nodes stay within its quota and the excess that the users allow.
fn quota_holds(nodes: usize, seeds: u64, faults: &[(Duration, FleetFault)]) {
    for seed in 0..seeds {
        holds(&plan(nodes, seed, faults.to_vec()));
    }
}

test_cases! {
    quota_holds:
    calm_14 => (14, 10, &[]),
    calm_65 => (65, 10, &[]),
    calm_300 => (300, 2, &[]),
    kills_in_series => (65, 10, &kills(65, 1_500)),
    kills_in_a_small_fleet => (14, 10, &kills(14, 2_500)),
    single_nodes_cut => (65, 10, &cuts(65, 20)),
    a_third_cut_one_by_one => (14, 40, &cuts(14, 5)),
    all_end_at_once => (65, 20, &[(secs(9), FleetFault::KillAll)]),
    all_end_at_once_twice => (
        65, 10, &[(secs(7), FleetFault::KillAll), (secs(10), FleetFault::KillAll)],
    ),
    all_end_in_a_small_fleet => (14, 20, &[(secs(9), FleetFault::KillAll)]),
    all_end_and_know_half => (65, 20, &[(secs(9), FleetFault::KillAllBlind)]),
    all_end_and_know_half_in_a_small_fleet => (14, 20, &[(secs(9), FleetFault::KillAllBlind)]),
    all_end_and_know_half_of_300 => (300, 2, &[(secs(9), FleetFault::KillAllBlind)]),
    all_end_and_know_a_few => (65, 20, &[(secs(9), FleetFault::KillAllScattered)]),
    all_end_and_know_a_few_in_a_small_fleet => (
        14, 20, &[(secs(9), FleetFault::KillAllScattered)],
    ),
    frozen_homes => (65, 10, &freezes(65)),
}

// The same while homes state the demand of accounts, and requests without a recent ratio wait for
// the home's decision.
fn quota_holds_with_stated_demand(nodes: usize, seeds: u64, faults: &[(Duration, FleetFault)]) {
    for seed in 0..seeds {
        holds(&FleetPlan {
            states_demand: true,
            ..plan(nodes, seed, faults.to_vec())
        });
    }
}

test_cases! {
    quota_holds_with_stated_demand:
    calm_65_with_stated_demand => (65, 3, &[]),
    kills_with_stated_demand => (14, 5, &kills(14, 2_500)),
    all_end_with_stated_demand => (65, 5, &[(secs(9), FleetFault::KillAll)]),
}

// An account well within its quota is never refused because of it, whichever other account surges.
fn modest_accounts_are_served(nodes: usize, seeds: u64) {
    for seed in 0..seeds {
        let tally = fleet::simulate(plan(nodes, seed, Vec::new()));
        for account in [1, 2] {
            let tally = tally.accounts[account];
            assert_eq!(
                tally.refused, 0,
                "seed {seed}: account {account}: {tally:?}"
            );
        }
    }
}

test_cases! {
    modest_accounts_are_served:
    of_14 => (14, 10),
    of_65 => (65, 10),
}

// Guards against refusals within the quota while other processes end: their homes take the loss for
// a partition, or hand the same requests back and forth and charge them each time.
fn modest_accounts_are_served_beside_losses(
    nodes: usize,
    seeds: u64,
    fault: FleetFault,
    allowed_per_mille: usize,
) {
    let (mut arrived, mut refused) = (0, 0);
    for seed in 0..seeds {
        let mut plan = plan(nodes, seed, vec![(secs(6), fault)]);
        let modest = |rate, normal| load(rate, normal, normal);
        plan.accounts = vec![
            modest(100, 10.0),
            modest(20, 2.0),
            modest(10, 1.0),
            modest(10, 1.0),
            modest(10, 0.5),
        ];
        let tally = fleet::simulate(plan);
        arrived += tally.accounts.iter().map(|one| one.arrived).sum::<usize>();
        refused += tally
            .accounts
            .iter()
            .map(|one| one.refused_falsely)
            .sum::<usize>();
    }
    assert!(
        refused * 1_000 <= arrived * allowed_per_mille,
        "{refused} of {arrived}"
    );
}

test_cases! {
    modest_accounts_are_served_beside_losses:
    one_of_30 => (30, 10, FleetFault::Kill(3), 0),
    one_of_100 => (100, 10, FleetFault::Kill(3), 0),
    one_of_300 => (300, 2, FleetFault::Kill(3), 0),
    half_of_30 => (30, 10, FleetFault::RestartHalf, 1),
    half_of_100 => (100, 10, FleetFault::RestartHalf, 1),
    half_of_300 => (300, 2, FleetFault::RestartHalf, 1),
}

// Nearly all requests of a fleet without surges and faults are admitted without waiting for another
// node.
#[test]
fn tokens_are_at_hand() {
    let mut calm = plan(14, 1, Vec::new());
    calm.surge = (Duration::ZERO, Duration::ZERO);
    calm.length = secs(120);
    let tally = fleet::simulate(calm);
    assert_eq!(tally.wait(0.95), 0);
}
