//! When refused callers are told to come back, in injected time.

use std::time::Duration;

use anvil_overload::refusal;
use anvil_testkit::test_cases;
use anvil_types::context;

const OBJECTIVE: Duration = Duration::from_millis(1_200);

fn pauses(objective: Duration, elapsed: Duration) -> Vec<Duration> {
    let lanes = (0..=255).map(context::LaneHash);
    let pauses = lanes.map(|lane| refusal::retry_within(objective, elapsed, lane));
    pauses.collect()
}

// A burst brings more lookups than the deep service bears, and a third are refused. Whoever comes
// back after a second has used up its objective and its answer is worth a part; so callers are told
// to come back while half of the objective is left for the answer, each at another moment.
#[test]
fn refused_callers_return_within_their_objective() {
    let pauses = pauses(OBJECTIVE, Duration::from_millis(20));
    let latest = pauses.iter().max().expect("256 lanes");
    assert!(*latest <= OBJECTIVE / 2);
    let earliest = pauses.iter().min().expect("256 lanes");
    assert!(*earliest >= Duration::from_millis(100));
    let mut apart = pauses.clone();
    apart.sort();
    apart.dedup();
    assert!(apart.len() >= 200, "{} moments", apart.len());
}

// A request waited in a queue until its objective was nearly over, and is refused. A pause of
// nothing would bring it back into the same pressure at once.
fn a_pause_is_never_nothing(elapsed_ms: u64) {
    let pauses = pauses(OBJECTIVE, Duration::from_millis(elapsed_ms));
    let short = |pause: &Duration| *pause < Duration::from_millis(100);
    assert!(!pauses.iter().any(short));
}

test_cases! {
    a_pause_is_never_nothing:
    near_the_objective => (1_190),
    behind_the_objective => (3_000),
}

// All nodes were killed and are back within a second or so. Callers told to return at once would
// be refused twice and give up.
#[test]
fn callers_of_a_restarting_service_return_after_the_restart() {
    let first = refusal::retry_after_restart(context::LaneHash(0));
    let last = refusal::retry_after_restart(context::LaneHash(255));
    assert!(first >= Duration::from_millis(700));
    assert!(last <= Duration::from_millis(1_200));
    assert!(last > first);
}
