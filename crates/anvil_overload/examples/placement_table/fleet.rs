//! Nodes that call one service, with the queues of its targets, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use anvil_overload::{admission, kind, limit, policy, rank, routing};
use anvil_types::{context, ident, name, time};
use anvil_wire::call;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const NORMAL: context::PriorityClass = context::PriorityClass::Normal;

/// Time of a frame between two nodes, in microseconds.
const LINK_MICROS: u64 = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    /// A node of this zone sends its next call.
    Send(usize),
    /// A call arrives at its target.
    Arrive(u64),
    /// The run of a call ends.
    End(u64),
    /// The runs of a target take longer by this factor from now on.
    Slow(usize, u64),
    /// The answer to a call arrives at its node.
    Answer(u64),
}

struct FleetCall {
    node: usize,
    target: usize,
    lane: u8,
    sent: u64,
    started: u64,
    load: call::LoadReport,
    refused: bool,
}

struct FleetTarget {
    queue: admission::AdmissionQueue,
    zone: usize,
    run_micros: u64,
    /// Factor by which its runs take longer at present.
    pace: u64,
}

/// What was counted after the first second.
#[derive(Debug, Default)]
pub(crate) struct FleetResult {
    pub(crate) sent: u32,
    pub(crate) refused: u32,
    /// Calls of the first zone that left it, by tenth of a second.
    pub(crate) left: Vec<(u32, u32)>,
    /// Calls to targets of other zones.
    pub(crate) crossed: u32,
    /// Longest time from sending to the answer, in microseconds.
    pub(crate) longest: u64,
}

pub(crate) struct Fleet {
    tables: Vec<routing::RouteTable>,
    zone_count: usize,
    states_pace: bool,
    targets: Vec<FleetTarget>,
    calls: Vec<FleetCall>,
    events: BinaryHeap<Reverse<(u64, FleetEvent)>>,
    source: Pcg32,
    result: FleetResult,
}

fn service() -> name::ServiceName {
    name::ServiceName::new("padron").expect("a name")
}

impl Fleet {
    /// `nodes` nodes in the zones of `targets`, each of which has a zone, slots and the time of a
    /// run in milliseconds.
    pub(crate) fn new(
        policy: policy::OverloadPolicy,
        nodes: usize,
        targets: &[(char, u32, u64)],
    ) -> Self {
        let mut zones: Vec<char> = targets.iter().map(|target| target.0).collect();
        zones.dedup();
        let name = |zone: char| name::ZoneName::new(&zone.to_string()).expect("a name");
        let start = time::NodeTime::START;
        let table = |node: usize| {
            let seed = u64::try_from(node).expect("a seed");
            let zone = name(zones[node % zones.len()]);
            let mut table = routing::RouteTable::new(zone, seed, policy);
            for (id, (zone, slots, _)) in (0..).zip(targets) {
                let record = routing::TargetRecord {
                    node: ident::NodeId(id),
                    address: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
                    zone: name(*zone),
                    slots: *slots,
                    leaving: false,
                    announced: 0,
                };
                table.upsert(start, &service(), &record);
            }
            table
        };
        let target = |(zone, slots, run_millis): &(char, u32, u64)| FleetTarget {
            queue: admission::AdmissionQueue::warm(start, *slots, policy),
            zone: zones.iter().position(|one| one == zone).expect("a zone"),
            run_micros: run_millis * 1_000,
            pace: 1,
        };
        Self {
            tables: (0..nodes).map(table).collect(),
            zone_count: zones.len(),
            states_pace: policy.expected_completion,
            targets: targets.iter().map(target).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            source: Pcg32::seed_from_u64(7),
            result: FleetResult::default(),
        }
    }

    /// Sends calls for `millis`, with as many a second from each zone as `rates` tells.
    pub(crate) fn play(&mut self, millis: u64, rates: &[f64]) -> &FleetResult {
        for zone in 0..self.zone_count {
            self.push(0, FleetEvent::Send(zone));
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now >= millis * 1_000 {
                break;
            }
            match event {
                FleetEvent::Send(zone) => {
                    self.send(now, zone);
                    let gap =
                        2e6 / rates[zone] * f64::from(self.source.next_u32()) / f64::from(u32::MAX);
                    #[expect(
                        clippy::cast_possible_truncation,
                        clippy::cast_sign_loss,
                        reason = "a gap"
                    )]
                    let gap = gap as u64;
                    self.push(now + gap, event);
                }
                FleetEvent::Arrive(id) => self.arrive(now, id),
                FleetEvent::End(id) => self.end(now, id),
                FleetEvent::Slow(target, factor) => self.targets[target].pace = factor,
                FleetEvent::Answer(id) => self.answer(now, id),
            }
        }
        &self.result
    }

    /// Makes the runs of `target` take longer by `factor` from `millis` on. Where the policy selects
    /// by expected completion, the target states its pace.
    pub(crate) fn slow_down(&mut self, millis: u64, target: usize, factor: u64) {
        self.push(millis * 1_000, FleetEvent::Slow(target, factor));
    }

    fn push(&mut self, at: u64, event: FleetEvent) {
        self.events.push(Reverse((at, event)));
    }

    fn call(&mut self, id: u64) -> &mut FleetCall {
        &mut self.calls[usize::try_from(id).expect("an index")]
    }

    fn send(&mut self, now: u64, zone: usize) {
        let of_zone = (self.tables.len() - zone).div_ceil(self.zone_count);
        let node = zone + self.zone_count * (self.source.next_u32() as usize % of_zone);
        let lane = self.source.next_u32().to_le_bytes()[0];
        let service = service();
        let query = routing::RouteQuery {
            service: &service,
            rank: rank_of(lane),
            kind: kind::CallKind(1),
            bytes: 130,
            exclude: &[],
        };
        let choice = self.tables[node].choose(time::NodeTime(now), query);
        let routing::RouteChoice::Target { node: chosen, .. } = choice else {
            self.result.refused += u32::from(now > 1_000_000);
            return;
        };
        self.tables[node].request_sent(&service, chosen, NORMAL);
        let target = usize::try_from(chosen.0).expect("an index");
        let id = u64::try_from(self.calls.len()).expect("an id");
        self.calls.push(FleetCall {
            node,
            target,
            lane,
            sent: now,
            started: 0,
            load: call::LoadReport::default(),
            refused: false,
        });
        self.push(now + LINK_MICROS, FleetEvent::Arrive(id));
        if now > 1_000_000 {
            self.result.sent += 1;
            self.result.crossed += u32::from(self.targets[target].zone != zone);
            if zone == 0 {
                let tenth = usize::try_from(now / 100_000 - 10).expect("an index");
                self.result.left.resize(tenth + 1, (0, 0));
                let (all, left) = &mut self.result.left[tenth];
                *all += 1;
                *left += u32::from(self.targets[target].zone != 0);
            }
        }
    }

    fn arrive(&mut self, now: u64, id: u64) {
        let FleetCall {
            target, lane, sent, ..
        } = *self.call(id);
        let waiting = admission::WaitingCall {
            id,
            rank: rank_of(lane),
            deadline: time::NodeTime(sent + 700_000),
            queue_wait: Duration::from_millis(600),
            suspect: false,
        };
        let decisions = self.targets[target]
            .queue
            .offer(time::NodeTime(now), waiting);
        self.apply(now, target, &decisions);
    }

    fn end(&mut self, now: u64, id: u64) {
        let FleetCall {
            target, started, ..
        } = *self.call(id);
        let sample = limit::RunSample {
            latency: Duration::from_micros(now - started),
            downstream: Duration::ZERO,
            end: limit::RunEnd::Completed,
        };
        let FleetTarget { queue, pace, .. } = &mut self.targets[target];
        if self.states_pace {
            let load = format!("1,0,40,{}", *pace * 100).parse().expect("a load");
            queue.pace_mut().record(time::NodeTime(now), load);
        }
        let decisions = queue.finish(time::NodeTime(now), id, sample);
        self.report(now, id);
        self.apply(now, target, &decisions);
    }

    fn apply(&mut self, now: u64, target: usize, decisions: &[admission::AdmissionDecision]) {
        for decision in decisions {
            match *decision {
                admission::AdmissionDecision::Start(id) => {
                    self.call(id).started = now;
                    let run = self.targets[target].run_micros * self.targets[target].pace;
                    let run = run / 2 + u64::from(self.source.next_u32()) % run;
                    self.push(now + run, FleetEvent::End(id));
                }
                admission::AdmissionDecision::Refuse { id, .. } => {
                    self.call(id).refused = true;
                    self.report(now, id);
                }
            }
        }
    }

    fn report(&mut self, now: u64, id: u64) {
        let target = self.call(id).target;
        let load = self.targets[target].queue.load(time::NodeTime(now));
        self.call(id).load = load;
        self.push(now + LINK_MICROS, FleetEvent::Answer(id));
    }

    fn answer(&mut self, now: u64, id: u64) {
        let FleetCall {
            node,
            target,
            sent,
            load,
            refused,
            ..
        } = *self.call(id);
        let report = routing::AttemptReport {
            class: NORMAL,
            kind: kind::CallKind(1),
            end: routing::AttemptEnd::Succeeded,
            load: Some(&load),
            answer_bytes: None,
        };
        let target = ident::NodeId(u64::try_from(target).expect("an id"));
        self.tables[node].attempt_ended(time::NodeTime(now), &service(), target, report);
        if now > 1_000_000 {
            self.result.refused += u32::from(refused);
            self.result.longest = self.result.longest.max(now - sent);
        }
    }
}

fn rank_of(lane: u8) -> rank::CallRank {
    rank::CallRank {
        class: NORMAL,
        by_rule: None,
        depth: 0,
        lane: Reverse(context::LaneHash(lane)),
    }
}
