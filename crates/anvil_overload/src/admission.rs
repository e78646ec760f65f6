//! Admission queue of the local target: decides which request runs next and which is refused; see
//! `docs/design/admission.md`.

use std::time::Duration;

use anvil_types::{context, ident, time, verdict};
use anvil_wire::call;
use serde::Serialize;

use crate::{estimate, limit, pace, pacing, policy, rank, rate, refusal, shedding};

/// Queue capacity for each announced slot; the expected wait bounds the queue further.
pub const QUEUE_PLACES_PER_SLOT: usize = 8;

/// Minimum queue capacity.
pub const MIN_QUEUE_PLACES: usize = 16;

/// A request that is offered to the local target.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct WaitingCall {
    /// Identifies the request in later calls; assigned by the reducer and never reused.
    pub id: u64,
    /// Its rank among other requests.
    pub rank: rank::CallRank,
    /// Time at which its caller stops waiting.
    pub deadline: time::NodeTime,
    /// Longest wait in the queue that its rule allows.
    pub queue_wait: Duration,
    /// Whether it is suspected of crashing targets; two suspects never run at the same time.
    pub suspect: bool,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start(u64),
    /// The request is refused and did not run.
    Refuse {
        /// Id of the request.
        id: u64,
        /// Reason of the refusal.
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
    /// The usual service time: each sample is divided by the pace that the target stated.
    estimate: estimate::ServiceEstimate,
    /// What the target states about its load.
    pace: pace::TargetPace,
    leaving: bool,
    /// The rate that the target names.
    rate: rate::RateLimit,
    /// The nodes that share it.
    senders: pacing::SenderCount,
    /// Sorted by id.
    running: Vec<RunningCall>,
    /// Sorted by rank, the next to run last; requests of equal rank are in order of arrival.
    queue: Vec<QueuedCall>,
    policy: policy::OverloadPolicy,
}

impl AdmissionQueue {
    /// The queue of a newly started target that announced `slots`.
    pub fn new(now: time::NodeTime, slots: u32, policy: policy::OverloadPolicy) -> Self {
        Self {
            slots,
            limit: limit::ConcurrencyLimit::new(now, slots, policy),
            cut: shedding::CutControl::new(now, policy),
            estimate: estimate::ServiceEstimate::default(),
            pace: pace::TargetPace::default(),
            leaving: false,
            rate: rate::RateLimit::default(),
            senders: pacing::SenderCount::default(),
            running: Vec::new(),
            queue: Vec::new(),
            policy,
        }
    }

    /// The queue of a target that was already running when this node started.
    ///
    /// A replaced node must not treat its target as cold: three quarters of the slots would stay
    /// empty and the lowest classes would be shed although the target did not change. The target
    /// reports its own age; if the report is wrong, the adaptive limit corrects it.
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

    /// Applies the slots of a renewed announcement.
    pub fn set_slots(&mut self, now: time::NodeTime, slots: u32) -> Vec<AdmissionDecision> {
        self.slots = slots;
        self.limit.set_slots(slots);
        self.start_waiting(now, Vec::new())
    }

    /// Restarts the ramp, for a target that crashed and announces itself again.
    pub fn restart(&mut self, now: time::NodeTime) {
        self.limit = limit::ConcurrencyLimit::new(now, self.slots, self.policy);
        self.estimate = estimate::ServiceEstimate::default();
        self.pace = pace::TargetPace::default();
    }

    /// Refuses all waiting and future requests; running requests continue.
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

    /// Offers a request, which starts, waits or is refused, and may displace a request of lower
    /// rank.
    pub fn offer(&mut self, now: time::NodeTime, call: WaitingCall) -> Vec<AdmissionDecision> {
        self.update_cut(now);
        self.cut.count_arrival(&call.rank);
        if let Some((reason, limit)) = self.check_refusal(now, &call) {
            self.count_queue_refusal(&call.rank, reason);
            return vec![refuse(call.id, reason, limit)];
        }
        self.insert(now, call);
        let mut decisions = Vec::new();
        self.enforce_queue_bound(&mut decisions);
        self.start_waiting(now, decisions)
    }

    /// Records the end of a run and starts the next request.
    pub fn finish(
        &mut self,
        now: time::NodeTime,
        id: u64,
        sample: limit::RunSample,
    ) -> Vec<AdmissionDecision> {
        let Ok(index) = self.running.binary_search_by_key(&id, |run| run.id) else {
            return Vec::new();
        };
        self.running.remove(index);
        if sample.end == limit::RunEnd::Completed || sample.end == limit::RunEnd::TimedOut {
            self.pace.age(now);
            self.estimate.observe(self.pace.usual_time(sample.latency));
        }
        self.limit.observe(now, sample);
        self.start_waiting(now, Vec::new())
    }

    /// Removes a waiting request whose caller has gone away; returns whether it was waiting.
    pub fn cancel(&mut self, now: time::NodeTime, id: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.call.id != id);
        self.update_cut(now);
        before != self.queue.len()
    }

    /// Refuses requests that waited too long.
    pub fn wake(&mut self, now: time::NodeTime) -> Vec<AdmissionDecision> {
        self.start_waiting(now, Vec::new())
    }

    /// Time at which [`Self::wake`] must be called; `None` if no request waits.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        let expiry = self.queue.iter().map(|queued| queued.expiry).min()?;
        // Without a free slot, the end of a run is awaited and not the next token.
        let next_token = self.rate.next_token().filter(|_| self.has_free_slot());
        Some(match next_token {
            Some(next_token) if self.policy.named_rate => expiry.min(next_token),
            _ => expiry,
        })
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Load report for the nodes of callers.
    pub fn load(&mut self, now: time::NodeTime) -> call::LoadReport {
        self.update_cut(now);
        call::LoadReport {
            running: count(self.running.len()),
            queued: self.queued(),
            limit: self.limit.current(),
            usual_micros: u32::try_from(self.estimate.mean().as_micros()).unwrap_or(u32::MAX),
            cut: self.cut.cut_line(),
            deep: None,
            leaving: self.leaving,
            announced: 0,
            notice: None,
            pause_micros: u32::try_from(self.pause().as_micros()).unwrap_or(u32::MAX),
            pace_percent: self.pace.percent(),
        }
    }

    /// Counts a call from `node` to the target, which shares the rate among such nodes.
    pub fn count_sender(&mut self, now: time::NodeTime, node: ident::NodeId) {
        match self.rate.in_force(now) {
            Some(_) => self.senders.record(now, node),
            None => self.senders.clear(),
        }
    }

    /// How long the node that gets a load report should send nothing more.
    fn pause(&self) -> Duration {
        match self.rate_interval() {
            Some(interval) if self.policy.rate_pacing => {
                self.senders.pause(interval, self.rate.used_share())
            }
            _ => Duration::ZERO,
        }
    }

    /// The rate that the target names.
    pub fn rate(&self) -> &rate::RateLimit {
        &self.rate
    }

    /// Usual time of a run, without the pace; zero before the first.
    pub fn usual_time(&self) -> Duration {
        self.estimate.mean()
    }

    /// What the target states about its load.
    pub fn pace(&self) -> &pace::TargetPace {
        &self.pace
    }

    /// What the target states about its load, to be updated.
    pub fn pace_mut(&mut self) -> &mut pace::TargetPace {
        &mut self.pace
    }

    /// The rate that the target names, to be updated.
    pub fn rate_mut(&mut self) -> &mut rate::RateLimit {
        &mut self.rate
    }

    fn check_refusal(
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
        // A slot is never left free because of an estimate or a cut line: the run that uses it
        // provides the samples that correct them once the pressure has ended.
        if self.can_start() && self.queue.is_empty() {
            return None;
        }
        if self.cut.refuses(&call.rank) {
            return Some((Reason::Shed, Limit::Cut(self.cut.cut_line())));
        }
        let wait = self.expected_wait(&call.rank);
        if self.policy.bounded_queue && wait > call.queue_wait {
            return Some(self.wait_refusal(now, wait, call.queue_wait));
        }
        let needed = wait + self.shortest_run();
        if self.policy.deadline_drop && now + needed > call.deadline {
            return Some((Reason::Deadline, Limit::Deadline));
        }
        None
    }

    /// The refusal of a request that would wait, or has waited, longer than `allowed`.
    fn wait_refusal(
        &self,
        now: time::NodeTime,
        wait: Duration,
        allowed: Duration,
    ) -> (verdict::RefusalReason, refusal::RefusalLimit) {
        match self.rate.in_force(now) {
            Some(named) if self.is_rate_bound() => (
                verdict::RefusalReason::RateLimited,
                refusal::RefusalLimit::Rate {
                    named,
                    wait,
                    allowed,
                },
            ),
            _ => (
                verdict::RefusalReason::QueueFull,
                refusal::RefusalLimit::QueueWait { wait, allowed },
            ),
        }
    }

    /// Mean time of a run at the present pace.
    fn run_time(&self) -> Duration {
        self.pace.present_time(self.estimate.mean())
    }

    /// Time at the present pace that few runs stay below.
    fn shortest_run(&self) -> Duration {
        self.pace.present_time(self.estimate.lower_bound())
    }

    /// Expected wait behind the requests that are served earlier, for a slot and for a token.
    fn expected_wait(&self, rank: &rank::CallRank) -> Duration {
        let ahead = if self.policy.ranked_queue {
            let index = self.queue.partition_point(|other| other.call.rank < *rank);
            self.queue.len() - index
        } else {
            self.queue.len()
        };
        let rounds = self.run_time().saturating_mul(count(ahead));
        let for_slot = rounds / self.limit.current();
        match self.policy.named_rate {
            true => for_slot.max(self.rate.wait(ahead)),
            false => for_slot,
        }
    }

    fn insert(&mut self, now: time::NodeTime, call: WaitingCall) {
        let index = if self.policy.ranked_queue {
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
        self.queue.insert(index, QueuedCall { call, expiry });
    }

    /// Refuses the requests of the lowest rank while the queue exceeds its capacity.
    fn enforce_queue_bound(&mut self, decisions: &mut Vec<AdmissionDecision>) {
        let places = (self.slots as usize * QUEUE_PLACES_PER_SLOT).max(MIN_QUEUE_PLACES);
        while self.policy.bounded_queue && self.queue.len() > places {
            // Without ranks, the first place holds the latest arrival.
            let displaced = self.queue.remove(0);
            self.cut.count_overflow(&displaced.call.rank);
            decisions.push(refuse(
                displaced.call.id,
                verdict::RefusalReason::QueueFull,
                refusal::RefusalLimit::QueuePlaces(count(places)),
            ));
        }
    }

    /// Refuses expired requests and starts waiting ones while slots are free.
    fn start_waiting(
        &mut self,
        now: time::NodeTime,
        mut decisions: Vec<AdmissionDecision>,
    ) -> Vec<AdmissionDecision> {
        self.add_tokens(now);
        self.drop_expired(now, &mut decisions);
        while self.can_start() {
            let Some(index) = self.next_index() else {
                break;
            };
            let next = self.queue.remove(index).call;
            if self.misses_deadline(now, &next) {
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
        self.update_cut(now);
        decisions
    }

    fn drop_expired(&mut self, now: time::NodeTime, decisions: &mut Vec<AdmissionDecision>) {
        let expired = |queued: &mut QueuedCall| queued.expiry <= now;
        let expired: Vec<QueuedCall> = self.queue.extract_if(.., expired).collect();
        for queued in expired {
            let call = queued.call;
            self.cut.count_overflow(&call.rank);
            let (reason, limit) = if call.deadline <= now {
                (
                    verdict::RefusalReason::Deadline,
                    refusal::RefusalLimit::Deadline,
                )
            } else {
                self.wait_refusal(now, call.queue_wait, call.queue_wait)
            };
            decisions.push(refuse(call.id, reason, limit));
        }
    }

    /// Whether a request can no longer complete in time. Such runs would keep slots busy without
    /// completing an answer; the check is made immediately before the run starts, so none of them
    /// starts.
    fn misses_deadline(&self, now: time::NodeTime, call: &WaitingCall) -> bool {
        let others_wait = !self.queue.is_empty();
        self.policy.deadline_drop && others_wait && now + self.shortest_run() > call.deadline
    }

    /// Index of the request to run next: the one with the highest rank. Among equal ranks it is the
    /// newest under pressure, because its caller is the most likely to be still waiting, and
    /// otherwise the oldest.
    fn next_index(&self) -> Option<usize> {
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
        let index = self.running.partition_point(|other| other.id < run.id);
        self.running.insert(index, run);
        self.limit.run_started(count(self.running.len()));
        self.rate.take();
    }

    /// Whether a slot and a token are free, as of the last time that tokens were added.
    fn can_start(&self) -> bool {
        let has_token = !self.policy.named_rate || self.rate.wait(0).is_zero();
        has_token && self.has_free_slot()
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.limit.current() as usize
    }

    /// Counts a refusal that indicates pressure.
    fn count_queue_refusal(&mut self, rank: &rank::CallRank, reason: verdict::RefusalReason) {
        if matches!(
            reason,
            verdict::RefusalReason::QueueFull
                | verdict::RefusalReason::RateLimited
                | verdict::RefusalReason::Deadline
        ) {
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

    /// Number of queued requests that the cut line admits; the others wait only for slots that
    /// would stay free.
    fn standing_len(&self) -> usize {
        let admitted = |queued: &&QueuedCall| self.cut.admits(&queued.call.rank);
        self.queue.iter().filter(admitted).count()
    }

    /// Whether the named rate and not the number of slots bounds what the target runs.
    pub fn is_rate_bound(&self) -> bool {
        let by_slots = self.run_time() / self.limit.current();
        self.rate_interval()
            .is_some_and(|interval| interval > by_slots)
    }

    /// The time between two tokens, if the target names a rate.
    fn rate_interval(&self) -> Option<Duration> {
        let interval = self.rate.interval()?;
        self.policy.named_rate.then_some(interval)
    }

    fn add_tokens(&mut self, now: time::NodeTime) {
        self.pace.age(now);
        if let Some(filled_up) = self.rate.fill(now) {
            let snapshot = self.snapshot();
            self.cut.observe(filled_up, snapshot);
        }
    }

    /// Passes the current state of the queue on to the cut line.
    fn update_cut(&mut self, now: time::NodeTime) {
        self.add_tokens(now);
        let snapshot = self.snapshot();
        self.cut.observe(now, snapshot);
    }

    /// The state of the queue.
    ///
    /// A target that is bound by its rate is like one with a single slot that each request holds
    /// for the time between two tokens. Its free slots would otherwise look like room.
    fn snapshot(&self) -> shedding::QueueSnapshot {
        let mut snapshot = shedding::QueueSnapshot {
            service_time: self.run_time(),
            limit: self.limit.current(),
            running: count(self.running.len()),
            standing: self.standing_len(),
        };
        if let Some(interval) = self.rate_interval().filter(|_| self.is_rate_bound()) {
            snapshot.service_time = interval;
            snapshot.limit = 1;
            snapshot.running = u32::from(!self.rate.is_full());
        }
        snapshot
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
