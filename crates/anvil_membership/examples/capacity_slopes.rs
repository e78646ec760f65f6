//! Prints the cost of membership and rule changes for one node as the fleet grows.
//!
//! The first part runs one state machine with the whole fleet in its table and simulated peers. The
//! second part runs small fleets of state machines that exchange their messages. The figures are in
//! `docs/CAPACITY.md`; run it with
//! `cargo run --release -p anvil_membership --example capacity_slopes`.

// A counting allocator can't be written without `unsafe`; it only forwards calls to the system one.
#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering};
use std::time::Duration;

#[path = "capacity/fed.rs"]
mod fed;
#[path = "../tests/harness/mod.rs"]
mod harness;

/// Counts the allocated bytes.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicIsize = AtomicIsize::new(0);

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Fleet sizes for one state machine with simulated peers.
const FED_SIZES: [usize; 4] = [1_000, 3_500, 7_000, 14_000];

/// Fleet sizes for fleets of state machines.
const NET_SIZES: [usize; 4] = [50, 100, 200, 400];

fn main() {
    println!("one node with simulated peers; bytes include seal, IP and UDP (or TCP) headers");
    for size in FED_SIZES {
        let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
        let mut node = fed::FedNode::new(size);
        let held = ALLOCATED_BYTES.load(Ordering::Relaxed) - before;
        let report = node.run(Duration::from_secs(600));
        println!("members {size}");
        println!(
            "  memory: {} kB, {} bytes a member",
            held / 1_000,
            held / size as isize
        );
        report.print();
        let mut node = fed::FedNode::new(size);
        let storm = node.lose_zone(size / 14, Duration::from_secs(20));
        println!("  a zone of {} members lost within 20 s:", size / 14);
        storm.print();
    }
    println!("fleets of state machines, four regions, 40 to 80 ms between them");
    for size in NET_SIZES {
        measure_net(size);
    }
}

/// Prints the store calls of a fleet, and how long a change and a crash take to be known
/// everywhere.
fn measure_net(size: usize) {
    let mut changes = Vec::new();
    let mut losses = Vec::new();
    let mut net = harness::Net::with_store(size, 4, 5);
    let joined = net.now;
    let start = net.store.counts();
    net.run(Duration::from_secs(90));
    let before = net.store.counts();
    net.run(Duration::from_secs(100));
    let after = net.store.counts();
    for round in 0..5 {
        let proposed = net.propose(round * 7 + 1, round as u128 + 1);
        assert!(proposed, "the change was refused");
        let count = round + 1;
        let everywhere = |net: &harness::Net| {
            let mut running = net.nodes.iter().filter(|n| n.running);
            running.all(|n| n.document.len() == count)
        };
        changes.push(net.run_until(Duration::from_secs(60), everywhere));
        net.run(Duration::from_secs(10));
    }
    for round in 0..5 {
        let lost = size - 1 - round;
        net.crash(lost);
        let known = |net: &harness::Net| net.live_observers(harness::id(lost)) == 0;
        losses.push(net.run_until(Duration::from_secs(60), known));
        net.run(Duration::from_secs(20));
    }
    println!(
        "  {size} nodes: all joined and ready after {:.1} s with {} reads and {} writes; then {:.1} \
         reads and {:.1} writes a second, {} waiting watches",
        joined.0 as f64 / 1e6,
        start.reads,
        start.writes,
        (after.reads - before.reads) as f64 / 100.0,
        (after.writes - before.writes) as f64 / 100.0,
        net.store.waiting()
    );
    println!(
        "  {size} nodes: change everywhere after {}, loss known everywhere after {}",
        spread(&mut changes),
        spread(&mut losses)
    );
}

fn spread(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let median = times[times.len() / 2];
    let max = times[times.len() - 1];
    format!("{median:.1?} (median), {max:.1?} (max) of {}", times.len())
}
