//! Sums over parts of the table, by which two nodes find what they know differently.

use anvil_wire::gossip;

use crate::{member, table};

/// Members in a bucket, about; one changed member costs the headers of its bucket.
const BUCKET_MEMBERS: usize = 32;

/// Spreads identities and incarnations over all bits; a large odd number with mixed bits.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// The number of buckets for a fleet of `live` members.
pub fn bucket_count(live: usize) -> usize {
    let wanted = live.div_ceil(BUCKET_MEMBERS).max(1);
    wanted.next_power_of_two().min(gossip::MAX_DIGEST_BUCKETS)
}

/// Whether a peer's number of buckets is one that this node works with.
pub fn is_bucket_count(count: usize) -> bool {
    count.is_power_of_two() && count <= gossip::MAX_DIGEST_BUCKETS
}

/// One sum for each bucket over the members believed alive.
pub fn sums(table: &table::MemberTable, buckets: usize) -> Vec<u32> {
    let mut sums = vec![0; buckets];
    for record in live(table) {
        let sum = &mut sums[bucket(record, buckets)];
        *sum ^= (mix(record.node.0 ^ mix(u64::from(record.incarnation))) >> 32) as u32;
    }
    sums
}

/// The members believed alive in the `differing` buckets.
pub fn headers(
    table: &table::MemberTable,
    buckets: usize,
    differing: &[u32],
) -> Vec<gossip::MemberHeader> {
    let mut wanted = vec![false; buckets];
    for place in differing {
        if let Some(flag) = wanted.get_mut(*place as usize) {
            *flag = true;
        }
    }
    let chosen = live(table).filter(|record| wanted[bucket(record, buckets)]);
    let header = |record: &member::MemberRecord| gossip::MemberHeader {
        node: record.node,
        incarnation: record.incarnation,
    };
    chosen.map(header).collect()
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
