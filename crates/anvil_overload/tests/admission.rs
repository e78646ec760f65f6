//! Who runs next at a target, and who is refused, in injected time.

use std::cmp::Reverse;
use std::time::Duration;

use anvil_overload::{admission, limit, policy, rank, refusal, shedding};
use anvil_types::{context, time, verdict};

use context::PriorityClass as Class;

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

fn rank(class: Class, depth: u8, lane: u8) -> rank::CallRank {
    rank::CallRank {
        class,
        by_rule: None,
        depth,
        lane: Reverse(context::LaneHash(lane)),
    }
}

fn waiting(id: u64, rank: rank::CallRank) -> admission::WaitingCall {
    admission::WaitingCall {
        id,
        rank,
        deadline: at(60_000),
        queue_wait: Duration::from_secs(10),
        suspect: false,
    }
}

fn queue(slots: u32, policy: policy::OverloadPolicy) -> admission::AdmissionQueue {
    let policy = policy::OverloadPolicy {
        cold_ramp: false,
        ..policy
    };
    admission::AdmissionQueue::new(at(0), slots, policy)
}

fn whole(millis: u64) -> limit::RunSample {
    limit::RunSample {
        latency: Duration::from_millis(millis),
        downstream: Duration::ZERO,
        end: limit::RunEnd::Completed,
    }
}

fn started(decisions: &[admission::AdmissionDecision]) -> Vec<u64> {
    let started = decisions.iter().filter_map(|decision| match decision {
        admission::AdmissionDecision::Start(id) => Some(*id),
        admission::AdmissionDecision::Refuse { .. } => None,
    });
    started.collect()
}

fn refused(decisions: &[admission::AdmissionDecision]) -> Vec<(u64, verdict::RefusalReason)> {
    let refused = decisions.iter().filter_map(|decision| match decision {
        admission::AdmissionDecision::Start(_) => None,
        admission::AdmissionDecision::Refuse { id, reason, .. } => Some((*id, *reason)),
    });
    refused.collect()
}

/// The order in which waiting calls start when one slot is freed again and again.
fn order(policy: policy::OverloadPolicy, calls: &[admission::WaitingCall]) -> Vec<u64> {
    let mut queue = queue(1, policy);
    assert_eq!(
        started(&queue.offer(at(0), waiting(0, rank(Class::Low, 0, 0)))),
        [0]
    );
    for call in calls {
        assert!(queue.offer(at(0), *call).is_empty());
    }
    let mut order = vec![0];
    for step in 0..calls.len() as u64 {
        let running = order[order.len() - 1];
        order.extend(started(&queue.finish(at(step + 1), running, whole(1))));
    }
    order.split_off(1)
}

// A critical request waits behind nothing but its equals; of one class the deeper goes first,
// since its cost is spent, and then the lower lane, as at every other node.
#[test]
fn important_then_deep_then_low_lane_runs_first() {
    let calls = [
        waiting(1, rank(Class::Normal, 0, 9)),
        waiting(2, rank(Class::Normal, 0, 3)),
        waiting(3, rank(Class::Normal, 2, 200)),
        waiting(4, rank(Class::Critical, 0, 255)),
    ];
    assert_eq!(order(policy::OverloadPolicy::FULL, &calls), [4, 3, 2, 1]);
    assert_eq!(order(policy::OverloadPolicy::NAIVE, &calls), [1, 2, 3, 4]);
}

// Equals run in order of arrival while the queue is short.
#[test]
fn equals_run_in_order_without_strain() {
    let calls = [1, 2, 3].map(|id| waiting(id, rank(Class::Normal, 0, 7)));
    assert_eq!(order(policy::OverloadPolicy::FULL, &calls), [1, 2, 3]);
}

// The only slot is taken for 100 ms at a time. A request that has 50 ms left can't end in time,
// even if it ran next; it is refused at once and did not run. The naive queue runs it in vain.
#[test]
fn request_that_cannot_end_in_time_is_refused_at_once() {
    let refused_at_once = |policy| {
        let mut queue = queue(1, policy);
        let normal = rank(Class::Normal, 0, 0);
        for run in 10..20 {
            queue.offer(at(100 * (run - 10)), waiting(run, normal));
            queue.finish(at(100 * (run - 9)), run, whole(100));
        }
        queue.offer(at(1_000), waiting(1, normal));
        queue.offer(at(1_000), waiting(2, normal));
        let hurried = admission::WaitingCall {
            deadline: at(1_050),
            ..waiting(3, rank(Class::Critical, 0, 0))
        };
        refused(&queue.offer(at(1_000), hurried))
    };
    let reason = verdict::RefusalReason::Deadline;
    assert_eq!(refused_at_once(policy::OverloadPolicy::FULL), [(3, reason)]);
    assert_eq!(refused_at_once(policy::OverloadPolicy::NAIVE), []);
}

// A slot is free: no estimate and no line refuses, since only runs show that pressure is over.
#[test]
fn free_slot_is_never_refused() {
    let mut queue = queue(1, policy::OverloadPolicy::FULL);
    let normal = rank(Class::Normal, 0, 0);
    queue.offer(at(0), waiting(0, normal));
    queue.finish(at(100), 0, whole(100));
    let hurried = admission::WaitingCall {
        deadline: at(150),
        ..waiting(1, normal)
    };
    assert_eq!(started(&queue.offer(at(100), hurried)), [1]);
}

// The queue is full of low work when important work comes; the lowest gives way and is told so.
#[test]
fn lowest_gives_way_when_the_queue_is_full() {
    let mut queue = queue(1, policy::OverloadPolicy::FULL);
    let low = rank(Class::Low, 0, 0);
    for id in 0..=admission::MIN_QUEUE_PLACES as u64 {
        assert!(refused(&queue.offer(at(0), waiting(id, low))).is_empty());
    }
    let decisions = queue.offer(at(0), waiting(99, rank(Class::Critical, 0, 0)));
    let reason = verdict::RefusalReason::QueueFull;
    assert_eq!(refused(&decisions), [(1, reason)]);
}

// A request has waited as long as its rule allows: it is refused then and not near its deadline.
#[test]
fn wait_ends_with_the_rule() {
    let mut queue = queue(1, policy::OverloadPolicy::FULL);
    let normal = rank(Class::Normal, 0, 0);
    queue.offer(at(0), waiting(0, normal));
    let short = admission::WaitingCall {
        queue_wait: Duration::from_millis(30),
        ..waiting(1, normal)
    };
    queue.offer(at(0), short);
    assert_eq!(queue.next_wake(), Some(at(30)));
    let allowed = Duration::from_millis(30);
    let expected = admission::AdmissionDecision::Refuse {
        id: 1,
        reason: verdict::RefusalReason::QueueFull,
        limit: refusal::RefusalLimit::QueueWait {
            wait: allowed,
            allowed,
        },
    };
    assert_eq!(queue.wake(at(30)), [expected]);
}

// Two requests that were running when a target crashed never run at one target together, so that
// another crash tells which of them it was; others are not held up.
#[test]
fn suspects_run_apart() {
    let mut queue = queue(4, policy::OverloadPolicy::FULL);
    let normal = rank(Class::Normal, 0, 0);
    let suspect = |id| admission::WaitingCall {
        suspect: true,
        ..waiting(id, normal)
    };
    assert_eq!(started(&queue.offer(at(0), suspect(1))), [1]);
    assert!(queue.offer(at(0), suspect(2)).is_empty());
    assert_eq!(started(&queue.offer(at(0), waiting(3, normal))), [3]);
    assert_eq!(started(&queue.finish(at(5), 1, whole(5))), [2]);
}

// A leaving target starts nothing new; what waits is refused so that it runs elsewhere.
#[test]
fn leaving_refuses_what_waits() {
    let mut queue = queue(1, policy::OverloadPolicy::FULL);
    let normal = rank(Class::Normal, 0, 0);
    queue.offer(at(0), waiting(1, normal));
    queue.offer(at(0), waiting(2, normal));
    let leaving = verdict::RefusalReason::Leaving;
    assert_eq!(refused(&queue.leave()), [(2, leaving)]);
    assert_eq!(
        refused(&queue.offer(at(1), waiting(3, normal))),
        [(3, leaving)]
    );
    assert!(queue.load(at(1)).leaving);
}

// Twice as much is asked as one target can run, for two seconds; then nothing. Its line rises to
// shed about half and leaves the critical ones alone; a second after the last run it is gone.
#[test]
fn line_rises_with_pressure_and_falls_after_it() {
    let mut queue = queue(4, policy::OverloadPolicy::FULL);
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut lane = 0_u8;
    // Four slots and 20 ms a run hold 200 requests a second; one comes each 2.5 ms.
    for step in 0..800_u64 {
        let now = step * 5 / 2;
        while let Some((end, id)) = running.first().copied().filter(|(end, _)| *end <= now) {
            running.remove(0);
            let next = started(&queue.finish(at(end), id, whole(20)));
            running.extend(next.into_iter().map(|id| (end + 20, id)));
        }
        lane = lane.wrapping_add(97);
        let class = if step % 5 == 0 {
            Class::Critical
        } else {
            Class::Normal
        };
        let call = admission::WaitingCall {
            queue_wait: Duration::from_millis(200),
            ..waiting(step, rank(class, 0, lane))
        };
        let next = started(&queue.offer(at(now), call));
        running.extend(next.into_iter().map(|id| (now + 20, id)));
    }
    let line = queue.load(at(2_000)).cut.expect("a line");
    assert_eq!(line.class, Class::Normal);
    assert!(line.lane.0 < 220, "lane {}", line.lane);
    let mut last = 2_000;
    while !running.is_empty() {
        let (end, id) = running.remove(0);
        last = end;
        let next = started(&queue.finish(at(end), id, whole(20)));
        running.extend(next.into_iter().map(|id| (end + 20, id)));
    }
    let quiet = at(last) + 10 * shedding::MIN_CUT_WINDOW;
    assert_eq!(queue.load(quiet).cut, None);
}
