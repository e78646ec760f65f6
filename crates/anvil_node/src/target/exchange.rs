//! Sends one request to the local target and reads its complete answer, or reports exactly how that
//! failed.
//!
//! The node writes requests and reads answers itself. A client library neither reports whether any
//! byte of a request was sent nor handles an earlier answer to another request, and both decide
//! whether a request may be sent again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_core::{effect, event};
use anvil_edge::{hops, target};
use anvil_overload::deadline;
use anvil_wire::{call, codec};
use bytes::{Buf, Bytes, BytesMut, buf};
use http::{header, response};
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::time;

use super::{message, pool};
use crate::{counters, memory};

/// Maximum number of answers to other requests that are skipped before the awaited one; after more,
/// the connection counts as broken.
const MAX_UNRELATED_ANSWERS: u32 = 2;

/// Longest time for the body of a refusal. It usually arrives with the head, and reading it only
/// saves the connection.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time that an announced target has for telling whether it accepts requests. A later report
/// has it asked again.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all exchanges with the target.
#[derive(Clone, Debug)]
pub struct TargetExchange {
    /// Idle connections.
    pub pool: pool::ConnectionPool,
    /// Holds the bodies of the answers.
    pub memory: memory::BodyMemory,
    /// Builds requests and classifies answers.
    pub dialect: Arc<dyn target::TargetDialect>,
    /// Counts the outcomes of exchanges.
    pub counters: counters::EdgeCounters,
}

/// How a run ended, and what its answer stated about the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// How it ended.
    pub outcome: event::RunOutcome,
    /// What a valid answer of the expected incarnation stated; none without one.
    pub statement: Option<event::TargetStatement>,
    /// The exchange on the last connection; none if no byte was sent.
    pub exchange: Option<event::ExchangeTrace>,
}

impl From<event::RunOutcome> for RunReport {
    fn from(outcome: event::RunOutcome) -> Self {
        Self {
            outcome,
            statement: None,
            exchange: None,
        }
    }
}

/// What a target answered that was asked whether it accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckReport {
    /// Whether it accepts them.
    pub outcome: event::CheckOutcome,
    /// What the answer stated; none without one.
    pub statement: Option<event::TargetStatement>,
}

impl From<event::CheckOutcome> for CheckReport {
    fn from(outcome: event::CheckOutcome) -> Self {
        Self {
            outcome,
            statement: None,
        }
    }
}

/// An answer as received, before its meaning is acted on.
struct ReadAnswer {
    parts: response::Parts,
    meaning: target::AnswerMeaning,
    body: Bytes,
    framing: message::BodyFraming,
    keep_alive: message::KeepAlive,
}

/// Progress of writing the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteProgress {
    /// Bytes remain to be written.
    Open,
    /// Writing failed after the target had ended its side of the connection regularly.
    Closed,
    /// Writing failed for another reason, such as a reset, possibly in the middle of the answer.
    Broken,
    /// The request is written completely.
    Done,
}

impl WriteProgress {
    const fn from_done(done: bool) -> Self {
        if done { Self::Done } else { Self::Open }
    }

    /// The progress after `error`.
    ///
    /// A socket reports a reset once, to the first write or read after it. If that was a write, the
    /// next read looks like a regular end. The error of the write tells the two apart: it is
    /// [`io::ErrorKind::BrokenPipe`] only if the regular end came before the reset. See
    /// `docs/design/edges.md`, "Whole answers".
    fn from_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::BrokenPipe => Self::Closed,
            _ => Self::Broken,
        }
    }
}

/// Why there is no answer.
enum ExchangeFault {
    /// No byte of the request was sent.
    Unsent,
    /// At least a part of the request was sent.
    Lost {
        /// Whether the head of an answer was received.
        in_answer: bool,
    },
}

impl TargetExchange {
    /// Runs one request; dropping the future closes its connection.
    ///
    /// `withdrawals` changes when the target leaves, which gives the request up if no byte was sent.
    pub async fn run(&self, run: effect::RunOrder, withdrawals: watch::Receiver<u64>) -> RunReport {
        let deadline = time::Instant::now() + run.timeout + deadline::LAST_ANSWER_TIME;
        let Some(request) = self.dialect.build(&run) else {
            // Not expected, since nodes check requests before they forward them; nothing was sent.
            return event::RunOutcome::Unreachable.into();
        };
        let bytes = EncodedRequest::new(&request);
        let started_at = time::Instant::now();
        let mut trace = None;
        let sending = self.send(&run, &bytes, &mut trace, withdrawals);
        let mut report = match time::timeout_at(deadline, sending).await {
            Ok(report) => report,
            Err(_) => event::RunOutcome::TimedOut.into(),
        };
        report.exchange = trace;
        self.count(&report.outcome);
        self.counters
            .observe_run(latency_outcome(&report.outcome), started_at.elapsed());
        report
    }

    /// Tries whether the target accepts a connection, and keeps it for the next run; none if that
    /// can't be told.
    pub async fn probe(&self, address: SocketAddr) -> Option<bool> {
        match self.pool.open(address).await {
            Ok(connection) => {
                self.pool.release(connection, message::KeepAlive::Yes(None));
                Some(true)
            }
            Err(pool::ConnectFailed::Refused) => Some(false),
            Err(pool::ConnectFailed::Unknown) => None,
        }
    }

    /// Asks an announced target whether it accepts requests, on a connection of its own.
    pub async fn check(&self, order: &effect::CheckOrder) -> CheckReport {
        let Some(request) = self.dialect.build_check(order) else {
            return event::CheckOutcome::Unsupported.into();
        };
        let asking = self.ask(order, &request);
        let answer = time::timeout(CHECK_TIMEOUT, asking).await;
        let report = answer.ok().flatten();
        report.unwrap_or_else(|| event::CheckOutcome::Unknown.into())
    }

    async fn ask(
        &self,
        order: &effect::CheckOrder,
        request: &http::Request<Bytes>,
    ) -> Option<CheckReport> {
        let mut connection = self.pool.open(order.address).await.ok()?;
        let (reader, mut writer) = connection.stream.split();
        let mut bytes = EncodedRequest::new(request).into_buf();
        writer.write_all_buf(&mut bytes).await.ok()?;
        let mut reader = message::AnswerReader::new(reader, &self.memory);
        let head = reader.head(request.method().as_str()).await.ok()?;
        Some(CheckReport {
            outcome: self.dialect.check_outcome(order, &head.parts),
            statement: Some(self.dialect.statement(&head.parts)),
        })
    }

    async fn send(
        &self,
        run: &effect::RunOrder,
        bytes: &EncodedRequest,
        trace: &mut Option<event::ExchangeTrace>,
        mut withdrawals: watch::Receiver<u64>,
    ) -> RunReport {
        loop {
            let pooled = self.pool.take(run);
            let is_new = pooled.is_none();
            // After a pause of the process both may be ready, so the leaving is checked first.
            let opened = tokio::select! {
                biased;
                Ok(()) = withdrawals.changed() => return event::RunOutcome::Withdrawn.into(),
                opened = self.connect(run, pooled) => opened,
            };
            let Ok(mut connection) = opened else {
                return event::RunOutcome::Unreachable.into();
            };
            match self.exchange(run, &mut connection, bytes, trace).await {
                Ok(answer) => return self.conclude(run, connection, answer),
                // The target had closed the pooled connection. No byte was sent, so another try
                // can't run the request twice.
                Err(ExchangeFault::Unsent) if !is_new => {}
                Err(ExchangeFault::Unsent) => return event::RunOutcome::Unreachable.into(),
                Err(ExchangeFault::Lost { in_answer }) => {
                    return event::RunOutcome::Broken { in_answer }.into();
                }
            }
        }
    }

    /// The connection from the pool, or a new one.
    async fn connect(
        &self,
        run: &effect::RunOrder,
        pooled: Option<pool::TargetConnection>,
    ) -> Result<pool::TargetConnection, pool::ConnectFailed> {
        match pooled {
            Some(pooled) => Ok(pooled),
            None => self.pool.open(run.address).await,
        }
    }

    /// Writes the request and reads the answer concurrently.
    ///
    /// A target may answer before it has read a long body; both sides would otherwise wait for each
    /// other.
    async fn exchange(
        &self,
        run: &effect::RunOrder,
        connection: &mut pool::TargetConnection,
        bytes: &EncodedRequest,
        trace: &mut Option<event::ExchangeTrace>,
    ) -> Result<ReadAnswer, ExchangeFault> {
        let mut rest = bytes.clone().into_buf();
        let first = connection.stream.write_buf(&mut rest).await;
        first.map_err(|_| ExchangeFault::Unsent)?;
        let trace = trace.insert(connection.begin_exchange(run.label.as_ref()));
        let (reader, mut writer) = connection.stream.split();
        let mut reader = message::AnswerReader::new(reader, &self.memory);
        let mut writing = WriteProgress::from_done(!rest.has_remaining());
        let mut read = {
            let mut written = std::pin::pin!(writer.write_all_buf(&mut rest));
            let mut reading = std::pin::pin!(self.read(run, &mut reader, trace));
            loop {
                tokio::select! {
                    result = &mut written, if writing == WriteProgress::Open => {
                        // A target that stopped reading may still send its answer.
                        writing = match result {
                            Ok(()) => WriteProgress::Done,
                            Err(error) => WriteProgress::from_error(&error),
                        };
                    }
                    read = &mut reading => break read,
                }
            }
        };
        let needs_regular_end = |answer: &ReadAnswer| {
            answer.framing == message::BodyFraming::UntilClose && !answer.meaning.is_not_run()
        };
        if writing == WriteProgress::Broken && read.as_ref().is_ok_and(needs_regular_end) {
            log::debug!("the connection broke in an answer without a length");
            return Err(ExchangeFault::Lost { in_answer: true });
        }
        let unusable = writing != WriteProgress::Done || reader.has_excess_bytes();
        if let Some(answer) = read.as_mut().ok().filter(|_| unusable) {
            // The unwritten rest of the request, or the bytes after the answer, would corrupt the
            // next exchange on the connection.
            answer.keep_alive = message::KeepAlive::No;
        }
        if let Some(identity) = trace.identity {
            connection.record_identity(identity);
        }
        read
    }

    /// Reads answers until the one to this request.
    async fn read<R>(
        &self,
        run: &effect::RunOrder,
        reader: &mut message::AnswerReader<R>,
        trace: &mut event::ExchangeTrace,
    ) -> Result<ReadAnswer, ExchangeFault>
    where
        R: tokio::io::AsyncRead + Unpin,
    {
        loop {
            let answer = self.read_one(run, reader, trace).await;
            let mut answer =
                answer.map_err(|fault| self.record_fault(&fault, reader.has_begun()))?;
            if answer.meaning != target::AnswerMeaning::Unrelated {
                if trace.unrelated > 0 {
                    answer.keep_alive = message::KeepAlive::No;
                }
                return Ok(answer);
            }
            trace.unrelated += 1;
            if trace.unrelated > MAX_UNRELATED_ANSWERS {
                return Err(ExchangeFault::Lost { in_answer: true });
            }
        }
    }

    async fn read_one<R>(
        &self,
        run: &effect::RunOrder,
        reader: &mut message::AnswerReader<R>,
        trace: &mut event::ExchangeTrace,
    ) -> Result<ReadAnswer, message::AnswerFault>
    where
        R: tokio::io::AsyncRead + Unpin,
    {
        let head = reader.head(&run.request.method).await?;
        let identity = self.dialect.identity(run, &head.parts);
        trace.identity = Some(identity);
        let connection_use = match trace.position {
            1 => target::ConnectionUse::First,
            _ => target::ConnectionUse::Repeated,
        };
        let meaning = self.dialect.classify(run, &head.parts, connection_use);
        let close_meaning = self.dialect.close_meaning();
        let body = reader.body(head.framing, close_meaning, codec::MAX_BODY_BYTES);
        let (body, mut keep_alive) = if meaning.is_not_run() {
            // The head alone proves that the request did not run, and the body reaches no caller.
            let keep_alive = match time::timeout(REFUSAL_BODY_TIMEOUT, body).await {
                Ok(Ok(_)) => head.keep_alive,
                Ok(Err(_)) | Err(_) => message::KeepAlive::No,
            };
            (Bytes::new(), keep_alive)
        } else {
            (body.await?, head.keep_alive)
        };
        if identity != event::AnswerIdentity::Named && self.dialect.names_answers() {
            keep_alive = message::KeepAlive::No;
        }
        Ok(ReadAnswer {
            parts: head.parts,
            meaning,
            body,
            framing: head.framing,
            keep_alive,
        })
    }

    fn record_fault(&self, fault: &message::AnswerFault, in_answer: bool) -> ExchangeFault {
        match fault {
            message::AnswerFault::MissingLength => self
                .counters
                .count(counters::EdgeCause::TargetAnswerUnframed),
            message::AnswerFault::NoMemory => {
                self.memory
                    .record_refusal(counters::EdgeCause::TargetAnswerNoMemory);
            }
            message::AnswerFault::Oversized => self
                .counters
                .count(counters::EdgeCause::TargetAnswerOversized),
            message::AnswerFault::Malformed { reason } => {
                log::debug!("the target's answer is malformed: {reason}");
            }
            message::AnswerFault::Broken(_) | message::AnswerFault::UnexpectedEnd => {}
        }
        ExchangeFault::Lost { in_answer }
    }

    fn conclude(
        &self,
        run: &effect::RunOrder,
        connection: pool::TargetConnection,
        answer: ReadAnswer,
    ) -> RunReport {
        let statement = Some(self.dialect.statement(&answer.parts));
        match answer.meaning {
            target::AnswerMeaning::Answer => {}
            target::AnswerMeaning::Refused => {
                self.pool.release(connection, answer.keep_alive);
                let outcome = event::RunOutcome::Refused;
                return RunReport {
                    outcome,
                    statement,
                    exchange: None,
                };
            }
            target::AnswerMeaning::Misdirected { holder } => {
                return event::RunOutcome::Misdirected { holder }.into();
            }
            target::AnswerMeaning::Unrelated | target::AnswerMeaning::Invalid => {
                return event::RunOutcome::Broken { in_answer: true }.into();
            }
        }
        self.pool.release(connection, answer.keep_alive);
        let head = answer.parts;
        let not_modified = head.status == http::StatusCode::NOT_MODIFIED;
        let bodiless = run.request.method == "HEAD" || not_modified;
        let is_internal = |name: &str| self.dialect.is_internal_header(name);
        let outcome = event::RunOutcome::Answered(call::CallAnswer {
            status: head.status.as_u16(),
            headers: hops::answer_lines(&head.headers, bodiless, is_internal),
            body: answer.body,
        });
        RunReport {
            outcome,
            statement,
            exchange: None,
        }
    }

    fn count(&self, outcome: &event::RunOutcome) {
        let cause = match outcome {
            event::RunOutcome::Answered(_) => return,
            event::RunOutcome::Refused => counters::EdgeCause::TargetRefused,
            event::RunOutcome::Misdirected { .. } => counters::EdgeCause::TargetMisdirected,
            event::RunOutcome::Unreachable => counters::EdgeCause::TargetUnreachable,
            event::RunOutcome::Withdrawn => counters::EdgeCause::TargetWithdrawn,
            event::RunOutcome::Broken { in_answer: false } => counters::EdgeCause::TargetBroken,
            event::RunOutcome::Broken { in_answer: true } => {
                counters::EdgeCause::TargetAnswerTruncated
            }
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
        | event::RunOutcome::Withdrawn
        | event::RunOutcome::Misdirected { .. }
        | event::RunOutcome::Unreachable => counters::LatencyOutcome::NotRun,
        event::RunOutcome::Broken { .. }
        | event::RunOutcome::TimedOut
        | event::RunOutcome::Cancelled => counters::LatencyOutcome::MayHaveRun,
    }
}

/// A request as it is sent; the body is not copied.
#[derive(Clone)]
struct EncodedRequest {
    head: Bytes,
    body: Bytes,
}

impl EncodedRequest {
    fn new(request: &http::Request<Bytes>) -> Self {
        Self {
            head: encode_head(request),
            body: request.body().clone(),
        }
    }

    /// Head and body in one buffer, so that they can be sent in one segment.
    fn into_buf(self) -> buf::Chain<Bytes, Bytes> {
        self.head.chain(self.body)
    }
}

fn encode_head(request: &http::Request<Bytes>) -> Bytes {
    let (path, body) = (request.uri().path_and_query(), request.body());
    let path = path.map_or("/", |path| path.as_str());
    let mut bytes = BytesMut::with_capacity(256);
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
    bytes.freeze()
}

/// Whether the request states a content length: if it has a body, or if its method suggests one.
fn states_length(request: &http::Request<Bytes>) -> bool {
    let method = request.method();
    let suggests_body = method == http::Method::POST || method == http::Method::PUT;
    suggests_body || method == http::Method::PATCH || !request.body().is_empty()
}

fn append_line(bytes: &mut BytesMut, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
