//! Prints the figures that compare the designs in `docs/design/at-most-once.md`.

use anvil_once::{policy, slots, table};

/// Calls with a key per second in the largest fleet, assuming that one call in twenty has a key.
const KEYED_CALLS_PER_SECOND: f64 = 850_000.0 / 20.0;
const TARGETS: f64 = 14_000.0;
/// Failures and restarts of nodes per day.
const NODE_CHANGES_PER_DAY: f64 = 61.0 + 4_700.0;
const DAY_SECONDS: f64 = 86_400.0;
/// One-way latency between two availability zones, in milliseconds.
const HOP_MILLIS: f64 = 1.5;
/// Assumed latency of a request to the store, in milliseconds.
const STORE_MILLIS: f64 = 5.0;
/// Writes per second that the store accepts.
const STORE_WRITES_PER_SECOND: f64 = 300.0;
/// Time from a crash to the takeover, in seconds, as the test `crash_of_one_owner_of_four` prints
/// it.
const TAKEOVER_SECONDS: f64 = 1.90;

struct OwnerDesign {
    name: &'static str,
    outage_refused: f64,
    crash: String,
    store_calls: f64,
    added_millis: f64,
}

fn main() {
    let policy = policy::KeyPolicy::default();
    let slots = f64::from(slots::SLOT_COUNT);
    let retention = policy.retention.as_secs_f64();
    let slots_of_node = slots / TARGETS;
    // A change of a slot costs a read and a swap; each primary also reads its record to confirm it.
    let confirm = slots / policy.confirm_interval.as_secs_f64();
    let single = NODE_CHANGES_PER_DAY / DAY_SECONDS * slots_of_node * 2.0 + confirm;
    let pairs = NODE_CHANGES_PER_DAY / DAY_SECONDS * slots_of_node * 2.0 * 2.0 + confirm;
    let batch = TARGETS / STORE_WRITES_PER_SECOND;
    let designs = [
        OwnerDesign {
            name: "(a) a store write for each request",
            outage_refused: 100.0,
            crash: "0% of first copies; running ones in doubt".to_owned(),
            store_calls: KEYED_CALLS_PER_SECOND * 2.0,
            added_millis: STORE_MILLIS,
        },
        OwnerDesign {
            name: "(b) one node for each slot",
            outage_refused: 0.0,
            crash: format!("25% wait {TAKEOVER_SECONDS} s, then 25% in doubt for {retention} s"),
            store_calls: single,
            added_millis: HOP_MILLIS * 2.0,
        },
        OwnerDesign {
            name: "(c) tickets bound to one incarnation",
            outage_refused: 0.0,
            crash: "0% of first copies; caller's own keys not covered".to_owned(),
            store_calls: 0.0,
            added_millis: 6.0,
        },
        OwnerDesign {
            name: "(d) group writes",
            outage_refused: 100.0,
            crash: "0% of first copies; running ones in doubt".to_owned(),
            store_calls: STORE_WRITES_PER_SECOND,
            added_millis: batch * 1_000.0 / 2.0 + STORE_MILLIS,
        },
        OwnerDesign {
            name: "chosen: pairs, grants bound to one call",
            outage_refused: 0.0,
            crash: format!("50% wait at most {TAKEOVER_SECONDS} s; 0% refused"),
            store_calls: pairs,
            added_millis: HOP_MILLIS * 4.0,
        },
    ];
    println!("| way | refused in a 10 min outage | one crash of four | store calls/s | added ms |");
    println!("|---|---|---|---|---|");
    for design in designs {
        println!(
            "| {} | {:.0}% | {} | {:.1} | {:.1} |",
            design.name,
            design.outage_refused,
            design.crash,
            design.store_calls,
            design.added_millis
        );
    }
    let record = std::mem::size_of::<table::KeyEntry>() + std::mem::size_of::<(u64, u128)>();
    let records = KEYED_CALLS_PER_SECOND / slots * retention;
    println!();
    println!("bytes of one record with its age line: {record}");
    println!(
        "records in one slot: {records:.0} of {} allowed",
        policy.max_records
    );
    println!("MB in one slot: {:.1}", records * record as f64 / 1e6);
    println!("roles of one node at 14,000: {:.2}", slots_of_node * 2.0);
    println!("roles of one node at 16: {:.0}", slots * 2.0 / 16.0);
}
