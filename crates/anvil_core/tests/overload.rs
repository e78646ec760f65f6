//! Overload control of a whole mesh, compared with a naive policy: round-robin routing, fixed
//! retries at each hop, no shedding by class and an unbounded queue.

#![allow(clippy::unwrap_used)]

mod mesh;
mod variant;

use std::time::Duration;

use anvil_overload::policy;
use anvil_testkit::test_cases;
use anvil_types::{context, verdict};

/// Requests a second at which no service is overloaded.
const NORMAL_PER_S: f64 = mesh::SATURATION_PER_S / 2.0;
const CRITICAL: context::PriorityClass = context::PriorityClass::Critical;

/// Normal load for two seconds, `factor` times the saturation load for six, then normal load again.
fn surge(policy: policy::OverloadPolicy, factor: f64) -> mesh::Plan {
    let mut plan = mesh::Plan::new(policy);
    plan.rates = vec![
        (0.0, NORMAL_PER_S),
        (2.0, mesh::SATURATION_PER_S * factor),
        (8.0, NORMAL_PER_S),
    ];
    plan.until = 13.0;
    plan
}

fn run(plan: mesh::Plan) -> mesh::Mesh {
    mesh::Mesh::new(plan, mesh::claims_mesh()).run()
}

fn without(switch: fn(&mut policy::OverloadPolicy)) -> policy::OverloadPolicy {
    let mut policy = variant::POLICY;
    switch(&mut policy);
    policy
}

// The load is twice what the deepest service can serve. Its queue fills and its cut line rises, so
// nodes upstream refuse lower classes. Claims, although twice as costly as other requests, must
// succeed. In a queue without classes two of three claims time out.
fn claims_survive(seed: u64) {
    let plan = |policy| mesh::Plan {
        seed,
        ..surge(policy, 2.0)
    };
    let full = run(plan(variant::POLICY));
    let naive = run(plan(policy::OverloadPolicy::NAIVE));
    assert!(full.share(CRITICAL, 2.0, 8.0) >= 0.99);
    assert!(naive.share(CRITICAL, 2.0, 8.0) < 0.7);
}

test_cases! {
    claims_survive:
    claims_survive_with_seed_1 => (1),
    claims_survive_with_seed_2 => (2),
    claims_survive_with_seed_3 => (3),
}

// The load is four times the saturation load, and callers time out after two seconds. Claims use
// two runs of the deepest service each and are served first: 116 a second take 232 of its 320 runs,
// so at best 204 requests a second succeed. The naive policy works for callers that have timed out.
#[test]
fn goodput_holds_at_four_times_the_load() {
    let best = 204.0;
    let full = run(surge(variant::POLICY, 4.0));
    let naive = run(surge(policy::OverloadPolicy::NAIVE, 4.0));
    assert!(full.goodput(4.0, 8.0) >= 0.9 * best);
    assert!(naive.goodput(4.0, 8.0) < 0.7 * best);
    assert!(full.waste() < naive.waste() / 3.0);
}

// Callers resend each failed request up to five times, 100 ms after each failure. After the surge
// every cut line must fall without feedback, since the requests that it refuses bring none. The
// naive policy still works through its backlog and the resends.
#[test]
fn service_recovers_within_two_seconds_of_hard_resends() {
    let plan = |policy| mesh::Plan {
        resends: 5,
        ..surge(policy, 4.0)
    };
    let full = run(plan(variant::POLICY));
    let naive = run(plan(policy::OverloadPolicy::NAIVE));
    assert!(full.recovery(8.0).unwrap() <= 2.0);
    assert!(naive.recovery(8.0).is_none_or(|seconds| seconds > 2.0));
}

// Some requests need only the portal, and others wait for the overloaded deepest service. Without
// cut lines the waiting requests occupy all of the portal's slots and the others starve; cut lines
// that did not distinguish kinds of request would refuse them together with the rest.
#[test]
fn requests_that_avoid_the_overloaded_service_are_served() {
    let plan = |policy| mesh::Plan {
        side_rate: mesh::SATURATION_PER_S,
        ..surge(policy, 4.0)
    };
    let full = run(plan(variant::POLICY));
    let reduced = run(plan(without(|p| p.cut_line = false)));
    assert!(full.side_share(2.0, 8.0) > 0.6);
    assert!(reduced.side_share(2.0, 8.0) < 0.2);
}

// The deepest service slows to a fifth of its speed at normal load. Its concurrency is not the
// cause, so its limit must stay, and claims, which now need most of its capacity, must succeed.
#[test]
fn claims_survive_a_slow_deep_service() {
    let plan = |policy| {
        let mut plan = mesh::Plan::new(policy);
        plan.until = 13.0;
        plan.slow = vec![(2.0, "expediente", 5.0), (8.0, "expediente", 1.0)];
        plan
    };
    let full = run(plan(variant::POLICY));
    let naive = run(plan(policy::OverloadPolicy::NAIVE));
    assert!(full.share(CRITICAL, 2.0, 8.0) >= 0.95);
    assert!(naive.share(CRITICAL, 2.0, 8.0) < 0.5);
    assert!(full.recovery(8.0).unwrap() <= 2.0);
}

// Guards against lines that outlast the overload: callers are refused for seconds although the
// targets are idle.
fn callers_are_served_soon_after_a_slow_deep_service(seed: u64) {
    let mut plan = mesh::Plan::new(variant::POLICY);
    plan.seed = seed;
    plan.until = 13.0;
    plan.slow = vec![(2.0, "expediente", 5.0), (8.0, "expediente", 1.0)];
    let recovery = run(plan).recovery(8.0);
    assert!(
        recovery.is_some_and(|seconds| seconds <= 2.0),
        "{recovery:?}"
    );
}

test_cases! {
    callers_are_served_soon_after_a_slow_deep_service:
    after_a_slow_service_with_seed_2 => (2),
    after_a_slow_service_with_seed_3 => (3),
    after_a_slow_service_with_seed_5 => (5),
    after_a_slow_service_with_seed_6 => (6),
    after_a_slow_service_with_seed_11 => (11),
    after_a_slow_service_with_seed_16 => (16),
}

// The deepest service answers every request with a server error. Retries at each hop multiply:
// three runs of three of three. With the chain allowance no root may cause more than its own runs
// and three retries of them.
#[test]
fn runs_of_a_root_stay_within_its_bound() {
    let plan = |policy| {
        let mut plan = mesh::Plan::new(policy);
        plan.until = 6.0;
        plan.rates = vec![(0.0, NORMAL_PER_S / 2.0)];
        plan.fault = (mesh::Fault::AllFailing, 1.0, 6.0);
        plan.client_timeout = Duration::from_secs(10);
        plan
    };
    // A claim makes five runs; a retry repeats at most all of them.
    let bound = f64::from(5 * (1 + 3));
    let full = run(plan(variant::POLICY));
    let naive = run(plan(policy::OverloadPolicy::NAIVE));
    assert!(full.max_runs_per_root() <= bound);
    assert!(
        naive.max_runs_per_root() > bound,
        "{}",
        naive.max_runs_per_root()
    );
}

// One of four targets answers at once with a server error. It never has a queue, so routing by
// queue length prefers it; each node must eject it after a few failures.
#[test]
fn fast_failing_target_gets_few_requests() {
    let plan = |policy| {
        let mut plan = mesh::Plan::new(policy);
        plan.until = 10.0;
        plan.fault = (mesh::Fault::OneFailing, 2.0, 8.0);
        plan
    };
    let full = run(plan(variant::POLICY));
    assert!(full.goodput(3.0, 8.0) >= 0.9 * NORMAL_PER_S);
    let not_ejecting = run(plan(without(|p| p.ejection = false)));
    assert!(not_ejecting.goodput(3.0, 8.0) < 0.9 * NORMAL_PER_S);
    // Placement by weight sends such a target no more than its equal part.
    let reduced = run(plan(without(|p| {
        p.ejection = false;
        p.expected_completion = false;
    })));
    assert!(
        reduced.goodput(3.0, 8.0) < 0.7 * NORMAL_PER_S,
        "{}",
        reduced.goodput(3.0, 8.0)
    );
}

// Half of the deepest service crashes and restarts cold, at a quarter of its speed for two seconds,
// at a load of two thirds of its capacity. Claims must be served throughout.
#[test]
fn claims_survive_a_cold_restart_of_half() {
    let mut plan = mesh::Plan::new(variant::POLICY);
    plan.until = 10.0;
    plan.rates = vec![(0.0, mesh::SATURATION_PER_S * 0.65)];
    plan.fault = (mesh::Fault::ColdHalf, 2.0, 8.0);
    let full = run(plan);
    assert!(full.share(CRITICAL, 2.0, 8.0) >= 0.97);
    assert!(full.recovery(5.0).unwrap() <= 2.0);
}

// Three runs of ten break in the middle of their answers at all targets of the deepest service,
// without a crash. No request may be suspected of crashing targets, and idempotent requests are
// retried.
#[test]
fn broken_answers_make_no_suspects() {
    let mut plan = mesh::Plan::new(variant::POLICY);
    plan.until = 8.0;
    plan.fault = (mesh::Fault::Breaking, 2.0, 6.0);
    let full = run(plan);
    let share = full.share(context::PriorityClass::High, 2.0, 6.0);
    assert!(share >= 0.9, "share {share}");
    assert!(full.goodput(6.0, 8.0) >= 0.9 * NORMAL_PER_S);
}

// One request crashes each target of the deepest service that runs it, and its caller resends it to
// other nodes up to forty times. The second crash, in which it is the only repeated suspect, must
// quarantine it on all peers; requests that ran at the same time are served again afterwards.
#[test]
fn poison_is_stopped_after_two_crashes() {
    let plan = |policy| {
        let mut plan = mesh::Plan::new(policy);
        plan.resends = 40;
        plan.until = 9.0;
        plan
    };
    let crashes = |policy| {
        let mut mesh = mesh::Mesh::new(plan(policy), mesh::claims_mesh());
        mesh.poison(2.0);
        mesh.run()
    };
    let full = crashes(variant::POLICY);
    let unprotected = crashes(without(|p| p.quarantine = false));
    assert!(full.crashes <= 3, "{} crashes", full.crashes);
    assert!(
        unprotected.crashes > full.crashes,
        "{} crashes",
        unprotected.crashes
    );
    assert!(full.share(CRITICAL, 4.0, 7.0) >= 0.99);
}

// Callers disconnect after 100 ms, before the deepest service can answer, with deadlines of two
// seconds. Each call is cancelled together with its parent, so the deepest service does almost no
// work for them; without cancellation it completes every run.
#[test]
fn work_stops_when_callers_leave() {
    let plan = |policy| {
        let mut plan = mesh::Plan::new(policy);
        plan.until = 5.0;
        plan.disconnect_after = Some(Duration::from_millis(100));
        plan
    };
    let full = run(plan(variant::POLICY));
    let reduced = run(plan(without(|p| p.cancellation = false)));
    assert!(full.finished <= reduced.finished / 10, "{}", full.finished);
    assert!(reduced.finished > 500, "{}", reduced.finished);
}

// A request refused under overload must be answered long before its deadline, with a retry delay,
// and the dump must name the reason, the rule's revision and the limit.
#[test]
fn refusals_are_prompt_and_explained() {
    let mut full = run(mesh::Plan {
        until: 4.0,
        ..surge(variant::POLICY, 4.0)
    });
    let shed = verdict::CallVerdict::NotRun(verdict::RefusalReason::Shed);
    let refused = full.roots.iter().filter(|root| root.verdict == Some(shed));
    let waits: Vec<f64> = refused
        .map(|root| {
            assert!(root.retry_after.is_some());
            root.ended.unwrap() - root.arrived
        })
        .collect();
    assert!(waits.len() > 100);
    let slowest = waits.iter().copied().fold(0.0, f64::max);
    // The rule's maximum queue wait, twice if the first target refused early, and the hops.
    assert!(slowest < 1.1, "a refusal took {slowest} s");
    let dumps = full.dumps().concat();
    assert!(dumps.contains("\"reason\":\"Shed\""));
    assert!(dumps.contains("\"revision\":1"));
    assert!(dumps.contains("\"limit\":{\"cut\":{\"class\":"));
}
