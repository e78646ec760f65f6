//! The task that owns the reducer: it takes events in, steps the reducer and carries out effects.
//!
//! The task waits only for its queue and the reducer's next timer; everything else that can block
//! is a separate task. It runs on the runtime of the connections and not on a separate thread, so
//! that an event, its step and its effects mostly stay on one processor; see
//! `docs/design/edges.md`.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use anvil_core::{answer, effect, event, reducer};
use anvil_types::{sorted, verdict};
use prometheus::IntGauge;
use tokio::sync::oneshot;

use crate::caller::exchange;
use crate::{clock, datagram, peer, store, target};

/// Maximum number of inputs that wait for the reducer; beyond that, a caller's request waits at its
/// edge.
pub const MAX_QUEUED_INPUTS: usize = 16_384;

/// Inputs after which the task yields to others.
const INPUTS_PER_YIELD: u32 = 16;

/// The answer to an operator's request, or why there is none.
pub type OperatorAnswer = Result<answer::OperatorAnswer, answer::OperatorRefusal>;

/// Inputs that the edges send to the reducer's task.
#[derive(Debug)]
pub enum EngineInput {
    /// An event that needs no reply.
    Event(event::NodeEvent),
    /// A call, with the channel for its reply.
    Call {
        /// The event that announces the call.
        arrival: event::NodeEvent,
        /// Identifies the call.
        handle: event::CallerHandle,
        /// Receives the reply.
        reply: oneshot::Sender<Box<effect::CallerReply>>,
    },
    /// An operator's request, with the channel for its answer.
    Operator {
        /// The request.
        request: event::OperatorRequest,
        /// Receives the answer.
        reply: flume::Sender<OperatorAnswer>,
    },
    /// A notification from the target or the platform, acknowledged once the reducer has
    /// processed it.
    Notification {
        /// The event.
        event: event::NodeEvent,
        /// Signalled once the reducer has processed the event.
        accepted: oneshot::Sender<()>,
    },
    /// Another node opened a connection and was authenticated.
    LinkOpened(peer::link::PeerLink),
    /// A connection to another node ended.
    LinkClosed(peer::link::ClosedLink),
}

/// The sending side of the engine's queue.
pub type EngineSender = flume::Sender<EngineInput>;

/// Steps the reducer and carries out its effects; owned by the reducer's task.
#[derive(Debug)]
pub struct NodeEngine {
    /// Reads time for each step.
    pub clock: clock::NodeClock,
    /// Connections to other nodes.
    pub peers: peer::table::PeerTable,
    /// Datagrams to other nodes.
    pub datagrams: datagram::DatagramSender,
    /// Runs at the local target.
    pub runs: target::runs::RunTable,
    /// Requests to the platform's store.
    pub store: store::StoreQueue,
    /// The number of inputs that wait for the reducer.
    pub queued_inputs: IntGauge,
    /// Whether callers should send requests to this node; read by the control edge.
    pub ready: Arc<AtomicBool>,
    /// Reply channels of the waiting callers.
    pub callers:
        sorted::SortedTable<event::CallerHandle, oneshot::Sender<Box<effect::CallerReply>>>,
    /// Answer channels of the waiting operators.
    pub operators: sorted::SortedTable<event::OperatorHandle, flume::Sender<OperatorAnswer>>,
    /// Number of operator requests so far, from which handles are allocated.
    pub operator_requests: u64,
    /// Events caused by effects of the current step, processed in the steps after it.
    pub followups: VecDeque<event::NodeEvent>,
    /// When the first stop was requested.
    pub stop_requested_at: Option<Instant>,
}

impl NodeEngine {
    /// Steps the reducer until it lets the process exit, or until all senders are dropped; returns
    /// when the first stop was requested. Calls that arrive later are refused.
    pub async fn run(
        mut self,
        mut reducer: reducer::NodeReducer,
        inputs: flume::Receiver<EngineInput>,
    ) -> Option<Instant> {
        self.run_reducer(&mut reducer, &inputs).await;
        tokio::spawn(refuse_calls(inputs));
        self.stop_requested_at
    }

    async fn run_reducer(
        &mut self,
        reducer: &mut reducer::NodeReducer,
        inputs: &flume::Receiver<EngineInput>,
    ) {
        let mut inputs_taken = 0_u32;
        loop {
            if self.fire_timer(reducer).is_break() {
                return;
            }
            let Some(input) = self.receive(reducer, inputs).await else {
                continue;
            };
            let Ok(input) = input else {
                return;
            };
            let (input, accepted) = match input {
                EngineInput::Notification { event, accepted } => {
                    (EngineInput::Event(event), Some(accepted))
                }
                input => (input, None),
            };
            for event in self.admit(input) {
                if self.step(reducer, event).is_break() {
                    return;
                }
            }
            if let Some(accepted) = accepted {
                // The sender of the notification may have disconnected meanwhile.
                let _ = accepted.send(());
            }
            inputs_taken = inputs_taken.wrapping_add(1);
            if inputs_taken.is_multiple_of(INPUTS_PER_YIELD) {
                let queued = i64::try_from(inputs.len()).unwrap_or(i64::MAX);
                self.queued_inputs.set(queued);
                // Under load the queue is never empty. Without a yield, the task that this one woke
                // last, which no other thread can steal, would never run.
                tokio::task::yield_now().await;
            }
        }
    }

    fn fire_timer(&mut self, reducer: &mut reducer::NodeReducer) -> std::ops::ControlFlow<()> {
        let due = reducer.next_wake().is_some_and(|at| at <= self.clock.now());
        if due {
            return self.step(reducer, event::NodeEvent::TimerFired);
        }
        std::ops::ControlFlow::Continue(())
    }

    /// The next input; none if the reducer's timer is due first, an error if all edges are closed.
    async fn receive(
        &self,
        reducer: &reducer::NodeReducer,
        inputs: &flume::Receiver<EngineInput>,
    ) -> Option<Result<EngineInput, flume::RecvError>> {
        if let Ok(input) = inputs.try_recv() {
            return Some(Ok(input));
        }
        let Some(at) = reducer.next_wake() else {
            return Some(inputs.recv_async().await);
        };
        let at = tokio::time::Instant::from_std(self.clock.instant(at));
        let received = tokio::time::timeout_at(at, inputs.recv_async()).await;
        received.ok()
    }

    /// Stores the reply channel of an input and turns the input into events.
    fn admit(&mut self, input: EngineInput) -> Vec<event::NodeEvent> {
        match input {
            EngineInput::Event(event) | EngineInput::Notification { event, .. } => {
                self.release(&event);
                vec![event]
            }
            EngineInput::Call {
                arrival,
                handle,
                reply,
            } => {
                self.callers.insert(handle, reply);
                vec![arrival]
            }
            EngineInput::Operator { request, reply } => {
                self.operator_requests += 1;
                let handle = event::OperatorHandle(self.operator_requests);
                self.operators.insert(handle, reply);
                vec![event::NodeEvent::OperatorRequestArrived { handle, request }]
            }
            EngineInput::LinkOpened(link) => {
                self.peers.insert(link);
                Vec::new()
            }
            EngineInput::LinkClosed(closed) => self.peers.on_closed(closed),
        }
    }

    fn release(&mut self, event: &event::NodeEvent) {
        match event {
            event::NodeEvent::RunEnded { run, .. } => self.runs.remove(*run),
            event::NodeEvent::CallerDisconnected { handle } => {
                self.callers.remove(*handle);
            }
            event::NodeEvent::StopRequested => {
                self.stop_requested_at.get_or_insert_with(Instant::now);
            }
            _ => {}
        }
    }

    fn step(
        &mut self,
        reducer: &mut reducer::NodeReducer,
        event: event::NodeEvent,
    ) -> std::ops::ControlFlow<()> {
        let mut next = Some(event);
        while let Some(event) = next {
            let now = self.clock.now();
            for effect in reducer.step(now, event) {
                if self.carry_out(effect).is_break() {
                    return std::ops::ControlFlow::Break(());
                }
            }
            next = self.followups.pop_front();
        }
        std::ops::ControlFlow::Continue(())
    }

    fn carry_out(&mut self, effect: effect::NodeEffect) -> std::ops::ControlFlow<()> {
        match effect {
            effect::NodeEffect::ReplyCaller { handle, reply } => self.reply(handle, reply),
            effect::NodeEffect::SendFrame {
                peer,
                address,
                frame,
            } => {
                let unsent = self.peers.send(peer, address, frame);
                self.followups.extend(unsent);
            }
            effect::NodeEffect::SendDatagram { to, message } => self.datagrams.send(to, &message),
            effect::NodeEffect::RunTarget(run) => self.runs.start(*run),
            effect::NodeEffect::ProbeTarget(address) => self.runs.probe(address),
            effect::NodeEffect::CheckTarget(order) => self.runs.check(order),
            effect::NodeEffect::WithdrawRuns => self.runs.withdraw_unsent(),
            effect::NodeEffect::CancelRun(run) => self.runs.cancel(run),
            effect::NodeEffect::AnswerOperator { handle, answer } => self.answer(handle, answer),
            effect::NodeEffect::SendStoreRequest { id, request } => {
                let refused = self.store.submit(id, request);
                self.followups.extend(refused);
            }
            effect::NodeEffect::Readiness(ready) => {
                self.ready.store(ready, Ordering::Relaxed);
                log::info!("readiness: ready={ready}");
            }
            effect::NodeEffect::Report(change) => report(&change),
            effect::NodeEffect::Exit => return std::ops::ControlFlow::Break(()),
        }
        std::ops::ControlFlow::Continue(())
    }

    fn reply(&mut self, handle: event::CallerHandle, reply: Box<effect::CallerReply>) {
        let Some(waiting) = self.callers.remove(handle) else {
            return;
        };
        // A caller that disconnected meanwhile is reported by a separate event.
        let _ = waiting.send(reply);
    }

    fn answer(&mut self, handle: event::OperatorHandle, answer: OperatorAnswer) {
        let Some(waiting) = self.operators.remove(handle) else {
            return;
        };
        // An operator that disconnected misses only the text of the answer.
        let _ = waiting.try_send(answer);
    }
}

/// Refuses the calls that no reducer will look at, those that wait in the queue first.
///
/// The queue outlives the reducer, as each connection can send to it. A call left there would keep
/// its caller waiting until the process is gone, and end without an answer.
async fn refuse_calls(inputs: flume::Receiver<EngineInput>) {
    while let Ok(input) = inputs.recv_async().await {
        let EngineInput::Call { arrival, reply, .. } = input else {
            continue;
        };
        let label = match arrival {
            event::NodeEvent::CallArrived { hints, .. } => hints.label,
            _ => None,
        };
        let verdict = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
        let refusal =
            effect::CallerReply::without_answer(label, verdict, Some(exchange::RETRY_AFTER_STOP));
        // The caller may have disconnected meanwhile.
        let _ = reply.send(Box::new(refusal));
    }
}

/// Logs a change of state as a JSON object, or as text if it can't be serialized.
fn report(change: &effect::StateChange) {
    match serde_json::to_string(change) {
        Ok(facts) => log::info!("{facts}"),
        Err(error) => log::info!("{change} (not as JSON: {error})"),
    }
}
