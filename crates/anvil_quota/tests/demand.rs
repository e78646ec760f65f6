//! Demand of accounts, counted at their homes and known at entry nodes.

#[allow(dead_code, reason = "other tests use the rest of the harness")]
mod fleet;

use std::ops::Range;
use std::time::Duration;

use anvil_quota::{demand, ledger};
use anvil_testkit::test_cases;
use anvil_types::account;
use fleet::tally::DemandSample;
use fleet::{AccountLoad, FleetFault, FleetPlan};

/// Runs of each case; the demand of five requests a second varies by a quarter from moment to
/// moment.
const SEEDS: u64 = 20;

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// An account sends `rates` requests a second, before and after eight seconds, through `entries` of
/// `nodes` nodes (through all, if zero); beside it a small account sends half of its quota.
fn plan(
    (nodes, entries): (usize, usize),
    quota: u32,
    (normal, surge): (f64, f64),
    faults: &[FleetFault],
) -> FleetPlan {
    let load = |quota, normal, surge, nodes| AccountLoad {
        quota: account::AccountQuota::per_second(quota, quota),
        normal,
        surge,
        nodes,
    };
    FleetPlan {
        nodes,
        seed: 3,
        mode: ledger::TokenMode::Ahead,
        states_demand: true,
        sheds: false,
        delay_micros: 3_000,
        lost_per_mille: 10,
        length: secs(24),
        surge: (secs(8), secs(24)),
        accounts: vec![load(quota, normal, surge, entries), load(10, 5.0, 5.0, 0)],
        faults: faults.iter().map(|fault| (secs(12), *fault)).collect(),
    }
}

/// The means of the requested and of the granted ratio that an account's requests found, and the
/// share of them that found no more than an estimate.
fn means(samples: &[DemandSample], account: usize, span: &Range<u64>) -> (f64, f64, f64) {
    let span = secs(span.start)..secs(span.end);
    let samples = samples.iter();
    let samples = samples.filter(|sample| sample.account == account && span.contains(&sample.at));
    let samples: Vec<_> = samples.map(|sample| sample.demand).collect();
    let mean = |value: fn(&demand::AccountDemand) -> f64| {
        samples.iter().map(value).sum::<f64>() / samples.len() as f64
    };
    let is_estimate = |known: &demand::AccountDemand| match known.source {
        demand::DemandSource::Estimate => 1.0,
        _ => 0.0,
    };
    (
        mean(|known| known.ratio.requested),
        mean(|known| known.ratio.granted),
        mean(is_estimate),
    )
}

fn within(value: f64, expected: f64, error: f64) -> bool {
    (value / expected - 1.0).abs() < error
}

// Guards against entry nodes that rank an account by a demand that it does not have. The account
// surges after 8 s, and the faults happen after 12 s. Its ratios must be right before the surge and
// from 2 s after the fault on. The small account beside it demands half of its quota, through all
// nodes: one request in 14 s at each of 68.
fn demand_is_known(
    nodes: (usize, usize),
    quota: u32,
    rates: (f64, f64),
    faults: &[FleetFault],
    expected: (f64, f64),
) {
    let plan = plan(nodes, quota, rates, faults);
    let seeds = (0..SEEDS).flat_map(|seed| {
        let plan = plan.clone();
        fleet::simulate(FleetPlan { seed, ..plan }).demands
    });
    let samples: Vec<_> = seeds.collect();
    let (before, _, _) = means(&samples, 0, &(4..8));
    let usual = rates.0 / f64::from(quota);
    assert!(within(before, usual, 0.1), "before: {before}");
    for span in [14..19, 19..24] {
        let (requested, granted, estimated) = means(&samples, 0, &span);
        let found = format!("{span:?}: {requested}, {granted} granted, {estimated} estimated");
        assert!(within(requested, expected.0, 0.1), "{found}");
        // A quota that is halved at 12 s leaves the grants of the time before in the mean.
        assert!(within(granted, expected.1, 0.15), "{found}");
        assert!(estimated < 0.05, "{found}");
    }
    let (small, _, estimated) = means(&samples, 1, &(4..12));
    assert!(
        within(small, 0.5, 0.1),
        "small: {small}, {estimated} estimated"
    );
}

test_cases! {
    demand_is_known:
    one_entry_node_of_14 => ((14, 1), 100, (60.0, 60.0), &[], (0.6, 0.6)),
    nine_times_through_one_node => ((14, 1), 100, (60.0, 900.0), &[], (9.0, 1.0)),
    all_of_68_nodes => ((68, 0), 240, (144.0, 144.0), &[], (0.6, 0.6)),
    nine_times_through_68_nodes => ((68, 0), 40, (24.0, 360.0), &[], (9.0, 1.0)),
    home_crashes => ((14, 0), 40, (24.0, 120.0), &[FleetFault::KillHome(0)], (3.0, 1.0)),
    home_is_cut_off_for_a_moment => (
        (14, 0), 40, (24.0, 120.0), &[FleetFault::CutHome(0, Duration::from_millis(1_500))], (3.0, 1.0),
    ),
    home_is_paused => (
        (14, 0), 40, (24.0, 120.0), &[FleetFault::FreezeHome(0, Duration::from_millis(900))], (3.0, 1.0),
    ),
    quota_is_halved => ((14, 0), 40, (24.0, 60.0), &[FleetFault::HalveQuotas], (3.0, 1.0)),
}

// The tokens of shed requests are returned, so the quota grants three times its rate. If the
// returned requests did not count, an account that is shed would appear to demand little, get the
// first lanes and push out all others.
#[test]
fn shed_requests_count_as_demand() {
    let mut plan = plan((14, 0), 40, (24.0, 120.0), &[]);
    plan.sheds = true;
    let tally = fleet::simulate(plan);
    let (requested, granted, _) = means(&tally.demands, 0, &(14..24));
    assert!(within(requested, 3.0, 0.1), "{requested}");
    assert!(within(granted, 3.0, 0.1), "{granted}");
}

// A new home has counted for less than the time constant. A ratio of so few requests would put a
// hot account into the first lanes; the entry nodes use the last ratio meanwhile.
#[test]
fn ratio_of_a_hot_account_outlives_its_home() {
    let faults = [FleetFault::KillHome(0)];
    let tally = fleet::simulate(plan((14, 0), 40, (120.0, 120.0), &faults));
    let after = secs(12)..secs(17);
    let found = tally.demands.iter();
    let found = found.filter(|sample| sample.account == 0 && after.contains(&sample.at));
    let lowest = found.map(|sample| sample.demand.ratio.requested);
    let low = lowest.filter(|ratio| *ratio < 2.0).count();
    assert!(low < 15, "{low} of 600 requests found a ratio below 2");
}

// The ratio travels with decisions that are sent anyway.
#[test]
fn stated_demand_sends_no_further_messages() {
    let datagrams = |states_demand| {
        let mut plan = plan((14, 0), 40, (24.0, 120.0), &[]);
        plan.states_demand = states_demand;
        fleet::simulate(plan).datagrams
    };
    assert_eq!(datagrams(true), datagrams(false));
}
