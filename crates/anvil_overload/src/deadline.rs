//! Remaining time at each hop; see `docs/design/deadlines.md`.

use std::time::Duration;

use anvil_types::time;

/// Round trip to another node in the same availability zone, including its connection.
pub const SAME_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Round trip to a node in another availability zone.
pub const CROSS_ZONE_ROUND_TRIP: Duration = Duration::from_millis(3);

/// Time after the end of a run's time in which the target's own answer is awaited.
///
/// A target stops work at its deadline and says so. If its node closed the connection at the same
/// moment, the caller would be told that the request may have run, instead of the target's answer.
pub const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Time that the next hop may take for its answer to be back before `deadline`; `None` if no time
/// is left.
///
/// Without a margin the last hop may work until the deadline itself; its complete answer would then
/// arrive too late and the run would be wasted. Each hop therefore reserves the time of the return
/// trip.
pub fn hop_remaining(
    now: time::NodeTime,
    deadline: time::NodeTime,
    same_zone: bool,
) -> Option<Duration> {
    let trip = if same_zone {
        SAME_ZONE_ROUND_TRIP
    } else {
        CROSS_ZONE_ROUND_TRIP
    };
    let left = deadline.since(now).checked_sub(trip)?;
    (!left.is_zero()).then_some(left)
}
