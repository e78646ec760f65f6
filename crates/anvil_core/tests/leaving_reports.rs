//! Status reports of leaving targets in any order, late and twice, while the processes of their node
//! end in every way.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_core::{effect, event, reducer, stopping};
use anvil_rules::{check, document};
use anvil_testkit::test_cases;
use anvil_types::{ident, time};
use rand_core::{Rng, SeedableRng};

/// Number of seeds that each case is played with.
const SEEDS: u64 = 120;

/// Simulated time of one play.
const PLAY_TIME: u64 = 45_000;

/// Interval of a target's status reports, and time until an announcement expires, in milliseconds.
const HEARTBEAT: u64 = 1_500;
const LEASE: u64 = 9_000;

/// How late reports may arrive, in milliseconds.
const MAX_DELAY: u64 = 10_000;

/// Interval of the calls that reach the node, in milliseconds.
const CALL_INTERVAL: u64 = 20;

/// Time within which requests for a leaving target end, in milliseconds.
const DRAIN: u64 = 2_000;

/// Time between the end of a process and the start of the next one, and after a loss of power, in
/// milliseconds.
const DOWN_TIME: u64 = 800;
const DARK_TIME: u64 = 4_000;

/// Time that a process may take until it serves a target that is ready, in milliseconds: three reports
/// may be late.
const SETTLING_TIME: u64 = 6_000;

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeavingWay {
    /// It reports its leaving until it ends.
    Repeated,
    /// It reports its leaving until that is acknowledged, and nothing afterwards.
    Acknowledged,
    /// It sends its last call first, and works on.
    LastCall,
    /// It crashes.
    Crash,
}

/// How a process of the node ends, or is held up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessEnd {
    Kill,
    Terminate,
    /// SIGHUP: the settings are checked again.
    Hangup,
    Freeze,
    PowerLoss,
}

/// How many of the calls wait at the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    /// None.
    Light,
    /// Most of them, since the target runs few requests at once.
    Queued,
}

impl Load {
    const fn slots(self) -> u32 {
        match self {
            Self::Light => 48,
            Self::Queued => 2,
        }
    }

    /// The time of a run, in milliseconds.
    const fn run_time(self) -> u64 {
        match self {
            Self::Light => 30,
            Self::Queued => 300,
        }
    }
}

const ALL_ENDS: [ProcessEnd; 5] = [
    ProcessEnd::Kill,
    ProcessEnd::Terminate,
    ProcessEnd::Hangup,
    ProcessEnd::Freeze,
    ProcessEnd::PowerLoss,
];

/// One incarnation of the target.
#[derive(Clone, Debug)]
struct Incarnation {
    id: String,
    starts_at: u64,
    leaves_at: u64,
    ends_at: u64,
    way: LeavingWay,
    sequence: u64,
    acknowledged_at: Option<u64>,
}

impl Incarnation {
    fn works(&self, now: u64) -> bool {
        (self.starts_at..self.ends_at).contains(&now)
    }

    fn is_ready(&self, now: u64) -> bool {
        (self.starts_at..self.leaves_at).contains(&now)
    }
}

#[derive(Clone, Debug)]
enum Action {
    /// The incarnation sends its next report.
    Report(usize),
    /// A report arrives at the node.
    Arrive {
        incarnation: usize,
        event: Box<event::NodeEvent>,
        leaving: bool,
    },
    Call,
    RunEnds {
        process: u64,
        run: event::RunId,
        expected: String,
    },
    /// The target at the address answers the node that asks it.
    Check {
        process: u64,
        order: Box<effect::CheckOrder>,
    },
    /// The node receives the answer.
    Checked {
        process: u64,
        digest: ident::IncarnationDigest,
        outcome: event::CheckOutcome,
    },
    End(ProcessEnd),
    Thaw,
    Start,
}

/// What a play counted.
#[derive(Clone, Debug, Default)]
struct PlayReport {
    /// Requests that reached a target too late, with the times of the acknowledgement and of the
    /// request.
    late: Vec<(String, u64, u64)>,
    /// Calls while a process was settled and a target was ready, and those of them that ran.
    offered: u64,
    served: u64,
}

struct Play {
    random: rand_pcg::Pcg64Mcg,
    now: u64,
    load: Load,
    agenda: BTreeMap<(u64, u64), Action>,
    entries: u64,
    node: Option<reducer::NodeReducer>,
    process: u64,
    started_at: u64,
    frozen_until: u64,
    incarnations: Vec<Incarnation>,
    calls: u64,
    report: PlayReport,
}

impl Play {
    fn run(seed: u64, ends: &[ProcessEnd], count: u64, load: Load) -> PlayReport {
        let mut play = Self {
            random: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            load,
            agenda: BTreeMap::new(),
            entries: 0,
            node: None,
            process: 0,
            started_at: 0,
            frozen_until: 0,
            incarnations: Vec::new(),
            calls: 0,
            report: PlayReport::default(),
        };
        play.schedule(0, Action::Start);
        play.plan_incarnations();
        for _ in 0..count {
            let end = ends[play.below(ends.len() as u64) as usize];
            // Most ends come soon after a leaving, when its acknowledgement counts.
            let near = play.below(play.incarnations.len() as u64) as usize;
            let leaves_at = play.incarnations[near].leaves_at;
            let at = match play.below(4) {
                0 => 1_000 + play.below(PLAY_TIME - 1_000),
                _ => leaves_at + play.below(4_000),
            };
            play.schedule(at, Action::End(end));
        }
        for at in (500..PLAY_TIME).step_by(CALL_INTERVAL as usize) {
            play.schedule(at, Action::Call);
        }
        while let Some(((at, _), action)) = play.agenda.pop_first() {
            if at >= PLAY_TIME {
                break;
            }
            play.fire_timers(at);
            play.now = at;
            play.act(action);
        }
        play.report
    }

    /// Incarnations that follow each other at one address; each leaves in a way of its own.
    fn plan_incarnations(&mut self) {
        let mut starts_at = 100;
        while starts_at < PLAY_TIME {
            let way = match self.below(8) {
                0 | 1 => LeavingWay::Repeated,
                2 | 3 => LeavingWay::Acknowledged,
                4 | 5 => LeavingWay::LastCall,
                _ => LeavingWay::Crash,
            };
            let leaves_at = starts_at + 5_000 + self.below(9_000);
            let ends_at = match way {
                LeavingWay::Crash => leaves_at,
                _ => leaves_at + DRAIN + 1_000 + self.below(8_000),
            };
            let index = self.incarnations.len();
            self.incarnations.push(Incarnation {
                id: format!("i-{index}"),
                starts_at,
                leaves_at,
                ends_at,
                way,
                sequence: 0,
                acknowledged_at: None,
            });
            self.schedule(starts_at, Action::Report(index));
            if way != LeavingWay::Crash {
                self.schedule(leaves_at, Action::Report(index));
            }
            starts_at = ends_at + 500 + self.below(2_000);
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.entries += 1;
        self.agenda.insert((at, self.entries), action);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Report(index) => self.send_report(index),
            Action::End(end) => self.end_process(end),
            Action::Start => self.start_process(),
            Action::Thaw => {}
            Action::Arrive { .. }
            | Action::Call
            | Action::RunEnds { .. }
            | Action::Checked { .. }
                if self.now < self.frozen_until =>
            {
                self.schedule(self.frozen_until, action);
            }
            Action::Arrive {
                incarnation,
                event,
                leaving,
            } => {
                if self.node.is_none() {
                    return;
                }
                self.step(*event);
                let known = &mut self.incarnations[incarnation];
                if leaving && self.node.is_some() {
                    known.acknowledged_at.get_or_insert(self.now);
                }
            }
            Action::Check { process, order } => self.answer_check(process, &order),
            Action::Checked {
                process,
                digest,
                outcome,
            } => {
                if process == self.process {
                    self.step(event::NodeEvent::TargetChecked {
                        digest,
                        outcome,
                        statement: None,
                    });
                }
            }
            Action::Call => self.call(),
            Action::RunEnds {
                process,
                run,
                expected,
            } => {
                if process != self.process {
                    return;
                }
                let now = self.now;
                let present = self.incarnations.iter().find(|known| known.works(now));
                let outcome = match present {
                    Some(present) if present.id == expected => support::answered(),
                    Some(present) => event::RunOutcome::Misdirected {
                        holder: Some(ident::IncarnationId::new(&present.id)),
                    },
                    None => event::RunOutcome::Unreachable,
                };
                self.step(event::NodeEvent::RunEnded {
                    run,
                    outcome,
                    statement: None,
                    exchange: None,
                });
            }
        }
    }

    /// Answers a node that asks the target at the address; some answers are lost, and some come late.
    fn answer_check(&mut self, process: u64, order: &effect::CheckOrder) {
        let now = self.now;
        let present = self.incarnations.iter().find(|known| known.works(now));
        let truth = match present {
            None => event::CheckOutcome::Unknown,
            Some(present) if present.id != order.incarnation.to_string() => {
                let holder = ident::IncarnationId::new(&present.id);
                event::CheckOutcome::Replaced { holder }
            }
            Some(present) if present.is_ready(now) => event::CheckOutcome::Accepting,
            Some(_) => event::CheckOutcome::Rejecting,
        };
        let (delay, outcome) = match self.below(8) {
            0 => (1_000, event::CheckOutcome::Unknown),
            1 => (self.below(900), truth),
            _ => (2, truth),
        };
        let digest = order.digest;
        let checked = Action::Checked {
            process,
            digest,
            outcome,
        };
        self.schedule(now + delay, checked);
    }

    /// Sends the report that is due, and schedules the next one.
    fn send_report(&mut self, index: usize) {
        let now = self.now;
        let known = &mut self.incarnations[index];
        if !known.works(now) {
            return;
        }
        let (leaving, acknowledged) = (!known.is_ready(now), known.acknowledged_at.is_some());
        let is_silent = acknowledged && known.way != LeavingWay::Repeated;
        if leaving && is_silent {
            return;
        }
        known.sequence += 1;
        let terminated = leaving && known.way == LeavingWay::LastCall;
        let incarnation = event::TargetIncarnation {
            id: ident::IncarnationId::new(&known.id),
            started_at_ms: None,
            sequence: if terminated { u64::MAX } else { known.sequence },
        };
        let event = match leaving {
            true => event::NodeEvent::TargetWithdrawn {
                incarnation,
                terminated,
            },
            false => ready(incarnation, self.load.slots()),
        };
        let arrival = Action::Arrive {
            incarnation: index,
            event: Box::new(event),
            leaving,
        };
        let delay = match self.below(4) {
            0 => self.below(MAX_DELAY),
            _ => 1,
        };
        self.schedule(now + delay, arrival.clone());
        if self.below(16) == 0 {
            let again = self.below(MAX_DELAY);
            self.schedule(now + again, arrival);
        }
        self.schedule(now + HEARTBEAT, Action::Report(index));
    }

    fn start_process(&mut self) {
        self.process += 1;
        self.started_at = self.now;
        let node = support::node_with_id(ident::NodeId(100 + self.process));
        let plan = stopping::StopPlan {
            linger: Duration::from_millis(3_000),
            run_linger: Duration::from_millis(2_100),
            limit: Some(Duration::from_millis(5_500)),
        };
        let mut node = node.with_stop(plan).with_target_checks();
        assert!(node.adopt_rules(ident::RuleRevision(1), rules()));
        self.node = Some(node);
    }

    fn end_process(&mut self, end: ProcessEnd) {
        if self.node.is_none() {
            return;
        }
        match end {
            ProcessEnd::Kill => self.lose_process(DOWN_TIME),
            ProcessEnd::PowerLoss => self.lose_process(DARK_TIME),
            ProcessEnd::Terminate => self.step(event::NodeEvent::StopRequested),
            // The settings are checked by the process; the reducer takes no part.
            ProcessEnd::Hangup => {}
            ProcessEnd::Freeze => {
                self.frozen_until = self.now + 500 + self.below(6_000);
                self.schedule(self.frozen_until, Action::Thaw);
            }
        }
    }

    fn lose_process(&mut self, down_time: u64) {
        self.node = None;
        self.process += 1;
        self.frozen_until = self.now;
        self.schedule(self.now + down_time, Action::Start);
    }

    fn call(&mut self) {
        let now = self.now;
        let is_settled = self.node.is_some() && now >= self.started_at + SETTLING_TIME;
        let mut incarnations = self.incarnations.iter();
        let is_ready =
            incarnations.any(|known| known.is_ready(now) && now >= known.starts_at + SETTLING_TIME);
        let is_offered = is_settled && is_ready && now >= self.frozen_until + SETTLING_TIME;
        self.calls += 1;
        let runs = self.report.served;
        // A caller of this node may wait for a target, and for the pause before a retry.
        let call = match self.calls.is_multiple_of(3) {
            true => support::arrival(self.calls, "GET"),
            false => support::peer_call(self.calls, true),
        };
        self.step(call);
        match is_offered {
            true => self.report.offered += 1,
            false => self.report.served = runs,
        }
    }

    fn fire_timers(&mut self, until: u64) {
        if until < self.frozen_until {
            return;
        }
        while let Some(wake) = self.node.as_ref().and_then(reducer::NodeReducer::next_wake) {
            let at = self.started_at + wake.0.div_ceil(1_000);
            if at > until {
                return;
            }
            self.now = self.now.max(at);
            self.step(event::NodeEvent::TimerFired);
        }
    }

    fn step(&mut self, event: event::NodeEvent) {
        let local = time::NodeTime::from_millis(self.now - self.started_at);
        let Some(node) = &mut self.node else { return };
        for effect in node.step(local, event) {
            match effect {
                effect::NodeEffect::RunTarget(order) => self.record_run(&order),
                effect::NodeEffect::CheckTarget(order) => {
                    let (process, order) = (self.process, Box::new(order));
                    self.schedule(self.now + 2, Action::Check { process, order });
                }
                effect::NodeEffect::Exit => self.lose_process(DOWN_TIME),
                _ => {}
            }
        }
    }

    fn record_run(&mut self, order: &effect::RunOrder) {
        let now = self.now;
        let expected = order.incarnation.as_ref().unwrap().to_string();
        let mut incarnations = self.incarnations.iter();
        let reached = incarnations.find(|known| known.works(now) && known.id == expected);
        let acknowledged_at = reached.and_then(|known| known.acknowledged_at);
        if let Some(at) = acknowledged_at.filter(|at| now > at + DRAIN) {
            self.report.late.push((expected.clone(), at, now));
        }
        self.report.served += u64::from(reached.is_some());
        let ended = Action::RunEnds {
            process: self.process,
            run: order.run,
            expected,
        };
        self.schedule(now + self.load.run_time(), ended);
    }
}

/// Rules with the path at which targets of the service are asked.
fn rules() -> document::RuleDocument {
    let path = check::CheckPath::new("/health").unwrap();
    let checks = check::CheckTable::new(vec![(support::service(), path)]);
    document::RuleDocument::default().with_checks(checks)
}

fn ready(incarnation: event::TargetIncarnation, slots: u32) -> event::NodeEvent {
    let event::NodeEvent::TargetAnnounced(announcement) = support::announcement(slots) else {
        unreachable!("announcement() returns an announcement");
    };
    event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
        lease: Duration::from_millis(LEASE),
        warm: true,
        incarnation: Some(incarnation),
        ..announcement
    })
}

// Guards against requests for a target whose leaving a process of its node has acknowledged.
fn a_leaving_binds_all_processes(ends: &[ProcessEnd], count: u64, load: Load) {
    let mut broken = Vec::new();
    let (mut offered, mut served) = (0, 0);
    for seed in 1..=SEEDS {
        let report = Play::run(seed, ends, count, load);
        if let Some(first) = report.late.first() {
            broken.push((seed, report.late.len(), first.clone()));
        }
        offered += report.offered;
        served += report.served;
    }
    assert!(broken.is_empty(), "{} seeds: {broken:?}", broken.len());
    if load == Load::Light {
        assert!(
            served * 10 >= offered * 9,
            "{served} of {offered} calls ran"
        );
    }
}

test_cases! {
    a_leaving_binds_all_processes:
    leaving_binds_without_an_end => (&[], 0, Load::Light),
    leaving_binds_without_an_end_in_a_queue => (&[], 0, Load::Queued),
    leaving_binds_if_one_is_killed => (&[ProcessEnd::Kill], 1, Load::Light),
    leaving_binds_if_one_is_terminated => (&[ProcessEnd::Terminate], 1, Load::Light),
    leaving_binds_if_one_is_hung_up => (&[ProcessEnd::Hangup], 1, Load::Light),
    leaving_binds_if_one_is_frozen => (&[ProcessEnd::Freeze], 1, Load::Light),
    leaving_binds_if_one_loses_power => (&[ProcessEnd::PowerLoss], 1, Load::Light),
    leaving_binds_if_many_end_in_series => (&ALL_ENDS, 8, Load::Light),
    leaving_binds_if_many_end_beside_a_queue => (&ALL_ENDS, 8, Load::Queued),
}

fn report(id: &str, sequence: u64) -> event::TargetIncarnation {
    event::TargetIncarnation {
        id: ident::IncarnationId::new(id),
        started_at_ms: None,
        sequence,
    }
}

fn withdrawn(id: &str, sequence: u64, terminated: bool) -> event::NodeEvent {
    event::NodeEvent::TargetWithdrawn {
        incarnation: report(id, sequence),
        terminated,
    }
}

// Guards against a node that comes back to an incarnation whose leaving it acknowledged while a late
// report had put another one in its place.
fn a_leaving_counts_beside_a_late_report(leaving: event::NodeEvent) {
    let mut node = support::entry_node();
    node.step(support::at(1), ready(report("a", 1), 48));
    node.step(support::at(2), ready(report("b", 1), 48));
    node.step(support::at(3), ready(report("a", 2), 48));
    let runs = support::started(&node.step(support::at(4), support::peer_call(1, true)));
    node.step(support::at(5), leaving);
    for run in runs {
        let holder = Some(ident::IncarnationId::new("b"));
        let outcome = event::RunOutcome::Misdirected { holder };
        node.step(
            support::at(6),
            event::NodeEvent::RunEnded {
                run,
                outcome,
                statement: None,
                exchange: None,
            },
        );
    }
    let effects = node.step(support::at(3_000), support::peer_call(2, true));
    assert!(support::started(&effects).is_empty());
}

test_cases! {
    a_leaving_counts_beside_a_late_report:
    a_leaving_beside_a_late_report => (withdrawn("b", 2, false)),
    a_last_call_beside_a_late_report => (withdrawn("b", u64::MAX, true)),
}

// Guards against a process that uses an incarnation whose leaving was the first that it heard of it.
#[test]
fn a_leaving_counts_before_any_other_report() {
    let mut node = support::entry_node();
    node.step(support::at(1), withdrawn("a", 5, false));
    node.step(support::at(2), ready(report("a", 6), 48));
    let effects = node.step(support::at(3), support::peer_call(1, true));
    assert!(support::started(&effects).is_empty());
}

// Guards against a target that is used because it answered that it accepts requests just before its last
// call, which names no start, was acknowledged.
#[test]
fn a_last_call_ends_the_confirmation() {
    let mut node = support::entry_node().with_target_checks();
    assert!(node.adopt_rules(ident::RuleRevision(1), rules()));
    let started = event::TargetIncarnation {
        started_at_ms: Some(1_000),
        ..report("a", 1)
    };
    let digest = started.digest();
    node.step(support::at(1), ready(started, 48));
    node.step(support::at(2), withdrawn("a", u64::MAX, true));
    let checked = event::NodeEvent::TargetChecked {
        digest,
        outcome: event::CheckOutcome::Accepting,
        statement: None,
    };
    node.step(support::at(3), checked);
    let effects = node.step(support::at(4), support::peer_call(1, true));
    assert!(support::started(&effects).is_empty());
}
