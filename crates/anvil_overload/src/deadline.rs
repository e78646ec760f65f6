//! Time left, hop by hop; see `docs/design/deadlines.md`.

use std::time::Duration;

use anvil_types::time;

/// Round trip to another node of the own availability zone, with its connection.
pub const SAME_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Round trip to a node of another availability zone.
pub const CROSS_ZONE_ROUND_TRIP: Duration = Duration::from_millis(3);

/// Time that the next hop may take, so that its answer is back before `deadline`; none where no
/// time is left.
///
/// Failure: the last hop works until the very deadline. Symptom: its answer is whole and late, so
/// the run was wasted. Each hop therefore keeps the way back for itself.
pub fn hop_remaining(
    now: time::NodeTime,
    deadline: time::NodeTime,
    near: bool,
) -> Option<Duration> {
    let trip = if near {
        SAME_ZONE_ROUND_TRIP
    } else {
        CROSS_ZONE_ROUND_TRIP
    };
    let left = deadline.since(now).checked_sub(trip)?;
    (!left.is_zero()).then_some(left)
}
