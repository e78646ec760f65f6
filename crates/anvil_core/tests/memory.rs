//! The duplicate filter and the answer cache of a target's node: retention and answers about
//! unknown attempts.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_core::{answer_cache, duplicates};
use anvil_types::{ident, time, verdict};
use anvil_wire::{call, outcome};
use bytes::Bytes;

const RETENTION: Duration = Duration::from_secs(10);

fn id(sequence: u64) -> outcome::AttemptId {
    outcome::AttemptId {
        call: ident::CallId {
            node: ident::NodeId(1),
            sequence,
        },
        attempt: 1,
    }
}

fn at(seconds: u64) -> time::NodeTime {
    time::NodeTime::from_millis(seconds * 1_000)
}

fn answer(sequence: u64, bytes: usize) -> call::PeerAnswer {
    call::PeerAnswer {
        call: id(sequence).call,
        attempt: 1,
        verdict: verdict::CallVerdict::Answered,
        answer: Some(call::CallAnswer {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(vec![0; bytes]),
        }),
        retries_spent: 0,
        failed_below: false,
        load: call::LoadReport::default(),
    }
}

/// A filter that received one attempt a second.
fn filter_after(seconds: u64) -> duplicates::DuplicateFilter {
    let mut filter = duplicates::DuplicateFilter::with_retention(RETENTION);
    for second in 0..seconds {
        assert!(filter.admit(at(second), id(second)));
    }
    filter
}

// The entry node queries a claim that is not in the filter. Every dropped entry is older than the
// time at which the claim was sent, so the claim certainly never arrived and may be sent to another
// target.
#[test]
fn an_unknown_attempt_sent_within_the_retention_never_arrived() {
    let filter = filter_after(60);
    let status = filter.status(id(1_000), at(55));
    assert_eq!(status, duplicates::AttemptStatus::New);
    assert_eq!(
        filter.status(id(55), at(55)),
        duplicates::AttemptStatus::Seen
    );
}

// The claim was sent before the retention period, so it may have run and been dropped from the
// filter.
#[test]
fn an_attempt_sent_before_the_retention_is_uncertain() {
    let filter = filter_after(60);
    let status = filter.status(id(1_000), at(40));
    assert_eq!(status, duplicates::AttemptStatus::Unknown);
}

// The process is suspended for a minute. The claim arrived just before and expires by the clock at
// the first attempt afterwards, although by the age given in the query it was sent a second ago.
#[test]
fn a_suspension_makes_earlier_attempts_uncertain() {
    let mut filter = filter_after(20);
    filter.admit(at(80), id(80));
    let status = filter.status(id(19), at(79));
    assert_eq!(status, duplicates::AttemptStatus::Unknown);
}

#[test]
fn answers_are_cached_within_the_bounds() {
    let bounds = answer_cache::CacheBounds {
        retention: Duration::from_secs(3),
        max_bytes: 10_000,
    };
    let mut cache = answer_cache::AnswerCache::new(bounds);
    cache.insert(at(0), &answer(0, 100));
    cache.insert(at(2), &answer(1, 4_000));
    assert_eq!(cache.len(), 2);
    cache.insert(at(4), &answer(2, 4_000));
    assert!(
        cache.get(id(0)).is_none(),
        "expected to expire after three seconds"
    );
    cache.insert(at(4), &answer(3, 4_000));
    assert!(
        cache.get(id(1)).is_none(),
        "expected to be evicted at the byte limit"
    );
    assert!(cache.get(id(2)).is_some() && cache.get(id(3)).is_some());
    cache.insert(at(4), &answer(4, 20_000));
    assert!(cache.get(id(4)).is_none(), "larger than the byte limit");
    assert!(
        cache.get(id(3)).is_some(),
        "an oversized answer must evict nothing"
    );
}
