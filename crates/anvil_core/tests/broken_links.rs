//! Connections that end between two nodes which both live on.
//!
//! A caller's request is out at another node when the connection between the two is reset, or is given
//! up as silent. Ended as "may have run", it would be lost although its target works on, or has answered
//! already; at a stopping node, planned work would have cost it. So the entry node asks the target's node
//! over a new connection, and only a process that is gone, or the deadline, ends the call in doubt.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::VecDeque;

use anvil_core::{effect, event, reducer};
use anvil_types::{ident, verdict};
use anvil_wire::{frame, outcome};

/// Runs of the target's node that have come to their end, and those that were cancelled.
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
    /// Frames under way, with their receiver.
    way: VecDeque<(ident::NodeId, frame::PeerFrame)>,
    runs: TargetRecord,
    told: Vec<(u64, verdict::CallVerdict)>,
    /// Nodes whose process is gone: nobody accepts connections there.
    gone: Vec<ident::NodeId>,
}

impl LinkedPair {
    /// A target of `slots` slots at the node beside it, and a node without one.
    fn new(slots: u32) -> Self {
        let mut entry = support::entry_node();
        support::learn(&mut entry, support::PEER);
        Self {
            now: 1,
            entry,
            serving: support::with_target(support::node_of(support::PEER), slots),
            way: VecDeque::new(),
            runs: TargetRecord::default(),
            told: Vec::new(),
            gone: Vec::new(),
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
            effect::NodeEffect::SendFrame { peer, frame, .. } if self.gone.contains(&peer) => {
                let unsent = vec![frame];
                self.step(node, event::NodeEvent::PeerUnreachable { peer, unsent });
            }
            effect::NodeEffect::SendFrame { peer, frame, .. } => self.way.push_back((peer, frame)),
            effect::NodeEffect::RunTarget(order) => self.runs.started.push(order.run),
            effect::NodeEffect::Exit => self.gone.push(node),
            effect::NodeEffect::CancelRun(run) => self.runs.cancelled.push(run),
            effect::NodeEffect::ReplyCaller { handle, reply } => {
                self.told.push((handle.0, reply.verdict));
            }
            _ => {}
        }
    }

    /// Lets a node act whenever it asks to, up to `span` milliseconds from now, and delivers its frames.
    fn wait(&mut self, node: ident::NodeId, span: u64) {
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

    /// Delivers all frames under way, and those that they bring about.
    fn deliver(&mut self) {
        while let Some((to, frame)) = self.way.pop_front() {
            let peer = match to {
                support::NODE => support::PEER,
                _ => support::NODE,
            };
            self.step(to, event::NodeEvent::FrameArrived { peer, frame });
        }
    }

    /// The connection ends and takes along what is under way; both nodes live on.
    fn cut(&mut self) {
        self.way.clear();
        let (entry, serving) = (support::NODE, support::PEER);
        self.step(entry, event::NodeEvent::ConnectionLost { peer: serving });
        self.step(serving, event::NodeEvent::ConnectionLost { peer: entry });
    }

    /// The process of a node is gone, and with it the connection.
    fn lose(&mut self, node: ident::NodeId) {
        self.gone.push(node);
        self.way.clear();
        let other = match node {
            support::NODE => support::PEER,
            _ => support::NODE,
        };
        self.step(other, event::NodeEvent::ConnectionLost { peer: node });
    }

    fn end_run(&mut self, at: usize) {
        let run = self.runs.started[at];
        let outcome = support::whole();
        self.step(support::PEER, event::NodeEvent::RunEnded { run, outcome });
    }

    fn verdict(&self, handle: u64) -> Option<verdict::CallVerdict> {
        let told = self.told.iter().find(|(told, _)| *told == handle);
        told.map(|(_, verdict)| *verdict)
    }
}

/// How far the request has come when the connection ends.
#[derive(Clone, Copy, Debug)]
enum CutStage {
    /// Its frame is under way.
    Sent,
    /// It waits at the target's node, behind another.
    Queued,
    /// Its target is at work.
    Running,
    /// Its answer is under way.
    Answered,
}

// A clerk's claim, or a citizen's lookup, is out when the connection ends. Its caller gets the answer of
// the one run, or hears truly that nothing ran; the run is not cancelled, and there is no second one.
fn check_cut(stage: CutStage, method: &str, stopping: bool, cuts: usize) {
    let slots = if matches!(stage, CutStage::Queued) {
        1
    } else {
        8
    };
    let mut pair = LinkedPair::new(slots);
    if matches!(stage, CutStage::Queued) {
        pair.call(9, "POST");
        pair.deliver();
    }
    pair.call(1, method);
    if !matches!(stage, CutStage::Sent) {
        pair.deliver();
    }
    if matches!(stage, CutStage::Answered) {
        pair.end_run(0);
    }
    if stopping {
        pair.step(support::NODE, event::NodeEvent::StopRequested);
    }
    for _ in 0..cuts {
        pair.cut();
    }
    pair.deliver();
    if !matches!(stage, CutStage::Answered) {
        let told = pair.verdict(1);
        assert_eq!(told, None, "given up although its target was at work");
    }
    // One that never came is sent again, and runs then.
    for at in 0..pair.runs.started.len() {
        pair.end_run(at);
        pair.deliver();
    }
    let runs = if matches!(stage, CutStage::Queued) {
        2
    } else {
        1
    };
    if matches!(stage, CutStage::Queued) {
        pair.end_run(1);
        pair.deliver();
    }
    assert_eq!(pair.runs.started.len(), runs);
    assert!(pair.runs.cancelled.is_empty(), "{:?}", pair.runs);
    assert_eq!(pair.verdict(1), Some(verdict::CallVerdict::Answered));
}

// A claim's frame stands unread in the connection that ended, and the target's node says that the claim
// never came, so it is sent again. The frame is read a moment later: it must start nothing.
#[test]
fn a_frame_that_comes_behind_its_fate_runs_nothing() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    let late = pair.way.pop_front().unwrap();
    pair.cut();
    pair.deliver();
    assert_eq!(pair.runs.started.len(), 1);
    pair.way.push_back(late);
    pair.deliver();
    assert_eq!(pair.runs.started.len(), 1);
}

// A claim is answered, and its node is suspended before the answer is read, longer than it remembers what
// came. It can't say then that the claim never came: that would file it twice.
#[test]
fn a_suspended_node_denies_no_run() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    pair.deliver();
    pair.end_run(0);
    pair.now += 200_000;
    pair.way.clear();
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
    let ask = outcome::OutcomeMessage::Query {
        reply_to: support::address(7_000),
        attempts: vec![outcome::QueriedAttempt {
            id,
            age_micros: 1_000_000,
            idempotent: false,
        }],
    };
    let frame = frame::PeerFrame::Outcome(Box::new(ask));
    let peer = support::NODE;
    pair.step(
        support::PEER,
        event::NodeEvent::FrameArrived { peer, frame },
    );
    let answers = pair.way.iter().filter_map(|(_, frame)| match frame {
        frame::PeerFrame::Answer(answer) if answer.call == id.call => Some(answer.verdict),
        _ => None,
    });
    let doubt = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);
    assert_eq!(answers.collect::<Vec<_>>(), [doubt]);
}

anvil_testkit::test_cases! {
    check_cut:
    claim_sent => (CutStage::Sent, "POST", false, 1),
    claim_queued => (CutStage::Queued, "POST", false, 1),
    claim_running => (CutStage::Running, "POST", false, 1),
    claim_answered => (CutStage::Answered, "POST", false, 1),
    lookup_sent => (CutStage::Sent, "GET", false, 1),
    lookup_queued => (CutStage::Queued, "GET", false, 1),
    lookup_running => (CutStage::Running, "GET", false, 1),
    lookup_answered => (CutStage::Answered, "GET", false, 1),
    claim_running_at_a_stop => (CutStage::Running, "POST", true, 1),
    claim_answered_at_a_stop => (CutStage::Answered, "POST", true, 1),
    lookup_running_at_a_stop => (CutStage::Running, "GET", true, 1),
    claim_running_two_cuts => (CutStage::Running, "POST", false, 2),
    claim_answered_two_cuts => (CutStage::Answered, "POST", true, 2),
}

// The target's node is gone with its machine. The clerk hears so as soon as nobody accepts a connection
// there, and not at the deadline seconds later.
#[test]
fn a_lost_process_still_ends_its_calls_at_once() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    pair.deliver();
    pair.lose(support::PEER);
    let lost = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::NodeLost);
    assert_eq!(pair.verdict(1), Some(lost));
    assert!(pair.now < 100, "{}", pair.now);
}

// The entry node is gone, so nobody can take the answer. The target's slot is free again at once.
#[test]
fn the_runs_of_a_lost_process_are_cancelled_at_once() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    pair.deliver();
    pair.lose(support::NODE);
    assert_eq!(pair.runs.cancelled, pair.runs.started);
}

// A caller leaves, and the word of it is lost with the connection. Its run ends all the same, since the
// target's node tells what it still holds, and nobody wants it.
#[test]
fn a_cancellation_lost_with_its_connection_is_made_good() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "GET");
    pair.deliver();
    let handle = event::CallerHandle(1);
    pair.step(
        support::NODE,
        event::NodeEvent::CallerDisconnected { handle },
    );
    pair.cut();
    pair.deliver();
    assert_eq!(pair.runs.cancelled, pair.runs.started);
}

/// What was lost in a connection that nobody knows to be silent.
#[derive(Clone, Copy, Debug)]
enum SilentLoss {
    Call,
    Answer,
}

// A connection has gone silent without a sign, and took a claim, or the answer to it, along. The
// target's node is then stopped as planned, and has nothing to do any more. Before it ends it asks those
// that called; the clerk hears the answer, or the claim goes to another target, as it never ran.
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
    pair.way.clear();
    pair.step(support::PEER, event::NodeEvent::StopRequested);
    pair.wait(support::PEER, 4_000);
    assert_eq!(pair.gone, [support::PEER]);
    match (loss, pair.verdict(1)) {
        (SilentLoss::Answer, told) => assert_eq!(told, Some(verdict::CallVerdict::Answered)),
        (SilentLoss::Call, told) => {
            assert!(
                matches!(told, Some(verdict::CallVerdict::NotRun(_))),
                "{told:?}"
            );
            assert_eq!(pair.runs.started.len(), 1);
        }
    }
}

anvil_testkit::test_cases! {
    check_leaving:
    with_a_claim_lost => (SilentLoss::Call),
    with_an_answer_lost => (SilentLoss::Answer),
}

// Its caller's node is gone, and nobody answers the last word. The stop takes no longer for that than
// its limit.
#[test]
fn a_leaving_node_waits_for_no_lost_process() {
    let mut pair = LinkedPair::new(8);
    pair.call(1, "POST");
    pair.deliver();
    pair.end_run(0);
    pair.deliver();
    pair.gone.push(support::NODE);
    pair.step(support::PEER, event::NodeEvent::StopRequested);
    pair.wait(support::PEER, 2_000);
    assert_eq!(pair.gone, [support::NODE, support::PEER]);
}
