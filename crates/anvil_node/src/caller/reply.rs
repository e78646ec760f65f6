//! Builds HTTP responses from the reducer's replies.

use std::time::Duration;

use anvil_core::effect;
use anvil_edge::caller::FullResponse;
use anvil_edge::hops;
use anvil_types::{ident, verdict};
use anvil_wire::call;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header as names};
use http_body_util::Full;

use super::{header, problem};

/// Builds the response for a reply.
pub fn response(reply: effect::CallerReply) -> FullResponse {
    let effect::CallerReply {
        verdict,
        answer,
        request,
        attempts,
        rule: rule_reference,
        retry_after,
        label: _,
    } = reply;
    let mut response = match (verdict, answer) {
        (verdict::CallVerdict::Answered, Some(answer)) if answer.has_final_status() => {
            answered(answer)
        }
        (verdict::CallVerdict::Answered, _) => {
            // An answer without content or final status must not reach the caller as a success.
            let kind = problem::uncertainty(verdict::UncertaintyReason::AnswerCut);
            refused(&kind, retry_after, None)
        }
        (verdict::CallVerdict::NotRun(reason), _) => {
            refused(&problem::refusal(reason), retry_after, None)
        }
        (verdict::CallVerdict::MayHaveRun(reason), _) => {
            refused(&problem::uncertainty(reason), retry_after, None)
        }
    };
    let headers = response.headers_mut();
    headers.insert(header::REQUEST_ID, request_value(request));
    headers.insert(header::ATTEMPTS, attempts.into());
    headers.insert(header::REVISION, rule_reference.revision.0.into());
    let rule = rule_reference
        .index
        .map_or_else(|| HeaderValue::from_static("default"), HeaderValue::from);
    headers.insert(header::RULE, rule);
    response
}

/// Builds the response for a request that has no answer.
pub fn refused(
    kind: &problem::ProblemKind,
    retry_after: Option<Duration>,
    detail: Option<String>,
) -> FullResponse {
    let mut body = problem::ProblemBody::new(kind, retry_after);
    body.detail = detail;
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = kind.status;
    let headers = response.headers_mut();
    let media = HeaderValue::from_static(problem::MEDIA_TYPE);
    headers.insert(names::CONTENT_TYPE, media);
    let outcome = HeaderValue::from_static(kind.outcome);
    headers.insert(header::OUTCOME, outcome);
    if let Some(delay) = retry_after {
        // The header states whole seconds; rounded up, so that callers do not retry too early.
        let seconds = delay.as_millis().div_ceil(1_000);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert(names::RETRY_AFTER, seconds.into());
    }
    response
}

fn answered(answer: call::CallAnswer) -> FullResponse {
    let mut response = Response::new(Full::new(answer.body));
    let status = StatusCode::from_u16(answer.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    // The lines were parsed by the node of the target; at a malformed one, the rest is dropped.
    let _ = hops::append_lines(headers, &answer.headers);
    let outcome = HeaderValue::from_static("answered");
    headers.insert(header::OUTCOME, outcome);
    response
}

fn request_value(request: ident::RequestId) -> HeaderValue {
    let text = request.to_string();
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("0"))
}
