//! Bodies of requests, and how a refusal at the edge is counted.

use std::time::Duration;

use anvil_edge::caller;
use anvil_wire::codec;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::counters;

/// The counter of a refusal.
pub fn cause(refusal: &caller::IntakeRefusal) -> counters::EdgeCause {
    match refusal {
        caller::IntakeRefusal::Method(_) => counters::EdgeCause::CallerMethodRefused,
        caller::IntakeRefusal::ServiceMissing | caller::IntakeRefusal::ServiceMalformed { .. } => {
            counters::EdgeCause::CallerServiceMalformed
        }
        caller::IntakeRefusal::HintMalformed { .. } => counters::EdgeCause::CallerHintMalformed,
        caller::IntakeRefusal::ParentForged => counters::EdgeCause::CallerParentForged,
        caller::IntakeRefusal::BodyOversized => counters::EdgeCause::CallerBodyOversized,
        caller::IntakeRefusal::BodySlow => counters::EdgeCause::CallerBodySlow,
        caller::IntakeRefusal::BodyMalformed => counters::EdgeCause::CallerBodyMalformed,
    }
}

/// Reads the whole body, or refuses it.
pub async fn read_body(body: Incoming, patience: Duration) -> Result<Bytes, caller::IntakeRefusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A stated length above the limit is refused before a byte of the body is read.
    let stated = body.size_hint().lower();
    if stated > codec::MAX_BODY_BYTES as u64 {
        return Err(caller::IntakeRefusal::BodyOversized);
    }
    let limited = Limited::new(body, codec::MAX_BODY_BYTES);
    let Ok(collected) = tokio::time::timeout(patience, limited.collect()).await else {
        return Err(caller::IntakeRefusal::BodySlow);
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(caller::IntakeRefusal::BodyOversized),
        Err(_) => Err(caller::IntakeRefusal::BodyMalformed),
    }
}
