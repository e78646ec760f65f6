//! The time until a change of the rule document is in force, while two of the ways by which nodes
//! learn of it fail together.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_testkit::test_cases;
use anvil_types::store;

mod harness;

use harness::{Net, StoreRejection};

const KEY: &str = "rules-of-the-operator";

const FLEET_SIZE: usize = 80;

const ZONES: usize = 6;

/// Time within which operators expect a change to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Seeds of a case in a run of all tests.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

/// Overrides the last of [`SEEDS`], for a long run by hand.
const LAST_SEED_VARIABLE: &str = "PAIRED_FAILURES_LAST_SEED";

/// Pauses between the failures and the change, by seed.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(10),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(8),
];

/// A way of news that fails.
#[derive(Clone, Copy, Debug)]
enum NewsFailure {
    /// No other way fails.
    Nothing,
    /// The store rejects just the nodes that watch it.
    WatchersBusy,
    /// The same, without an answer.
    WatchersSilent,
    /// The store rejects a third of the nodes without an answer.
    ThirdSilent,
    /// The store refuses nine of ten nodes, in every zone.
    MostBusy,
    /// It serves the same few nodes, and ignores the others.
    MostSilent,
    /// Connections between half of the pairs of nodes are silent.
    HalfConnections,
    /// Connections between all nodes are silent.
    AllConnections,
    /// A tenth of the datagrams is lost.
    TenthOfDatagrams,
    /// A third of the datagrams is lost.
    ThirdOfDatagrams,
    /// The processes that watch the store are paused for four seconds.
    WatchersPaused,
    /// The connections of the waiting watches go silent.
    WatchConnections,
    /// Watches hear of nothing for a second, then the history is dropped and they are cut.
    HistoryDropped,
    /// Watches answer that nothing was written, although something was.
    DeafWatches,
    /// Twelve nodes reach the store and no peer.
    NodesApart,
    /// A zone reaches the store and no other zone.
    ZoneApart,
    /// Two fifths of the nodes crash.
    NodesCrash,
    /// Two fifths of the nodes crash, and others start at their addresses.
    NodesRestart,
}

fn key() -> store::StoreKey {
    store::StoreKey::new(KEY)
}

/// Every `step`th node, beginning at `first`.
fn every(step: usize, first: usize) -> Vec<usize> {
    (first..FLEET_SIZE).step_by(step).collect()
}

/// All nodes but every tenth.
fn most() -> Vec<usize> {
    (0..FLEET_SIZE).filter(|index| index % 10 != 4).collect()
}

fn two_fifths() -> Vec<usize> {
    (0..FLEET_SIZE)
        .filter(|index| index % 5 == 0 || index % 5 == 3)
        .collect()
}

impl NewsFailure {
    fn begin(self, net: &mut Net) {
        match self {
            Self::Nothing | Self::HistoryDropped => {}
            Self::WatchersBusy => net.reject(&net.watchers(), StoreRejection::Busy),
            Self::WatchersSilent => net.reject(&net.watchers(), StoreRejection::Silent),
            Self::ThirdSilent => net.reject(&every(3, 1), StoreRejection::Silent),
            Self::MostBusy => net.reject(&most(), StoreRejection::Busy),
            Self::MostSilent => net.reject(&most(), StoreRejection::Silent),
            Self::HalfConnections => net.silent_percent = 50,
            Self::AllConnections => net.silent_percent = 100,
            Self::TenthOfDatagrams => net.loss_percent = 10,
            Self::ThirdOfDatagrams => net.loss_percent = 33,
            Self::WatchersPaused => {
                let until = net.now + Duration::from_secs(4);
                for index in net.watchers() {
                    net.nodes[index].paused_until = until;
                }
            }
            Self::WatchConnections => net.silence_watches(),
            Self::DeafWatches => net.store.faults.deaf_watches = true,
            Self::NodesApart => {
                net.sides = every(7, 2).into_iter().zip(1..).collect();
            }
            Self::ZoneApart => {
                net.sides = every(ZONES, 0).into_iter().map(|node| (node, 1)).collect();
            }
            Self::NodesCrash => {
                for index in two_fifths() {
                    net.crash(index);
                }
            }
            Self::NodesRestart => {
                for slot in two_fifths() {
                    net.crash(slot);
                    net.add_reader(slot, slot % ZONES, &key());
                }
            }
        }
    }

    /// What happens right before the change.
    fn before_change(self, net: &mut Net) {
        if matches!(self, Self::HistoryDropped) {
            net.store.faults.deaf_watches = true;
        }
    }

    /// What happens a second after the change.
    fn after_change(self, net: &mut Net) {
        if matches!(self, Self::HistoryDropped) {
            net.store.faults.deaf_watches = false;
            net.store.drop_history();
            net.cut_watches();
        }
    }
}

/// Whether a node can learn of a change: the store serves it, or it reaches a node that the store
/// serves over a connection.
fn has_way(net: &Net, index: usize) -> bool {
    let is_served = |node: &usize| !net.store_rejects.contains_key(node);
    let side = net.sides.get(&index);
    let mut peers = (0..net.nodes.len()).filter(|peer| {
        net.nodes[*peer].running && net.sides.get(peer) == side && net.silent_percent < 100
    });
    is_served(&index) || peers.any(|peer| is_served(&peer))
}

fn is_late(net: &Net, index: usize, revision: u64) -> bool {
    let node = &net.nodes[index];
    let is_active = node.running && node.paused_until <= net.now;
    is_active && node.state.revision().0 < revision && has_way(net, index)
}

/// The time until all running nodes that can learn of `revision` hold it.
fn time_in_force(net: &mut Net, failures: [NewsFailure; 2], revision: u64) -> Duration {
    let in_force = |net: &Net| {
        let mut nodes = 0..net.nodes.len();
        !nodes.any(|index| is_late(net, index, revision))
    };
    for failure in failures {
        failure.before_change(net);
    }
    net.write_rules(&key(), revision);
    let first = net.run_until(Duration::from_secs(1), in_force);
    if first < Duration::from_secs(1) {
        return first;
    }
    for failure in failures {
        failure.after_change(net);
    }
    first + net.run_until(Duration::from_secs(19), in_force)
}

/// The seeds, each with the time to a change that is above the limit.
fn late_changes(
    failures: [NewsFailure; 2],
    seeds: std::ops::RangeInclusive<u64>,
) -> Vec<(u64, Duration)> {
    let mut late = Vec::new();
    for seed in seeds {
        let mut net = Net::with_document(FLEET_SIZE, ZONES, seed, &key());
        net.run(Duration::from_secs(seed * 7 % 45));
        for failure in failures {
            failure.begin(&mut net);
        }
        net.run(PAUSES[seed as usize % PAUSES.len()]);
        let took = time_in_force(&mut net, failures, 3);
        if took > IN_FORCE_LIMIT {
            late.push((seed, took));
        }
    }
    late
}

// Guards against a change that nobody learns of in time as two ways of news fail together.
fn a_change_is_in_force_in_time_although(one: NewsFailure, other: NewsFailure) {
    let last = std::env::var(LAST_SEED_VARIABLE).map(|text| text.parse().unwrap());
    let seeds = *SEEDS.start()..=last.unwrap_or(*SEEDS.end());
    let late = late_changes([one, other], seeds);
    assert!(late.is_empty(), "late by seed: {late:?}");
}

test_cases! {
    a_change_is_in_force_in_time_although:
    the_store_refuses_the_watchers => (NewsFailure::WatchersBusy, NewsFailure::Nothing),
    the_store_ignores_the_watchers => (NewsFailure::WatchersSilent, NewsFailure::Nothing),
    the_store_ignores_a_third => (NewsFailure::ThirdSilent, NewsFailure::Nothing),
    half_of_the_connections_are_silent => (NewsFailure::HalfConnections, NewsFailure::Nothing),
    all_connections_are_silent => (NewsFailure::AllConnections, NewsFailure::Nothing),
    a_tenth_of_the_datagrams_is_lost => (NewsFailure::TenthOfDatagrams, NewsFailure::Nothing),
    a_third_of_the_datagrams_is_lost => (NewsFailure::ThirdOfDatagrams, NewsFailure::Nothing),
    the_watchers_are_paused => (NewsFailure::WatchersPaused, NewsFailure::Nothing),
    the_watches_are_silent => (NewsFailure::WatchConnections, NewsFailure::Nothing),
    the_history_is_dropped => (NewsFailure::HistoryDropped, NewsFailure::Nothing),
    watches_are_deaf => (NewsFailure::DeafWatches, NewsFailure::Nothing),
    nodes_are_apart => (NewsFailure::NodesApart, NewsFailure::Nothing),
    a_zone_is_apart => (NewsFailure::ZoneApart, NewsFailure::Nothing),
    nodes_crash => (NewsFailure::NodesCrash, NewsFailure::Nothing),
    the_store_refuses_the_watchers_and_the_store_ignores_a_third => (NewsFailure::WatchersBusy, NewsFailure::ThirdSilent),
    the_store_refuses_the_watchers_and_half_of_the_connections_are_silent => (NewsFailure::WatchersBusy, NewsFailure::HalfConnections),
    the_store_refuses_the_watchers_and_all_connections_are_silent => (NewsFailure::WatchersBusy, NewsFailure::AllConnections),
    the_store_refuses_the_watchers_and_a_tenth_of_the_datagrams_is_lost => (NewsFailure::WatchersBusy, NewsFailure::TenthOfDatagrams),
    the_store_refuses_the_watchers_and_a_third_of_the_datagrams_is_lost => (NewsFailure::WatchersBusy, NewsFailure::ThirdOfDatagrams),
    the_store_refuses_the_watchers_and_the_watchers_are_paused => (NewsFailure::WatchersBusy, NewsFailure::WatchersPaused),
    the_store_refuses_the_watchers_and_the_watches_are_silent => (NewsFailure::WatchersBusy, NewsFailure::WatchConnections),
    the_store_refuses_the_watchers_and_the_history_is_dropped => (NewsFailure::WatchersBusy, NewsFailure::HistoryDropped),
    the_store_refuses_the_watchers_and_watches_are_deaf => (NewsFailure::WatchersBusy, NewsFailure::DeafWatches),
    the_store_refuses_the_watchers_and_nodes_are_apart => (NewsFailure::WatchersBusy, NewsFailure::NodesApart),
    the_store_refuses_the_watchers_and_a_zone_is_apart => (NewsFailure::WatchersBusy, NewsFailure::ZoneApart),
    the_store_refuses_the_watchers_and_nodes_crash => (NewsFailure::WatchersBusy, NewsFailure::NodesCrash),
    the_store_ignores_the_watchers_and_the_store_ignores_a_third => (NewsFailure::WatchersSilent, NewsFailure::ThirdSilent),
    the_store_ignores_the_watchers_and_half_of_the_connections_are_silent => (NewsFailure::WatchersSilent, NewsFailure::HalfConnections),
    the_store_ignores_the_watchers_and_all_connections_are_silent => (NewsFailure::WatchersSilent, NewsFailure::AllConnections),
    the_store_ignores_the_watchers_and_a_tenth_of_the_datagrams_is_lost => (NewsFailure::WatchersSilent, NewsFailure::TenthOfDatagrams),
    the_store_ignores_the_watchers_and_a_third_of_the_datagrams_is_lost => (NewsFailure::WatchersSilent, NewsFailure::ThirdOfDatagrams),
    the_store_ignores_the_watchers_and_the_watchers_are_paused => (NewsFailure::WatchersSilent, NewsFailure::WatchersPaused),
    the_store_ignores_the_watchers_and_the_watches_are_silent => (NewsFailure::WatchersSilent, NewsFailure::WatchConnections),
    the_store_ignores_the_watchers_and_the_history_is_dropped => (NewsFailure::WatchersSilent, NewsFailure::HistoryDropped),
    the_store_ignores_the_watchers_and_watches_are_deaf => (NewsFailure::WatchersSilent, NewsFailure::DeafWatches),
    the_store_ignores_the_watchers_and_nodes_are_apart => (NewsFailure::WatchersSilent, NewsFailure::NodesApart),
    the_store_ignores_the_watchers_and_a_zone_is_apart => (NewsFailure::WatchersSilent, NewsFailure::ZoneApart),
    the_store_ignores_the_watchers_and_nodes_crash => (NewsFailure::WatchersSilent, NewsFailure::NodesCrash),
    the_store_ignores_a_third_and_half_of_the_connections_are_silent => (NewsFailure::ThirdSilent, NewsFailure::HalfConnections),
    the_store_ignores_a_third_and_all_connections_are_silent => (NewsFailure::ThirdSilent, NewsFailure::AllConnections),
    the_store_ignores_a_third_and_a_tenth_of_the_datagrams_is_lost => (NewsFailure::ThirdSilent, NewsFailure::TenthOfDatagrams),
    the_store_ignores_a_third_and_a_third_of_the_datagrams_is_lost => (NewsFailure::ThirdSilent, NewsFailure::ThirdOfDatagrams),
    the_store_ignores_a_third_and_the_watchers_are_paused => (NewsFailure::ThirdSilent, NewsFailure::WatchersPaused),
    the_store_ignores_a_third_and_the_watches_are_silent => (NewsFailure::ThirdSilent, NewsFailure::WatchConnections),
    the_store_ignores_a_third_and_the_history_is_dropped => (NewsFailure::ThirdSilent, NewsFailure::HistoryDropped),
    the_store_ignores_a_third_and_watches_are_deaf => (NewsFailure::ThirdSilent, NewsFailure::DeafWatches),
    the_store_ignores_a_third_and_nodes_are_apart => (NewsFailure::ThirdSilent, NewsFailure::NodesApart),
    the_store_ignores_a_third_and_a_zone_is_apart => (NewsFailure::ThirdSilent, NewsFailure::ZoneApart),
    the_store_ignores_a_third_and_nodes_crash => (NewsFailure::ThirdSilent, NewsFailure::NodesCrash),
    half_of_the_connections_are_silent_and_a_tenth_of_the_datagrams_is_lost => (NewsFailure::HalfConnections, NewsFailure::TenthOfDatagrams),
    half_of_the_connections_are_silent_and_a_third_of_the_datagrams_is_lost => (NewsFailure::HalfConnections, NewsFailure::ThirdOfDatagrams),
    half_of_the_connections_are_silent_and_the_watchers_are_paused => (NewsFailure::HalfConnections, NewsFailure::WatchersPaused),
    half_of_the_connections_are_silent_and_the_watches_are_silent => (NewsFailure::HalfConnections, NewsFailure::WatchConnections),
    half_of_the_connections_are_silent_and_the_history_is_dropped => (NewsFailure::HalfConnections, NewsFailure::HistoryDropped),
    half_of_the_connections_are_silent_and_watches_are_deaf => (NewsFailure::HalfConnections, NewsFailure::DeafWatches),
    half_of_the_connections_are_silent_and_nodes_are_apart => (NewsFailure::HalfConnections, NewsFailure::NodesApart),
    half_of_the_connections_are_silent_and_a_zone_is_apart => (NewsFailure::HalfConnections, NewsFailure::ZoneApart),
    half_of_the_connections_are_silent_and_nodes_crash => (NewsFailure::HalfConnections, NewsFailure::NodesCrash),
    all_connections_are_silent_and_a_tenth_of_the_datagrams_is_lost => (NewsFailure::AllConnections, NewsFailure::TenthOfDatagrams),
    all_connections_are_silent_and_a_third_of_the_datagrams_is_lost => (NewsFailure::AllConnections, NewsFailure::ThirdOfDatagrams),
    all_connections_are_silent_and_the_watchers_are_paused => (NewsFailure::AllConnections, NewsFailure::WatchersPaused),
    all_connections_are_silent_and_the_watches_are_silent => (NewsFailure::AllConnections, NewsFailure::WatchConnections),
    all_connections_are_silent_and_the_history_is_dropped => (NewsFailure::AllConnections, NewsFailure::HistoryDropped),
    all_connections_are_silent_and_watches_are_deaf => (NewsFailure::AllConnections, NewsFailure::DeafWatches),
    all_connections_are_silent_and_nodes_are_apart => (NewsFailure::AllConnections, NewsFailure::NodesApart),
    all_connections_are_silent_and_a_zone_is_apart => (NewsFailure::AllConnections, NewsFailure::ZoneApart),
    all_connections_are_silent_and_nodes_crash => (NewsFailure::AllConnections, NewsFailure::NodesCrash),
    a_tenth_of_the_datagrams_is_lost_and_the_watchers_are_paused => (NewsFailure::TenthOfDatagrams, NewsFailure::WatchersPaused),
    a_tenth_of_the_datagrams_is_lost_and_the_watches_are_silent => (NewsFailure::TenthOfDatagrams, NewsFailure::WatchConnections),
    a_tenth_of_the_datagrams_is_lost_and_the_history_is_dropped => (NewsFailure::TenthOfDatagrams, NewsFailure::HistoryDropped),
    a_tenth_of_the_datagrams_is_lost_and_watches_are_deaf => (NewsFailure::TenthOfDatagrams, NewsFailure::DeafWatches),
    a_tenth_of_the_datagrams_is_lost_and_nodes_are_apart => (NewsFailure::TenthOfDatagrams, NewsFailure::NodesApart),
    a_tenth_of_the_datagrams_is_lost_and_a_zone_is_apart => (NewsFailure::TenthOfDatagrams, NewsFailure::ZoneApart),
    a_tenth_of_the_datagrams_is_lost_and_nodes_crash => (NewsFailure::TenthOfDatagrams, NewsFailure::NodesCrash),
    a_third_of_the_datagrams_is_lost_and_the_watchers_are_paused => (NewsFailure::ThirdOfDatagrams, NewsFailure::WatchersPaused),
    a_third_of_the_datagrams_is_lost_and_the_watches_are_silent => (NewsFailure::ThirdOfDatagrams, NewsFailure::WatchConnections),
    a_third_of_the_datagrams_is_lost_and_the_history_is_dropped => (NewsFailure::ThirdOfDatagrams, NewsFailure::HistoryDropped),
    a_third_of_the_datagrams_is_lost_and_watches_are_deaf => (NewsFailure::ThirdOfDatagrams, NewsFailure::DeafWatches),
    a_third_of_the_datagrams_is_lost_and_nodes_are_apart => (NewsFailure::ThirdOfDatagrams, NewsFailure::NodesApart),
    a_third_of_the_datagrams_is_lost_and_a_zone_is_apart => (NewsFailure::ThirdOfDatagrams, NewsFailure::ZoneApart),
    a_third_of_the_datagrams_is_lost_and_nodes_crash => (NewsFailure::ThirdOfDatagrams, NewsFailure::NodesCrash),
    the_watchers_are_paused_and_the_watches_are_silent => (NewsFailure::WatchersPaused, NewsFailure::WatchConnections),
    the_watchers_are_paused_and_the_history_is_dropped => (NewsFailure::WatchersPaused, NewsFailure::HistoryDropped),
    the_watchers_are_paused_and_watches_are_deaf => (NewsFailure::WatchersPaused, NewsFailure::DeafWatches),
    the_watchers_are_paused_and_nodes_are_apart => (NewsFailure::WatchersPaused, NewsFailure::NodesApart),
    the_watchers_are_paused_and_a_zone_is_apart => (NewsFailure::WatchersPaused, NewsFailure::ZoneApart),
    the_watchers_are_paused_and_nodes_crash => (NewsFailure::WatchersPaused, NewsFailure::NodesCrash),
    the_watches_are_silent_and_the_history_is_dropped => (NewsFailure::WatchConnections, NewsFailure::HistoryDropped),
    the_watches_are_silent_and_watches_are_deaf => (NewsFailure::WatchConnections, NewsFailure::DeafWatches),
    the_watches_are_silent_and_nodes_are_apart => (NewsFailure::WatchConnections, NewsFailure::NodesApart),
    the_watches_are_silent_and_a_zone_is_apart => (NewsFailure::WatchConnections, NewsFailure::ZoneApart),
    the_watches_are_silent_and_nodes_crash => (NewsFailure::WatchConnections, NewsFailure::NodesCrash),
    the_history_is_dropped_and_nodes_are_apart => (NewsFailure::HistoryDropped, NewsFailure::NodesApart),
    the_history_is_dropped_and_a_zone_is_apart => (NewsFailure::HistoryDropped, NewsFailure::ZoneApart),
    the_history_is_dropped_and_nodes_crash => (NewsFailure::HistoryDropped, NewsFailure::NodesCrash),
    watches_are_deaf_and_nodes_are_apart => (NewsFailure::DeafWatches, NewsFailure::NodesApart),
    watches_are_deaf_and_a_zone_is_apart => (NewsFailure::DeafWatches, NewsFailure::ZoneApart),
    watches_are_deaf_and_nodes_crash => (NewsFailure::DeafWatches, NewsFailure::NodesCrash),
    nodes_are_apart_and_nodes_crash => (NewsFailure::NodesApart, NewsFailure::NodesCrash),
    a_zone_is_apart_and_nodes_crash => (NewsFailure::ZoneApart, NewsFailure::NodesCrash),
    the_store_refuses_most => (NewsFailure::MostBusy, NewsFailure::Nothing),
    the_store_refuses_most_and_a_tenth_of_the_datagrams_is_lost => (NewsFailure::MostBusy, NewsFailure::TenthOfDatagrams),
    the_store_refuses_most_and_half_of_the_connections_are_silent => (NewsFailure::MostBusy, NewsFailure::HalfConnections),
    the_store_refuses_most_and_the_watches_are_silent => (NewsFailure::MostBusy, NewsFailure::WatchConnections),
    the_store_refuses_most_and_the_history_is_dropped => (NewsFailure::MostBusy, NewsFailure::HistoryDropped),
    the_store_refuses_most_and_the_watchers_are_paused => (NewsFailure::MostBusy, NewsFailure::WatchersPaused),
    the_store_refuses_most_and_nodes_crash => (NewsFailure::MostBusy, NewsFailure::NodesCrash),
    the_store_refuses_most_and_nodes_restart => (NewsFailure::MostBusy, NewsFailure::NodesRestart),
    the_store_ignores_most => (NewsFailure::MostSilent, NewsFailure::Nothing),
    the_store_ignores_most_and_a_tenth_of_the_datagrams_is_lost => (NewsFailure::MostSilent, NewsFailure::TenthOfDatagrams),
    the_store_ignores_most_and_half_of_the_connections_are_silent => (NewsFailure::MostSilent, NewsFailure::HalfConnections),
    the_store_ignores_most_and_the_watches_are_silent => (NewsFailure::MostSilent, NewsFailure::WatchConnections),
    the_store_ignores_most_and_the_history_is_dropped => (NewsFailure::MostSilent, NewsFailure::HistoryDropped),
    the_store_ignores_most_and_the_watchers_are_paused => (NewsFailure::MostSilent, NewsFailure::WatchersPaused),
    the_store_ignores_most_and_nodes_crash => (NewsFailure::MostSilent, NewsFailure::NodesCrash),
    the_store_ignores_most_and_nodes_restart => (NewsFailure::MostSilent, NewsFailure::NodesRestart),
    nodes_restart => (NewsFailure::NodesRestart, NewsFailure::Nothing),
    nodes_restart_and_the_store_refuses_the_watchers => (NewsFailure::NodesRestart, NewsFailure::WatchersBusy),
    nodes_restart_and_the_store_ignores_a_third => (NewsFailure::NodesRestart, NewsFailure::ThirdSilent),
    nodes_restart_and_half_of_the_connections_are_silent => (NewsFailure::NodesRestart, NewsFailure::HalfConnections),
    nodes_restart_and_all_connections_are_silent => (NewsFailure::NodesRestart, NewsFailure::AllConnections),
    nodes_restart_and_a_tenth_of_the_datagrams_is_lost => (NewsFailure::NodesRestart, NewsFailure::TenthOfDatagrams),
    nodes_restart_and_the_history_is_dropped => (NewsFailure::NodesRestart, NewsFailure::HistoryDropped),
    nodes_restart_and_watches_are_deaf => (NewsFailure::NodesRestart, NewsFailure::DeafWatches),
    nodes_restart_and_a_zone_is_apart => (NewsFailure::NodesRestart, NewsFailure::ZoneApart),
}
