//! A target that records its requests and whose behaviour is chosen by the request's path.
//!
//! | path | behaviour |
//! |---|---|
//! | `/slow/MILLIS` | answers after a pause |
//! | `/refuse` | refuses with 503 and `anvil-not-run: 1` |
//! | `/drop` | closes the connection without an answer |
//! | `/cut` | closes the connection in the middle of its answer |
//! | `/chunked` | answers the request's body in chunks |
//! | `/bytes/COUNT` | answers that many bytes |
//! | `/status/CODE` | answers with that status |
//! | anything else | answers the request's body |

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::{Request, Response, StatusCode, request};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};

use crate::client;

/// Error that breaks a connection on purpose.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("the target closed the connection on purpose")]
pub struct ConnectionAborted;

type AnswerBody = UnsyncBoxBody<Bytes, ConnectionAborted>;

/// One request as the target received it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// Method, path and headers.
    pub head: Arc<request::Parts>,
    /// The complete body.
    pub body: Bytes,
}

impl SeenRequest {
    /// The value of a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.head.headers.get(name)?;
        value.to_str().ok()
    }
}

#[derive(Debug, Default)]
struct TargetRecord {
    seen: Mutex<Vec<SeenRequest>>,
    connections: AtomicU64,
    abandoned: AtomicU64,
    recording: bool,
}

/// A target on a free port of the loopback address, which stops when dropped.
#[derive(Debug)]
pub struct StandInTarget {
    address: SocketAddr,
    record: Arc<TargetRecord>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl StandInTarget {
    /// Starts a target that records every request.
    pub fn start() -> std::io::Result<Self> {
        Self::launch(true)
    }

    /// Starts a target that records nothing, for measurements.
    pub fn start_without_recording() -> std::io::Result<Self> {
        Self::launch(false)
    }

    fn launch(recording: bool) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let record = Arc::new(TargetRecord {
            recording,
            ..TargetRecord::default()
        });
        let (stop, stopped) = oneshot::channel();
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let serving = record.clone();
        let thread = thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = accept(listener, serving) => {}
                    _ = stopped => {}
                }
            });
        });
        Ok(Self {
            address,
            record,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All requests received so far, in order.
    pub fn seen(&self) -> Vec<SeenRequest> {
        let seen = self.record.seen.lock();
        seen.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.record.connections.load(Ordering::Relaxed)
    }

    /// Number of requests whose connection closed before the answer.
    pub fn abandoned(&self) -> u64 {
        self.record.abandoned.load(Ordering::Relaxed)
    }
}

impl Drop for StandInTarget {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the stand-in is visible in the test's output.
            let _ = thread.join();
        }
    }
}

async fn accept(listener: TcpListener, record: Arc<TargetRecord>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        record.connections.fetch_add(1, Ordering::Relaxed);
        let record = record.clone();
        let respond = service::service_fn(move |request| respond(record.clone(), request));
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), respond);
        tokio::spawn(serving);
    }
}

/// Counts a request as abandoned if it is dropped before its answer.
struct AbandonGuard {
    record: Arc<TargetRecord>,
    waiting: bool,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if self.waiting {
            self.record.abandoned.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn respond(
    record: Arc<TargetRecord>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, ConnectionAborted> {
    let (head, body) = request.into_parts();
    let mut guard = AbandonGuard {
        record: record.clone(),
        waiting: true,
    };
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionAborted)?
        .to_bytes();
    let head = Arc::new(head);
    if record.recording {
        let seen = SeenRequest {
            head: head.clone(),
            body: body.clone(),
        };
        let mut list = record.seen.lock().unwrap_or_else(PoisonError::into_inner);
        list.push(seen);
    }
    let mut answer = answer(head.uri.path(), body).await;
    guard.waiting = false;
    if let (Ok(answer), Some(token)) = (&mut answer, head.headers.get(client::PARENT_HEADER)) {
        let headers = answer.headers_mut();
        headers.insert(client::PARENT_HEADER, token.clone());
    }
    answer
}

async fn answer(path: &str, body: Bytes) -> Result<Response<AnswerBody>, ConnectionAborted> {
    let (behaviour, argument) = path
        .trim_start_matches('/')
        .split_once('/')
        .unwrap_or((path.trim_start_matches('/'), "0"));
    let number: u64 = argument.parse().unwrap_or(0);
    match behaviour {
        "slow" => {
            tokio::time::sleep(Duration::from_millis(number)).await;
            Ok(response(StatusCode::OK, body))
        }
        "refuse" => {
            let mut refusal = response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let not_run = http::HeaderValue::from_static("1");
            refusal.headers_mut().insert("anvil-not-run", not_run);
            Ok(refusal)
        }
        "drop" => Err(ConnectionAborted),
        "cut" => Ok(Response::new(truncated().await)),
        "chunked" => Ok(Response::new(chunked(&body).await)),
        "bytes" => {
            let count = usize::try_from(number).unwrap_or(0);
            Ok(response(StatusCode::OK, Bytes::from(vec![b'x'; count])))
        }
        "status" => {
            let code = u16::try_from(number).unwrap_or(500);
            let status = StatusCode::from_u16(code).unwrap_or(StatusCode::IM_A_TEAPOT);
            Ok(response(status, body))
        }
        _ => Ok(response(StatusCode::OK, body)),
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let body = if body.is_empty() {
        Empty::new().map_err(never).boxed_unsync()
    } else {
        Full::new(body).map_err(never).boxed_unsync()
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn never(never: Infallible) -> ConnectionAborted {
    match never {}
}

async fn chunked(body: &Bytes) -> AnswerBody {
    const CHUNK: usize = 1_000;
    let (sender, receiver) = mpsc::channel(body.len() / CHUNK + 1);
    for chunk in body.chunks(CHUNK) {
        let frame = Frame::data(Bytes::copy_from_slice(chunk));
        // The channel holds every chunk.
        let _ = sender.send(Ok(frame)).await;
    }
    stream(receiver)
}

/// A body whose connection breaks after the first half.
async fn truncated() -> AnswerBody {
    let (sender, receiver) = mpsc::channel(2);
    let half = Frame::data(Bytes::from_static(b"the first half"));
    let _ = sender.send(Ok(half)).await;
    tokio::spawn(async move {
        // The first half must be sent before the connection breaks.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let _ = sender.send(Err(ConnectionAborted)).await;
    });
    stream(receiver)
}

fn stream(receiver: mpsc::Receiver<Result<Frame<Bytes>, ConnectionAborted>>) -> AnswerBody {
    ChannelBody { receiver }.boxed_unsync()
}

/// A body whose frames come from a channel.
struct ChannelBody {
    receiver: mpsc::Receiver<Result<Frame<Bytes>, ConnectionAborted>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = ConnectionAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionAborted>>> {
        self.receiver.poll_recv(context)
    }
}
