//! One call from the caller edge to the reducer and its reply back.

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

/// When to come back after a process that has left; its successor is seconds away.
const LEAVING_PAUSE: Duration = Duration::from_secs(1);

/// A call that the reducer has, or that it could not be given.
#[derive(Debug)]
pub struct StartedCall {
    presence: CallerPresence,
    reply: oneshot::Receiver<Box<effect::CallerReply>>,
    label: Option<ident::RequestLabel>,
    began: Instant,
}

/// A call ready to be handed to the reducer.
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
    let presence = CallerPresence {
        edge: edge.clone(),
        handle,
        waiting: true,
    };
    let started = StartedCall {
        presence,
        reply,
        label,
        began: Instant::now(),
    };
    PreparedCall { input, started }
}

/// Hands a call to the reducer.
pub async fn start(edge: &Arc<server::CallerEdge>, head: caller::CallHead) -> StartedCall {
    let PreparedCall { input, mut started } = prepare(edge, head);
    if edge.engine.send_async(input).await.is_err() {
        started.presence.waiting = false;
    }
    started
}

/// Hands a request that stands behind others to the reducer; none where it has to wait for its turn.
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
        started.presence.waiting = false;
        return None;
    }
    Some(started)
}

impl StartedCall {
    /// Waits for the reply; one that [`is_out_of_turn`] stands for no end of the call.
    pub async fn reply(mut self, edge: &server::CallerEdge) -> effect::CallerReply {
        let reached = self.presence.waiting;
        let replied = (&mut self.reply).await;
        self.presence.waiting = false;
        match replied {
            Ok(reply) => {
                if !is_out_of_turn(&reply) {
                    let outcome = outcome_of(reply.verdict);
                    edge.counters.call_took(outcome, self.began.elapsed());
                }
                *reply
            }
            Err(_) if reached => {
                // The process leaves by force while the request may be out.
                let verdict = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Stopped);
                effect::CallerReply::without_answer(self.label.take(), verdict, None)
            }
            Err(_) => {
                let verdict = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
                let pause = Some(LEAVING_PAUSE);
                effect::CallerReply::without_answer(self.label.take(), verdict, pause)
            }
        }
    }
}

/// Whether a call that began early was put back until its turn comes.
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

/// Tells the reducer when a caller leaves: whoever waits for the reply is dropped as soon as the end
/// of the connection is read.
#[derive(Debug)]
struct CallerPresence {
    edge: Arc<server::CallerEdge>,
    handle: event::CallerHandle,
    waiting: bool,
}

impl Drop for CallerPresence {
    fn drop(&mut self) {
        if !self.waiting {
            return;
        }
        self.edge.counters.count(counters::EdgeCause::CallerGone);
        let gone = event::NodeEvent::CallerDisconnected {
            handle: self.handle,
        };
        let input = engine::EngineInput::Event(gone);
        let Err(flume::TrySendError::Full(input)) = self.edge.engine.try_send(input) else {
            return;
        };
        // A full queue must not lose the notice, or the target would work for nobody.
        let engine = self.edge.engine.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { engine.send_async(input).await });
        }
    }
}
