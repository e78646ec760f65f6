//! The budget for bodies: what it bounds, who gets it, and what the others are told.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread;
use std::time::{Duration, Instant};

use anvil_node::caller::{intake, native, pipeline, server};
use anvil_node::peer::bodies;
use anvil_node::target::parent;
use anvil_node::{counters, memory};
use anvil_types::{ident, verdict};
use anvil_wire::{body, frame};
use bytes::Bytes;
use common::fake_peer;
use http_body_util::Full;
use tokio::sync::Notify;

/// The least memory that the settings allow: 32 MB for bodies, 28 MB of them for requests.
const LIMITS: &str = "  memory_mb: 64\n  answer_wait_ms: 1000\n";
const SMALL_INSTANCE_BYTES: u64 = 64_000_000;

/// A body of which the requests' share holds three.
const BODY_BYTES: usize = 8 << 20;

/// Longer than the shortest time after which an unfinished request may be given up.
const OLD: Duration = Duration::from_millis(1_200);

/// Longer than a step that waits for nothing.
const SHORT: Duration = Duration::from_millis(100);

fn small_memory() -> memory::BodyMemory {
    let counters = counters::EdgeCounters::new().unwrap();
    memory::BodyMemory::new(SMALL_INSTANCE_BYTES, counters)
}

fn large_body() -> Bytes {
    Bytes::from(vec![b'x'; BODY_BYTES])
}

// Guards against answers that find no memory because requests have taken all of it.
#[test]
fn requests_leave_memory_for_answers() {
    let memory = small_memory();
    let mut requests = memory.lease(memory::BodyKind::Request);
    assert!(requests.try_grow(memory.largest_request()).is_ok());
    assert!(requests.try_grow(memory.largest_request() + 1).is_err());
    let mut answers = memory.lease(memory::BodyKind::Answer);
    assert!(answers.try_grow(3_000_000).is_ok());
}

// Guards against a lease that ends with one part of the node while another still holds the body.
#[test]
fn a_lease_lasts_as_long_as_the_last_copy_of_its_body() {
    let memory = small_memory();
    let owned = memory.own(memory::BodyKind::Request, large_body()).unwrap();
    let part = owned.slice(..10);
    drop(owned);
    assert_eq!(memory.held_bytes(), BODY_BYTES);
    drop(part);
    assert_eq!(memory.held_bytes(), 0);
}

// Guards against large requests that keep out the small ones of everybody else.
#[test]
fn large_requests_leave_memory_for_small_ones() {
    let memory = small_memory();
    let mut large = memory.lease(memory::BodyKind::Request);
    large.try_grow(memory.largest_request()).unwrap();
    let small = Bytes::from(vec![b'x'; memory::SMALL_REQUEST_BYTES]);
    let owned = memory.own(memory::BodyKind::Request, small);
    assert!(owned.is_ok());
    let medium = Bytes::from(vec![b'x'; memory::SMALL_REQUEST_BYTES + 1]);
    assert!(memory.own(memory::BodyKind::Request, medium).is_err());
    drop((large, owned));
    assert_eq!(memory.held_bytes(), 0);
}

// Guards against large answers that nobody reads and that keep out the small ones of everybody else.
#[test]
fn large_answers_leave_memory_for_small_ones() {
    let memory = small_memory();
    let answers: Vec<_> = (0..10)
        .map_while(|_| memory.own(memory::BodyKind::Answer, large_body()).ok())
        .collect();
    assert_eq!(answers.len(), 3);
    let small = Bytes::from(vec![b'x'; memory::SMALL_ANSWER_BYTES]);
    assert!(memory.own(memory::BodyKind::Answer, small).is_ok());
}

// Guards against callers that go on and lose to others, as their bodies take long.
#[tokio::test]
async fn a_hold_that_moves_is_kept() {
    let memory = small_memory();
    let mut held = memory.lease(memory::BodyKind::Request);
    held.try_grow(memory.largest_request()).unwrap();
    let evicted = Arc::new(Notify::new());
    let hold = memory.hold(evicted.clone());
    tokio::time::sleep(OLD).await;
    hold.record_progress(Instant::now());
    let mut young = memory.lease(memory::BodyKind::Request);
    assert!(young.grow(BODY_BYTES).await.is_err());
}

// Guards against requests with hardly a body that find no memory.
#[test]
fn the_smallest_bodies_need_no_lease() {
    let memory = small_memory();
    let mut all = memory.lease(memory::BodyKind::Answer);
    while all.try_grow(memory.held_bytes() + 1_000_000).is_ok() {}
    let small = Bytes::from(vec![b'x'; memory::FREE_BYTES]);
    assert!(memory.own(memory::BodyKind::Request, small).is_ok());
    assert!(memory.own(memory::BodyKind::Request, large_body()).is_err());
}

// Guards against clients that stop in the middle and keep the memory from those that go on.
#[tokio::test]
async fn an_old_hold_makes_room_for_a_new_request() {
    let memory = small_memory();
    let mut held = memory.lease(memory::BodyKind::Request);
    held.try_grow(memory.largest_request()).unwrap();
    let evicted = Arc::new(Notify::new());
    let hold = memory.hold(evicted.clone());
    let mut young = memory.lease(memory::BodyKind::Request);
    assert!(
        young.grow(BODY_BYTES).await.is_err(),
        "nothing was old enough"
    );
    tokio::time::sleep(OLD).await;
    let holder = async {
        evicted.notified().await;
        drop((held, hold));
    };
    let (grown, ()) = tokio::join!(young.grow(BODY_BYTES), holder);
    assert!(grown.is_ok());
}

/// Sends all but the last byte of a body, and keeps the connection open.
fn stalled_request(pair: &common::Pair) -> TcpStream {
    let head =
        format!("POST /x HTTP/1.1\r\nhost: audiencias\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    let mut stream = common::raw(pair.caller(), head.as_bytes());
    // A refused client may find its connection closed.
    let _ = stream.write_all(&vec![b'x'; BODY_BYTES - 1]);
    stream
}

// Guards against a refusal that promises nothing, names no time to return, or is not counted.
#[test]
fn a_body_without_memory_is_refused_as_not_run() {
    let pair = common::Pair::start(LIMITS);
    let held: Vec<_> = (0..3).map(|_| stalled_request(&pair)).collect();
    common::await_true("the memory is taken", || {
        pair.node.counters().body_bytes().get() > 24_000_000
    });
    let answer = common::read_to_close(stalled_request(&pair));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    let lower = answer.to_ascii_lowercase();
    assert!(lower.contains("retry-after: 1\r\n"), "{answer}");
    assert!(lower.contains("anvil-outcome: not-run"), "{answer}");
    assert!(answer.contains("\"reason\":\"no-memory\""), "{answer}");
    pair.await_count(counters::EdgeCause::CallerBodyNoMemory, 1);
    pair.assert_serving();
    drop(held);
    assert!(pair.target.seen().iter().all(|seen| seen.body.is_empty()));
}

// Guards against a crowd that keeps a caller with a whole request out for as long as it likes.
#[test]
fn an_old_unfinished_body_gives_way_to_a_whole_one() {
    let pair = common::Pair::start(LIMITS);
    let held: Vec<_> = (0..3).map(|_| stalled_request(&pair)).collect();
    thread::sleep(OLD);
    let whole = pair.request("POST", "/x").bytes(vec![b'y'; BODY_BYTES]);
    assert_eq!(whole.send().unwrap().status(), 200);
    pair.await_count(counters::EdgeCause::CallerBodyNoMemory, 1);
    drop(held);
}

// Guards against a caller that never reads its answer and keeps its memory without end.
#[test]
fn an_answer_that_nobody_reads_is_given_up() {
    let pair = common::Pair::start(LIMITS);
    let head = format!("GET /bytes/{BODY_BYTES} HTTP/1.1\r\nhost: audiencias\r\n\r\n");
    let stream = common::raw(pair.caller(), head.as_bytes());
    pair.await_count(counters::EdgeCause::CallerAnswerUnread, 1);
    common::await_true("the memory is free", || {
        pair.node.counters().body_bytes().get() == 0
    });
    drop(stream);
    pair.assert_serving();
}

// Guards against a caller that is cut off although it reads, if slowly.
#[test]
fn an_answer_that_is_read_slowly_is_not_given_up() {
    let pair = common::Pair::start(LIMITS);
    let head = format!(
        "GET /bytes/{BODY_BYTES} HTTP/1.1\r\nhost: audiencias\r\nconnection: close\r\n\r\n"
    );
    let mut stream = common::raw(pair.caller(), head.as_bytes());
    let (begun, mut read) = (Instant::now(), 0);
    let mut part = vec![0; 256 * 1024];
    loop {
        let length = stream.read(&mut part).unwrap();
        if length == 0 {
            break;
        }
        read += length;
        thread::sleep(Duration::from_millis(75));
    }
    assert!(begun.elapsed() > Duration::from_secs(2), "it was not slow");
    assert!(read > BODY_BYTES, "{read} bytes");
}

fn caller_edge(memory: &memory::BodyMemory) -> Arc<server::CallerEdge> {
    let wait = Duration::from_secs(1);
    Arc::new(server::CallerEdge {
        engine: flume::unbounded().0,
        dialect: Arc::new(native::NativeCallers {
            issuer: parent::TokenIssuer::new([7; 32]),
        }),
        counters: counters::EdgeCounters::new().unwrap(),
        memory: memory.clone(),
        limits: server::CallerLimits {
            connections: 1,
            header_bytes: 8_192,
            header_count: 10,
            header_wait: wait,
            idle_wait: wait,
            body: intake::BodyLimits {
                bytes: BODY_BYTES,
                wait,
            },
            answer_wait: wait,
        },
        handles: AtomicU64::new(0),
    })
}

// Guards against a connection that is closed for the answer before the one that it is writing.
#[tokio::test]
async fn an_answer_is_not_evicted_for_the_one_before() {
    let memory = small_memory();
    let pipeline = pipeline::RequestPipeline::new(
        caller_edge(&memory),
        anvil_node::caller::head_timer::HeadTimer::start(),
    );
    let mut others = memory.lease(memory::BodyKind::Answer);
    others.try_grow(BODY_BYTES).unwrap();
    let response = http::Response::new(Full::new(large_body()));
    for is_read in [true, false] {
        pipeline.begin_writing(&response);
        tokio::time::sleep(OLD).await;
        assert!(others.grow_or_evict(usize::MAX / 2).is_err());
        if is_read {
            pipeline.begin_writing(&response);
        }
        let evicted = tokio::time::timeout(SHORT, pipeline.evicted()).await;
        assert_eq!(evicted.is_err(), is_read);
    }
}

/// The parts of a body of `total` bytes.
fn parts(owner: body::BodyOwner, total: usize) -> impl Iterator<Item = frame::PeerFrame> {
    let part = Bytes::from(vec![b'x'; body::MAX_PART_BYTES]);
    let part = body::BodyPart {
        owner,
        total: u32::try_from(total).unwrap(),
        bytes: part,
    };
    let count = total / body::MAX_PART_BYTES;
    std::iter::repeat_n(frame::PeerFrame::Body(Box::new(part)), count)
}

// Guards against a call that runs without its body, or ends a node that has no memory for it.
#[test]
fn a_call_without_memory_is_refused_as_not_run() {
    let pair = common::Pair::start(LIMITS);
    let mut peer = fake_peer::FakePeer::connect(pair.node.bound().peer);
    let owner = body::BodyOwner {
        call: ident::CallId {
            node: fake_peer::NODE,
            sequence: 1,
        },
        attempt: 1,
        is_answer: false,
    };
    for part in parts(owner, 40 << 20) {
        peer.send(&part);
    }
    peer.send(&fake_peer::call_of(1, "/x"));
    let answer = peer.receive_answer();
    let no_memory = verdict::CallVerdict::NotRun(verdict::RefusalReason::NoMemory);
    assert_eq!(answer.verdict, no_memory);
    pair.await_count(counters::EdgeCause::PeerCallNoMemory, 1);
    assert!(pair.target.seen().is_empty());
    assert_eq!(pair.node.counters().body_bytes().get(), 0);
}

// Guards against an answer that reaches its caller without its body, as a success.
#[test]
fn an_answer_without_memory_is_no_success() {
    let (node, mut peer) = common::entry_with_fake_peer(LIMITS);
    let caller = node.bound().caller;
    let request = thread::spawn(move || common::request(caller, "GET", "/x").send().unwrap());
    let call = peer.receive_call();
    let owner = body::BodyOwner {
        call: call.call,
        attempt: call.attempt,
        is_answer: true,
    };
    for part in parts(owner, 40 << 20) {
        peer.send(&part);
    }
    peer.answer(call.call, call.attempt, "");
    assert_eq!(request.join().unwrap().status(), 502);
    let counted = node
        .counters()
        .total(counters::EdgeCause::PeerAnswerNoMemory);
    assert_eq!(counted, 1);
}

fn large_call(sequence: u64) -> frame::PeerFrame {
    let mut call = fake_peer::call_of(sequence, "/x");
    *body::body_mut(&mut call).unwrap() = Bytes::from(vec![b'x'; 3 * body::MAX_PART_BYTES]);
    call
}

// Guards against small requests that wait behind large ones, and against calls that are cut apart.
#[test]
fn a_large_body_crosses_in_parts_that_others_pass() {
    let mut frames = bodies::LargeFrames::default();
    let mut assembly = bodies::BodyAssembly::new(small_memory());
    assert_eq!(frames.take(large_call(1)), None);
    let small = fake_peer::call_of(2, "/y");
    for _ in 0..3 {
        let Some(frame::PeerFrame::Body(part)) = frames.next_frame() else {
            panic!("a part was expected");
        };
        assembly.add(&part);
        let passing = frames.take(small.clone()).unwrap();
        let received = assembly.complete(passing);
        assert_eq!(received, bodies::ReceivedFrame::Whole(small.clone()));
    }
    let last = frames.next_frame().unwrap();
    assert!(frames.is_empty());
    let received = assembly.complete(last);
    assert_eq!(received, bodies::ReceivedFrame::Whole(large_call(1)));
}

// Guards against a call that is told as possibly run although only a part of its body was sent.
#[test]
fn a_call_is_unsent_until_its_whole_body_is_sent() {
    let mut frames = bodies::LargeFrames::default();
    frames.take(large_call(1));
    frames.take(large_call(2));
    frames.next_frame();
    assert_eq!(frames.into_unsent(), [large_call(1), large_call(2)]);
}

// Guards against a call that is sent after its caller has left.
#[test]
fn a_cancelled_call_is_not_sent() {
    let mut frames = bodies::LargeFrames::default();
    frames.take(large_call(1));
    frames.next_frame();
    let cancel = frame::PeerFrame::Cancel {
        call: ident::CallId {
            node: fake_peer::NODE,
            sequence: 1,
        },
        attempt: 1,
    };
    assert_eq!(frames.take(cancel.clone()), Some(cancel));
    assert!(frames.is_empty());
}
