//! Large frames on connections between nodes that move slowly, but move.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use anvil_types::verdict;
use common::fake_peer;
use tokio::net::TcpSocket;

/// More than the sockets hold, so that the node has to write it while the other side reads.
const BODY_BYTES: usize = 8_000_000;

/// Bytes of each slow step, and the time between two: four seconds for a body.
const STEP_BYTES: usize = 100_000;
const STEP_TIME: Duration = Duration::from_millis(50);

/// Buffer of the slow side's socket, in bytes.
const SOCKET_BYTES: u32 = 64 * 1024;

/// Connects with a small receive buffer, so that the node can't write ahead of the reader.
fn connect_narrow(address: SocketAddr) -> TcpStream {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let stream = runtime.block_on(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SOCKET_BYTES).unwrap();
        let stream = socket.connect(address).await.unwrap();
        stream.into_std().unwrap()
    });
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(common::TEST_TIMEOUT)).unwrap();
    stream
}

/// A stream that is read a step at a time.
struct SlowStream(TcpStream);

impl Read for SlowStream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let length = buffer.len().min(STEP_BYTES);
        let read = self.0.read(&mut buffer[..length])?;
        thread::sleep(
            STEP_TIME * u32::try_from(read).unwrap() / u32::try_from(STEP_BYTES).unwrap(),
        );
        Ok(read)
    }
}

// Guards against an answer that is cut because the other node takes seconds to read it.
#[test]
fn an_answer_that_a_node_reads_slowly_arrives_whole() {
    let pair = common::Pair::start("");
    let stream = connect_narrow(pair.node.bound().peer);
    let mut peer = fake_peer::FakePeer::open(stream);
    peer.send(&fake_peer::call_of(1, &format!("/bytes/{BODY_BYTES}")));
    let begun = Instant::now();
    let mut reader = SlowStream(peer.socket.try_clone().unwrap());
    let answer = peer.receive_answer_from(&mut reader);
    assert!(begun.elapsed() > Duration::from_secs(2), "it was not slow");
    assert_eq!(answer.verdict, verdict::CallVerdict::Answered);
    assert_eq!(answer.answer.unwrap().body.len(), BODY_BYTES);
}

// Guards against an answer that is given up because it takes seconds to arrive.
#[test]
fn an_answer_that_a_node_sends_slowly_arrives_whole() {
    let (node, mut peer) = common::entry_with_fake_peer("");
    let caller = node.bound().caller;
    let request = thread::spawn(move || common::request(caller, "POST", "/claims").send().unwrap());
    let call = peer.receive_call();
    let body = "x".repeat(BODY_BYTES);
    for bytes in peer
        .sealed_answer(call.call, call.attempt, &body)
        .chunks(STEP_BYTES)
    {
        peer.socket.write_all(bytes).unwrap();
        thread::sleep(STEP_TIME);
    }
    let response = request.join().unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.bytes().unwrap().len(), BODY_BYTES);
}
