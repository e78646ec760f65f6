//! The task that owns the reducer: events in, one step at a time, effects out.
//!
//! The task waits for nothing but its queue and the reducer's time; whatever else can wait is a task
//! of its own. It shares the runtime of the connections instead of having a thread, so that an
//! event, its step and its effects mostly stay on one processor; see `docs/design/edges.md`.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvil_core::{answer, effect, event, reducer};
use anvil_types::sorted;
use tokio::sync::oneshot;

use crate::{clock, datagram, peer, store, target};

/// Events that may wait for the reducer; a caller's request waits at its edge beyond that.
pub const MAX_QUEUED_INPUTS: usize = 16_384;

/// Steps after which the task lets others run.
const STEPS_IN_A_ROW: u32 = 16;

/// An operator's answer, or why there is none.
pub type OperatorAnswer = Result<answer::OperatorAnswer, answer::OperatorRefusal>;

/// What the edges hand to the reducer's task.
#[derive(Debug)]
pub enum EngineInput {
    /// An event with nothing beside it.
    Event(event::NodeEvent),
    /// A call, with the way back to its connection.
    Call {
        /// The event to step with.
        arrival: event::NodeEvent,
        /// Whose connection.
        handle: event::CallerHandle,
        /// Takes the one reply.
        reply: oneshot::Sender<Box<effect::CallerReply>>,
    },
    /// An operator's question, with the way back.
    Operator {
        /// What.
        request: event::OperatorRequest,
        /// Takes the answer.
        reply: flume::Sender<OperatorAnswer>,
    },
    /// A notification from the target or the platform, acknowledged once the reducer has
    /// processed it.
    Notification {
        /// What.
        event: event::NodeEvent,
        /// Signalled once the reducer has processed the event.
        accepted: oneshot::Sender<()>,
    },
    /// Another node opened a connection and proved its identity.
    LinkOpened(peer::link::PeerLink),
    /// A connection to another node ended.
    LinkClosed(peer::link::ClosedLink),
}

/// The sending side of the engine's queue.
pub type EngineSender = flume::Sender<EngineInput>;

/// Everything that carries out effects; owned by the reducer's task.
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
    /// Questions to the platform's store.
    pub store: store::StoreQueue,
    /// Whether callers should send this node work; the control address tells it.
    pub ready: Arc<AtomicBool>,
    /// Callers that wait.
    pub callers:
        sorted::SortedTable<event::CallerHandle, oneshot::Sender<Box<effect::CallerReply>>>,
    /// Operators that wait.
    pub operators: sorted::SortedTable<event::OperatorHandle, flume::Sender<OperatorAnswer>>,
    /// Operators asked so far.
    pub operator_requests: u64,
    /// Events that effects caused on the spot, for the steps after the present one.
    pub followups: VecDeque<event::NodeEvent>,
}

impl NodeEngine {
    /// Steps the reducer until it says that the process may leave, or every sender is gone.
    pub async fn run(
        mut self,
        mut reducer: reducer::NodeReducer,
        inputs: flume::Receiver<EngineInput>,
    ) {
        let mut steps = 0_u32;
        loop {
            if self.wake(&mut reducer).is_break() {
                return;
            }
            let Some(input) = self.receive(&reducer, &inputs).await else {
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
                if self.step(&mut reducer, event).is_break() {
                    return;
                }
            }
            if let Some(accepted) = accepted {
                // Whoever told it may have gone meanwhile.
                let _ = accepted.send(());
            }
            steps = steps.wrapping_add(1);
            if steps.is_multiple_of(STEPS_IN_A_ROW) {
                // Under load the queue is never empty; without a pause the tasks that this one
                // woke last, which no other thread takes over, would wait for ever.
                tokio::task::yield_now().await;
            }
        }
    }

    fn wake(&mut self, reducer: &mut reducer::NodeReducer) -> std::ops::ControlFlow<()> {
        let due = reducer.next_wake().is_some_and(|at| at <= self.clock.now());
        if due {
            return self.step(reducer, event::NodeEvent::TimerFired);
        }
        std::ops::ControlFlow::Continue(())
    }

    /// The next input, nothing where the reducer's time came first, an error where all edges are
    /// gone.
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

    /// Notes the way back of an input and turns it into events.
    fn admit(&mut self, input: EngineInput) -> Vec<event::NodeEvent> {
        match input {
            EngineInput::Event(event) | EngineInput::Notification { event, .. } => {
                self.note(&event);
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

    fn note(&mut self, event: &event::NodeEvent) {
        match event {
            event::NodeEvent::RunEnded { run, .. } => self.runs.remove(*run),
            event::NodeEvent::CallerDisconnected { handle } => {
                self.callers.remove(*handle);
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
        // A caller that left meanwhile has told so by its own event.
        let _ = waiting.send(reply);
    }

    fn answer(&mut self, handle: event::OperatorHandle, answer: OperatorAnswer) {
        let Some(waiting) = self.operators.remove(handle) else {
            return;
        };
        // An operator that left loses only the text of the answer.
        let _ = waiting.try_send(answer);
    }
}

/// Writes a change of state as a JSON object; as text where it can't be written so.
fn report(change: &effect::StateChange) {
    match serde_json::to_string(change) {
        Ok(facts) => log::info!("{facts}"),
        Err(error) => log::info!("{change} (not as JSON: {error})"),
    }
}
