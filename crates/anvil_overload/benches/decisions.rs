//! Cost of one decision: `cargo bench -p anvil_overload`.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::{admission, fairness, kind, limit, policy, rank, routing};
use anvil_quota::ledger;
use anvil_types::{account, context, ident, name, time};

/// Number of services in the routing table of a large fleet.
const SERVICES: u64 = 730;

fn main() {
    divan::main();
}

fn service(number: u64) -> name::ServiceName {
    name::ServiceName::new(&format!("service-{number}")).expect("a name")
}

fn rank(lane: u8) -> rank::CallRank {
    rank::CallRank {
        class: context::PriorityClass::Normal,
        by_rule: None,
        depth: 0,
        lane: Reverse(context::LaneHash(lane)),
    }
}

/// Chooses among `per_service` targets in a table of 730 services, and records the start and end of
/// the attempt.
#[divan::bench(args = [4, 19, 200])]
fn route(bencher: divan::Bencher<'_, '_>, per_service: u64) {
    let zones = ["a", "b", "c", "d"].map(|zone| name::ZoneName::new(zone).expect("a name"));
    let policy = policy::OverloadPolicy::FULL;
    let mut table = routing::RouteTable::new(zones[0].clone(), 1, policy);
    for number in 0..SERVICES {
        for target in 0..per_service {
            let record = routing::TargetRecord {
                node: ident::NodeId(number * per_service + target),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
                zone: zones[target as usize % 4].clone(),
                slots: 40,
                leaving: false,
                announced: 0,
            };
            table.upsert(time::NodeTime::START, &service(number), &record);
        }
    }
    let wanted = service(365);
    let now = time::NodeTime::from_millis(10_000);
    bencher.bench_local(|| {
        let query = routing::RouteQuery {
            service: &wanted,
            rank: rank(7),
            kind: kind::CallKind(1),
            bytes: 130,
            exclude: &[],
        };
        let routing::RouteChoice::Target { node, .. } = table.choose(now, query) else {
            return;
        };
        let class = context::PriorityClass::Normal;
        table.request_sent(&wanted, node, class);
        let report = routing::AttemptReport {
            class,
            kind: kind::CallKind(1),
            end: routing::AttemptEnd::Succeeded,
            load: None,
            answer_bytes: Some(600),
        };
        table.attempt_ended(now, &wanted, node, report);
    });
}

/// Passes one request through the queue of a target with 40 slots and `waiting` queued requests.
#[divan::bench(args = [0, 40, 300])]
fn admit(bencher: divan::Bencher<'_, '_>, waiting: u64) {
    let policy = policy::OverloadPolicy {
        cut_line: false,
        cold_ramp: false,
        ..policy::OverloadPolicy::FULL
    };
    let mut queue = admission::AdmissionQueue::new(time::NodeTime::START, 40, policy);
    let mut id = 0;
    let mut now = time::NodeTime::START;
    let call = |id: u64| admission::WaitingCall {
        id,
        rank: rank(id.to_le_bytes()[0]),
        deadline: time::NodeTime(u64::MAX),
        queue_wait: Duration::from_secs(1_000_000),
        suspect: false,
    };
    let mut running = std::collections::VecDeque::new();
    for _ in 0..40 + waiting {
        id += 1;
        running.extend(started(&queue.offer(now, call(id))));
    }
    let sample = limit::RunSample {
        latency: Duration::from_millis(20),
        downstream: Duration::ZERO,
        end: limit::RunEnd::Completed,
    };
    bencher.bench_local(|| {
        id += 1;
        now = now + Duration::from_micros(500);
        running.extend(started(&queue.offer(now, call(id))));
        let Some(ended) = running.pop_front() else {
            return;
        };
        running.extend(started(&queue.finish(now, ended, sample)));
    });
}

fn started(decisions: &[admission::AdmissionDecision]) -> Option<u64> {
    decisions.iter().find_map(|decision| match decision {
        admission::AdmissionDecision::Start(id) => Some(*id),
        admission::AdmissionDecision::Refuse { .. } => None,
    })
}

/// Counts a request at its account's home and sets its lane, among a thousand accounts.
#[divan::bench]
fn fair_lane(bencher: divan::Bencher<'_, '_>) {
    const ACCOUNTS: u64 = 1_000;
    let node = ident::NodeId(1);
    let mode = ledger::TokenMode::Ahead;
    let mut ledger = ledger::QuotaLedger::new(node, mode).with_stated_demand();
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    ledger.member_up(time::NodeTime::START, node, address);
    let quota = account::AccountQuota::per_second(1_000_000, 1_000_000);
    let quotas: Vec<_> = (0..ACCOUNTS)
        .map(|index| (account::AccountId(index), quota))
        .collect();
    ledger.set_quotas(time::NodeTime::START, &quotas);
    let mut now = time::NodeTime::START;
    let mut call = 0;
    bencher.bench_local(|| {
        now.0 += 10;
        call += 1;
        let account = account::AccountId(call % ACCOUNTS);
        let demand = ledger.demand(now, account).ratio.granted;
        let request = ident::RequestId(u128::from(call));
        let lane = fairness::QuotaShare::of(request, demand).lane();
        (ledger.admit(now, account, call), lane)
    });
}
