//! Cost of one decision: `cargo bench -p anvil_overload`.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::{
    admission, appointments, fairness, kind, limit, policy, rank, ratio, refusals, routing,
};
use anvil_quota::ledger;
use anvil_types::{account, context, ident, name, time};
use anvil_wire::call;

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
    bench_route(bencher, per_service, policy::OverloadPolicy::FULL, 0);
}

/// As [`route`], by expected completion.
#[divan::bench(args = [4, 19, 200])]
fn route_by_completion(bencher: divan::Bencher<'_, '_>, per_service: u64) {
    bench_route(bencher, per_service, COMPLETION, 12);
}

/// As [`route_by_completion`], with full targets only.
#[divan::bench(args = [4, 19, 200])]
fn route_when_saturated(bencher: divan::Bencher<'_, '_>, per_service: u64) {
    bench_route(bencher, per_service, COMPLETION, 60);
}

const COMPLETION: policy::OverloadPolicy = policy::OverloadPolicy {
    expected_completion: true,
    stay_in_zone: true,
    ..policy::OverloadPolicy::FULL
};

fn bench_route(
    bencher: divan::Bencher<'_, '_>,
    per_service: u64,
    policy: policy::OverloadPolicy,
    running: u32,
) {
    let zones = ["a", "b", "c", "d"].map(|zone| name::ZoneName::new(zone).expect("a name"));
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
    let load = call::LoadReport {
        running,
        limit: 40,
        usual_micros: 60_000,
        pace_percent: 150,
        ..call::LoadReport::default()
    };
    for node in (0..per_service).filter(|_| running > 0) {
        let report = routing::AttemptReport {
            class: context::PriorityClass::Normal,
            kind: kind::CallKind(1),
            end: routing::AttemptEnd::Succeeded,
            load: Some(&load),
            answer_bytes: Some(600),
        };
        let node = ident::NodeId(365 * per_service + node);
        table.attempt_ended(now, &wanted, node, report);
    }
    // Reports are 300 ms old, so that their age is part of the cost.
    let now = now + Duration::from_millis(300);
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

/// Judges and claims the retry of a refused call of a request that needs eight.
#[divan::bench]
fn retry_of_refused_call(bencher: divan::Bencher<'_, '_>) {
    let limits = ratio::RatioLimits::shared(66, 78).for_claims(66, 78);
    let mut now = time::NodeTime::START;
    let mut budget = ratio::RetryBudget::with_limits(now, limits);
    let mut shares = refusals::RefusalShares::default();
    let service = service(1);
    let case = refusals::RetryCase {
        calls_left: 8,
        allowance: 24,
        time_left: Duration::from_millis(700),
        pause: Duration::from_millis(5),
    };
    bencher.bench_local(|| {
        now = now + Duration::from_millis(5);
        budget.count_first_attempt(now, 17);
        let known = shares.get_or_insert(&service);
        known.record(now, refusals::TargetReply::Ran, Duration::from_millis(40));
        known.record(
            now,
            refusals::TargetReply::RefusedFree,
            Duration::from_millis(2),
        );
        let refusals::RetryWorth::Worthwhile { needed } = known.judge(now, &case) else {
            return;
        };
        let claim = ratio::RetryClaim {
            rank: rank(7),
            needed,
            repeated: false,
        };
        divan::black_box(budget.claim(now, &claim));
    });
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

/// Records the arrival and the refusal of a request while the space for appointments is used up.
#[divan::bench]
fn appointment(bencher: divan::Bencher<'_, '_>) {
    let mut book = appointments::AppointmentBook::default();
    let now = time::NodeTime::from_millis(10_000);
    let pause = Duration::from_millis(400);
    let mut content = 0_u64;
    let mut refuse = || {
        content += 1;
        let key = appointments::ReturnKey {
            // Spread over the table, as hashes are.
            fingerprint: ident::RequestFingerprint(content.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            account: None,
        };
        let rank = appointments::DrawnRank {
            request: ident::RequestId(u128::from(content)),
            class: context::PriorityClass::Normal,
            rule_class: None,
            lane: context::LaneHash(200),
        };
        let arrival = book.arrived(now, key, &rank);
        let told = book.ended(now, key, &rank, appointments::RequestEnd::Refused(pause));
        (arrival, told)
    };
    for _ in 0..2 * appointments::MAX_APPOINTMENTS {
        refuse();
    }
    bencher.bench_local(refuse);
}
