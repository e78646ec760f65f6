//! Replies of the reducer as HTTP responses.

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

/// Builds the response of a reply; `head_only` says that the caller asked by HEAD.
pub fn response(reply: effect::CallerReply) -> FullResponse {
    let effect::CallerReply {
        verdict,
        answer,
        request,
        attempts,
        rule: mark,
        retry_after,
        label: _,
    } = reply;
    let mut response = match (verdict, answer) {
        (verdict::CallVerdict::Answered, Some(answer)) => answered(answer),
        (verdict::CallVerdict::Answered, None) => {
            // An answer without its content is an answer cut off; it must not show as success.
            let kind = problem::doubt(verdict::UncertaintyReason::AnswerCut);
            refused(&kind, retry_after, None)
        }
        (verdict::CallVerdict::NotRun(reason), _) => {
            refused(&problem::refusal(reason), retry_after, None)
        }
        (verdict::CallVerdict::MayHaveRun(reason), _) => {
            refused(&problem::doubt(reason), retry_after, None)
        }
    };
    let headers = response.headers_mut();
    headers.insert(header::REQUEST_ID, request_value(request));
    headers.insert(header::ATTEMPTS, attempts.into());
    headers.insert(header::REVISION, mark.revision.0.into());
    let rule = mark
        .index
        .map_or_else(|| HeaderValue::from_static("default"), HeaderValue::from);
    headers.insert(header::RULE, rule);
    response
}

/// Builds the response of a request that the edge itself refused.
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
    if let Some(pause) = retry_after {
        // The header counts whole seconds; rounded up, so that nobody comes back too early.
        let seconds = pause.as_millis().div_ceil(1_000);
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
    // Lines come from a node that parsed them; a malformed one would be dropped with the rest.
    let _ = hops::append_lines(headers, &answer.headers);
    let outcome = HeaderValue::from_static("answered");
    headers.insert(header::OUTCOME, outcome);
    response
}

fn request_value(request: ident::RequestId) -> HeaderValue {
    let text = request.to_string();
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("0"))
}
