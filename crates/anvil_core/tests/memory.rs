//! What a target's node remembers of attempts, and what it may say of those that it does not know.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_core::{answer_cache, duplicates};
use anvil_types::{ident, time, verdict};
use anvil_wire::{call, outcome};
use bytes::Bytes;

const MEMORY: Duration = Duration::from_secs(10);

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

/// Attempts that come one a second.
fn steady(seconds: u64) -> duplicates::DuplicateFilter {
    let mut guard = duplicates::DuplicateFilter::with_retention(MEMORY);
    for second in 0..seconds {
        assert!(guard.admit(at(second), id(second)));
    }
    guard
}

// A claim's entry node asks about it. What is forgotten by its age lies before the time at which the claim
// was sent, so that it never came is certain, and it may go elsewhere.
#[test]
fn what_was_sent_within_the_memory_and_is_unknown_never_came() {
    let guard = steady(60);
    let standing = guard.status(id(1_000), at(55));
    assert_eq!(standing, duplicates::AttemptStatus::New);
    assert_eq!(
        guard.status(id(55), at(55)),
        duplicates::AttemptStatus::Seen
    );
}

// The claim was sent longer ago than anything is remembered. It may have run and be forgotten.
#[test]
fn what_was_sent_before_the_memory_is_in_doubt() {
    let guard = steady(60);
    let standing = guard.status(id(1_000), at(40));
    assert_eq!(standing, duplicates::AttemptStatus::Unknown);
}

// The process is suspended for a minute. The claim came just before, and is forgotten by the clock with
// the first attempt after. Counted from the question, it was sent a second ago.
#[test]
fn a_suspension_puts_what_came_before_it_in_doubt() {
    let mut guard = steady(20);
    guard.admit(at(80), id(80));
    let standing = guard.status(id(19), at(79));
    assert_eq!(standing, duplicates::AttemptStatus::Unknown);
}

#[test]
fn answers_are_kept_within_their_bounds() {
    let bounds = answer_cache::CacheBounds {
        retention: Duration::from_secs(3),
        max_bytes: 10_000,
    };
    let mut keep = answer_cache::AnswerCache::new(bounds);
    keep.insert(at(0), &answer(0, 100));
    keep.insert(at(2), &answer(1, 4_000));
    assert_eq!(keep.len(), 2);
    keep.insert(at(4), &answer(2, 4_000));
    assert!(keep.get(id(0)).is_none(), "older than three seconds");
    keep.insert(at(4), &answer(3, 4_000));
    assert!(keep.get(id(1)).is_none(), "beyond the bytes");
    assert!(keep.get(id(2)).is_some() && keep.get(id(3)).is_some());
    keep.insert(at(4), &answer(4, 20_000));
    assert!(keep.get(id(4)).is_none(), "larger than all bytes allowed");
    assert!(keep.get(id(3)).is_some(), "and it drives nothing out");
}
