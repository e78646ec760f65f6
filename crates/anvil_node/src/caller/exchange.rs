//! Passes a call from the caller edge to the reducer and its reply back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anvil_core::{effect, event};
use anvil_edge::caller;
use anvil_types::{ident, verdict};
use bytes::Bytes;
use http::request;
use tokio::sync::oneshot;

use super::server;
use crate::{counters, engine};

/// Pause after which a caller should retry if this process has stopped; its successor starts within
/// seconds.
pub const RETRY_AFTER_STOP: Duration = Duration::from_secs(1);

/// A call that was handed to the reducer, or that the reducer could not accept.
#[derive(Debug)]
pub struct StartedCall {
    disconnect_guard: DisconnectGuard,
    reply: oneshot::Receiver<Box<effect::CallerReply>>,
    label: Option<ident::RequestLabel>,
    started_at: Instant,
}

/// A call that is ready to be handed to the reducer.
struct PreparedCall {
    input: engine::EngineInput,
    started: StartedCall,
}

fn prepare(edge: &Arc<server::CallerEdge>, head: caller::CallHead) -> PreparedCall {
    let caller::CallHead { request, hints } = head;
    let handle = event::CallerHandle(edge.handles.fetch_add(1, Ordering::Relaxed) + 1);
    let (sender, reply) = oneshot::channel();
    let label = hints.label.clone();
    let arrival = event::NodeEvent::CallArrived {
        handle,
        request: Box::new(request),
        hints,
    };
    let input = engine::EngineInput::Call {
        arrival,
        handle,
        reply: sender,
    };
    let disconnect_guard = DisconnectGuard {
        edge: edge.clone(),
        handle,
        waiting: true,
    };
    let started = StartedCall {
        disconnect_guard,
        reply,
        label,
        started_at: Instant::now(),
    };
    PreparedCall { input, started }
}

/// Hands a call to the reducer.
pub async fn start(edge: &Arc<server::CallerEdge>, head: caller::CallHead) -> StartedCall {
    let PreparedCall { input, mut started } = prepare(edge, head);
    if edge.engine.send_async(input).await.is_err() {
        started.disconnect_guard.waiting = false;
    }
    started
}

/// Hands a pipelined request to the reducer before the requests in front of it are answered; none
/// if it has to wait for its turn.
pub fn start_early(
    edge: &Arc<server::CallerEdge>,
    parts: &request::Parts,
    body: Bytes,
) -> Option<StartedCall> {
    let mut head = edge.dialect.read_head(parts).ok()?;
    head.request.body = body;
    head.hints.pipelined = true;
    let PreparedCall { input, mut started } = prepare(edge, head);
    if edge.engine.try_send(input).is_err() {
        started.disconnect_guard.waiting = false;
        return None;
    }
    Some(started)
}

impl StartedCall {
    /// Waits for the reply; one for which [`is_out_of_turn`] holds does not end the call.
    pub async fn reply(mut self, edge: &server::CallerEdge) -> effect::CallerReply {
        let accepted = self.disconnect_guard.waiting;
        let replied = (&mut self.reply).await;
        self.disconnect_guard.waiting = false;
        match replied {
            Ok(reply) => {
                if !is_out_of_turn(&reply) {
                    let outcome = outcome_of(reply.verdict);
                    edge.counters
                        .observe_call(outcome, self.started_at.elapsed());
                }
                *reply
            }
            Err(_) if accepted => {
                // The process was stopped by force while the request may have been running.
                let verdict = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Stopped);
                effect::CallerReply::without_answer(self.label.take(), verdict, None)
            }
            Err(_) => {
                let verdict = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
                let retry_after = Some(RETRY_AFTER_STOP);
                effect::CallerReply::without_answer(self.label.take(), verdict, retry_after)
            }
        }
    }
}

/// Whether the reducer refused an early call, which then has to start again in its turn.
pub fn is_out_of_turn(reply: &effect::CallerReply) -> bool {
    reply.verdict == OUT_OF_TURN
}

const OUT_OF_TURN: verdict::CallVerdict =
    verdict::CallVerdict::NotRun(verdict::RefusalReason::OutOfTurn);

fn outcome_of(verdict: verdict::CallVerdict) -> counters::LatencyOutcome {
    match verdict {
        verdict::CallVerdict::Answered => counters::LatencyOutcome::Answered,
        verdict::CallVerdict::NotRun(_) => counters::LatencyOutcome::NotRun,
        verdict::CallVerdict::MayHaveRun(_) => counters::LatencyOutcome::MayHaveRun,
    }
}

/// Notifies the reducer if the caller disconnects before the reply.
///
/// The HTTP library drops the future that waits for the reply as soon as it reads the end of the
/// connection, and this guard with it.
#[derive(Debug)]
struct DisconnectGuard {
    edge: Arc<server::CallerEdge>,
    handle: event::CallerHandle,
    waiting: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.waiting {
            return;
        }
        self.edge
            .counters
            .count(counters::EdgeCause::CallerDisconnected);
        let disconnected = event::NodeEvent::CallerDisconnected {
            handle: self.handle,
        };
        let input = engine::EngineInput::Event(disconnected);
        let Err(flume::TrySendError::Full(input)) = self.edge.engine.try_send(input) else {
            return;
        };
        // A full queue must not lose the notification, or the target would keep running a request
        // whose caller has disconnected.
        let engine = self.edge.engine.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { engine.send_async(input).await });
        }
    }
}
