//! Reads request bodies, and maps refusals at the edge to counters.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anvil_edge::caller;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;

use crate::{counters, memory};

/// The counter of a refusal.
pub fn cause(refusal: &caller::IntakeRefusal) -> counters::EdgeCause {
    match refusal {
        caller::IntakeRefusal::Method(_) => counters::EdgeCause::CallerMethodRefused,
        caller::IntakeRefusal::ServiceMissing | caller::IntakeRefusal::ServiceMalformed { .. } => {
            counters::EdgeCause::CallerServiceMalformed
        }
        caller::IntakeRefusal::HintMalformed { .. } => counters::EdgeCause::CallerHintMalformed,
        caller::IntakeRefusal::ParentForged => counters::EdgeCause::CallerParentForged,
        caller::IntakeRefusal::BodyOversized { .. } => counters::EdgeCause::CallerBodyOversized,
        caller::IntakeRefusal::NoMemory => counters::EdgeCause::CallerBodyNoMemory,
        caller::IntakeRefusal::BodySlow => counters::EdgeCause::CallerBodySlow,
        caller::IntakeRefusal::BodyMalformed => counters::EdgeCause::CallerBodyMalformed,
    }
}

/// Limits of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Its length, in bytes.
    pub bytes: usize,
    /// Longest time until it is complete.
    pub wait: Duration,
}

/// Reads the whole body, or refuses it.
pub async fn read_body(
    body: Incoming,
    limits: BodyLimits,
    memory: &memory::BodyMemory,
) -> Result<Bytes, caller::IntakeRefusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A stated length above the limit is refused before any byte of the body is read.
    let stated = body.size_hint().lower();
    if stated > limits.bytes as u64 {
        let limit = limits.bytes;
        return Err(caller::IntakeRefusal::BodyOversized { limit });
    }
    let evicted = Arc::new(Notify::new());
    let collecting = collect(body, limits.bytes, memory, &evicted);
    tokio::select! {
        collected = tokio::time::timeout(limits.wait, collecting) => {
            collected.unwrap_or(Err(caller::IntakeRefusal::BodySlow))
        }
        () = evicted.notified() => Err(caller::IntakeRefusal::NoMemory),
    }
}

async fn collect(
    mut body: Incoming,
    limit: usize,
    memory: &memory::BodyMemory,
    evicted: &Arc<Notify>,
) -> Result<Bytes, caller::IntakeRefusal> {
    let length = body.size_hint().exact();
    let length = length.and_then(|length| usize::try_from(length).ok());
    let capacity = length.unwrap_or(limit);
    let mut buffer = memory::BodyBuffer::new(memory, memory::BodyKind::Request, capacity);
    let mut hold = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| caller::IntakeRefusal::BodyMalformed)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(caller::IntakeRefusal::BodyOversized { limit });
        }
        let pushed = buffer.push(&data).await;
        pushed.map_err(|_| caller::IntakeRefusal::NoMemory)?;
        if buffer.is_leased() {
            let hold = hold.get_or_insert_with(|| memory.hold(evicted.clone()));
            hold.record_progress(Instant::now());
        }
    }
    let finished = buffer.finish();
    finished.map_err(|_| caller::IntakeRefusal::NoMemory)
}
