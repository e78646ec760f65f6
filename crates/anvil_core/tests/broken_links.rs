//! Connections that break between two nodes which both keep running.
//!
//! A request is in flight to another node when the connection is reset, or is closed because it is
//! silent. Ending the call as "may have run" would lose it although its target is still working or
//! has answered, also during a planned stop. So the entry node queries the target's node over a new
//! connection, and a call ends as "may have run" only if the process has ended or the deadline
//! passes.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::VecDeque;

use anvil_core::{effect, event, reducer};
use anvil_types::{ident, verdict};
use anvil_wire::{call, frame, outcome};
use bytes::Bytes;

/// Runs that the target's node started, and those that it cancelled.
#[derive(Debug, Default)]
struct TargetRecord {
    started: Vec<event::RunId>,
    cancelled: Vec<event::RunId>,
}

/// An entry node and a target's node with one connection between them.
struct LinkedPair {
    now: u64,
    entry: reducer::NodeReducer,
    serving: reducer::NodeReducer,
    /// Frames in transit, with their receiver.
    in_transit: VecDeque<(ident::NodeId, frame::PeerFrame)>,
    runs: TargetRecord,
    replies: Vec<(u64, verdict::CallVerdict)>,
    /// Nodes whose process has exited, so that connections to them are refused.
    dead: Vec<ident::NodeId>,
}

impl LinkedPair {
    /// An entry node without a target, and a node with a target of `slots` slots.
    fn new(slots: u32) -> Self {
        let mut entry = support::entry_node();
        support::add_peer(&mut entry, support::PEER);
        Self {
            now: 1,
            entry,
            serving: support::with_target(support::node_with_id(support::PEER), slots),
            in_transit: VecDeque::new(),
            runs: TargetRecord::default(),
            replies: Vec::new(),
            dead: Vec::new(),
        }
    }

    fn step(&mut self, node: ident::NodeId, event: event::NodeEvent) {
        self.now += 1;
        let now = support::at(self.now);
        let reducer = match node {
            support::NODE => &mut self.entry,
            _ => &mut self.serving,
        };
        for effect in reducer.step(now, event) {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: ident::NodeId, effect: effect::NodeEffect) {
        match effect {
            effect::NodeEffect::SendFrame { peer, frame, .. } if self.dead.contains(&peer) => {
                let unsent = vec![frame];
                self.step(node, event::NodeEvent::PeerUnreachable { peer, unsent });
            }
            effect::NodeEffect::SendFrame { peer, frame, .. } => {
                self.in_transit.push_back((peer, frame));
            }
            effect::NodeEffect::RunTarget(order) => self.runs.started.push(order.run),
            effect::NodeEffect::Exit => self.dead.push(node),
            effect::NodeEffect::CancelRun(run) => self.runs.cancelled.push(run),
            effect::NodeEffect::ReplyCaller { handle, reply } => {
                self.replies.push((handle.0, reply.verdict));
            }
            _ => {}
        }
    }

    /// Fires a node's timers that are due within `span` milliseconds, and delivers its frames.
    fn fire_timers(&mut self, node: ident::NodeId, span: u64) {
        let until = support::at(self.now + span);
        loop {
            let reducer = match node {
                support::NODE => &self.entry,
                _ => &self.serving,
            };
            let Some(wake) = reducer.next_wake().filter(|wake| *wake <= until) else {
                break;
            };
            self.now = self.now.max(wake.0 / 1_000);
            self.step(node, event::NodeEvent::TimerFired);
            self.deliver();
        }
    }

    fn call(&mut self, handle: u64, method: &str) {
        self.step(support::NODE, support::arrival(handle, method));
    }

    /// Delivers all frames in transit, and those sent in response.
    fn deliver(&mut self) {
        while let Some((to, frame)) = self.in_transit.pop_front() {
            let peer = match to {
                support::NODE => support::PEER,
                _ => support::NODE,
            };
            self.step(to, event::NodeEvent::FrameArrived { peer, frame });
        }
    }

    /// Breaks the connection; frames in transit are lost and both nodes keep running.
    fn disconnect(&mut self) {
        self.in_transit.clear();
        let (entry, serving) = (support::NODE, support::PEER);
        self.step(entry, event::NodeEvent::ConnectionLost { peer: serving });
        self.step(serving, event::NodeEvent::ConnectionLost { peer: entry });
    }

    /// Kills the process of a node, which also breaks the connection.
    fn kill(&mut self, node: ident::NodeId) {
        self.dead.push(node);
        self.in_transit.clear();
        let other = match node {
            support::NODE => support::PEER,
            _ => support::NODE,
        };
        self.step(other, event::NodeEvent::ConnectionLost { peer: node });
    }

    fn end_run(&mut self, index: usize) {
        let run = self.runs.started[index];
        let outcome = support::answered();
        self.step(
            support::PEER,
            event::NodeEvent::RunEnded {
                run,
                outcome,
                statement: None,
                exchange: None,
            },
        );
    }

    fn verdict(&self, handle: u64) -> Option<verdict::CallVerdict> {
        let reply = self.replies.iter().find(|(replied, _)| *replied == handle);
        reply.map(|(_, verdict)| *verdict)
    }
}

/// The state of the request when the connection breaks.
#[derive(Clone, Copy, Debug)]
enum CallStage {
    /// Its frame is in transit.
    Sent,
    /// It is queued at the target's node, behind another request.
    Queued,
    /// Its target is running it.
    Running,
    /// Its answer is in transit.
    Answered,
}

// A claim or a lookup is in flight when the connection breaks. Its caller must get the answer of
// its only run; the run must be neither cancelled nor repeated.
fn check_disconnect(stage: CallStage, method: &str, stopping: bool, disconnects: usize) {
    let slots = if matches!(stage, CallStage::Queued) {
        1
    } else {
        8
    };
    let mut pair = LinkedPair::new(slots);
    if matches!(stage, CallStage::Queued) {
        pair.call(9, "POST");
        pair.deliver();
    }
    pair.call(1, method);
    if !matches!(stage, CallStage::Sent) {
        pair.deliver();
    }
    if matches!(stage, CallStage::Answered) {
        pair.end_run(0);
    }
    if stopping {
        pair.step(support::NODE, event::NodeEvent::StopRequested);
    }
    for _ in 0..disconnects {
        pair.disconnect();
    }
    pair.deliver();
    if !matches!(stage, CallStage::Answered) {
        let verdict = pair.verdict(1);
        assert_eq!(verdict, None, "ended although its target was still working");
    }
    // A call that never arrived is sent again and runs then.
    for index in 0..pair.runs.started.len() {
        pair.end_run(index);
        pair.deliver();
    }
    let runs = if matches!(stage, CallStage::Queued) {
        2
    } else {
        1
    };
    if matches!(stage, CallStage::Queued) {
        pair.end_run(1);
        pair.deliver();
    }
    assert_eq!(pair.runs.started.len(), runs);
    assert!(pair.runs.cancelled.is_empty(), "{:?}", pair.runs);
    assert_eq!(pair.verdict(1), Some(verdict::CallVerdict::Answered));
}

// A claim's frame is still unread when its connection breaks. The target's node reports that the
// claim never arrived, so it is sent again. If the late frame is then read, it must not start a
// second run.
#[test]
fn a_frame_that_comes_behind_its_fate_runs_nothing() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    let late = pair.in_transit.pop_front().unwrap();
    pair.disconnect();
    pair.deliver();
    assert_eq!(pair.runs.started.len(), 1);
    pair.in_transit.push_back(late);
    pair.deliver();
    assert_eq!(pair.runs.started.len(), 1);
}

// A claim is answered, and the target's node is suspended before the answer is read, for longer
// than it remembers attempts. It must not report that the claim never arrived, since the claim
// would then be filed twice.
#[test]
fn a_suspended_node_denies_no_run() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    pair.deliver();
    pair.end_run(0);
    pair.now += 200_000;
    pair.in_transit.clear();
    pair.call(2, "POST");
    pair.deliver();
    pair.end_run(1);
    let id = outcome::AttemptId {
        call: ident::CallId {
            node: support::NODE,
            sequence: 1,
        },
        attempt: 1,
    };
    let query = outcome::OutcomeMessage::Query {
        reply_to: support::address(7_000),
        attempts: vec![outcome::QueriedAttempt {
            id,
            age_micros: 1_000_000,
            idempotent: false,
        }],
    };
    let frame = frame::PeerFrame::Outcome(Box::new(query));
    let peer = support::NODE;
    pair.step(
        support::PEER,
        event::NodeEvent::FrameArrived { peer, frame },
    );
    let answers = pair.in_transit.iter().filter_map(|(_, frame)| match frame {
        frame::PeerFrame::Answer(answer) if answer.call == id.call => Some(answer.verdict),
        _ => None,
    });
    let may_have_run = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);
    assert_eq!(answers.collect::<Vec<_>>(), [may_have_run]);
}

anvil_testkit::test_cases! {
    check_disconnect:
    claim_sent => (CallStage::Sent, "POST", false, 1),
    claim_queued => (CallStage::Queued, "POST", false, 1),
    claim_running => (CallStage::Running, "POST", false, 1),
    claim_answered => (CallStage::Answered, "POST", false, 1),
    lookup_sent => (CallStage::Sent, "GET", false, 1),
    lookup_queued => (CallStage::Queued, "GET", false, 1),
    lookup_running => (CallStage::Running, "GET", false, 1),
    lookup_answered => (CallStage::Answered, "GET", false, 1),
    claim_running_at_a_stop => (CallStage::Running, "POST", true, 1),
    claim_answered_at_a_stop => (CallStage::Answered, "POST", true, 1),
    lookup_running_at_a_stop => (CallStage::Running, "GET", true, 1),
    claim_running_two_disconnects => (CallStage::Running, "POST", false, 2),
    claim_answered_two_disconnects => (CallStage::Answered, "POST", true, 2),
}

/// The arrival of a lookup from a third node.
fn call_of_another_node(sequence: u64) -> event::NodeEvent {
    let peer = ident::NodeId(9);
    let event::NodeEvent::FrameArrived {
        frame: frame::PeerFrame::Call(mut call),
        ..
    } = support::peer_call(sequence, true)
    else {
        unreachable!("peer_call() returns a call");
    };
    call.call.node = peer;
    let frame = frame::PeerFrame::Call(call);
    event::NodeEvent::FrameArrived { peer, frame }
}

// Guards against attempts that are told as lost although their target answered: other answers evict
// theirs before the silence of the connection is noticed.
fn answers_outlast_a_silent_connection(per_second: u64, bytes: usize, silent_millis: u64) {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "GET");
    pair.deliver();
    pair.end_run(0);
    pair.in_transit.clear();
    let begun = pair.now;
    for other in 0..per_second * silent_millis / 1_000 {
        pair.now = begun + other * 1_000 / per_second;
        pair.step(support::PEER, call_of_another_node(other));
        let run = *pair.runs.started.last().unwrap();
        let event::RunOutcome::Answered(answer) = support::answered() else {
            unreachable!("answered() returns an answer");
        };
        let outcome = event::RunOutcome::Answered(call::CallAnswer {
            body: Bytes::from(vec![0; bytes]),
            ..answer
        });
        let ended = event::NodeEvent::RunEnded {
            run,
            outcome,
            statement: None,
            exchange: None,
        };
        pair.step(support::PEER, ended);
        pair.in_transit.clear();
    }
    pair.now = begun + silent_millis;
    pair.disconnect();
    pair.deliver();
    assert_eq!(pair.verdict(1), Some(verdict::CallVerdict::Answered));
}

anvil_testkit::test_cases! {
    answers_outlast_a_silent_connection:
    beside_300_short_answers_a_second => (300, 1_000, 1_250),
    beside_400_answers_a_second => (400, 1_600, 1_250),
    beside_large_answers => (10, 64 * 1_024, 1_250),
}

// The target's node crashes together with its machine. The caller must be told as soon as
// connections to it are refused, and not at the deadline seconds later.
#[test]
fn a_dead_process_ends_its_calls_at_once() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    pair.deliver();
    pair.kill(support::PEER);
    let lost = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::NodeLost);
    assert_eq!(pair.verdict(1), Some(lost));
    assert!(pair.now < 100, "{}", pair.now);
}

// The entry node has crashed, so nobody can receive the answer. The target's slot must be freed at
// once.
#[test]
fn the_runs_of_a_dead_process_are_cancelled_at_once() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    pair.deliver();
    pair.kill(support::NODE);
    assert_eq!(pair.runs.cancelled, pair.runs.started);
}

// A caller disconnects, and the cancellation is lost with the connection. The run must still end:
// the target's node reports its pending attempts, and the entry node no longer waits for this one.
#[test]
fn a_cancellation_lost_with_its_connection_still_takes_effect() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "GET");
    pair.deliver();
    let handle = event::CallerHandle(1);
    pair.step(
        support::NODE,
        event::NodeEvent::CallerDisconnected { handle },
    );
    pair.disconnect();
    pair.deliver();
    assert_eq!(pair.runs.cancelled, pair.runs.started);
}

/// What was lost in a connection whose silence has not been detected.
#[derive(Clone, Copy, Debug)]
enum SilentLoss {
    Call,
    Answer,
}

// A connection goes silent unnoticed and loses a claim or its answer. The target's node, which has
// no other work, is then stopped as planned. Before it exits it asks its callers for confirmation,
// so that the caller gets the answer, or is told that the claim never ran and may go to another
// target.
fn check_leaving(loss: SilentLoss) {
    let mut pair = LinkedPair::new(8);
    pair.call(9, "POST");
    pair.deliver();
    pair.end_run(0);
    pair.deliver();
    pair.call(1, "POST");
    if matches!(loss, SilentLoss::Answer) {
        pair.deliver();
        pair.end_run(1);
    }
    pair.in_transit.clear();
    pair.step(support::PEER, event::NodeEvent::StopRequested);
    pair.fire_timers(support::PEER, 4_000);
    assert_eq!(pair.dead, [support::PEER]);
    match (loss, pair.verdict(1)) {
        (SilentLoss::Answer, verdict) => {
            assert_eq!(verdict, Some(verdict::CallVerdict::Answered));
        }
        (SilentLoss::Call, verdict) => {
            assert!(
                matches!(verdict, Some(verdict::CallVerdict::NotRun(_))),
                "{verdict:?}"
            );
            assert_eq!(pair.runs.started.len(), 1);
        }
    }
}

anvil_testkit::test_cases! {
    check_leaving:
    with_its_claim_lost => (SilentLoss::Call),
    with_its_answer_lost => (SilentLoss::Answer),
}

// The caller's node has crashed, so nobody answers the shutdown handshake. The stop must end within
// its time limit all the same.
#[test]
fn a_stopping_node_does_not_wait_for_a_dead_process() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    pair.deliver();
    pair.end_run(0);
    pair.deliver();
    pair.dead.push(support::NODE);
    pair.step(support::PEER, event::NodeEvent::StopRequested);
    pair.fire_timers(support::PEER, 2_000);
    assert_eq!(pair.dead, [support::NODE, support::PEER]);
}
