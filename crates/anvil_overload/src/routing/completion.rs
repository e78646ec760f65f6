//! Chooses a target by the time at which it is expected to complete a request; see
//! `docs/design/placement.md`.

use std::time::Duration;

use rand_core::Rng;
use rand_pcg::Pcg32;

use crate::routing;

/// Exponent of the expected completion time in the weight of a target.
///
/// A target that takes twice as long is drawn a sixteenth as often per free slot. With a plain
/// minimum, all nodes that hold the same report would choose the same target.
const COST_EXPONENT: i32 = 4;

/// Queue of a zone without free slots, as a share of its slots, at which all requests leave it for
/// free slots elsewhere; a shorter queue makes a part of them leave in proportion.
///
/// All nodes of a zone notice at nearly the same time that its last slot is taken or free again.
/// With a threshold they would leave the zone and return to it together. The requests that keep
/// standing in the queue are those of the lowest ranks, so it must stay short: with a range of 0.2
/// some of them wait until they are refused at 2.5 times the capacity of a zone, with 0.1 none.
const LEAVING_RANGE: f64 = 0.1;

/// Free slots of the other zones, as a share of their slots, up to which only a part of the requests
/// that could use them does. A single free slot is seen by all nodes at once.
const ROOM_RANGE: f64 = 0.05;

/// How much earlier a request must be complete in another zone if no target has a free slot, so that
/// queues of nearly equal length cause no traffic between zones.
const SATURATED_ZONE_FACTOR: f64 = 1.5;

/// Share of recent failures from which the free slots of a target do not count. A target that fails
/// at once always has free slots and would otherwise get every request that others have no slot for.
const MAX_FREE_FAILURES: f64 = 0.25;

/// What a caller's node expects of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetOutlook {
    /// Slots, without those that a new target without a report does not get yet.
    pub(super) capacity: f64,
    /// Share of the free slots that this node may use, below one for a new target.
    pub(super) share: f64,
    /// Requests that hold a slot or wait for one.
    pub(super) busy: f64,
    /// Requests that wait and are served before the new one.
    pub(super) ahead: f64,
    /// Expected run time in microseconds.
    pub(super) run: f64,
    /// Time until the rate that the target names admits a request of this node.
    pub(super) pause: Duration,
    /// Share of recent attempts that failed.
    pub(super) failures: f64,
}

impl TargetOutlook {
    fn free_slots(&self) -> f64 {
        if self.pause.is_zero() && self.failures < MAX_FREE_FAILURES {
            (self.capacity - self.busy).max(0.0)
        } else {
            0.0
        }
    }

    /// Time until the request is expected to be complete, in microseconds, increased for a failing
    /// target.
    fn cost(&self) -> f64 {
        let rounds = if self.busy < self.capacity {
            0.0
        } else {
            (self.ahead + 1.0) / self.capacity
        };
        let pause = self.pause.as_secs_f64() * 1e6;
        let failures = 1.0 + self.failures * routing::health::FAILURE_FACTOR;
        (pause + (rounds + 1.0) * self.run) * failures
    }
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    index: usize,
    same_zone: bool,
    outlook: TargetOutlook,
    free: f64,
    cost: f64,
}

impl Candidate {
    pub(super) fn new(index: usize, same_zone: bool, outlook: TargetOutlook) -> Self {
        Self {
            index,
            same_zone,
            outlook,
            free: outlook.free_slots(),
            cost: outlook.cost(),
        }
    }

    /// The weight in the draw among targets with free slots, or among those without.
    fn weight(&self) -> f64 {
        let slots = match self.free > 0.0 {
            true => self.free * self.outlook.share,
            false => self.outlook.capacity,
        };
        slots * self.cost.powi(-COST_EXPONENT)
    }
}

/// What a request to another zone must save while the own zone has free slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrossingCharge {
    /// Factor for the expected completion time there.
    pub(super) factor: f64,
    /// Addition to it, in microseconds.
    pub(super) micros: f64,
}

/// The candidates of the own zone, or those of all others.
#[derive(Clone, Copy, Debug)]
struct ZoneSum {
    same_zone: bool,
    capacity: f64,
    free: f64,
    /// Sum of the weights of the targets with free slots, or of all if none has a free slot.
    weight: f64,
    /// The shortest queue with the new request, as a share of the slots of its target.
    queue: f64,
}

impl ZoneSum {
    fn of(candidates: &[Candidate], same_zone: bool) -> Self {
        let (mut capacity, mut free, mut queue) = (0.0, 0.0, f64::INFINITY);
        let (mut free_weight, mut full_weight) = (0.0, 0.0);
        for candidate in candidates.iter().filter(|one| one.same_zone == same_zone) {
            let outlook = &candidate.outlook;
            capacity += outlook.capacity;
            free += candidate.free;
            queue = ((outlook.busy + 1.0) / outlook.capacity - 1.0).min(queue);
            if candidate.free > 0.0 {
                free_weight += candidate.weight();
            } else {
                full_weight += candidate.weight();
            }
        }
        Self {
            same_zone,
            capacity,
            free,
            weight: if free > 0.0 { free_weight } else { full_weight },
            queue,
        }
    }

    fn has_free_slot(&self) -> bool {
        self.free > 0.0
    }

    /// Decides whether this request takes the zone for full.
    fn is_full(&self, source: &mut Pcg32) -> bool {
        !self.has_free_slot() && self.queue / LEAVING_RANGE > unit_random(source)
    }

    /// Decides whether the free slots of the zone count for this request: with a probability in
    /// proportion to them if they are few.
    fn has_room(&self, source: &mut Pcg32) -> bool {
        self.free > self.capacity * ROOM_RANGE * unit_random(source)
    }

    /// Draws a target of the zone, one with a free slot if there is one, with a probability in
    /// proportion to its weight.
    fn draw<'a>(&self, candidates: &'a [Candidate], source: &mut Pcg32) -> Option<&'a Candidate> {
        let mut left = self.weight * unit_random(source);
        let mut last = None;
        for candidate in candidates {
            let is_drawn_from = candidate.same_zone == self.same_zone
                && (candidate.free > 0.0) == self.has_free_slot();
            if !is_drawn_from {
                continue;
            }
            last = Some(candidate);
            left -= candidate.weight();
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// Chooses one of `candidates`; returns its index in the table of targets.
///
/// A target with a free slot in any zone goes before a full zone. The queue of a target is ordered
/// by rank, so the wait of a low rank is not known from its length, and a request that stays for the
/// sake of its bytes may wait until it is refused.
pub(super) fn choose(
    candidates: &[Candidate],
    charge: CrossingCharge,
    source: &mut Pcg32,
) -> Option<usize> {
    let own = ZoneSum::of(candidates, true);
    let others = ZoneSum::of(candidates, false);
    let near = own.draw(candidates, source);
    let far = others.draw(candidates, source);
    let (Some(near), Some(far)) = (near, far) else {
        return near.or(far).map(|candidate| candidate.index);
    };
    let leaves = match (own.is_full(source), others.has_room(source)) {
        (true, true) => true,
        (true, false) => far.cost * SATURATED_ZONE_FACTOR < near.cost,
        (false, _) => far.cost * charge.factor + charge.micros < near.cost,
    };
    Some(if leaves { far.index } else { near.index })
}

/// A random number from zero to below one.
fn unit_random(source: &mut Pcg32) -> f64 {
    f64::from(source.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
