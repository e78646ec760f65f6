//! Lines by kind of request, derived from the runs that fail for lack of capacity further down.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_overload::{completion, kind, rank};
use anvil_testkit::test_cases;
use anvil_types::{context, time};

const READ: kind::CallKind = kind::CallKind(1);
/// The lowest level at which the simulated service completes runs: four tenths of the normal class.
const BOUNDARY: u16 = 409;

fn rank_of(class: context::PriorityClass, lane: u8) -> rank::CallRank {
    rank::CallRank {
        class,
        by_rule: None,
        depth: 0,
        lane: std::cmp::Reverse(context::LaneHash(lane)),
    }
}

fn report(end: completion::RunEnd, needed_level: u16) -> completion::RunReport {
    completion::RunReport { end, needed_level }
}

/// One node with requests of the normal class, evenly spread over its lanes. Runs below the
/// boundary are refused further down.
struct Plant {
    control: completion::CompletionControl,
    now: time::NodeTime,
    arrived: u32,
    ended: u32,
    completed: u32,
    running: Vec<(time::NodeTime, rank::CallRank)>,
}

impl Plant {
    fn new() -> Self {
        Self {
            control: completion::CompletionControl::new(),
            now: time::NodeTime::START,
            arrived: 0,
            ended: 0,
            completed: 0,
            running: Vec::new(),
        }
    }

    /// Plays `millis` at `per_s` requests a second whose runs take `run_time`.
    fn play(&mut self, millis: u64, per_s: u64, run_time: u64, boundary: u16) {
        let mut running = std::mem::take(&mut self.running);
        (self.arrived, self.ended, self.completed) = (0, 0, 0);
        let needed_level = boundary.saturating_sub(64);
        for tick in 0..millis * per_s / 1_000 {
            self.now = self.now + Duration::from_micros(1_000_000 / per_s);
            let lane = u8::try_from(tick * 101 % 256).unwrap();
            let rank = rank_of(context::PriorityClass::Normal, lane);
            self.arrived += 1;
            if !self.control.refuses(self.now, READ, &rank) {
                running.push((self.now + Duration::from_millis(run_time), rank));
            }
            while running.first().is_some_and(|(at, _)| *at <= self.now) {
                let (at, rank) = running.remove(0);
                self.ended += 1;
                let completes = rank.level() >= boundary;
                self.completed += u32::from(completes);
                let end = match completes {
                    true => completion::RunEnd::Completed,
                    false => completion::RunEnd::RefusedBelow,
                };
                self.control
                    .run_ended(at, READ, &rank, report(end, needed_level));
            }
        }
        self.running = running;
    }

    fn has_line(&self) -> bool {
        self.control.line(self.now, READ).is_some()
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole)
}

// A service further down completes four tenths of the requests. The line must rise to that within
// about a window and the run time, must not refuse much more, and must be gone two seconds after
// the service completes all requests again.
fn line_follows_the_capacity(per_s: u64, run_time: u64) {
    let mut plant = Plant::new();
    plant.play(3_000, per_s, run_time, BOUNDARY);
    plant.play(8_000, per_s, run_time, BOUNDARY);
    let completed = share(plant.completed, plant.ended);
    let served = share(plant.completed, plant.arrived);
    assert!(
        completed >= 0.95,
        "{completed} of the ended runs are complete"
    );
    assert!(served >= 0.8 * 0.4, "{served} of the requests are served");
    plant.play(2_000 + run_time, per_s, run_time, 0);
    assert!(
        !plant.has_line(),
        "{:?}",
        plant.control.line(plant.now, READ)
    );
}

test_cases! {
    line_follows_the_capacity:
    many_short_runs => (400, 20),
    many_long_runs => (400, 500),
    short_runs => (100, 20),
    long_runs => (100, 500),
    few_runs => (25, 100),
}

// A kind with one or two runs a second must not react to a single failure, but must get a line if
// all of its runs fail.
fn few_runs_need_several_failures(gap: u64, failures: u64, has_line: bool) {
    let mut control = completion::CompletionControl::new();
    let rank = rank_of(context::PriorityClass::Normal, 7);
    for run in 0..8 {
        let end = match run >= 8 - failures {
            true => completion::RunEnd::RefusedBelow,
            false => completion::RunEnd::Completed,
        };
        let now = time::NodeTime::from_millis(gap * (run + 1));
        control.run_ended(now, READ, &rank, report(end, 300));
    }
    let now = time::NodeTime::from_millis(gap * 8);
    assert_eq!(control.line(now, READ).is_some(), has_line);
}

test_cases! {
    few_runs_need_several_failures:
    one_failure_at_one_a_second => (1_000, 1, false),
    one_failure_at_two_a_second => (500, 1, false),
    all_fail_at_one_a_second => (1_000, 8, true),
    all_fail_at_two_a_second => (500, 8, true),
}

/// A control in which every other run of [`READ`] ended as `end`, ten a second, with its time.
fn half_failing(end: completion::RunEnd, needed: u16, runs: u64) -> completion::CompletionControl {
    let mut control = completion::CompletionControl::new();
    for run in 0..runs {
        let class = context::PriorityClass::ALL[usize::try_from(run / 2 % 2).unwrap()];
        let rank = rank_of(class, u8::try_from(run * 37 % 256).unwrap());
        let end = if run % 2 == 0 {
            end
        } else {
            completion::RunEnd::Completed
        };
        let now = time::NodeTime::from_millis(run * 50);
        if !control.refuses(now, READ, &rank) {
            control.run_ended(now, READ, &rank, report(end, needed));
        }
    }
    control
}

// Runs fail for reasons other than capacity, or refusing requests does not lower the share that
// fails. Refusing more requests would not help, so no line may stay.
fn useless_lines_go(end: completion::RunEnd, needed_level: u16, has_line: bool) {
    let control = half_failing(end, needed_level, 160);
    let now = time::NodeTime::from_millis(8_000);
    assert_eq!(control.line(now, READ).is_some(), has_line);
}

test_cases! {
    useless_lines_go:
    failures_of_the_target => (completion::RunEnd::Other, 300, false),
    refusals_that_do_not_depend_on_the_load => (completion::RunEnd::RefusedBelow, 0, false),
    refusals_by_a_service_with_a_line => (completion::RunEnd::RefusedBelow, 200, true),
}

// Requests of one kind come from requests of several classes. The lowest classes must be refused
// first, and requests of other kinds not at all.
#[test]
fn lowest_classes_are_refused_first() {
    let control = half_failing(completion::RunEnd::RefusedBelow, 200, 40);
    let now = time::NodeTime::from_millis(2_000);
    let refuses = |kind, class| control.refuses(now, kind, &rank_of(class, 255));
    assert!(refuses(READ, context::PriorityClass::Low));
    assert!(!refuses(READ, context::PriorityClass::High));
    assert!(!refuses(kind::CallKind(2), context::PriorityClass::Low));
}

// A line that refuses all requests brings no run that could lower it. It must decay, so that
// probes get through, and must be gone after two seconds.
#[test]
fn line_without_runs_decays() {
    let control = half_failing(completion::RunEnd::RefusedBelow, 200, 40);
    let level = |millis| {
        rank::line_level(
            control
                .line(time::NodeTime::from_millis(millis), READ)
                .as_ref(),
        )
    };
    let at_first = level(2_000);
    assert!(at_first > 0);
    assert!(level(3_600) < at_first);
    assert_eq!(level(4_000), 0);
}

// A line exists when the target breaks. Failures for other reasons must not keep it in force.
#[test]
fn failures_of_the_target_keep_no_line() {
    let mut control = half_failing(completion::RunEnd::RefusedBelow, 200, 40);
    let rank = rank_of(context::PriorityClass::High, 0);
    for run in 0..30 {
        let now = time::NodeTime::from_millis(2_000 + run * 100);
        control.run_ended(now, READ, &rank, report(completion::RunEnd::Other, 200));
    }
    let now = time::NodeTime::from_millis(5_000);
    assert!(control.line(now, READ).is_none());
}

// More kinds arrive than the table holds. The least recently used one must go, and not the one
// that is in use.
#[test]
fn least_recently_used_kind_is_evicted() {
    let mut control = half_failing(completion::RunEnd::RefusedBelow, 200, 40);
    let rank = rank_of(context::PriorityClass::Normal, 7);
    let now = time::NodeTime::from_millis(2_000);
    let completed = report(completion::RunEnd::Completed, 200);
    control.run_ended(now, kind::CallKind(2), &rank, completed);
    for other in 0..completion::MAX_KINDS as u64 - 1 {
        let now = time::NodeTime::from_millis(2_001);
        control.run_ended(now, READ, &rank, completed);
        control.run_ended(now, kind::CallKind(100 + other), &rank, completed);
    }
    assert!(control.line(now, READ).is_some());
    control.run_ended(now, kind::CallKind(3), &rank, completed);
    for other in 0..completion::MAX_KINDS as u64 {
        let now = time::NodeTime::from_millis(2_002);
        control.run_ended(now, kind::CallKind(500 + other), &rank, completed);
    }
    assert!(control.line(now, READ).is_none());
}
