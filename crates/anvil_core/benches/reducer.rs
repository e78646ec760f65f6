//! Cost of the reducer's steps, in time and allocations.
//!
//! `cargo bench -p anvil_core --bench reducer`

#![allow(clippy::unwrap_used, missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use anvil_core::event;
use anvil_types::{ident, time, verdict};

#[global_allocator]
static ALLOCATIONS: divan::AllocProfiler = divan::AllocProfiler::system();

fn main() {
    divan::main();
}

/// A lookup at its entry node, with its answer and reply: two events.
#[divan::bench]
fn entry_call_and_answer(bencher: divan::Bencher<'_, '_>) {
    let mut node = support::entry_node();
    for peer in 2..10 {
        support::add_peer(&mut node, ident::NodeId(peer));
    }
    let mut clock = StepClock::default();
    bencher.bench_local(|| {
        let effects = node.step(clock.next(), support::arrival(1, "GET"));
        let (peer, call) = support::sent_calls(&effects).remove(0);
        let answer = support::answer(peer, &call, verdict::CallVerdict::Answered);
        node.step(clock.next(), answer)
    });
}

/// A call at the target's node, with its run and answer: two events.
#[divan::bench]
fn target_call_and_run(bencher: divan::Bencher<'_, '_>) {
    let mut node = support::target_node(40);
    let mut clock = StepClock::default();
    let mut sequence = 0;
    bencher.bench_local(|| {
        sequence += 1;
        let effects = node.step(clock.next(), support::peer_call(sequence, true));
        let run = support::started(&effects)[0];
        let ended = event::NodeEvent::RunEnded {
            run,
            outcome: support::answered(),
            statement: None,
            exchange: None,
        };
        node.step(clock.next(), ended)
    });
}

/// A wake with nothing due, beside 350 open calls.
#[divan::bench]
fn idle_wake(bencher: divan::Bencher<'_, '_>) {
    let mut node = support::entry_node();
    support::add_peer(&mut node, support::PEER);
    for handle in 0..350 {
        node.step(support::at(1), support::arrival(handle, "GET"));
    }
    bencher.bench_local(|| node.step(support::at(2), event::NodeEvent::TimerFired));
}

/// Steps of a millisecond, so that nothing piles up within one instant.
#[derive(Default)]
struct StepClock(u64);

impl StepClock {
    fn next(&mut self) -> time::NodeTime {
        self.0 += 1;
        support::at(self.0)
    }
}
