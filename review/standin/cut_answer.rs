//! An upstream answers before it has read a long body, with a body of its own that has no length
//! and ends with the connection; the connection is reset in the middle of that answer.

use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::upstream::{Next, Upstream};
use crate::{Deployment, Finding};

/// Requests, one after the other.
const REQUESTS: usize = 12;

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

fn serve(
    upstream: &Upstream,
    connection: &mut Connection,
    request: &Message,
    trouble: bool,
) -> Next {
    let id = upstream.begin(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{id}\r\nConnection: close\r\n\r\n"
    );
    let body = answer_body(&id);
    let _ = connection.stream.write_all(head.as_bytes());
    if trouble {
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
    let upstreams = deployment.start_upstreams(
        8,
        Arc::new(
            move |upstream: &Upstream, connection: &mut Connection, request: &Message| {
                serve(upstream, connection, request, trouble)
            },
        ),
    );
    let entry = deployment.node("side-a-1");
    let (mut served, mut broken) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x5eed_0000 + number);
        let headers = format!(
            "Host: file.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 20000\r\nContent-Length: {REQUEST_BYTES}\r\n"
        );
        record.line(&format!("client sends {id}"));
        let Ok(mut connection) = Connection::open(entry.outbound) else {
            return Finding::Unfit("the node accepts no connection".to_owned());
        };
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(25)));
        let sent = connection
            .send(format!("POST /file/{number} HTTP/1.1\r\n{headers}\r\n").as_bytes())
            .and_then(|()| connection.send(&vec![b'x'; REQUEST_BYTES]));
        let answer = sent.and_then(|()| connection.message());
        let Ok(Some(answer)) = answer else {
            record.line(&format!("client gets no answer to {id}: {answer:?}"));
            continue;
        };
        let (status, got) = (answer.status(), answer.body.len());
        let whole = answer_body(&id);
        let stamp = answer.header("server-stamp").unwrap_or("none").to_owned();
        record.line(&format!(
            "client gets {status} for {id}, stamp {stamp}, {got} of {} bytes, content-length {:?}",
            whole.len(),
            answer.header("content-length")
        ));
        if status == 200 && answer.body == whole {
            served += 1;
        }
        if (200..300).contains(&status) && answer.body != whole {
            broken += 1;
            record.line(&format!(
                "MIXED: {id} is a success with a part of the upstream's body"
            ));
        }
    }
    upstreams.iter().for_each(|upstream| upstream.stop());
    let ran = Upstream::runs(&upstreams);
    record.line(&format!(
        "{ran} runs, {served} whole answers, {broken} broken"
    ));
    match (broken, ran) {
        (_, 0) => Finding::Unfit("no request ran".to_owned()),
        (0, _) if !trouble && served < REQUESTS => {
            Finding::Unfit("without the trouble, not all requests were served".to_owned())
        }
        (0, _) => Finding::Held,
        _ => Finding::Broken,
    }
}
