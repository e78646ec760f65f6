//! Clients read large answers slowly while the machine that took their requests gets SIGTERM.

use std::io::Read;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::SIGTERM;
use crate::http::{Connection, Message};
use crate::upstream::{Next, Upstream};
use crate::{Deployment, Finding};

/// Clients, each with one request.
const CLIENTS: usize = 4;

/// Bytes of an answer.
const ANSWER_BYTES: usize = 3 * 1024 * 1024;

/// Bytes that a client reads in each step, and the time between two steps while it is slow.
const STEP_BYTES: usize = 2 * 1024;
const STEP_TIME: Duration = Duration::from_millis(20);

/// How long a client reads slowly; then it reads the rest at once. The whole answer takes it less
/// than 5 s, which is within the grace of 6 s and far from the deadline of 20 s.
const SLOW_TIME: Duration = Duration::from_millis(4_500);

fn serve(upstream: &Upstream, connection: &mut Connection, request: &Message) -> Next {
    let id = upstream.begin(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{id}\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
    );
    let sent = connection.send(head.as_bytes());
    match sent.and_then(|()| connection.send(&vec![b'a'; ANSWER_BYTES])) {
        Ok(()) => {
            upstream
                .record
                .line(&format!("{} has answered {id} whole", upstream.id));
            Next::Keep
        }
        Err(_) => Next::Close,
    }
}

pub fn play(deployment: &Deployment, trouble: bool) -> Finding {
    let record = &deployment.record;
    let upstreams = deployment.start_upstreams(8, Arc::new(serve));
    let entry = deployment.node("side-a-2");
    let began = Instant::now();
    let (mut whole, mut cut) = (0, 0);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || read_slowly(deployment, number)))
            .collect();
        if trouble {
            // By now all requests are read and passed on.
            thread::sleep(Duration::from_millis(700));
            record.line("SIGTERM to side-a-2");
            let at = Instant::now();
            entry.signal(SIGTERM);
            let ended = entry.wait(Duration::from_secs(6));
            let took = at.elapsed().as_secs_f64();
            record.line(&format!(
                "side-a-2 has ended by itself: {ended}, after {took:.2} s"
            ));
        }
        for client in clients {
            match client.join().unwrap() {
                Some(true) => whole += 1,
                Some(false) => cut += 1,
                None => {}
            }
        }
    });
    upstreams.iter().for_each(|upstream| upstream.stop());
    let took = began.elapsed().as_secs_f64();
    let ran = Upstream::runs(&upstreams);
    record.line(&format!(
        "{ran} runs, {whole} whole answers, {cut} cut, {took:.1} s"
    ));
    match (cut, whole) {
        (0, CLIENTS) => Finding::Held,
        (0, _) => Finding::Unfit("not all requests were passed on".to_owned()),
        _ => Finding::Broken,
    }
}

/// Sends a request and reads its answer slowly; whether the answer was whole, if one began.
fn read_slowly(deployment: &Deployment, number: usize) -> Option<bool> {
    let record = &deployment.record;
    let id = format!("{:016x}", 0x510e_0000 + number);
    let mut connection = Connection::open_small(deployment.node("side-a-2").outbound).ok()?;
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(10)));
    let request = format!(
        "GET /read/{number} HTTP/1.1\r\nHost: read.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 20000\r\n\r\n"
    );
    record.line(&format!("client sends {id}"));
    connection.send(request.as_bytes()).ok()?;
    let head = connection.head().ok()??;
    let (status, length) = (head.status(), head.length());
    record.line(&format!(
        "client gets the head for {id}: {status}, {length} bytes"
    ));
    if status != 200 {
        return None;
    }
    let mut got = connection.buffer.len();
    let mut step = vec![0; STEP_BYTES];
    let began = Instant::now();
    while got < length {
        if began.elapsed() < SLOW_TIME {
            thread::sleep(STEP_TIME);
        }
        match connection.stream.read(&mut step) {
            Ok(0) => break,
            Ok(read) => got += read,
            Err(error) => {
                record.line(&format!("the connection of {id} breaks: {error}"));
                break;
            }
        }
    }
    let end = if got < length {
        "ends early"
    } else {
        "is whole"
    };
    record.line(&format!(
        "the answer to {id} {end}: {got} of {length} bytes"
    ));
    Some(got == length)
}
