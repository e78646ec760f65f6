//! Extra answers of a target in the node's own dialect, sent in front of the answer to the next
//! request of their connection.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use anvil_testkit::test_cases;

/// Requests that the target refuses before it runs any.
const REFUSALS: usize = 1;

/// Whether the target returns the token of a request with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerName {
    Returned,
    Missing,
}

/// What the target received.
#[derive(Debug, Default)]
struct TargetRecord {
    connections: usize,
    refused: usize,
    /// The paths of the requests that ran.
    runs: Vec<String>,
}

/// A target that refuses its first requests, and sends a copy of each answer once the next request
/// of the connection has arrived.
fn start_target(name: AnswerName) -> (SocketAddr, Arc<Mutex<TargetRecord>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record: Arc<Mutex<TargetRecord>> = Arc::default();
    let shared = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let record = shared.clone();
            record.lock().unwrap().connections += 1;
            thread::spawn(move || serve(stream.unwrap(), name, &record));
        }
    });
    (address, record)
}

fn serve(mut writer: TcpStream, name: AnswerName, record: &Mutex<TargetRecord>) {
    let mut reader = BufReader::new(writer.try_clone().unwrap());
    let mut copy = Vec::new();
    while let Some((path, token)) = read_request(&mut reader) {
        let refused = {
            let mut record = record.lock().unwrap();
            let refused = record.refused < REFUSALS;
            match refused {
                true => record.refused += 1,
                false => record.runs.push(path.clone()),
            }
            refused
        };
        let status = match refused {
            true => "503 Busy\r\nanvil-not-run: 1",
            false => "200 OK",
        };
        let token = match name {
            AnswerName::Returned => format!("anvil-parent: {token}\r\n"),
            AnswerName::Missing => String::new(),
        };
        let length = path.len();
        let own = format!("HTTP/1.1 {status}\r\n{token}content-length: {length}\r\n\r\n{path}");
        let bytes = [copy.as_slice(), own.as_bytes()].concat();
        if writer.write_all(&bytes).is_err() {
            return;
        }
        copy = own.into_bytes();
    }
}

/// Reads one request and returns its path and token; none at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    let path = first.split(' ').nth(1)?.to_owned();
    let (mut token, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        match line.split_once(": ") {
            Some(("anvil-parent", value)) => value.clone_into(&mut token),
            Some(("content-length", value)) => length = value.parse().unwrap(),
            _ => {}
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some((path, token))
}

// Guards against a request that is reported as not run although it ran, and against a second run.
fn a_refusal_means_not_run(name: AnswerName) {
    let pair = common::Pair::start("");
    let (address, record) = start_target(name);
    common::announce(pair.node.bound().admin, address, common::SERVICE);
    for number in 0..8 {
        let path = format!("/bids/{number}");
        let response = pair.request("POST", &path).text("a bid").send().unwrap();
        let runs = record.lock().unwrap().runs.clone();
        let ran = runs.iter().filter(|ran| **ran == path).count();
        match response.headers()["anvil-outcome"].to_str().unwrap() {
            "answered" => assert_eq!(ran, 1, "{path}"),
            "not-run" => assert_eq!(ran, 0, "{path}"),
            outcome => panic!("{path}: {outcome}"),
        }
        if response.status() == 200 {
            assert_eq!(response.text().unwrap(), path);
        }
    }
    let record = record.lock().unwrap();
    assert_eq!(record.refused, REFUSALS);
    assert!(record.runs.len() >= 7, "{record:?}");
}

test_cases! {
    a_refusal_means_not_run:
    of_a_target_that_names_no_answer => (AnswerName::Missing),
    of_a_target_that_names_its_answers => (AnswerName::Returned),
}

// Guards against the answer to another request that reaches a caller.
#[test]
fn a_target_that_names_its_answers_confuses_no_callers() {
    let pair = common::Pair::start("");
    let (address, record) = start_target(AnswerName::Returned);
    common::announce(pair.node.bound().admin, address, common::SERVICE);
    for number in 0..8 {
        let path = format!("/lookups/{number}");
        let response = pair.request("GET", &path).send().unwrap();
        assert_eq!(response.status(), 200);
        assert!(!response.headers().contains_key("anvil-parent"));
        assert_eq!(response.text().unwrap(), path);
    }
    assert!(record.lock().unwrap().connections < 8);
}
