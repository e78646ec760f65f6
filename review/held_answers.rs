//! Clients read large answers slowly, and the platform kills a node that holds more than its memory.

use std::io::Read;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Node, SIGKILL};
use crate::http::{Connection, Message};
use crate::upstream::{Next, Upstream};
use crate::{Deployment, Finding};

/// The memory of a machine in mebibytes, as in the site's settings.
const MEMORY_MB: usize = 260;

/// The machines whose clients read slowly.
const ENTRIES: [&str; 2] = ["side-a-2", "side-b-2"];

/// Clients of such a machine.
const CLIENTS: usize = 13;

/// Requests that a client sends one behind the other on a connection.
const PIPELINED: usize = 5;

/// Bytes of an answer, below the operator's limit of 64 MiB for bodies.
const ANSWER_BYTES: usize = 7 * 1024 * 1024;

/// Ends of a process by itself with which a day counts as a fault.
const ENDS: usize = 3;

/// How long the clients send.
const PLAY_TIME: Duration = Duration::from_secs(60);

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Bytes that a client reads in each step, and the time between two steps of a slow client. It reads
/// 1 MB a second and needs 36 s for its five answers; its deadline is 60 s.
const STEP_BYTES: usize = 16 * 1024;
const STEP_TIME: Duration = Duration::from_millis(16);

/// Time of an upstream for each answer, one after the other: 49 MB a second, so that no machine's
/// link carries more than half of its 1,000 Mbit a second.
const ANSWER_TIME: Duration = Duration::from_millis(150);

fn serve(
    upstream: &Upstream,
    connection: &mut Connection,
    request: &Message,
    turn: &Mutex<()>,
) -> Next {
    let id = request.header("request-id").unwrap_or_default().to_owned();
    upstream.ran.lock().unwrap().push(id.clone());
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{id}\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
    );
    let body = vec![b'a'; ANSWER_BYTES];
    let _turn = turn.lock().unwrap();
    if connection.has_closed() {
        // Nobody waits for it any more.
        return Next::Close;
    }
    let began = Instant::now();
    let sent = connection
        .send(head.as_bytes())
        .and_then(|()| connection.send(&body));
    thread::sleep(ANSWER_TIME.saturating_sub(began.elapsed()));
    match sent {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

pub fn play(deployment: &Deployment, trouble: bool) -> Finding {
    let record = &deployment.record;
    // Each upstream has a turn of its own; they are told apart by their zones.
    let turns = [Mutex::new(()), Mutex::new(())];
    let upstreams = deployment.start_upstreams(
        47,
        Arc::new(
            move |upstream: &Upstream, connection: &mut Connection, request: &Message| {
                let turn = &turns[usize::from(upstream.id.contains("-b-"))];
                serve(upstream, connection, request, turn)
            },
        ),
    );
    let over = AtomicBool::new(false);
    let counts: Vec<AtomicUsize> = ENTRIES.iter().map(|_| AtomicUsize::new(0)).collect();
    let (whole, lost) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let peaks = thread::scope(|scope| {
        let (over, counts) = (&over, &counts);
        let platform: Vec<_> = ENTRIES
            .iter()
            .enumerate()
            .map(|(index, name)| {
                let node = deployment.node(name);
                scope.spawn(move || watch(deployment, node, &counts[index], over))
            })
            .collect();
        let clients: Vec<_> = (0..ENTRIES.len() * CLIENTS)
            .map(|client| {
                let node = deployment.node(ENTRIES[client % ENTRIES.len()]);
                let (whole, lost) = (&whole, &lost);
                scope.spawn(move || run_client(node, client, trouble, over, whole, lost))
            })
            .collect();
        let until = Instant::now() + PLAY_TIME;
        let enough = || {
            counts
                .iter()
                .all(|count| count.load(Ordering::SeqCst) >= ENDS)
        };
        while Instant::now() < until && !enough() {
            thread::sleep(Duration::from_millis(50));
        }
        over.store(true, Ordering::SeqCst);
        clients
            .into_iter()
            .for_each(|client| client.join().unwrap());
        platform
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect::<Vec<usize>>()
    });
    upstreams.iter().for_each(|upstream| upstream.stop());
    let ends: Vec<usize> = counts
        .iter()
        .map(|count| count.load(Ordering::SeqCst))
        .collect();
    let ran = Upstream::runs(&upstreams);
    let (whole, lost) = (whole.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    record.line(&format!(
        "{ran} runs, {whole} whole answers, {lost} connections cut; peaks {peaks:?} MB, ends {ends:?} of {ENTRIES:?}"
    ));
    match ends.iter().all(|ends| *ends >= ENDS) {
        true => Finding::Broken,
        false if whole == 0 => Finding::Unfit("no answer was whole".to_owned()),
        false => Finding::Held,
    }
}

/// The platform's part: kills a process over its memory, and starts it again. The peak in mebibytes.
fn watch(deployment: &Deployment, node: &Node, ends: &AtomicUsize, over: &AtomicBool) -> usize {
    let mut peak = 0;
    while !over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
        let used = node.memory_mb();
        peak = peak.max(used);
        if used <= MEMORY_MB && !node.has_ended() {
            continue;
        }
        let count = ends.fetch_add(1, Ordering::SeqCst) + 1;
        deployment.record.line(&format!(
            "{} uses {used} MB of {MEMORY_MB} and is killed, end {count}",
            node.name
        ));
        node.signal(SIGKILL);
        node.end();
        thread::sleep(Duration::from_millis(500));
        node.start();
        node.wait_ready(Duration::from_secs(10));
    }
    peak
}

/// Sends groups of requests, each group on a new connection, and reads the answers.
fn run_client(
    node: &Node,
    client: usize,
    slow: bool,
    over: &AtomicBool,
    whole: &AtomicUsize,
    lost: &AtomicUsize,
) {
    // Clients don't come all at once.
    let offset = Duration::from_millis(100 * (client / ENTRIES.len()) as u64);
    let mut group = 0;
    while !over.load(Ordering::SeqCst) {
        thread::sleep(PAUSE + offset);
        group += 1;
        let ids: Vec<String> = (0..PIPELINED)
            .map(|place| format!("{:016x}", (client << 32) + (group << 8) + place))
            .collect();
        let Some(mut connection) = send(node, &ids) else {
            continue;
        };
        for _ in &ids {
            match read_answer(&mut connection, slow, over) {
                Some(true) => whole.fetch_add(1, Ordering::SeqCst),
                Some(false) => continue,
                None if over.load(Ordering::SeqCst) => return,
                None => {
                    lost.fetch_add(1, Ordering::SeqCst);
                    break;
                }
            };
        }
    }
}

fn send(node: &Node, ids: &[String]) -> Option<Connection> {
    let mut connection = Connection::open(node.outbound).ok()?;
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(30)));
    let request = |id: &String| {
        format!(
            "GET /read/{id} HTTP/1.1\r\nHost: read.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 60000\r\n\r\n"
        )
    };
    let requests: String = ids.iter().map(request).collect();
    connection.send(requests.as_bytes()).ok()?;
    Some(connection)
}

/// Reads one answer: whether it is a success; `None` if the connection ends or the run is over.
fn read_answer(connection: &mut Connection, slow: bool, over: &AtomicBool) -> Option<bool> {
    let head = connection.head().ok()??;
    let length = head.length();
    let mut got = connection.buffer.len().min(length);
    connection.buffer.drain(..got);
    let mut step = vec![0; STEP_BYTES];
    while got < length {
        if over.load(Ordering::SeqCst) {
            return None;
        }
        if slow {
            thread::sleep(STEP_TIME);
        }
        let wanted = STEP_BYTES.min(length - got);
        match connection.stream.read(&mut step[..wanted]) {
            Ok(0) | Err(_) => return None,
            Ok(read) => got += read,
        }
    }
    Some(head.status() == 200)
}
