//! Measures whether the HTTP libraries suit the path of requests: connections opened, and threads
//! and memory at 350 open connections. See `docs/DEPENDENCIES.md`.
//!
//! `cargo run --release -p anvil_node --example library_fit`

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use anvil_node::{node, settings};
use anvil_standins::http_target;
use eyre::{ensure, eyre};

/// Number of connections held open.
const CONNECTIONS: usize = 350;

/// Number of sequential requests.
const REQUESTS: u32 = 1_000;

/// The service of the target.
const SERVICE: &str = "audiencias";

/// Threads and resident memory of this process.
#[derive(Clone, Copy)]
struct ProcessSize {
    threads: i64,
    kibibytes: i64,
}

fn main() -> eyre::Result<()> {
    println!("| server, {CONNECTIONS} open connections | threads added | memory added, KiB |");
    println!("|---|---|---|");
    measure_open_connections("rouille", rouille_server()?)?;
    let node = node::start(&node_settings()?)?;
    measure_open_connections("caller edge (hyper)", node.bound().caller)?;
    println!();
    println!("| client, {REQUESTS} requests | connections opened | µs a request |");
    println!("|---|---|---|");
    let target = http_target::StandInTarget::start_without_recording()?;
    measure_client("attohttpc to the target", target.address(), &target)?;
    announce(node.bound().admin, target.address())?;
    let before = target.connections();
    let caller = node.bound().caller;
    let started_at = Instant::now();
    let mut stream = TcpStream::connect(caller)?;
    stream.set_nodelay(true)?;
    for _ in 0..REQUESTS {
        exchange(&mut stream)?;
    }
    print_client(
        "node's target edge (hyper), caller and node included",
        started_at,
        target.connections() - before,
    );
    Ok(())
}

/// Opens connections, sends one request on each, and prints the cost of keeping them open.
fn measure_open_connections(name: &str, address: SocketAddr) -> eyre::Result<()> {
    let before = process_size()?;
    let mut streams = Vec::with_capacity(CONNECTIONS);
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address)?;
        exchange(&mut stream)?;
        streams.push(stream);
    }
    let after = process_size()?;
    let threads = after.threads - before.threads;
    let kibibytes = after.kibibytes - before.kibibytes;
    println!("| {name} | {threads} | {kibibytes} |");
    drop(streams);
    // The threads of the closed connections end before the next measurement.
    std::thread::sleep(Duration::from_secs(1));
    Ok(())
}

fn measure_client(
    name: &str,
    address: SocketAddr,
    target: &http_target::StandInTarget,
) -> eyre::Result<()> {
    let before = target.connections();
    let started_at = Instant::now();
    for _ in 0..REQUESTS {
        let response = attohttpc::get(format!("http://{address}/")).send()?;
        ensure!(response.is_success(), "status {}", response.status());
        response.bytes()?;
    }
    print_client(name, started_at, target.connections() - before);
    Ok(())
}

fn print_client(name: &str, started_at: Instant, opened: u64) {
    let each = started_at.elapsed() / REQUESTS;
    println!("| {name} | {opened} | {} |", each.as_micros());
}

/// Sends one request and reads its complete response on a connection that stays open.
fn exchange(stream: &mut TcpStream) -> eyre::Result<()> {
    let request = format!("GET / HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let read = stream.read(&mut part)?;
        ensure!(read > 0, "the connection was closed");
        answer.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.split("\r\n").next());
        let length: usize = length.unwrap_or("0").trim().parse()?;
        if body.len() >= length {
            return Ok(());
        }
    }
}

fn rouille_server() -> eyre::Result<SocketAddr> {
    let server = rouille::Server::new("127.0.0.1:0", |_| rouille::Response::text("ok"))
        .map_err(|error| eyre!("{error}"))?;
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    Ok(address)
}

fn process_size() -> eyre::Result<ProcessSize> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok())
    };
    Ok(ProcessSize {
        threads: field("Threads:").ok_or_else(|| eyre!("no thread count"))?,
        kibibytes: field("VmRSS:").ok_or_else(|| eyre!("no memory size"))?,
    })
}

fn node_settings() -> eyre::Result<settings::NodeSettings> {
    let key = "ab".repeat(32);
    let text = format!(
        "zone: ar-centro-a\nregion: ar-centro\nadvertise: 127.0.0.1\n\
         listen: {{caller: '127.0.0.1:0', admin: '127.0.0.1:0', peer: '127.0.0.1:0', \
         gossip: '127.0.0.1:0'}}\npeer_keys: [{{id: 1, secret: {key}}}]\n"
    );
    Ok(settings::parse(&text, Path::new("measured.yaml"))?)
}

fn announce(admin: SocketAddr, target: SocketAddr) -> eyre::Result<()> {
    let body = format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{target}\",\"slots\":40,\
         \"connections\":350,\"lease_ms\":600000}}"
    );
    let response = attohttpc::put(format!("http://{admin}/target")).text(body);
    ensure!(
        response.send()?.is_success(),
        "the announcement was refused"
    );
    Ok(())
}
