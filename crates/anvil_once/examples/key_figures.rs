//! Prints the figures behind the choice in `docs/design/at-most-once.md`.

use anvil_once::{policy, slots, table};

/// Calls a second of the largest fleet, of which one in twenty carries a key (an assumption).
const KEYED_CALLS: f64 = 850_000.0 / 20.0;
const TARGETS: f64 = 14_000.0;
/// Failures and restarts a day.
const CHANGES: f64 = 61.0 + 4_700.0;
const DAY: f64 = 86_400.0;
/// One way between two availability zones, in milliseconds.
const HOP: f64 = 1.5;
/// One answer of the store, in milliseconds (an assumption: "in milliseconds").
const STORE: f64 = 5.0;
/// Writes a second that the store takes.
const STORE_WRITES: f64 = 300.0;
/// From a crash to the takeover, in seconds, as `crash_of_one_owner_of_four` prints it.
const TAKEOVER: f64 = 1.90;

struct Way {
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
    // Each change of a slot is a read and a swap; each primary's record is read to confirm it.
    let confirm = slots / policy.confirm_interval.as_secs_f64();
    let single = CHANGES / DAY * slots_of_node * 2.0 + confirm;
    let pairs = CHANGES / DAY * slots_of_node * 2.0 * 2.0 + confirm;
    let batch = TARGETS / STORE_WRITES;
    let ways = [
        Way {
            name: "(a) a store write for each request",
            outage_refused: 100.0,
            crash: "0% of first copies; running ones in doubt".to_owned(),
            store_calls: KEYED_CALLS * 2.0,
            added_millis: STORE,
        },
        Way {
            name: "(b) one node for each slot",
            outage_refused: 0.0,
            crash: format!("25% wait {TAKEOVER} s, then 25% in doubt for {retention} s"),
            store_calls: single,
            added_millis: HOP * 2.0,
        },
        Way {
            name: "(c) tickets bound to one incarnation",
            outage_refused: 0.0,
            crash: "0% of first copies; caller's own keys not covered".to_owned(),
            store_calls: 0.0,
            added_millis: 6.0,
        },
        Way {
            name: "(d) group writes",
            outage_refused: 100.0,
            crash: "0% of first copies; running ones in doubt".to_owned(),
            store_calls: STORE_WRITES,
            added_millis: batch * 1_000.0 / 2.0 + STORE,
        },
        Way {
            name: "chosen: pairs, grants bound to one call",
            outage_refused: 0.0,
            crash: format!("50% wait at most {TAKEOVER} s; 0% refused"),
            store_calls: pairs,
            added_millis: HOP * 4.0,
        },
    ];
    println!("| way | refused in a 10 min outage | one crash of four | store calls/s | added ms |");
    println!("|---|---|---|---|---|");
    for way in ways {
        println!(
            "| {} | {:.0}% | {} | {:.1} | {:.1} |",
            way.name, way.outage_refused, way.crash, way.store_calls, way.added_millis
        );
    }
    let record = std::mem::size_of::<table::KeyEntry>() + std::mem::size_of::<(u64, u128)>();
    let records = KEYED_CALLS / slots * retention;
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
