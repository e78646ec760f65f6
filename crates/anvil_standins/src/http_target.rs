//! A target that records what it gets and answers as the path says.
//!
//! | path | what it does |
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

/// The body breaks off here, on purpose.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("the target breaks off")]
pub struct BreakOff;

type AnswerBody = UnsyncBoxBody<Bytes, BreakOff>;

/// One request as the target got it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// Method, path and headers.
    pub head: Arc<request::Parts>,
    /// The whole body.
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

/// A target on a free port of the loopback address; it ends when dropped.
#[derive(Debug)]
pub struct StandInTarget {
    address: SocketAddr,
    record: Arc<TargetRecord>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl StandInTarget {
    /// Starts a target that keeps every request it sees.
    pub fn start() -> std::io::Result<Self> {
        Self::launch(true)
    }

    /// Starts a target that keeps nothing, for measurements.
    pub fn start_forgetful() -> std::io::Result<Self> {
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

    /// Everything it got so far, in order.
    pub fn seen(&self) -> Vec<SeenRequest> {
        let seen = self.record.seen.lock();
        seen.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.record.connections.load(Ordering::Relaxed)
    }

    /// Requests whose connection closed before their answer.
    pub fn abandoned(&self) -> u64 {
        self.record.abandoned.load(Ordering::Relaxed)
    }
}

impl Drop for StandInTarget {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the stand-in shows in the test's output.
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

struct Presence {
    record: Arc<TargetRecord>,
    waiting: bool,
}

impl Drop for Presence {
    fn drop(&mut self) {
        if self.waiting {
            self.record.abandoned.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn respond(
    record: Arc<TargetRecord>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, BreakOff> {
    let (head, body) = request.into_parts();
    let mut presence = Presence {
        record: record.clone(),
        waiting: true,
    };
    let body = body.collect().await.map_err(|_| BreakOff)?.to_bytes();
    let head = Arc::new(head);
    if record.recording {
        let seen = SeenRequest {
            head: head.clone(),
            body: body.clone(),
        };
        let mut list = record.seen.lock().unwrap_or_else(PoisonError::into_inner);
        list.push(seen);
    }
    let answer = answer(head.uri.path(), body).await;
    presence.waiting = false;
    answer
}

async fn answer(path: &str, body: Bytes) -> Result<Response<AnswerBody>, BreakOff> {
    let (order, argument) = path
        .trim_start_matches('/')
        .split_once('/')
        .unwrap_or((path.trim_start_matches('/'), "0"));
    let number: u64 = argument.parse().unwrap_or(0);
    match order {
        "slow" => {
            tokio::time::sleep(Duration::from_millis(number)).await;
            Ok(whole(StatusCode::OK, body))
        }
        "refuse" => {
            let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let mark = http::HeaderValue::from_static("1");
            response.headers_mut().insert("anvil-not-run", mark);
            Ok(response)
        }
        "drop" => Err(BreakOff),
        "cut" => Ok(Response::new(cut().await)),
        "chunked" => Ok(Response::new(chunked(&body).await)),
        "bytes" => {
            let count = usize::try_from(number).unwrap_or(0);
            Ok(whole(StatusCode::OK, Bytes::from(vec![b'x'; count])))
        }
        "status" => {
            let code = u16::try_from(number).unwrap_or(500);
            let status = StatusCode::from_u16(code).unwrap_or(StatusCode::IM_A_TEAPOT);
            Ok(whole(status, body))
        }
        _ => Ok(whole(StatusCode::OK, body)),
    }
}

fn whole(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let body = if body.is_empty() {
        Empty::new().map_err(never).boxed_unsync()
    } else {
        Full::new(body).map_err(never).boxed_unsync()
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn never(never: Infallible) -> BreakOff {
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

/// A first half, and then the end of the connection.
async fn cut() -> AnswerBody {
    let (sender, receiver) = mpsc::channel(2);
    let half = Frame::data(Bytes::from_static(b"the first half"));
    let _ = sender.send(Ok(half)).await;
    tokio::spawn(async move {
        // The first half has to leave before the connection breaks.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let _ = sender.send(Err(BreakOff)).await;
    });
    stream(receiver)
}

fn stream(receiver: mpsc::Receiver<Result<Frame<Bytes>, BreakOff>>) -> AnswerBody {
    ChannelBody { receiver }.boxed_unsync()
}

/// A body whose frames come from a channel.
struct ChannelBody {
    receiver: mpsc::Receiver<Result<Frame<Bytes>, BreakOff>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BreakOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BreakOff>>> {
        self.receiver.poll_recv(context)
    }
}
