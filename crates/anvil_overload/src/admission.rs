//! Which request runs next at the local target, and which is refused; see
//! `docs/design/admission.md`.

use std::time::Duration;

use anvil_types::{context, time, verdict};
use anvil_wire::call;
use serde::Serialize;

use crate::{estimate, limit, policy, rank, refusal, shedding};

/// Places in the queue for each announced slot; the expected wait bounds it further.
pub const QUEUE_PLACES_PER_SLOT: usize = 8;

/// Fewest places in the queue.
pub const MIN_QUEUE_PLACES: usize = 16;

/// A request that asks to run at the local target.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct WaitingCall {
    /// Names the request in later calls; chosen by the reducer, never used twice.
    pub id: u64,
    /// Where it stands among others.
    pub rank: rank::CallRank,
    /// When its caller stops waiting.
    pub deadline: time::NodeTime,
    /// Longest wait that its rule allows.
    pub queue_wait: Duration,
    /// Whether it is suspected of crashing targets, so that no two suspects run together.
    pub suspect: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Run it now.
    Start(u64),
    /// Refuse it; it did not run.
    Refuse {
        /// Which.
        id: u64,
        /// Why.
        reason: verdict::RefusalReason,
        /// The limit that refused it.
        limit: refusal::RefusalLimit,
    },
}

#[derive(Clone, Copy, Debug, Serialize)]
struct QueuedCall {
    call: WaitingCall,
    expiry: time::NodeTime,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct RunningCall {
    id: u64,
    suspect: bool,
}

/// The queue in front of one target, with its limit and its cut line.
#[derive(Clone, Debug, Serialize)]
pub struct AdmissionQueue {
    slots: u32,
    limit: limit::ConcurrencyLimit,
    cut: shedding::CutControl,
    estimate: estimate::ServiceEstimate,
    leaving: bool,
    /// Sorted by identity.
    running: Vec<RunningCall>,
    /// Sorted by rank, the next to run at the end; equals stand in order of arrival.
    queue: Vec<QueuedCall>,
    policy: policy::OverloadPolicy,
}

impl AdmissionQueue {
    /// The queue of a target that just announced `slots`.
    pub fn new(now: time::NodeTime, slots: u32, policy: policy::OverloadPolicy) -> Self {
        Self {
            slots,
            limit: limit::ConcurrencyLimit::new(now, slots, policy),
            cut: shedding::CutControl::new(now, policy),
            estimate: estimate::ServiceEstimate::default(),
            leaving: false,
            running: Vec::new(),
            queue: Vec::new(),
            policy,
        }
    }

    /// A queue for a target that has served for a while, beside a node that has not.
    ///
    /// Failure: a node is replaced and takes its target for cold. Symptom: three quarters of the
    /// slots stay empty and the lowest classes are shed, though nothing happened to the target.
    /// The target knows its own age; what it says wrongly is found by the limit as ever.
    pub fn warm(now: time::NodeTime, slots: u32, policy: policy::OverloadPolicy) -> Self {
        let full = policy::OverloadPolicy {
            cold_ramp: false,
            ..policy
        };
        Self {
            limit: limit::ConcurrencyLimit::new(now, slots, full),
            ..Self::new(now, slots, policy)
        }
    }

    /// Follows a renewed announcement of the target.
    pub fn set_slots(&mut self, now: time::NodeTime, slots: u32) -> Vec<AdmissionDecision> {
        self.slots = slots;
        self.limit.set_slots(slots);
        self.settle(now, Vec::new())
    }

    /// Begins the ramp again, for a target that crashed and announces itself anew.
    pub fn restart(&mut self, now: time::NodeTime) {
        self.limit = limit::ConcurrencyLimit::new(now, self.slots, self.policy);
        self.estimate = estimate::ServiceEstimate::default();
    }

    /// Refuses whatever waits and whatever comes; runs in progress go on.
    pub fn leave(&mut self) -> Vec<AdmissionDecision> {
        self.leaving = true;
        let refuse = |queued: QueuedCall| {
            refuse(
                queued.call.id,
                verdict::RefusalReason::Leaving,
                refusal::RefusalLimit::Leaving,
            )
        };
        self.queue.drain(..).map(refuse).collect()
    }

    /// Takes in a request; it starts, waits or is refused, and may displace a lower one.
    pub fn offer(&mut self, now: time::NodeTime, call: WaitingCall) -> Vec<AdmissionDecision> {
        self.follow(now);
        self.cut.count_arrival(&call.rank);
        if let Some((reason, limit)) = self.refusal_of(now, &call) {
            self.note_overflow(&call.rank, reason);
            return vec![refuse(call.id, reason, limit)];
        }
        self.insert(now, call);
        let mut decisions = Vec::new();
        self.displace(&mut decisions);
        self.settle(now, decisions)
    }

    /// Takes in the end of a run and starts the next.
    pub fn finish(
        &mut self,
        now: time::NodeTime,
        id: u64,
        sample: limit::RunSample,
    ) -> Vec<AdmissionDecision> {
        let Ok(place) = self.running.binary_search_by_key(&id, |run| run.id) else {
            return Vec::new();
        };
        self.running.remove(place);
        if sample.end == limit::RunEnd::Completed || sample.end == limit::RunEnd::TimedOut {
            self.estimate.observe(sample.latency);
        }
        self.limit.observe(now, sample);
        self.settle(now, Vec::new())
    }

    /// Forgets a request that waits, since nobody waits for it any more; true where it waited.
    pub fn cancel(&mut self, now: time::NodeTime, id: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.call.id != id);
        self.follow(now);
        before != self.queue.len()
    }

    /// Refuses what waited too long.
    pub fn wake(&mut self, now: time::NodeTime) -> Vec<AdmissionDecision> {
        self.settle(now, Vec::new())
    }

    /// When [`Self::wake`] has something to do; none where nothing waits.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        self.queue.iter().map(|queued| queued.expiry).min()
    }

    /// Requests running, sorted by identity.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// What is told to callers' nodes.
    pub fn load(&mut self, now: time::NodeTime) -> call::LoadReport {
        self.follow(now);
        call::LoadReport {
            running: count(self.running.len()),
            queued: self.queued(),
            limit: self.limit.current(),
            usual_micros: u32::try_from(self.estimate.mean().as_micros()).unwrap_or(u32::MAX),
            cut: self.cut.cut_line(),
            deep: None,
            leaving: self.leaving,
            announced: 0,
        }
    }

    fn refusal_of(
        &self,
        now: time::NodeTime,
        call: &WaitingCall,
    ) -> Option<(verdict::RefusalReason, refusal::RefusalLimit)> {
        use refusal::RefusalLimit as Limit;
        use verdict::RefusalReason as Reason;
        if self.leaving {
            return Some((Reason::Leaving, Limit::Leaving));
        }
        if now >= call.deadline {
            return Some((Reason::Deadline, Limit::Deadline));
        }
        // A free slot is never left idle for the sake of an estimate or a line: the run that it
        // gets is what corrects them once the pressure is gone.
        if self.free_slot() && self.queue.is_empty() {
            return None;
        }
        if self.cut.refuses(&call.rank) {
            return Some((Reason::Shed, Limit::Cut(self.cut.cut_line())));
        }
        let wait = self.expected_wait(&call.rank);
        if self.policy.bounded_queue && wait > call.queue_wait {
            let allowed = call.queue_wait;
            return Some((Reason::QueueFull, Limit::QueueWait { wait, allowed }));
        }
        let needed = wait + self.estimate.lower_bound();
        if self.policy.deadline_drop && now + needed > call.deadline {
            return Some((Reason::Deadline, Limit::Deadline));
        }
        None
    }

    /// The wait behind everything that is served earlier.
    fn expected_wait(&self, rank: &rank::CallRank) -> Duration {
        let ahead = if self.policy.ranked_queue {
            let place = self.queue.partition_point(|other| other.call.rank < *rank);
            self.queue.len() - place
        } else {
            self.queue.len()
        };
        let rounds = self.estimate.mean().saturating_mul(count(ahead));
        rounds / self.limit.current()
    }

    fn insert(&mut self, now: time::NodeTime, call: WaitingCall) {
        let place = if self.policy.ranked_queue {
            self.queue
                .partition_point(|other| other.call.rank <= call.rank)
        } else {
            0
        };
        let expiry = if self.policy.bounded_queue {
            call.deadline.min(now + call.queue_wait)
        } else {
            call.deadline
        };
        self.queue.insert(place, QueuedCall { call, expiry });
    }

    /// The lowest leaves when the queue is over its bound.
    fn displace(&mut self, decisions: &mut Vec<AdmissionDecision>) {
        let places = (self.slots as usize * QUEUE_PLACES_PER_SLOT).max(MIN_QUEUE_PLACES);
        while self.policy.bounded_queue && self.queue.len() > places {
            // Without ranks the first place is the latest arrival's, too.
            let lost = self.queue.remove(0);
            self.cut.count_overflow(&lost.call.rank);
            decisions.push(refuse(
                lost.call.id,
                verdict::RefusalReason::QueueFull,
                refusal::RefusalLimit::QueuePlaces(count(places)),
            ));
        }
    }

    fn settle(
        &mut self,
        now: time::NodeTime,
        mut decisions: Vec<AdmissionDecision>,
    ) -> Vec<AdmissionDecision> {
        self.drop_expired(now, &mut decisions);
        while self.free_slot() {
            let Some(place) = self.next_place() else {
                break;
            };
            let next = self.queue.remove(place).call;
            if self.too_late(now, &next) {
                self.cut.count_overflow(&next.rank);
                decisions.push(refuse(
                    next.id,
                    verdict::RefusalReason::Deadline,
                    refusal::RefusalLimit::Deadline,
                ));
                continue;
            }
            self.start(next);
            decisions.push(AdmissionDecision::Start(next.id));
        }
        self.follow(now);
        decisions
    }

    fn drop_expired(&mut self, now: time::NodeTime, decisions: &mut Vec<AdmissionDecision>) {
        let expired = |queued: &QueuedCall| queued.expiry <= now;
        for queued in self.queue.extract_if(.., |queued| expired(queued)) {
            let call = queued.call;
            self.cut.count_overflow(&call.rank);
            decisions.push(if call.deadline <= now {
                refuse(
                    call.id,
                    verdict::RefusalReason::Deadline,
                    refusal::RefusalLimit::Deadline,
                )
            } else {
                let allowed = call.queue_wait;
                refuse(
                    call.id,
                    verdict::RefusalReason::QueueFull,
                    refusal::RefusalLimit::QueueWait {
                        wait: allowed,
                        allowed,
                    },
                )
            });
        }
    }

    /// Failure: a run starts that can't end in time. Symptom: slots are busy and no answer is
    /// whole. Enough, since it is checked at the last moment before the run.
    fn too_late(&self, now: time::NodeTime, call: &WaitingCall) -> bool {
        let others_wait = !self.queue.is_empty();
        self.policy.deadline_drop
            && others_wait
            && now + self.estimate.lower_bound() > call.deadline
    }

    /// The place of the next to run: the highest rank; of equals, the newest under strain, since
    /// its caller is the likeliest to be waiting still, and the oldest otherwise.
    fn next_place(&self) -> Option<usize> {
        let isolated = self.running.iter().any(|run| run.suspect);
        let may_run = |queued: &QueuedCall| !(isolated && queued.call.suspect);
        let last = self.queue.iter().rposition(may_run)?;
        if !self.policy.ranked_queue || self.cut.is_under_pressure() {
            return Some(last);
        }
        let rank = self.queue[last].call.rank;
        let first = self.queue.partition_point(|other| other.call.rank < rank);
        let oldest = self.queue[first..].iter().position(may_run)?;
        Some(first + oldest)
    }

    fn start(&mut self, call: WaitingCall) {
        let run = RunningCall {
            id: call.id,
            suspect: call.suspect,
        };
        let place = self.running.partition_point(|other| other.id < run.id);
        self.running.insert(place, run);
        self.limit.run_started(count(self.running.len()));
    }

    fn free_slot(&self) -> bool {
        self.running.len() < self.limit.current() as usize
    }

    fn note_overflow(&mut self, rank: &rank::CallRank, reason: verdict::RefusalReason) {
        if reason == verdict::RefusalReason::QueueFull || reason == verdict::RefusalReason::Deadline
        {
            self.cut.count_overflow(rank);
        }
    }

    fn queued(&self) -> [u16; context::PriorityClass::ALL.len()] {
        let mut queued = [0_u16; context::PriorityClass::ALL.len()];
        for waiting in &self.queue {
            let class = &mut queued[waiting.call.rank.class as usize];
            *class = class.saturating_add(1);
        }
        queued
    }

    /// Requests in the queue that the line admits; the others only wait for slots left free.
    fn standing(&self) -> usize {
        let admitted = |queued: &&QueuedCall| self.cut.admits(&queued.call.rank);
        self.queue.iter().filter(admitted).count()
    }

    fn follow(&mut self, now: time::NodeTime) {
        let view = shedding::QueueSnapshot {
            service_time: self.estimate.mean(),
            limit: self.limit.current(),
            running: count(self.running.len()),
            standing: self.standing(),
        };
        self.cut.observe(now, view);
    }
}

fn refuse(
    id: u64,
    reason: verdict::RefusalReason,
    limit: refusal::RefusalLimit,
) -> AdmissionDecision {
    AdmissionDecision::Refuse { id, reason, limit }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
