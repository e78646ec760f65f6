//! A stand-in target that announces itself to a node and answers each request with its body.
//!
//! `cargo run --release --example target -- --admin 127.0.0.1:8081 --service portal-ciudadano`

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anvil_standins::http_target;
use eyre::ensure;

/// Interval at which the announcement is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Lease of an announcement, in milliseconds.
const LEASE_MS: u64 = 5_000;

fn main() -> eyre::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let admin: SocketAddr = arguments.value_from_str("--admin")?;
    let service: String = arguments.value_from_str("--service")?;
    let slots: u32 = arguments.opt_value_from_str("--slots")?.unwrap_or(40);
    let unknown = arguments.finish();
    ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}");
    let target = http_target::StandInTarget::start_without_recording()?;
    let announcement = serde_json::json!({
        "service": service,
        "address": target.address(),
        "slots": slots,
        "connections": 350,
        "lease_ms": LEASE_MS,
    });
    let mut printed = false;
    loop {
        let url = format!("http://{admin}/target");
        let answer = attohttpc::put(url).text(announcement.to_string()).send()?;
        ensure!(answer.is_success(), "refused: {}", answer.text()?);
        if !printed {
            let line = format!("{service} at {} announced to {admin}\n", target.address());
            std::io::stdout().write_all(line.as_bytes())?;
            printed = true;
        }
        thread::sleep(RENEW_INTERVAL);
    }
}
