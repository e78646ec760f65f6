//! One request to the local target and its whole answer, or an exact account of how it failed.
//!
//! The node writes requests and reads answers itself. A client library tells neither whether a
//! byte of a request has left nor what to do with an answer to another request that comes first,
//! and both decide whether a request may be sent again.

use std::sync::Arc;

use anvil_core::{effect, event};
use anvil_edge::{hops, target};
use anvil_wire::{call, codec};
use bytes::{Bytes, BytesMut};
use http::{header, response};
use tokio::io::AsyncWriteExt;
use tokio::time;

use super::{message, pool};
use crate::counters;

/// Answers to other requests that may come before the one waited for; a target that sends more has
/// lost its place.
const STRAY_LIMIT: u32 = 2;

/// What an exchange works with.
#[derive(Clone, Debug)]
pub struct TargetExchange {
    /// Kept connections.
    pub pool: pool::ConnectionPool,
    /// How requests and answers look on the wire.
    pub dialect: Arc<dyn target::TargetDialect>,
    /// Counts each way an exchange ends.
    pub counters: counters::EdgeCounters,
}

/// An answer as it came, before its meaning is acted on.
struct ReadAnswer {
    parts: response::Parts,
    meaning: target::AnswerMeaning,
    body: Bytes,
    keeping: message::KeepOpen,
}

/// How far the request has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyWriting {
    Open,
    Broken,
    Done,
}

impl BodyWriting {
    const fn of(done: bool) -> Self {
        if done { Self::Done } else { Self::Open }
    }
}

/// Why no answer came.
enum ExchangeFault {
    /// No byte of the request left.
    Unsent,
    /// The request left, in part at least.
    Lost {
        /// Whether an answer had begun.
        in_answer: bool,
    },
}

impl TargetExchange {
    /// Runs one request; dropping the future closes its connection.
    pub async fn run(&self, run: effect::RunOrder) -> event::RunOutcome {
        let deadline = time::Instant::now() + run.timeout;
        let Some(request) = self.dialect.build(&run) else {
            // Nodes check requests before they forward them; nothing was sent for this one.
            return event::RunOutcome::Unreachable;
        };
        let bytes = encode(&request);
        let began = time::Instant::now();
        let outcome = match time::timeout_at(deadline, self.send(&run, &bytes)).await {
            Ok(outcome) => outcome,
            Err(_) => event::RunOutcome::TimedOut,
        };
        self.count(&outcome);
        self.counters
            .run_took(latency_outcome(&outcome), began.elapsed());
        outcome
    }

    async fn send(&self, run: &effect::RunOrder, bytes: &[u8]) -> event::RunOutcome {
        loop {
            let kept = self.pool.take(run.address, !run.idempotent);
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(kept) => kept,
                None => match self.pool.open(run.address).await {
                    Ok(opened) => opened,
                    Err(pool::ConnectFailed) => return event::RunOutcome::Unreachable,
                },
            };
            match self.exchange(run, &mut connection, bytes).await {
                Ok(answer) => return self.conclude(run, connection, answer),
                // A kept connection that the target had closed; no byte left, so trying again
                // can't run the request twice.
                Err(ExchangeFault::Unsent) if !fresh => {}
                Err(ExchangeFault::Unsent) => return event::RunOutcome::Unreachable,
                Err(ExchangeFault::Lost { in_answer }) => {
                    return event::RunOutcome::Broken { in_answer };
                }
            }
        }
    }

    /// Writes the request and reads the answer at the same time: a target may answer before it has
    /// read a long body, and both sides would wait for each other otherwise.
    async fn exchange(
        &self,
        run: &effect::RunOrder,
        connection: &mut pool::TargetConnection,
        bytes: &[u8],
    ) -> Result<ReadAnswer, ExchangeFault> {
        let first = connection.stream.write(bytes).await;
        let sent = first.map_err(|_| ExchangeFault::Unsent)?;
        let (reader, mut writer) = connection.stream.split();
        let mut reader = message::AnswerReader::new(reader);
        let mut writing = BodyWriting::of(sent == bytes.len());
        let mut read = {
            let rest = &bytes[sent..];
            let mut written = std::pin::pin!(writer.write_all(rest));
            let mut reading = std::pin::pin!(self.read(run, &mut reader));
            loop {
                tokio::select! {
                    result = &mut written, if writing == BodyWriting::Open => {
                        // A target that stopped reading may still send its answer.
                        writing = result.map_or(BodyWriting::Broken, |()| BodyWriting::Done);
                    }
                    read = &mut reading => break read,
                }
            }
        };
        let spent = writing != BodyWriting::Done || reader.has_rest();
        if let Some(answer) = read.as_mut().ok().filter(|_| spent) {
            // The rest of the body, or what came behind the answer, would be taken for a part of
            // what comes next.
            answer.keeping = message::KeepOpen::No;
        }
        read
    }

    /// Reads up to the answer to this request.
    async fn read<R>(
        &self,
        run: &effect::RunOrder,
        reader: &mut message::AnswerReader<R>,
    ) -> Result<ReadAnswer, ExchangeFault>
    where
        R: tokio::io::AsyncRead + Unpin,
    {
        let mut strays = 0;
        loop {
            let answer = self.read_one(run, reader).await;
            let mut answer = answer.map_err(|fault| self.lost(&fault, reader.has_begun()))?;
            if answer.meaning != target::AnswerMeaning::Unrelated {
                if strays > 0 {
                    answer.keeping = message::KeepOpen::No;
                }
                return Ok(answer);
            }
            strays += 1;
            if strays > STRAY_LIMIT {
                return Err(ExchangeFault::Lost { in_answer: true });
            }
        }
    }

    async fn read_one<R>(
        &self,
        run: &effect::RunOrder,
        reader: &mut message::AnswerReader<R>,
    ) -> Result<ReadAnswer, message::AnswerFault>
    where
        R: tokio::io::AsyncRead + Unpin,
    {
        let head = reader.head(&run.request.method).await?;
        let meaning = self.dialect.classify(run, &head.parts);
        let open_end = self.dialect.close_meaning();
        let body = reader.body(head.framing, open_end, codec::MAX_BODY_BYTES);
        Ok(ReadAnswer {
            parts: head.parts,
            meaning,
            body: body.await?,
            keeping: head.keeping,
        })
    }

    fn lost(&self, fault: &message::AnswerFault, in_answer: bool) -> ExchangeFault {
        match fault {
            message::AnswerFault::OpenEnded => self
                .counters
                .count(counters::EdgeCause::TargetAnswerUnframed),
            message::AnswerFault::Oversized => self
                .counters
                .count(counters::EdgeCause::TargetAnswerOversized),
            message::AnswerFault::Malformed { reason } => {
                log::debug!("the target's answer is malformed: {reason}");
            }
            message::AnswerFault::Broken(_) | message::AnswerFault::Ended => {}
        }
        ExchangeFault::Lost { in_answer }
    }

    fn conclude(
        &self,
        run: &effect::RunOrder,
        connection: pool::TargetConnection,
        answer: ReadAnswer,
    ) -> event::RunOutcome {
        match answer.meaning {
            target::AnswerMeaning::Answer => {}
            target::AnswerMeaning::Refused => {
                self.pool.give_back(connection, answer.keeping);
                return event::RunOutcome::Refused;
            }
            target::AnswerMeaning::Misdirected { holder } => {
                return event::RunOutcome::Misdirected { holder };
            }
            target::AnswerMeaning::Unrelated | target::AnswerMeaning::Invalid => {
                return event::RunOutcome::Broken { in_answer: true };
            }
        }
        self.pool.give_back(connection, answer.keeping);
        let head = answer.parts;
        let not_modified = head.status == http::StatusCode::NOT_MODIFIED;
        let bodiless = run.request.method == "HEAD" || not_modified;
        let keeps_back = |name: &str| self.dialect.is_internal_header(name);
        event::RunOutcome::Answered(call::CallAnswer {
            status: head.status.as_u16(),
            headers: hops::answer_lines(&head.headers, bodiless, keeps_back),
            body: answer.body,
        })
    }

    fn count(&self, outcome: &event::RunOutcome) {
        let cause = match outcome {
            event::RunOutcome::Answered(_) => return,
            event::RunOutcome::Refused => counters::EdgeCause::TargetRefused,
            event::RunOutcome::Misdirected { .. } => counters::EdgeCause::TargetMisdirected,
            event::RunOutcome::Unreachable => counters::EdgeCause::TargetUnreachable,
            event::RunOutcome::Broken { in_answer: false } => counters::EdgeCause::TargetBroken,
            event::RunOutcome::Broken { in_answer: true } => counters::EdgeCause::TargetAnswerCut,
            event::RunOutcome::TimedOut => counters::EdgeCause::TargetTimedOut,
            event::RunOutcome::Cancelled => counters::EdgeCause::TargetCancelled,
        };
        self.counters.count(cause);
    }
}

fn latency_outcome(outcome: &event::RunOutcome) -> counters::LatencyOutcome {
    match outcome {
        event::RunOutcome::Answered(_) => counters::LatencyOutcome::Answered,
        event::RunOutcome::Refused
        | event::RunOutcome::Misdirected { .. }
        | event::RunOutcome::Unreachable => counters::LatencyOutcome::NotRun,
        event::RunOutcome::Broken { .. }
        | event::RunOutcome::TimedOut
        | event::RunOutcome::Cancelled => counters::LatencyOutcome::MayHaveRun,
    }
}

/// The request as bytes, head and body in one piece so that they leave in one segment.
fn encode(request: &http::Request<Bytes>) -> Bytes {
    let (path, body) = (request.uri().path_and_query(), request.body());
    let path = path.map_or("/", |path| path.as_str());
    let mut bytes = BytesMut::with_capacity(256 + body.len());
    bytes.extend_from_slice(request.method().as_str().as_bytes());
    bytes.extend_from_slice(b" ");
    bytes.extend_from_slice(path.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in request.headers() {
        append_line(&mut bytes, name.as_str(), value.as_bytes());
    }
    if states_length(request) {
        let length = body.len().to_string();
        append_line(
            &mut bytes,
            header::CONTENT_LENGTH.as_str(),
            length.as_bytes(),
        );
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes.freeze()
}

/// A body has its length stated, and so has the lack of one where the method suggests a body.
fn states_length(request: &http::Request<Bytes>) -> bool {
    let method = request.method();
    let usual = method == http::Method::POST || method == http::Method::PUT;
    usual || method == http::Method::PATCH || !request.body().is_empty()
}

fn append_line(bytes: &mut BytesMut, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
