//! Checksums over buckets of the member table, by which two nodes find where their tables differ.

use anvil_wire::gossip;

use crate::{member, table};

/// Approximate number of members per bucket; one changed member costs the headers of its bucket.
const BUCKET_MEMBERS: usize = 32;

/// Multiplier that spreads node ids and incarnations over all bits (2^64 divided by the golden
/// ratio).
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// The number of buckets for a fleet of `live` members.
pub fn bucket_count(live: usize) -> usize {
    let wanted = live.div_ceil(BUCKET_MEMBERS).max(1);
    wanted.next_power_of_two().min(gossip::MAX_DIGEST_BUCKETS)
}

/// Whether a peer's number of buckets is valid.
pub fn is_bucket_count(count: usize) -> bool {
    count.is_power_of_two() && count <= gossip::MAX_DIGEST_BUCKETS
}

/// The checksum of each bucket over its live members.
pub fn sums(table: &table::MemberTable, buckets: usize) -> Vec<u32> {
    let mut sums = vec![0; buckets];
    for record in live(table) {
        let sum = &mut sums[bucket(record, buckets)];
        *sum ^= (mix(record.node.0 ^ mix(u64::from(record.incarnation))) >> 32) as u32;
    }
    sums
}

/// The headers of the live members in the `differing` buckets.
pub fn headers(
    table: &table::MemberTable,
    buckets: usize,
    differing: &[u32],
) -> Vec<gossip::MemberHeader> {
    let mut wanted = vec![false; buckets];
    for index in differing {
        if let Some(flag) = wanted.get_mut(*index as usize) {
            *flag = true;
        }
    }
    let selected = live(table).filter(|record| wanted[bucket(record, buckets)]);
    let header = |record: &member::MemberRecord| gossip::MemberHeader {
        node: record.node,
        incarnation: record.incarnation,
    };
    selected.map(header).collect()
}

fn live(table: &table::MemberTable) -> impl Iterator<Item = &member::MemberRecord> {
    table.all().iter().filter(|m| m.state.is_live())
}

fn bucket(record: &member::MemberRecord, buckets: usize) -> usize {
    (mix(record.node.0) >> 32) as usize & (buckets - 1)
}

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(1).wrapping_mul(MIX);
    (value ^ (value >> 29)).wrapping_mul(MIX)
}
