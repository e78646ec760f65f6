//! One request to the local target and its whole answer, or an exact account of how it failed.

use std::time::Duration;

use anvil_core::{effect, event};
use anvil_wire::{call, codec};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time;

use super::{parent, pool};
use crate::caller::{header, hops};
use crate::counters;

/// What an exchange works with.
#[derive(Clone, Debug)]
pub struct TargetExchange {
    /// Kept connections.
    pub pool: pool::ConnectionPool,
    /// Mints the token that the target sends back on its own calls.
    pub mint: parent::ParentMint,
    /// Counts each way an exchange ends.
    pub counters: counters::EdgeCounters,
}

impl TargetExchange {
    /// Runs one request; dropping the future closes its connection.
    pub async fn run(&self, run: effect::RunOrder) -> event::RunOutcome {
        let deadline = time::Instant::now() + run.timeout;
        let Some(request) = self.build(&run) else {
            // Nodes check requests before they forward them; nothing was sent for this one.
            return event::RunOutcome::Unreachable;
        };
        let outcome = self.send(&run, request, deadline).await;
        self.count(&outcome);
        outcome
    }

    async fn send(
        &self,
        run: &effect::RunOrder,
        mut request: http::Request<Full<Bytes>>,
        deadline: time::Instant,
    ) -> event::RunOutcome {
        loop {
            let opening = time::timeout_at(deadline, self.connection(run));
            let Ok(Ok((mut connection, fresh))) = opening.await else {
                return event::RunOutcome::Unreachable;
            };
            let sending = connection.sender.try_send_request(request);
            let sent = match time::timeout_at(deadline, sending).await {
                Ok(sent) => sent,
                Err(_) => return event::RunOutcome::TimedOut,
            };
            match sent {
                Ok(response) => return self.receive(run, connection, response, deadline).await,
                Err(mut failure) => match failure.take_message() {
                    // The library hands a request back only while no byte of it was written, so
                    // trying again can't run it twice.
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return event::RunOutcome::Unreachable,
                    None => return event::RunOutcome::Broken { in_answer: false },
                },
            }
        }
    }

    async fn connection(
        &self,
        run: &effect::RunOrder,
    ) -> Result<(pool::TargetConnection, bool), pool::ConnectFailed> {
        if let Some(kept) = self.pool.take(run.address).await {
            return Ok((kept, false));
        }
        let fresh = self.pool.open(run.address).await?;
        Ok((fresh, true))
    }

    async fn receive(
        &self,
        run: &effect::RunOrder,
        connection: pool::TargetConnection,
        response: http::Response<Incoming>,
        deadline: time::Instant,
    ) -> event::RunOutcome {
        let (head, body) = response.into_parts();
        if unframed(&head, &body) {
            self.counters
                .count(counters::EdgeCause::TargetAnswerUnframed);
            return event::RunOutcome::Broken { in_answer: true };
        }
        let limited = Limited::new(body, codec::BODY_LIMIT);
        let collected = match time::timeout_at(deadline, limited.collect()).await {
            Ok(collected) => collected,
            Err(_) => return event::RunOutcome::TimedOut,
        };
        let body = match collected {
            Ok(collected) => collected.to_bytes(),
            Err(error) => {
                if error.is::<LengthLimitError>() {
                    self.counters
                        .count(counters::EdgeCause::TargetAnswerOversized);
                }
                return event::RunOutcome::Broken { in_answer: true };
            }
        };
        self.pool.give_back(connection);
        if refused(&head) {
            return event::RunOutcome::Refused;
        }
        let not_modified = head.status == http::StatusCode::NOT_MODIFIED;
        let bodiless = run.request.method == "HEAD" || not_modified;
        event::RunOutcome::Whole(call::CallAnswer {
            status: head.status.as_u16(),
            headers: hops::answer_lines(&head.headers, bodiless),
            body,
        })
    }

    fn build(&self, run: &effect::RunOrder) -> Option<http::Request<Full<Bytes>>> {
        let request = &run.request;
        let mut built = http::Request::new(Full::new(request.body.clone()));
        *built.method_mut() = http::Method::from_bytes(request.method.as_bytes()).ok()?;
        *built.uri_mut() = request.path.parse().ok()?;
        let headers = built.headers_mut();
        hops::append_lines(headers, &request.headers)?;
        if !headers.contains_key(http::header::HOST) {
            let host = request.service.as_str().parse().ok()?;
            headers.insert(http::header::HOST, host);
        }
        let millis = whole_millis(run.timeout).into();
        headers.insert(header::TIMEOUT, millis);
        let parent = self.mint.mint(run.run).parse().ok()?;
        headers.insert(header::PARENT, parent);
        let root = run.root.to_string().parse().ok()?;
        headers.insert(header::REQUEST_ID, root);
        Some(built)
    }

    fn count(&self, outcome: &event::RunOutcome) {
        let cause = match outcome {
            event::RunOutcome::Whole(_) => return,
            event::RunOutcome::Refused => counters::EdgeCause::TargetRefused,
            event::RunOutcome::Unreachable => counters::EdgeCause::TargetUnreachable,
            event::RunOutcome::Broken { in_answer: false } => counters::EdgeCause::TargetBroken,
            event::RunOutcome::Broken { in_answer: true } => counters::EdgeCause::TargetAnswerCut,
            event::RunOutcome::TimedOut => counters::EdgeCause::TargetTimedOut,
            event::RunOutcome::Cancelled => counters::EdgeCause::TargetCancelled,
        };
        self.counters.count(cause);
    }
}

/// Whether the end of the answer can't be told from a cut.
///
/// An answer that ends with its connection looks the same whether the target finished it or died;
/// a caller would get a short 200. So such answers count as cut off.
fn unframed(head: &http::response::Parts, body: &Incoming) -> bool {
    let chunked = head.headers.contains_key(http::header::TRANSFER_ENCODING);
    let length = body.size_hint().exact();
    !chunked && length.is_none() && !body.is_end_stream()
}

/// Whether the target says that it refused the request without running it.
fn refused(head: &http::response::Parts) -> bool {
    let marked = head.headers.get(header::NOT_RUN);
    head.status == http::StatusCode::SERVICE_UNAVAILABLE && marked.is_some_and(|mark| mark == "1")
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
