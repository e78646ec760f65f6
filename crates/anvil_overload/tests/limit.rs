//! The limit at the target against targets that lie or change, in injected time.

use std::time::Duration;

use anvil_overload::{limit, policy};
use anvil_testkit::test_cases;
use anvil_types::time;

/// A target whose runs take a time that depends on how many there are, always fully asked.
struct BusyTarget<Time> {
    time_of: Time,
    slots: u32,
}

/// A limit to be compared: how many may run, and what each run showed.
trait Limit {
    fn current(&self) -> u32;
    fn run_started(&mut self, running: u32);
    fn observe(&mut self, now: time::NodeTime, latency: Duration);
}

impl Limit for limit::ConcurrencyLimit {
    fn current(&self) -> u32 {
        self.current()
    }

    fn run_started(&mut self, running: u32) {
        self.run_started(running);
    }

    fn observe(&mut self, now: time::NodeTime, latency: Duration) {
        let sample = limit::RunSample {
            latency,
            downstream: Duration::ZERO,
            end: limit::RunEnd::Completed,
        };
        self.observe(now, sample);
    }
}

/// The usual gradient: the limit follows the ratio of the best latency to the present one.
struct NaiveGradient {
    slots: f64,
    limit: f64,
    best: f64,
}

impl Limit for NaiveGradient {
    fn current(&self) -> u32 {
        self.limit.max(1.0) as u32
    }

    fn run_started(&mut self, _running: u32) {}

    fn observe(&mut self, _now: time::NodeTime, latency: Duration) {
        let latency = latency.as_secs_f64();
        self.best = self.best.min(latency);
        let wanted = self.limit * (2.0 * self.best / latency).min(1.0) + 0.1;
        self.limit = (self.limit * 0.9 + wanted * 0.1).min(self.slots).max(1.0);
    }
}

impl<Time> BusyTarget<Time>
where
    Time: Fn(f64, u32) -> Duration,
{
    /// Keeps the target as busy as the limit allows for some seconds; returns the answers of the
    /// last of them and the limit at the end.
    fn drive<Bound>(&self, limit: &mut Bound, seconds: f64) -> (u32, u32)
    where
        Bound: Limit,
    {
        let mut now = time::NodeTime::START;
        let mut runs: Vec<(time::NodeTime, Duration)> = Vec::new();
        let mut answers = 0;
        let end = now + Duration::from_secs_f64(seconds);
        while now < end {
            while (runs.len() as u32) < limit.current().min(self.slots) {
                let running = runs.len() as u32 + 1;
                let at = now.since(time::NodeTime::START).as_secs_f64();
                let latency = (self.time_of)(at, running);
                runs.push((now + latency, latency));
                limit.run_started(running);
            }
            runs.sort();
            let (ended, latency) = runs.remove(0);
            now = ended;
            limit.observe(now, latency);
            if now + Duration::from_secs(1) >= end {
                answers += 1;
            }
        }
        (answers, limit.current())
    }
}

fn limit(slots: u32) -> limit::ConcurrencyLimit {
    let policy = policy::OverloadPolicy::FULL;
    limit::ConcurrencyLimit::new(time::NodeTime::START, slots, policy)
}

fn naive(slots: u32) -> NaiveGradient {
    NaiveGradient {
        slots: f64::from(slots),
        limit: f64::from(slots),
        best: f64::INFINITY,
    }
}

// A target slows to a fifth for reasons of its own. Its callers get a fifth of the answers and no
// less: the slots stay. The usual gradient takes the slots away as well, since it can't tell a
// slow target from a crowded one.
#[test]
fn slow_target_keeps_its_slots() {
    let time_of = |at: f64, _| Duration::from_millis(if at < 3.0 { 20 } else { 100 });
    let target = BusyTarget { time_of, slots: 40 };
    let (answers, current) = target.drive(&mut limit(40), 10.0);
    let (few, _) = target.drive(&mut naive(40), 10.0);
    assert_eq!(current, 40);
    assert!(answers >= 380, "{answers} of 400");
    assert!(few < 300, "{few} of 400");
}

// A target announces forty slots and its runs slow one another from eight on, so forty at once
// take five times as long as eight and give no more answers. Callers' waits count, so the limit
// settles where a run takes about twice as long as at the ten slots of its start, give or take
// one step of two slots.
fn crowded_target_gets_fewer(from: u32, least: u32, most: u32) {
    let time_of = move |_: f64, running: u32| {
        let crowd = f64::from(running.max(from)) / f64::from(from);
        Duration::from_millis(20).mul_f64(crowd)
    };
    let target = BusyTarget { time_of, slots: 40 };
    let (_, current) = target.drive(&mut limit(40), 20.0);
    assert!(current >= least && current <= most, "limit {current}");
}

test_cases! {
    crowded_target_gets_fewer:
    limit_follows_a_knee_at_eight => (8, 8, 22),
    limit_follows_a_knee_at_twelve => (12, 12, 30),
}

// A target announces two slots and could run forty. Its word is an upper bound.
#[test]
fn announced_slots_bind() {
    let time_of = |_: f64, _| Duration::from_millis(5);
    let target = BusyTarget { time_of, slots: 40 };
    let (_, current) = target.drive(&mut limit(2), 5.0);
    assert_eq!(current, 2);
}

// A target that just came gets a quarter of its slots, and all of them after a few windows.
#[test]
fn cold_target_is_ramped_up() {
    let mut cold = limit(40);
    assert_eq!(cold.current(), 10);
    let time_of = |_: f64, _| Duration::from_millis(20);
    let target = BusyTarget { time_of, slots: 40 };
    let (_, current) = target.drive(&mut cold, 1.0);
    assert_eq!(current, 40);
}

// A service deep below is sick and the runs of a healthy one in the middle wait for it. Own time
// leaves the waits out, so no slot is lost; taken as a whole, latency starts a trial.
fn middle_is_judged_by_its_own_time(attribution: bool, tried: bool) {
    let policy = policy::OverloadPolicy {
        attribution,
        cold_ramp: false,
        ..policy::OverloadPolicy::FULL
    };
    let mut limit = limit::ConcurrencyLimit::new(time::NodeTime::START, 40, policy);
    let mut least = 40;
    for round in 0..100_u64 {
        let sick = round >= 10;
        let downstream = Duration::from_millis(if sick { 200 } else { 10 });
        let now = time::NodeTime::from_millis(300 * (round + 1));
        // More wait at once while the deep service is sick.
        let running = if sick { 40 } else { 10 };
        for _ in 0..20 {
            limit.run_started(running);
            let sample = limit::RunSample {
                latency: Duration::from_millis(5) + downstream,
                downstream,
                end: limit::RunEnd::Completed,
            };
            limit.observe(now, sample);
        }
        least = least.min(limit.current());
    }
    assert_eq!(least < 40, tried);
}

test_cases! {
    middle_is_judged_by_its_own_time:
    healthy_middle_keeps_its_slots => (true, false),
    without_attribution_it_loses_some => (false, true),
}

// The target refuses runs by itself: it can't do what it announced. The limit falls below what
// ran at once and comes back step by step.
#[test]
fn refusals_of_the_target_cut_the_limit() {
    let policy = policy::OverloadPolicy {
        cold_ramp: false,
        ..policy::OverloadPolicy::FULL
    };
    let mut limit = limit::ConcurrencyLimit::new(time::NodeTime::START, 40, policy);
    limit.run_started(20);
    let refused = limit::RunSample {
        latency: Duration::from_millis(1),
        downstream: Duration::ZERO,
        end: limit::RunEnd::Refused,
    };
    limit.observe(time::NodeTime::from_millis(150), refused);
    assert_eq!(limit.current(), 16);
}

// More is asked of a target than it can run, and its runs take 1.3 times as long once more than 95
// in 100 of its slots are in use. Callers get more answers a second where a slot stays free.
fn spare_slots_bring_more_answers(slots: u32, least_gain: f64) {
    let time_of = move |_: f64, running: u32| {
        let nearly_full = f64::from(running) > 0.95 * f64::from(slots);
        Duration::from_millis(if nearly_full { 29 } else { 22 })
    };
    let target = BusyTarget { time_of, slots };
    let answers = |spare_slots| {
        let policy = policy::OverloadPolicy {
            spare_slots,
            adaptive_limit: false,
            ..policy::OverloadPolicy::FULL
        };
        let start = time::NodeTime::START;
        let mut limit = limit::ConcurrencyLimit::new(start, slots, policy);
        f64::from(target.drive(&mut limit, 5.0).0)
    };
    let gain = answers(true) / answers(false);
    assert!(gain >= least_gain, "{gain}");
}

test_cases! {
    spare_slots_bring_more_answers:
    of_nine_slots => (9, 1.15),
    of_fifteen_slots => (15, 1.2),
    of_forty_eight_slots => (48, 1.2),
    of_one_slot_it_is_used => (1, 1.0),
}
