//! The time until a change of the rule document is in force, where an earlier failure of the ways of
//! news has ended before two others begin.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_membership::fleet;
use anvil_testkit::test_cases;
use anvil_types::store;

mod harness;

use harness::{Net, StoreRejection};

const KEY: &str = "rules-of-the-operator";

const FLEET_SIZE: usize = 59;

const ZONES: usize = 4;

/// Time within which operators expect a change to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Seeds of a case in a run of all tests.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// Overrides the last of [`SEEDS`], for a long run by hand.
const LAST_SEED_VARIABLE: &str = "FAILURES_IN_SEQUENCE_LAST_SEED";

/// Pauses between the end of the earlier failure and the later ones, by seed. Nodes have been free of
/// failures for three seconds when these begin.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(3_200),
    Duration::from_millis(5_200),
    Duration::from_millis(8_200),
    Duration::from_millis(4_200),
];

/// A failure that ends before the later ones begin.
#[derive(Clone, Copy, Debug)]
enum EarlierFailure {
    /// The store refuses all nodes for twelve seconds.
    StoreRefusesAll,
    /// It accepts no connection for twelve seconds.
    StoreIgnoresAll,
    /// It refuses nine of ten nodes for twenty seconds.
    StoreRefusesMost,
    /// It ignores nine of ten nodes for twenty seconds.
    StoreIgnoresMost,
    /// The store goes away for two seconds, six times.
    StoreFlaps,
    /// It drops its history, six times.
    HistoryDropped,
    /// A zone reaches the store and no other zone for ten seconds.
    ZoneApart,
    /// A third of the datagrams is lost for ten seconds.
    DatagramsLost,
    /// All connections between nodes are silent for ten seconds.
    ConnectionsSilent,
    /// All nodes are replaced in turn, one in 250 ms.
    NodesReplaced,
    /// Two fifths of the nodes restart at once, three times.
    NodesRestart,
    /// A change each 100 ms for three seconds.
    Changes,
}

/// Ways of news that fail together later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LaterFailures {
    Nothing,
    WatchersBusy,
    WatchersSilent,
    DeafWatches,
    WatchersCrash,
    FifthsCrash,
    ZoneApartAndFifthsCrash,
    ZoneApartAndDeafWatches,
    NodesApartAndDeafWatches,
    MostBusyAndDeafWatches,
    MostSilentAndDeafWatches,
    LostDatagramsAndDeafWatches,
    SilentConnectionsAndDeafWatches,
    WatchersLeave,
    FifthsLeaveAndDeafWatches,
}

impl EarlierFailure {
    const ALL: [Self; 12] = [
        Self::StoreRefusesAll,
        Self::StoreIgnoresAll,
        Self::StoreRefusesMost,
        Self::StoreIgnoresMost,
        Self::StoreFlaps,
        Self::HistoryDropped,
        Self::ZoneApart,
        Self::DatagramsLost,
        Self::ConnectionsSilent,
        Self::NodesReplaced,
        Self::NodesRestart,
        Self::Changes,
    ];
}

impl LaterFailures {
    const ALL: [Self; 15] = [
        Self::Nothing,
        Self::WatchersBusy,
        Self::WatchersSilent,
        Self::DeafWatches,
        Self::WatchersCrash,
        Self::FifthsCrash,
        Self::ZoneApartAndFifthsCrash,
        Self::ZoneApartAndDeafWatches,
        Self::NodesApartAndDeafWatches,
        Self::MostBusyAndDeafWatches,
        Self::MostSilentAndDeafWatches,
        Self::LostDatagramsAndDeafWatches,
        Self::SilentConnectionsAndDeafWatches,
        Self::WatchersLeave,
        Self::FifthsLeaveAndDeafWatches,
    ];
}

fn key() -> store::StoreKey {
    store::StoreKey::new(KEY)
}

/// A fleet and the newest revision of its rules.
struct TestedFleet {
    net: Net,
    revision: u64,
}

impl TestedFleet {
    fn new(seed: u64) -> Self {
        let mut net = Net::with_document(FLEET_SIZE, ZONES, seed, &key());
        net.run(Duration::from_secs(seed * 7 % 45));
        Self { net, revision: 2 }
    }

    fn change(&mut self) {
        self.revision += 1;
        self.net.write_rules(&key(), self.revision);
    }

    fn running(&self) -> Vec<usize> {
        let nodes = self.net.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.running)
            .map(|(index, _)| index)
            .collect()
    }

    /// All running nodes but every tenth.
    fn most(&self) -> Vec<usize> {
        let mut running = self.running();
        running.retain(|index| index % 10 != 4);
        running
    }

    fn two_fifths(&self) -> Vec<usize> {
        let mut running = self.running();
        running.retain(|index| index % 5 == 0 || index % 5 == 3);
        running
    }

    fn set_zone_apart(&mut self) {
        let running = self.running().into_iter();
        let apart = running.filter(|index| self.net.nodes[*index].region == 0);
        self.net.sides = apart.map(|node| (node, 1)).collect();
    }

    /// Replaces a node by a new process at its address.
    fn restart(&mut self, index: usize) {
        let slot = self.net.slot(index);
        let zone = self.net.nodes[index].region;
        self.net.crash(index);
        self.net.add_reader(slot, zone, &key());
    }

    fn reject_for(&mut self, rejected: &[usize], rejection: StoreRejection, span: Duration) {
        self.net.reject(rejected, rejection);
        self.net.run(span);
        self.net.store_rejects.clear();
    }

    /// Brings the earlier failure about and ends it.
    fn pass_through(&mut self, failure: EarlierFailure) {
        const LONG: Duration = Duration::from_secs(12);
        let (all, most) = (self.running(), self.most());
        match failure {
            EarlierFailure::StoreRefusesAll => self.reject_for(&all, StoreRejection::Busy, LONG),
            EarlierFailure::StoreIgnoresAll => self.reject_for(&all, StoreRejection::Silent, LONG),
            EarlierFailure::StoreRefusesMost => {
                self.reject_for(&most, StoreRejection::Busy, LONG);
            }
            EarlierFailure::StoreIgnoresMost => {
                self.reject_for(&most, StoreRejection::Silent, LONG);
            }
            EarlierFailure::StoreFlaps => {
                for _ in 0..6 {
                    self.reject_for(&all, StoreRejection::Busy, Duration::from_secs(2));
                    self.net.run(Duration::from_millis(700));
                }
            }
            EarlierFailure::HistoryDropped => {
                for _ in 0..6 {
                    self.change();
                    self.net.store.drop_history();
                    self.net.cut_watches();
                    self.net.run(Duration::from_millis(1_300));
                }
            }
            EarlierFailure::ZoneApart => {
                self.set_zone_apart();
                self.net.run(Duration::from_secs(10));
                self.net.sides.clear();
            }
            EarlierFailure::DatagramsLost => {
                self.net.loss_percent = 33;
                self.net.run(Duration::from_secs(10));
                self.net.loss_percent = 0;
            }
            EarlierFailure::ConnectionsSilent => {
                self.net.silent_percent = 100;
                self.net.run(Duration::from_secs(10));
                self.net.silent_percent = 0;
            }
            EarlierFailure::NodesReplaced => {
                for index in all {
                    self.restart(index);
                    self.net.run(Duration::from_millis(250));
                }
            }
            EarlierFailure::NodesRestart => {
                for _ in 0..3 {
                    for index in self.two_fifths() {
                        self.restart(index);
                    }
                    self.net.run(Duration::from_secs(4));
                }
            }
            EarlierFailure::Changes => {
                for _ in 0..30 {
                    self.change();
                    self.net.run(Duration::from_millis(100));
                }
            }
        }
    }

    fn begin(&mut self, failures: LaterFailures) {
        match failures {
            LaterFailures::Nothing => {}
            LaterFailures::WatchersBusy => {
                let watchers = self.net.watchers();
                self.net.reject(&watchers, StoreRejection::Busy);
            }
            LaterFailures::WatchersSilent => {
                let watchers = self.net.watchers();
                self.net.reject(&watchers, StoreRejection::Silent);
            }
            LaterFailures::DeafWatches => self.deafen(),
            LaterFailures::WatchersCrash => {
                for index in self.net.watchers() {
                    self.net.crash(index);
                }
            }
            LaterFailures::FifthsCrash => self.crash_two_fifths(),
            LaterFailures::ZoneApartAndFifthsCrash => {
                self.set_zone_apart();
                self.crash_two_fifths();
            }
            LaterFailures::ZoneApartAndDeafWatches => {
                self.set_zone_apart();
                self.deafen();
            }
            LaterFailures::NodesApartAndDeafWatches => {
                let apart = self.running().into_iter().filter(|index| index % 7 == 2);
                self.net.sides = apart.zip(1..).collect();
                self.deafen();
            }
            LaterFailures::MostBusyAndDeafWatches => {
                let most = self.most();
                self.net.reject(&most, StoreRejection::Busy);
                self.deafen();
            }
            LaterFailures::MostSilentAndDeafWatches => {
                let most = self.most();
                self.net.reject(&most, StoreRejection::Silent);
                self.deafen();
            }
            LaterFailures::LostDatagramsAndDeafWatches => {
                self.net.loss_percent = 33;
                self.deafen();
            }
            LaterFailures::SilentConnectionsAndDeafWatches => {
                self.net.silent_percent = 100;
                self.deafen();
            }
            LaterFailures::WatchersLeave => {
                let watchers = self.net.watchers();
                self.announce_leaving(&watchers);
            }
            LaterFailures::FifthsLeaveAndDeafWatches => {
                let leaving = self.two_fifths();
                self.announce_leaving(&leaving);
                self.deafen();
            }
        }
    }

    /// Lets nodes announce that they stop. They still decide the requests of open connections.
    fn announce_leaving(&mut self, indices: &[usize]) {
        let leaving = fleet::LocalTarget {
            leaving: true,
            ..fleet::LocalTarget::default()
        };
        for index in indices {
            self.net
                .act(*index, |state, now| state.set_local_target(now, &leaving));
        }
    }

    fn deafen(&mut self) {
        self.net.store.faults.deaf_watches = true;
    }

    fn crash_two_fifths(&mut self) {
        for index in self.two_fifths() {
            self.net.crash(index);
        }
    }

    /// Whether a node can learn of a change: the store serves it, or it reaches a node that the
    /// store serves over a connection.
    fn has_way(&self, index: usize) -> bool {
        let net = &self.net;
        let is_served = |node: &usize| !net.store_rejects.contains_key(node);
        let side = net.sides.get(&index);
        let mut peers = self
            .running()
            .into_iter()
            .filter(|peer| net.sides.get(peer) == side && net.silent_percent < 100);
        is_served(&index) || peers.any(|peer| is_served(&peer))
    }

    /// The time until all running nodes that can learn of a change hold it.
    fn time_in_force(&mut self) -> Duration {
        self.change();
        let wanted = self.revision;
        let running = self.running();
        let nodes: Vec<usize> = running
            .into_iter()
            .filter(|index| self.has_way(*index))
            .collect();
        let in_force = |net: &Net| {
            let mut nodes = nodes.iter();
            nodes.all(|index| net.nodes[*index].state.revision().0 >= wanted)
        };
        self.net.run_until(Duration::from_secs(20), in_force)
    }
}

/// The later failures and seeds with a time to a change that is above the limit.
fn late_changes(
    earlier: EarlierFailure,
    seeds: &std::ops::RangeInclusive<u64>,
) -> Vec<(LaterFailures, u64, Duration)> {
    let mut late = Vec::new();
    for later in LaterFailures::ALL {
        for seed in seeds.clone() {
            let mut fleet = TestedFleet::new(seed);
            fleet.pass_through(earlier);
            fleet.net.run(PAUSES[seed as usize % PAUSES.len()]);
            fleet.begin(later);
            fleet.net.run(Duration::from_millis(10 + seed % 3 * 700));
            let took = fleet.time_in_force();
            if took > IN_FORCE_LIMIT {
                late.push((later, seed, took));
            }
        }
    }
    late
}

// Guards against a way of news that an earlier failure has worn out when the next one begins.
fn a_change_is_in_force_in_time_after(earlier: EarlierFailure) {
    let last = std::env::var(LAST_SEED_VARIABLE).map(|text| text.parse().unwrap());
    let seeds = *SEEDS.start()..=last.unwrap_or(*SEEDS.end());
    let late = late_changes(earlier, &seeds);
    assert!(late.is_empty(), "{} late: {late:?}", late.len());
}

test_cases! {
    a_change_is_in_force_in_time_after:
    the_store_refused_all => (EarlierFailure::StoreRefusesAll),
    the_store_ignored_all => (EarlierFailure::StoreIgnoresAll),
    the_store_refused_most => (EarlierFailure::StoreRefusesMost),
    the_store_ignored_most => (EarlierFailure::StoreIgnoresMost),
    the_store_went_away_by_turns => (EarlierFailure::StoreFlaps),
    the_history_was_dropped_by_turns => (EarlierFailure::HistoryDropped),
    a_zone_was_apart => (EarlierFailure::ZoneApart),
    datagrams_were_lost => (EarlierFailure::DatagramsLost),
    connections_were_silent => (EarlierFailure::ConnectionsSilent),
    all_nodes_were_replaced => (EarlierFailure::NodesReplaced),
    nodes_restarted_by_turns => (EarlierFailure::NodesRestart),
    changes_came_in_series => (EarlierFailure::Changes),
}

/// Time within which nodes that started while the store was away serve once it is back.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// Which nodes restart while the store is away.
#[derive(Clone, Copy, Debug)]
enum RestartedNodes {
    One,
    TwoFifths,
    All,
}

/// The seeds with a time from the return of the store to the last node that serves above the limit.
fn late_starts(
    restarted: RestartedNodes,
    rejection: StoreRejection,
    seeds: &std::ops::RangeInclusive<u64>,
) -> Vec<(u64, Duration)> {
    let mut late = Vec::new();
    for seed in seeds.clone() {
        let mut fleet = TestedFleet::new(seed);
        let (all, two_fifths) = (fleet.running(), fleet.two_fifths());
        fleet.net.reject(&all, rejection);
        let indices = match restarted {
            RestartedNodes::One => vec![seed as usize],
            RestartedNodes::TwoFifths => two_fifths,
            RestartedNodes::All => all,
        };
        for index in indices {
            fleet.restart(index);
        }
        let running = fleet.running();
        fleet.net.reject(&running, rejection);
        fleet.net.run(Duration::from_secs(10 + seed * 7));
        fleet.net.store_rejects.clear();
        let all_ready = |net: &Net| {
            let mut running = net.nodes.iter().filter(|node| node.running);
            running.all(|node| node.state.is_ready())
        };
        let took = fleet.net.run_until(Duration::from_secs(60), all_ready);
        if took > CATCH_UP_LIMIT {
            late.push((seed, took));
        }
    }
    late
}

// Guards against nodes that refuse requests for long after an outage of the store in which they started.
fn nodes_that_started_in_an_outage_serve_in_time(
    restarted: RestartedNodes,
    rejection: StoreRejection,
) {
    let last = std::env::var(LAST_SEED_VARIABLE).map(|text| text.parse().unwrap());
    let seeds = *SEEDS.start()..=last.unwrap_or(4);
    let late = late_starts(restarted, rejection, &seeds);
    assert!(late.is_empty(), "{} late: {late:?}", late.len());
}

test_cases! {
    nodes_that_started_in_an_outage_serve_in_time:
    one_node_while_the_store_refused => (RestartedNodes::One, StoreRejection::Busy),
    one_node_while_the_store_was_silent => (RestartedNodes::One, StoreRejection::Silent),
    two_fifths_while_the_store_refused => (RestartedNodes::TwoFifths, StoreRejection::Busy),
    two_fifths_while_the_store_was_silent => (RestartedNodes::TwoFifths, StoreRejection::Silent),
    all_nodes_while_the_store_refused => (RestartedNodes::All, StoreRejection::Busy),
    all_nodes_while_the_store_was_silent => (RestartedNodes::All, StoreRejection::Silent),
}

/// Number of earlier failures in a drawn series.
const SERIES_LENGTH: usize = 3;

/// Seeds of the drawn series in a run of all tests.
const SERIES_SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

// Guards against ways of news that several failures in a row wear out.
#[test]
fn a_change_is_in_force_in_time_after_a_drawn_series() {
    let last = std::env::var(LAST_SEED_VARIABLE).map(|text| text.parse().unwrap());
    let mut late = Vec::new();
    for seed in *SERIES_SEEDS.start()..=last.unwrap_or(*SERIES_SEEDS.end()) {
        let mut fleet = TestedFleet::new(seed);
        let mut series = Vec::new();
        for _ in 0..SERIES_LENGTH {
            let drawn = fleet.net.choice.below(EarlierFailure::ALL.len());
            series.push(EarlierFailure::ALL[drawn]);
            fleet.pass_through(EarlierFailure::ALL[drawn]);
            let pause = fleet.net.choice.span(Duration::from_secs(3));
            fleet.net.run(pause);
            fleet.change();
        }
        fleet.net.run(PAUSES[seed as usize % PAUSES.len()]);
        let later = LaterFailures::ALL[fleet.net.choice.below(LaterFailures::ALL.len())];
        fleet.begin(later);
        let pause = fleet.net.choice.span(Duration::from_secs(2));
        fleet.net.run(pause);
        let took = fleet.time_in_force();
        if took > IN_FORCE_LIMIT {
            late.push((seed, series, later, took));
        }
    }
    assert!(late.is_empty(), "{} late: {late:?}", late.len());
}
