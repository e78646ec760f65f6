//! Measures the cost of idle node processes as their number grows, on loopback with a stand-in
//! store.
//!
//! Run it with `cargo build --release -p anvil_node && cargo run --release -p anvil_node --example
//! fleet_processes`; the results are in `docs/CAPACITY.md`. It takes about two minutes.

use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use anvil_standins::process;
use anvil_standins::store::server;
use eyre::{ContextCompat, ensure};

/// The numbers of processes that are measured.
const SIZES: [usize; 4] = [8, 16, 32, 64];

/// Time over which the idle processes are measured.
const MEASURED_TIME: Duration = Duration::from_secs(15);

/// Longest time until all processes know each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Clock ticks per second in the kernel's processor time accounting.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> eyre::Result<()> {
    let binary = std::env::current_exe()?;
    let binary = binary.ancestors().nth(2).wrap_err("the build folder")?;
    let binary = binary.join("anvil-node");
    ensure!(
        binary.exists(),
        "build the node first: {}",
        binary.display()
    );
    let folder = std::env::temp_dir().join(format!("fleet_processes-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    for size in SIZES {
        measure(size, &binary, &folder)?;
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn measure(size: usize, binary: &Path, folder: &PathBuf) -> eyre::Result<()> {
    let store = server::StoreServer::start(1)?;
    let start = Instant::now();
    let mut nodes = Vec::new();
    for index in 0..size {
        let name = format!("node-{size}-{index}");
        let settings = settings(index, store.address());
        nodes.push(process::NodeProcess::start(&process::ProcessPlan {
            binary,
            folder,
            name: &name,
            settings: &settings,
        })?);
    }
    while !nodes.iter().all(|node| knows(node, size)) {
        ensure!(
            start.elapsed() < JOIN_TIMEOUT,
            "{size} processes did not join"
        );
        thread::sleep(Duration::from_millis(100));
    }
    let joined = start.elapsed();
    let before = sums(&nodes)?;
    let counts = store.counts();
    thread::sleep(MEASURED_TIME);
    let after = sums(&nodes)?;
    let later = store.counts();
    let process_seconds = MEASURED_TIME.as_secs_f64() * size as f64;
    println!(
        "{size} processes: all joined after {:.1} s; each {:.1} MB, {:.3}% of a core, {:.1} \
         datagrams sent a second; store {:.1} reads and {:.1} writes a second",
        joined.as_secs_f64(),
        after.resident as f64 / size as f64 / 1e6,
        100.0 * (after.ticks - before.ticks) as f64 / TICKS_PER_SECOND / process_seconds,
        (after.datagrams - before.datagrams) as f64 / process_seconds,
        (later.reads - counts.reads) as f64 / MEASURED_TIME.as_secs_f64(),
        (later.writes - counts.writes) as f64 / MEASURED_TIME.as_secs_f64(),
    );
    Ok(())
}

fn settings(index: usize, store: std::net::SocketAddr) -> String {
    let zone = index % 4;
    format!(
        "zone: ar-centro-{zone}\nregion: ar-centro\nadvertise: 127.0.0.1\nlisten:\n  \
         caller: 127.0.0.1:0\n  admin: 127.0.0.1:0\n  peer: 127.0.0.1:0\n  \
         gossip: 127.0.0.1:0\npeer_keys:\n  - {{id: 1, secret: {}}}\nplatform: ['{store}']\n",
        "5ec2e7".repeat(11)[..64].to_owned()
    )
}

/// Resources that all processes together have used so far.
struct ProcessSums {
    resident: u64,
    ticks: u64,
    datagrams: u64,
}

fn sums(nodes: &[process::NodeProcess]) -> eyre::Result<ProcessSums> {
    let mut sums = ProcessSums {
        resident: 0,
        ticks: 0,
        datagrams: 0,
    };
    for node in nodes {
        sums.resident += node.resident_bytes()?;
        sums.ticks += node.cpu_ticks()?;
        let counters = get(node, "/dump")?["counters"].clone();
        sums.datagrams += counters["fleet_datagrams_sent"].as_u64().unwrap_or(0);
    }
    Ok(sums)
}

fn knows(node: &process::NodeProcess, size: usize) -> bool {
    let status = get(node, "/status");
    status.is_ok_and(|status| {
        let fleet = &status["fleet"];
        fleet["members"] == size && fleet["rules_compared"] == true
    })
}

fn get(node: &process::NodeProcess, path: &str) -> eyre::Result<serde_json::Value> {
    let url = format!("http://{}{path}", node.addresses().admin);
    let body = attohttpc::get(url).send()?.text()?;
    Ok(serde_json::from_str(&body)?)
}
