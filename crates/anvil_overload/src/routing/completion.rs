//! Chooses a target by the time at which it is expected to complete a request; see
//! `docs/design/placement.md`.

use std::time::Duration;

use rand_core::Rng;
use rand_pcg::Pcg32;

use crate::routing;
use crate::routing::placement;

/// Exponent of the inverse of the expected completion time in the weight of a target.
///
/// A target that takes twice as long is drawn a sixteenth as often per free slot. With a plain
/// minimum, all nodes that hold the same report would choose the same target.
const SPEED_EXPONENT: i32 = 4;

/// Queue of a zone without free slots at which all requests leave it for free slots elsewhere, as a
/// multiple of the square root of the slots. A shorter queue makes a part of them leave in
/// proportion.
///
/// All nodes of a zone notice at nearly the same time that its last slot is taken or free again.
/// With a threshold they would leave the zone and return to it together. The number of requests at a
/// target varies by the square root of its mean, so a shorter queue is no sign of overflow. A
/// longer one holds back the lowest ranks until they are refused.
const FULL_QUEUE: f64 = 1.25;

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

    /// The inverse of the time in microseconds until the request is expected to be complete. A single
    /// division for each target keeps the choice fast.
    fn speed(&self) -> f64 {
        let waiting = if self.busy < self.capacity {
            0.0
        } else {
            self.ahead + 1.0
        };
        let pause = match self.pause.is_zero() {
            true => 0.0,
            false => self.pause.as_secs_f64() * 1e6,
        };
        let slot_time = pause * self.capacity + (self.capacity + waiting) * self.run;
        self.capacity / slot_time
    }

    /// Factor by which the expected completion time of a failing target is increased.
    fn failure_factor(&self) -> f64 {
        1.0 + self.failures * routing::health::FAILURE_FACTOR
    }
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    same_zone: bool,
    has_free_slot: bool,
    speed: f64,
    failure_factor: f64,
    weight: f64,
}

impl Candidate {
    /// Time until the request is expected to be complete, in microseconds, increased for a failing
    /// target.
    fn cost(&self) -> f64 {
        self.failure_factor / self.speed
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
    capacity: f64,
    free: f64,
    /// Sum of the weights of the targets with free slots.
    free_weight: f64,
    /// Sum of the weights of the other targets.
    full_weight: f64,
    /// The shortest queue with the new request, as a multiple of the queue at which all leave.
    queue: f64,
}

impl Default for ZoneSum {
    fn default() -> Self {
        Self {
            capacity: 0.0,
            free: 0.0,
            free_weight: 0.0,
            full_weight: 0.0,
            queue: f64::INFINITY,
        }
    }
}

impl ZoneSum {
    fn has_free_slot(&self) -> bool {
        self.free > 0.0
    }

    /// Decides whether this request takes the zone for full.
    fn is_full(&self, source: &mut Pcg32) -> bool {
        !self.has_free_slot() && self.queue > unit_random(source)
    }

    /// Decides whether the free slots of the zone count for this request: with a probability in
    /// proportion to them if they are few.
    fn has_room(&self, source: &mut Pcg32) -> bool {
        self.free > self.capacity * ROOM_RANGE * unit_random(source)
    }
}

/// The targets among which one is chosen.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidateSet {
    candidates: Vec<Candidate>,
    own: ZoneSum,
    others: ZoneSum,
}

impl CandidateSet {
    /// An empty set with memory for `count` targets.
    pub(super) fn with_capacity(count: usize) -> Self {
        Self {
            candidates: Vec::with_capacity(count),
            ..Self::default()
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    pub(super) fn has_own_zone(&self) -> bool {
        self.own.capacity > 0.0
    }

    /// Adds the target at `index` of the table.
    #[inline]
    pub(super) fn push(&mut self, index: usize, same_zone: bool, outlook: &TargetOutlook) {
        let free = outlook.free_slots();
        let has_free_slot = free > 0.0;
        let speed = outlook.speed();
        let slots = match has_free_slot {
            true => free * outlook.share,
            false => outlook.capacity,
        };
        // Failures count without the exponent. Where a part of the runs fails at all targets, the
        // requests would otherwise gather at the one that happened to fail least.
        let failure_factor = outlook.failure_factor();
        let weight = slots * speed.powi(SPEED_EXPONENT) / failure_factor;
        let sum = match same_zone {
            true => &mut self.own,
            false => &mut self.others,
        };
        sum.capacity += outlook.capacity;
        if has_free_slot {
            sum.free += free;
            sum.free_weight += weight;
        } else {
            sum.full_weight += weight;
            let queue =
                (outlook.busy + 1.0 - outlook.capacity) / (FULL_QUEUE * outlook.capacity.sqrt());
            sum.queue = sum.queue.min(queue);
        }
        self.candidates.push(Candidate {
            index,
            same_zone,
            has_free_slot,
            speed,
            failure_factor,
            weight,
        });
    }

    /// Chooses a target; returns its index in the table, and why it was chosen.
    ///
    /// A target with a free slot in any zone goes before a full zone. The queue of a target is
    /// ordered by rank, so the wait of a low rank is not known from its length, and a request that
    /// stays for the sake of its bytes may wait until it is refused.
    pub(super) fn choose(
        &self,
        charge: CrossingCharge,
        source: &mut Pcg32,
    ) -> Option<(usize, placement::PlacementReason)> {
        use placement::PlacementReason as Reason;
        let (own, others) = (&self.own, &self.others);
        let saturated = !own.has_free_slot() && !others.has_free_slot();
        let reason_of = |reason| match saturated {
            true => Reason::Saturated,
            false => reason,
        };
        let (near, far) = match (self.draw(true, source), self.draw(false, source)) {
            (Some(near), Some(far)) => (near, far),
            (Some(near), None) => return Some((near.index, reason_of(Reason::OwnZone))),
            (None, far) => return Some((far?.index, reason_of(Reason::Overflow))),
        };
        let leaves = match (own.is_full(source), others.has_room(source)) {
            (true, true) => Some(Reason::Overflow),
            (true, false) => {
                let is_earlier = far.cost() * SATURATED_ZONE_FACTOR < near.cost();
                is_earlier.then_some(Reason::Saturated)
            }
            (false, _) => {
                let is_faster = far.cost() * charge.factor + charge.micros < near.cost();
                is_faster.then_some(Reason::Faster)
            }
        };
        Some(match leaves {
            Some(reason) => (far.index, reason_of(reason)),
            None => (near.index, reason_of(Reason::OwnZone)),
        })
    }

    /// Draws a target of the own zone or of the others, one with a free slot if there is one, with a
    /// probability in proportion to its weight.
    fn draw(&self, same_zone: bool, source: &mut Pcg32) -> Option<&Candidate> {
        let sum = match same_zone {
            true => &self.own,
            false => &self.others,
        };
        let has_free_slot = sum.has_free_slot();
        let weight = match has_free_slot {
            true => sum.free_weight,
            false => sum.full_weight,
        };
        let mut left = weight * unit_random(source);
        let mut last = None;
        for candidate in &self.candidates {
            if candidate.same_zone == same_zone && candidate.has_free_slot == has_free_slot {
                last = Some(candidate);
                left -= candidate.weight;
                if left < 0.0 {
                    break;
                }
            }
        }
        last
    }
}

/// A random number from zero to below one.
fn unit_random(source: &mut Pcg32) -> f64 {
    f64::from(source.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
