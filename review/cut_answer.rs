//! An upstream answers before it has read a long body, with a body of its own that has no length
//! and ends with the connection; the connection is reset in the middle of that answer.

use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::upstream::{Next, Upstream};
use crate::{Deployment, Finding};

/// Clients, and the requests that each sends one after the other.
const CLIENTS: usize = 4;
const REQUESTS: usize = 40;

/// One in so many answers is cut: a tenth, twice the largest dose of the sites' answers without a
/// length.
const CUT_INTERVAL: usize = 10;

/// Bytes of a request's body; far below the operator's limit of 64 MiB.
const REQUEST_BYTES: usize = 6 * 1024 * 1024;

/// Lines of the upstream's whole answer.
const ANSWER_LINES: usize = 400;

fn answer_body(id: &str) -> Vec<u8> {
    let line = |number: usize| format!("{id} line {number:04} of {ANSWER_LINES:04}\n");
    (1..=ANSWER_LINES)
        .map(line)
        .collect::<String>()
        .into_bytes()
}

fn serve(upstream: &Upstream, connection: &mut Connection, request: &Message, cut: bool) -> Next {
    let id = upstream.begin(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{id}\r\nConnection: close\r\n\r\n"
    );
    let body = answer_body(&id);
    let _ = connection.stream.write_all(head.as_bytes());
    if cut {
        // Half of the answer; then the socket is closed with unread bytes, which resets the
        // connection, as the end of the upstream's process does.
        let _ = connection.stream.write_all(&body[..body.len() / 2]);
        thread::sleep(Duration::from_millis(200));
        upstream
            .record
            .line(&format!("{} resets the connection of {id}", upstream.id));
        return Next::Close;
    }
    let _ = connection.stream.write_all(&body);
    thread::sleep(Duration::from_millis(200));
    // The whole answer, then the rest of the request, then a regular end.
    let _ = connection.body(request.length());
    let _ = connection.stream.shutdown(Shutdown::Write);
    let _ = connection.head();
    Next::Close
}

pub fn play(deployment: &Deployment, trouble: bool) -> Finding {
    let record = &deployment.record;
    let runs = AtomicUsize::new(0);
    let upstreams = deployment.start_upstreams(
        8,
        Arc::new(
            move |upstream: &Upstream, connection: &mut Connection, request: &Message| {
                let run = runs.fetch_add(1, Ordering::SeqCst);
                let cut = trouble && run % CUT_INTERVAL == CUT_INTERVAL - 1;
                serve(upstream, connection, request, cut)
            },
        ),
    );
    let counts: Vec<(usize, usize)> = std::thread::scope(|scope| {
        let client = |client| scope.spawn(move || run_client(deployment, client));
        let clients: Vec<_> = (0..CLIENTS).map(client).collect();
        clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .collect()
    });
    upstreams.iter().for_each(|upstream| upstream.stop());
    let ran = Upstream::runs(&upstreams);
    let served: usize = counts.iter().map(|(served, _)| served).sum();
    let broken: usize = counts.iter().map(|(_, broken)| broken).sum();
    record.line(&format!(
        "{ran} runs, {served} whole answers, {broken} cut answers told as whole"
    ));
    match (broken, ran) {
        (0, 0) => Finding::Unfit("no request ran".to_owned()),
        (0, _) if !trouble && served < CLIENTS * REQUESTS => {
            Finding::Unfit("without the trouble, not all requests were served".to_owned())
        }
        (0, _) => Finding::Held,
        _ => Finding::Broken,
    }
}

/// Sends the requests of a client; how many were served whole, and how many cut answers were told
/// as whole.
fn run_client(deployment: &Deployment, client: usize) -> (usize, usize) {
    let (mut served, mut broken) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x5eed_0000 + client * 256 + number);
        match fetch(deployment, &id) {
            Some(true) => served += 1,
            Some(false) => broken += 1,
            None => {}
        }
    }
    (served, broken)
}

/// Sends one request: whether its success has the upstream's whole body, `None` without a success.
fn fetch(deployment: &Deployment, id: &str) -> Option<bool> {
    let record = &deployment.record;
    let head = format!(
        "POST /file/{id} HTTP/1.1\r\nHost: file.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 20000\r\nContent-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    record.line(&format!("client sends {id}"));
    let mut connection = Connection::open(deployment.node("side-a-1").outbound).ok()?;
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(25)));
    let sent = connection
        .send(head.as_bytes())
        .and_then(|()| connection.send(&vec![b'x'; REQUEST_BYTES]));
    let answer = sent.and_then(|()| connection.message());
    let Ok(Some(answer)) = answer else {
        record.line(&format!("client gets no whole answer to {id}"));
        return None;
    };
    let (status, whole) = (answer.status(), answer_body(id));
    let stamp = answer.header("server-stamp").unwrap_or("none");
    record.line(&format!(
        "client gets {status} for {id}, stamp {stamp}, {} of {} bytes, content-length {:?}",
        answer.body.len(),
        whole.len(),
        answer.header("content-length")
    ));
    if !(200..300).contains(&status) {
        return None;
    }
    if answer.body != whole {
        record.line(&format!(
            "MIXED: {id} is a success with a part of the upstream's body"
        ));
    }
    Some(answer.body == whole)
}
