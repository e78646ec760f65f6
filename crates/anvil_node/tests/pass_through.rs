//! What a caller sends reaches the target unchanged, and the answer comes back unchanged.

#![allow(clippy::unwrap_used)]

mod common;

use anvil_testkit::test_cases;
use anvil_wire::codec;

fn method_passes(method: &str, body: &[u8]) {
    let pair = common::Pair::start("");
    let request = pair.request(method, "/hearings/7?page=2&q=a%20b");
    let response = request.bytes(body).send().unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["anvil-outcome"], "answered");
    let expected = if method == "HEAD" { &[][..] } else { body };
    assert_eq!(response.bytes().unwrap(), expected);
    let seen = pair.target.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].head.method.as_str(), method);
    assert_eq!(seen[0].head.uri, "/hearings/7?page=2&q=a%20b");
    assert_eq!(seen[0].body, body);
}

test_cases! {
    method_passes:
    get => ("GET", b""),
    head => ("HEAD", b""),
    post => ("POST", b"a claim"),
    put => ("PUT", b"a certificate"),
    patch => ("PATCH", b"{}"),
    delete => ("DELETE", b""),
    options => ("OPTIONS", b""),
    unusual_method => ("PROPFIND", b"<x/>"),
    post_empty => ("POST", b""),
    post_binary => ("POST", &[0, 255, 13, 10, 0, 128]),
}

#[test]
fn head_keeps_the_stated_length() {
    let pair = common::Pair::start("");
    let response = pair.request("HEAD", "/bytes/1234").send().unwrap();
    assert_eq!(response.headers()["content-length"], "1234");
    assert_eq!(response.bytes().unwrap(), b"");
}

fn status_passes(code: u16) {
    let pair = common::Pair::start("");
    let path = format!("/status/{code}");
    let response = pair.request("GET", &path).follow_redirects(false);
    let response = response.send().unwrap();
    assert_eq!(response.status().as_u16(), code);
    assert_eq!(response.headers()["anvil-outcome"], "answered");
}

test_cases! {
    status_passes:
    created => (201),
    no_content => (204),
    moved => (301),
    not_modified => (304),
    not_found => (404),
    target_fault => (500),
    // Without the mark of a refusal, a 503 is the target's own answer.
    target_busy => (503),
}

fn size_passes(size: usize) {
    let pair = common::Pair::start("");
    let body: Vec<u8> = (0..size).map(|place| (place % 251) as u8).collect();
    let response = pair
        .request("POST", "/evidence")
        .bytes(&body)
        .send()
        .unwrap();
    assert_eq!(response.status(), 200);
    assert!(
        response.bytes().unwrap() == body,
        "the body came back changed"
    );
    assert!(
        pair.target.seen()[0].body == body,
        "the body arrived changed"
    );
}

test_cases! {
    size_passes:
    one_byte => (1),
    a_megabyte => (1024 * 1024),
    the_limit => (codec::MAX_BODY_BYTES),
}

#[test]
fn chunked_bodies_pass_both_ways() {
    let pair = common::Pair::start("");
    let request = "POST /chunked HTTP/1.1\r\nhost: audiencias.example\r\n\
                   transfer-encoding: chunked\r\nconnection: close\r\n\r\n\
                   5\r\nthree\r\n6;ext=1\r\n parts\r\n0\r\n\r\n";
    let answer = common::read_to_close(common::raw(pair.caller(), request.as_bytes()));
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nthree parts"), "{answer}");
    assert_eq!(pair.target.seen()[0].body, "three parts");
}

#[test]
fn a_connection_serves_several_requests() {
    let pair = common::Pair::start("");
    let one = "POST /a HTTP/1.1\r\nhost: audiencias\r\ncontent-length: 1\r\n\r\n1";
    let last = "POST /b HTTP/1.1\r\nhost: audiencias\r\ncontent-length: 1\r\n\
                connection: close\r\n\r\n2";
    let both = format!("{one}{one}{last}");
    let answer = common::read_to_close(common::raw(pair.caller(), both.as_bytes()));
    assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), 3, "{answer}");
    let paths = pair.target.seen();
    let paths: Vec<_> = paths.iter().map(|seen| seen.head.uri.path()).collect();
    assert_eq!(paths, ["/a", "/a", "/b"]);
    assert_eq!(
        pair.target.connections(),
        1,
        "the target's connection is kept"
    );
}

#[test]
fn headers_pass_except_those_of_the_connection() {
    let pair = common::Pair::start("");
    // Raw bytes, since the client library writes a Connection header of its own.
    let request = "GET / HTTP/1.1\r\nhost: audiencias\r\naccept-language: es-AR\r\n\
                   connection: X-Hop, close\r\nx-hop: this connection only\r\n\
                   keep-alive: timeout=5\r\nte: trailers\r\nanvil-not-run: 1\r\n\
                   anvil-service: audiencias\r\nidempotency-key: claim-1\r\n\
                   x-many: one\r\nx-many: two\r\n\r\n";
    let answer = common::read_to_close(common::raw(pair.caller(), request.as_bytes()));
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    let seen = &pair.target.seen()[0];
    assert_eq!(seen.header("accept-language"), Some("es-AR"));
    assert_eq!(seen.header("idempotency-key"), Some("claim-1"));
    let many: Vec<_> = seen.head.headers.get_all("x-many").iter().collect();
    assert_eq!(many, ["one", "two"]);
    for hop in [
        "x-hop",
        "keep-alive",
        "te",
        "anvil-not-run",
        "anvil-service",
    ] {
        assert_eq!(seen.header(hop), None, "{hop}");
    }
    for told in ["anvil-timeout-ms", "anvil-request-id", "anvil-parent"] {
        assert!(seen.header(told).is_some(), "{told}");
    }
}

fn service_is_named(request: &str) {
    let pair = common::Pair::start("");
    let answer = common::read_to_close(common::raw(pair.caller(), request.as_bytes()));
    // The answer has the version of the request.
    let version = if request.contains("HTTP/1.0") {
        "1.0"
    } else {
        "1.1"
    };
    let line = format!("HTTP/{version} 200 OK\r\n");
    assert!(answer.starts_with(&line), "{answer}");
}

test_cases! {
    service_is_named:
    by_host => ("GET / HTTP/1.1\r\nhost: audiencias\r\nconnection: close\r\n\r\n"),
    by_first_label => ("GET / HTTP/1.1\r\nhost: audiencias.ar.example:80\r\nconnection: close\r\n\r\n"),
    by_label_in_capitals => ("GET / HTTP/1.1\r\nhost: AUDIENCIAS.x\r\nconnection: close\r\n\r\n"),
    by_absolute_form => ("GET http://audiencias/ HTTP/1.1\r\nhost: other\r\nconnection: close\r\n\r\n"),
    by_header_before_host => ("GET / HTTP/1.1\r\nhost: other\r\nanvil-service: audiencias\r\nconnection: close\r\n\r\n"),
    by_header_in_http_1_0 => ("GET / HTTP/1.0\r\nanvil-service: audiencias\r\n\r\n"),
}
