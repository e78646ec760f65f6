//! Quarantine of requests that crash the targets running them; see `docs/design/quarantine.md`.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{ident, name, time};
use anvil_wire::suspicion;
use serde::Serialize;

use crate::policy;

/// Crashes beyond the rule's limit after which a request is quarantined even if other suspects were
/// running during each of them.
pub const AMBIGUOUS_CRASH_MARGIN: u8 = 2;

/// Time after its last crash for which a request remains a suspect.
pub const SUSPECT_TTL: Duration = Duration::from_secs(60);

/// Capacity of the list of suspects; for targets with 40 slots it holds the requests of about fifty
/// crashes.
pub const MAX_SUSPECTS: usize = 2_048;

/// Number of crashes remembered, so that a notice that is received twice counts once.
pub const MAX_KNOWN_CRASHES: usize = 256;

/// Number of requests remembered whose quarantine has ended since they were served.
pub const MAX_ACQUITTED_REQUESTS: usize = MAX_SUSPECTS;

/// Slots for the fingerprints of requests that were answered completely, one for each value of the
/// lowest byte. Requests that many callers send are present at any time; a node spends 4 KB on it.
const ANSWERED_FINGERPRINT_SLOTS: usize = 256;

/// Fingerprints of requests that were recently answered completely.
#[derive(Clone, Debug, Default)]
struct AnsweredFingerprints {
    slots: Vec<Option<(ident::RequestFingerprint, time::NodeTime)>>,
}

impl AnsweredFingerprints {
    /// Records that `fingerprint` was answered at `at`, unless its slot holds a later answer.
    fn insert(&mut self, at: time::NodeTime, fingerprint: ident::RequestFingerprint) {
        self.slots.resize(ANSWERED_FINGERPRINT_SLOTS, None);
        let slot = &mut self.slots[slot_of(fingerprint)];
        if slot.is_none_or(|(_, known_at)| known_at <= at) {
            *slot = Some((fingerprint, at));
        }
    }

    /// Whether `fingerprint` was answered completely within [`SUSPECT_TTL`].
    fn contains(&self, now: time::NodeTime, fingerprint: ident::RequestFingerprint) -> bool {
        self.age(now, fingerprint).is_some()
    }

    /// Time since `fingerprint` was answered completely, if it was within [`SUSPECT_TTL`].
    fn age(&self, now: time::NodeTime, fingerprint: ident::RequestFingerprint) -> Option<Duration> {
        let slot = self.slots.get(slot_of(fingerprint)).copied().flatten();
        let (_, at) = slot.filter(|(known, _)| *known == fingerprint)?;
        Some(now.since(at)).filter(|age| *age < SUSPECT_TTL)
    }
}

fn slot_of(fingerprint: ident::RequestFingerprint) -> usize {
    usize::from(fingerprint.0.to_le_bytes()[0])
}

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No recent crash involved it.
    Clean,
    /// It was running when a target crashed; it may run, but not beside another suspect.
    Suspect,
    /// It is refused for a while.
    Quarantined {
        /// Crashes during which it was running.
        seen: u8,
        /// Crashes that its rule allows.
        allowed: u8,
        /// Time for which it is still refused.
        left: Duration,
    },
}

/// Limits that a rule sets for crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CrashRule {
    /// Crashes that are allowed.
    pub limit: u8,
    /// Time for which the request is refused after the last one.
    pub quarantine: Duration,
}

/// How a run ended without its connection breaking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With a complete answer that serves the caller.
    Answered,
    /// With a complete answer that states a failure of the target.
    Failed,
    /// The target accepted no connection.
    Unreachable,
    /// In any other way, which says nothing about the target.
    Unknown,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct RunningFingerprint {
    run: u64,
    /// Number of runs that had started before.
    start: u64,
    #[serde(rename = "print")]
    fingerprint: ident::RequestFingerprint,
    rule: CrashRule,
}

/// Maximum number of broken runs that wait for the decision whether the target crashed.
const MAX_BROKEN_RUNS: usize = 256;

/// Runs that broke while it is undecided whether the target crashed.
#[derive(Clone, Debug, Serialize)]
struct CrashGroup {
    broken: Vec<RunningFingerprint>,
    /// Runs that were in progress when the first one broke and have not ended yet, sorted.
    waiting: Vec<u64>,
    /// Number of runs that had started when the first one broke.
    started: u64,
    /// Whether the caller of the list was told to probe the target.
    is_probed: bool,
    /// Whether the target has ended, or accepts no connections.
    is_confirmed: bool,
}

impl CrashGroup {
    fn is_crash(&self) -> bool {
        self.waiting.is_empty() && self.is_confirmed
    }
}

#[derive(Clone, Copy, Debug, Serialize)]
struct SuspectFingerprint {
    #[serde(rename = "print")]
    fingerprint: ident::RequestFingerprint,
    strikes: u8,
    alone: bool,
    rule: CrashRule,
    struck: time::NodeTime,
    /// The crash that caused the last strike.
    crash: suspicion::CrashId,
}

impl SuspectFingerprint {
    /// Whether the crashes exceed the limit of the rule. A single crash may be a coincidence. The
    /// limit applies if in one of the crashes no other suspect was running, which cannot hold for
    /// two requests at once; otherwise [`AMBIGUOUS_CRASH_MARGIN`] more crashes are needed.
    fn exceeds_limit(&self) -> bool {
        let limit = self.rule.limit.max(1);
        let ambiguous_limit = limit.saturating_add(AMBIGUOUS_CRASH_MARGIN);
        self.strikes >= ambiguous_limit || (self.alone && self.strikes >= limit)
    }

    fn ttl(&self) -> Duration {
        if self.exceeds_limit() {
            self.rule.quarantine
        } else {
            SUSPECT_TTL
        }
    }

    fn quarantined(&self, now: time::NodeTime) -> suspicion::QuarantinedRequest {
        suspicion::QuarantinedRequest {
            fingerprint: self.fingerprint,
            crashes: self.strikes,
            crash_limit: self.rule.limit,
            quarantine_seconds: whole_seconds(self.rule.quarantine),
            age_millis: whole_millis(now.since(self.struck)),
            last: self.crash,
        }
    }

    fn left(&self, now: time::NodeTime) -> Duration {
        self.ttl().saturating_sub(now.since(self.struck))
    }
}

/// A request that was quarantined, or told to be, although it is harmless.
#[derive(Clone, Copy, Debug, Serialize)]
struct AcquittedRequest {
    fingerprint: ident::RequestFingerprint,
    /// The last crash that its quarantine goes back to.
    crash: suspicion::CrashId,
    /// Crashes until then do not quarantine it again.
    at: time::NodeTime,
    /// When all notices of these crashes have expired.
    until: time::NodeTime,
}

/// Requests that were running when targets crashed.
#[derive(Clone, Debug, Serialize)]
pub struct PoisonList {
    node: ident::NodeId,
    crashes: u64,
    group: Option<CrashGroup>,
    /// Number of runs that have started.
    started: u64,
    /// Sorted by run.
    running: Vec<RunningFingerprint>,
    /// Sorted by fingerprint.
    suspects: Vec<SuspectFingerprint>,
    #[serde(rename = "marks")]
    known_crashes: VecDeque<suspicion::CrashId>,
    #[serde(skip)]
    answered_fingerprints: AnsweredFingerprints,
    /// Sorted by fingerprint.
    acquitted: Vec<AcquittedRequest>,
    /// Requests that were quarantined and not taken by [`take_quarantined`](Self::take_quarantined).
    #[serde(skip)]
    quarantined: Vec<suspicion::QuarantinedRequest>,
    #[serde(skip)]
    policy: policy::OverloadPolicy,
}

impl PoisonList {
    /// Creates an empty list for `node`.
    pub fn new(node: ident::NodeId, policy: policy::OverloadPolicy) -> Self {
        Self {
            node,
            crashes: 0,
            group: None,
            started: 0,
            running: Vec::new(),
            suspects: Vec::new(),
            known_crashes: VecDeque::new(),
            answered_fingerprints: AnsweredFingerprints::default(),
            acquitted: Vec::new(),
            quarantined: Vec::new(),
            policy,
        }
    }

    /// Quarantine status of `fingerprint`.
    ///
    /// If several instances are lost one after the other for another reason, a request that many
    /// callers send was in progress at each of them and would be refused everywhere for the time of
    /// the quarantine. A request that crashes its targets is never answered, so one that was
    /// answered completely within a minute is not refused; it remains a suspect and runs apart from
    /// other suspects.
    pub fn status(
        &self,
        now: time::NodeTime,
        fingerprint: ident::RequestFingerprint,
    ) -> QuarantineStatus {
        let Some(suspect) = self.find(fingerprint) else {
            return QuarantineStatus::Clean;
        };
        let left = suspect.left(now);
        if !self.policy.quarantine || left.is_zero() {
            QuarantineStatus::Clean
        } else if suspect.exceeds_limit() && !self.answered_fingerprints.contains(now, fingerprint)
        {
            QuarantineStatus::Quarantined {
                seen: suspect.strikes,
                allowed: suspect.rule.limit,
                left,
            }
        } else {
            QuarantineStatus::Suspect
        }
    }

    /// Records a run that starts at the local target.
    pub fn run_started(
        &mut self,
        run: u64,
        fingerprint: ident::RequestFingerprint,
        rule: CrashRule,
    ) {
        let entry = RunningFingerprint {
            run,
            start: self.started,
            fingerprint,
            rule,
        };
        self.started += 1;
        let index = self.running.partition_point(|known| known.run < run);
        self.running.insert(index, entry);
    }

    /// Records a run that ended without breaking; an answer that serves the caller takes back one
    /// strike.
    ///
    /// A failure takes none back: a target may fail requests without running them.
    ///
    /// Returns a notice if the run was the last one that left undecided whether the target crashed.
    pub fn run_ended(
        &mut self,
        now: time::NodeTime,
        run: u64,
        end: RunEnd,
        service: &name::ServiceName,
    ) -> Option<suspicion::SuspicionNotice> {
        let entry = self.take(run)?;
        if end == RunEnd::Answered {
            self.answered(now, entry.fingerprint);
        }
        let group = self.group.as_mut()?;
        if let Ok(index) = group.waiting.binary_search(&run) {
            group.waiting.remove(index);
        }
        match end {
            // A target that answers what it received after the first break has not crashed. An
            // answer to an earlier request may have been sent before the crash.
            RunEnd::Answered | RunEnd::Failed if entry.start >= group.started => {
                self.group = None;
                return None;
            }
            RunEnd::Unreachable => group.is_confirmed = true,
            RunEnd::Answered | RunEnd::Failed | RunEnd::Unknown => {}
        }
        self.conclude(now, service)
    }

    /// Whether the target has to be probed, once for each series of broken runs.
    ///
    /// A target that loses an answer or resets a connection has not crashed. If each such break made
    /// suspects, a request that many callers send would be quarantined at a target that loses some of
    /// its answers.
    pub fn needs_probe(&mut self) -> bool {
        let undecided = self.group.as_mut().filter(|group| !group.is_confirmed);
        undecided.is_some_and(|group| !std::mem::replace(&mut group.is_probed, true))
    }

    /// Records whether the target accepted a connection after a run broke.
    ///
    /// Returns a notice if that decides that it crashed.
    pub fn target_probed(
        &mut self,
        now: time::NodeTime,
        accepted: bool,
        service: &name::ServiceName,
    ) -> Option<suspicion::SuspicionNotice> {
        if accepted {
            self.group = None;
            return None;
        }
        self.target_ended(now, service)
    }

    /// Records that the incarnation of the target that was running has ended.
    ///
    /// Returns a notice if that decides that it crashed.
    pub fn target_ended(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
    ) -> Option<suspicion::SuspicionNotice> {
        self.group.as_mut()?.is_confirmed = true;
        self.conclude(now, service)
    }

    /// Records that this node or another one received a complete answer to a request, which takes
    /// back one strike.
    ///
    /// Without the answers of other nodes, a caller's node without a local target would add up the
    /// lost attempts of a minute and refuse requests that all targets serve.
    pub fn answered(&mut self, now: time::NodeTime, fingerprint: ident::RequestFingerprint) {
        self.answered_fingerprints.insert(now, fingerprint);
        self.clear(now, fingerprint);
    }

    /// Records a run whose connection broke.
    ///
    /// Returns a notice once every run that was in progress has ended and the target is known to have
    /// ended too, which means that it crashed.
    pub fn run_broken(
        &mut self,
        now: time::NodeTime,
        run: u64,
        service: &name::ServiceName,
    ) -> Option<suspicion::SuspicionNotice> {
        let entry = self.take(run)?;
        let (running, started) = (&self.running, self.started);
        let group = self.group.get_or_insert_with(|| CrashGroup {
            broken: Vec::new(),
            waiting: running.iter().map(|known| known.run).collect(),
            started,
            is_probed: false,
            is_confirmed: false,
        });
        if group.broken.len() < MAX_BROKEN_RUNS {
            group.broken.push(entry);
        }
        if let Ok(index) = group.waiting.binary_search(&run) {
            group.waiting.remove(index);
        }
        self.conclude(now, service)
    }

    /// Records that a peer node was lost while it ran these requests.
    ///
    /// The node may still be alive behind a broken network. A request therefore counts as having
    /// been alone only if it was a suspect before and no other one was, because the lost node ran
    /// suspects apart.
    pub fn peer_lost(
        &mut self,
        now: time::NodeTime,
        peer: ident::NodeId,
        service: &name::ServiceName,
        fingerprints: &[(ident::RequestFingerprint, CrashRule)],
    ) -> suspicion::SuspicionNotice {
        let crash = suspicion::CrashId {
            node: peer,
            sequence: 0,
        };
        let suspected = |fingerprint: ident::RequestFingerprint| {
            self.status(now, fingerprint) != QuarantineStatus::Clean
        };
        let suspects = fingerprints
            .iter()
            .filter(|(fingerprint, _)| suspected(*fingerprint))
            .count();
        let suspect_requests = fingerprints
            .iter()
            .map(|(fingerprint, rule)| {
                suspect_request(
                    *fingerprint,
                    *rule,
                    suspects == 1 && suspected(*fingerprint),
                )
            })
            .collect();
        let notice = suspicion::SuspicionNotice {
            crash,
            service: service.clone(),
            suspects: suspect_requests,
        };
        self.apply(now, &notice);
        notice
    }

    /// Applies the notice of another node; returns false if it was already known.
    pub fn apply_notice(
        &mut self,
        now: time::NodeTime,
        notice: &suspicion::SuspicionNotice,
    ) -> bool {
        // Notices without a sequence number come from callers' nodes, each of which knows only its
        // own share of the requests of a lost node.
        let has_sequence = notice.crash.sequence > 0;
        if has_sequence && self.known_crashes.contains(&notice.crash) {
            return false;
        }
        self.apply(now, notice);
        true
    }

    /// Takes the requests that were quarantined since the last call.
    pub fn take_quarantined(&mut self) -> Vec<suspicion::QuarantinedRequest> {
        std::mem::take(&mut self.quarantined)
    }

    /// The requests that are quarantined at `now`, those with the latest crashes first, as many as
    /// fit into a datagram.
    pub fn quarantined(&self, now: time::NodeTime) -> Vec<suspicion::QuarantinedRequest> {
        let suspects = self.suspects.iter();
        let mut found: Vec<_> = suspects
            .filter(|suspect| self.is_quarantined(now, suspect.fingerprint))
            .collect();
        found.sort_unstable_by_key(|suspect| std::cmp::Reverse(suspect.struck));
        found.truncate(suspicion::MAX_QUARANTINED_REQUESTS);
        let requests = found.into_iter().map(|suspect| suspect.quarantined(now));
        requests.collect()
    }

    /// Quarantines a request that another node refuses; returns whether this node did not refuse it
    /// yet.
    ///
    /// A request that was answered here within a minute can't be the cause of the crashes. Nor can one
    /// whose quarantine for them has ended since: the notices of other nodes go on for a while, and a
    /// node that took them for news would tell others again, who would do the same.
    pub fn merge(&mut self, now: time::NodeTime, request: &suspicion::QuarantinedRequest) -> bool {
        let fingerprint = request.fingerprint;
        let age = Duration::from_millis(request.age_millis);
        let quarantine = Duration::from_secs(u64::from(request.quarantine_seconds));
        let known = self.is_quarantined(now, fingerprint);
        let struck = time::NodeTime(now.0.saturating_sub(micros(age)));
        if known || age >= quarantine || self.is_acquitted(now, request, struck) {
            return false;
        }
        if self.answered_fingerprints.contains(now, fingerprint) {
            // Its slot may be needed for another request before the notices have ended.
            self.acquit(now, fingerprint, request.last, struck + quarantine);
            return false;
        }
        if let Ok(index) = self.search(fingerprint) {
            self.suspects.remove(index);
        }
        self.add(SuspectFingerprint {
            fingerprint,
            strikes: request.crashes.max(request.crash_limit),
            alone: true,
            rule: CrashRule {
                limit: request.crash_limit,
                quarantine,
            },
            struck,
            crash: request.last,
        });
        self.record_quarantined(now, fingerprint);
        true
    }

    /// Those of `requests` that this node knows to be harmless, since they were served lately.
    pub fn served_among(
        &self,
        now: time::NodeTime,
        requests: &[suspicion::QuarantinedRequest],
    ) -> Vec<suspicion::ServedRequest> {
        let served = requests.iter().filter_map(|request| {
            let fingerprint = request.fingerprint;
            let age = self.answered_fingerprints.age(now, fingerprint)?;
            Some(suspicion::ServedRequest {
                fingerprint,
                age_millis: whole_millis(age),
            })
        });
        served.collect()
    }

    /// Ends the quarantine of a request that another node knows to be harmless.
    ///
    /// A request that many callers send may be running at a series of crashes that it does not
    /// cause, while its answers arrive elsewhere. Refused everywhere, it would not be served again.
    pub fn merge_served(&mut self, now: time::NodeTime, served: &suspicion::ServedRequest) {
        let age = Duration::from_millis(served.age_millis);
        if age >= SUSPECT_TTL {
            return;
        }
        let was_quarantined = self.is_quarantined(now, served.fingerprint);
        let at = time::NodeTime(now.0.saturating_sub(micros(age)));
        self.answered_fingerprints.insert(at, served.fingerprint);
        if was_quarantined {
            self.clear(now, served.fingerprint);
        }
    }

    /// Number of suspects and quarantined requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether the quarantine of a request for crashes until `struck` has ended, as it was served.
    fn is_acquitted(
        &self,
        now: time::NodeTime,
        request: &suspicion::QuarantinedRequest,
        struck: time::NodeTime,
    ) -> bool {
        let index = self.search_acquitted(request.fingerprint);
        let acquitted = index.map(|index| self.acquitted[index]);
        acquitted.is_ok_and(|acquitted| {
            let is_covered = acquitted.crash == request.last || struck <= acquitted.at;
            now < acquitted.until && is_covered
        })
    }

    fn acquit(
        &mut self,
        now: time::NodeTime,
        fingerprint: ident::RequestFingerprint,
        crash: suspicion::CrashId,
        until: time::NodeTime,
    ) {
        let entry = AcquittedRequest {
            fingerprint,
            crash,
            at: now,
            until,
        };
        if let Ok(index) = self.search_acquitted(fingerprint) {
            self.acquitted[index] = entry;
            return;
        }
        if self.acquitted.len() == MAX_ACQUITTED_REQUESTS {
            let first =
                (0..MAX_ACQUITTED_REQUESTS).min_by_key(|index| self.acquitted[*index].until);
            if let Some(index) = first {
                self.acquitted.remove(index);
            }
        }
        let index = self
            .acquitted
            .partition_point(|known| known.fingerprint < fingerprint);
        self.acquitted.insert(index, entry);
    }

    fn search_acquitted(&self, fingerprint: ident::RequestFingerprint) -> Result<usize, usize> {
        self.acquitted
            .binary_search_by_key(&fingerprint, |known| known.fingerprint)
    }

    fn clear(&mut self, now: time::NodeTime, fingerprint: ident::RequestFingerprint) {
        let Ok(index) = self.search(fingerprint) else {
            return;
        };
        let known = self.suspects[index];
        if known.exceeds_limit() {
            let until = known.struck + known.rule.quarantine;
            self.acquit(now, fingerprint, known.crash, until);
        }
        let suspect = &mut self.suspects[index];
        // A request that crashes its targets is never answered, so an answer clears a quarantined
        // request completely. With only one strike less it would be refused again as soon as the
        // answer is forgotten.
        suspect.strikes = match suspect.exceeds_limit() {
            true => 0,
            false => suspect.strikes - 1,
        };
        if suspect.strikes == 0 {
            self.suspects.remove(index);
        }
    }

    fn conclude(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
    ) -> Option<suspicion::SuspicionNotice> {
        let group = self.group.take_if(|group| group.is_crash())?;
        self.crashes += 1;
        let notice = suspicion::SuspicionNotice {
            crash: suspicion::CrashId {
                node: self.node,
                sequence: self.crashes,
            },
            service: service.clone(),
            suspects: self.suspect_requests(now, &group.broken),
        };
        self.apply(now, &notice);
        Some(notice)
    }

    /// Returns the requests of a crash that each get a strike.
    ///
    /// Requests that merely ran beside the one that crashes the target must not be quarantined. If
    /// exactly one of them was a suspect, only it gets a strike; otherwise all become suspects and
    /// run apart from now on. A request that broke with no other beside it may have hit a broken
    /// connection, so it does not count as alone.
    fn suspect_requests(
        &self,
        now: time::NodeTime,
        broken: &[RunningFingerprint],
    ) -> Vec<suspicion::SuspectRequest> {
        let suspected = |known: &&RunningFingerprint| {
            self.status(now, known.fingerprint) != QuarantineStatus::Clean
        };
        let mut suspects = broken.iter().filter(suspected);
        let first = suspects.next().filter(|_| broken.len() > 1);
        match first.filter(|_| suspects.next().is_none()) {
            Some(known) => vec![suspect_request(known.fingerprint, known.rule, true)],
            None => broken
                .iter()
                .map(|known| suspect_request(known.fingerprint, known.rule, false))
                .collect(),
        }
    }

    fn apply(&mut self, now: time::NodeTime, notice: &suspicion::SuspicionNotice) {
        if self.known_crashes.len() == MAX_KNOWN_CRASHES {
            self.known_crashes.pop_front();
        }
        self.known_crashes.push_back(notice.crash);
        for suspect_request in &notice.suspects {
            let fingerprint = suspect_request.fingerprint;
            let known = self.is_quarantined(now, fingerprint);
            self.add_strike(now, notice.crash, suspect_request);
            if !known && self.is_quarantined(now, fingerprint) {
                self.record_quarantined(now, fingerprint);
            }
        }
    }

    /// Adds one strike for `crash`.
    ///
    /// A frequent request may be running many times at a node that is lost, and each caller's node
    /// reports its own share. Counted for each run, one loss would give the request enough strikes
    /// to be refused everywhere. A crash therefore adds at most one strike to a fingerprint.
    fn add_strike(
        &mut self,
        now: time::NodeTime,
        crash: suspicion::CrashId,
        suspect_request: &suspicion::SuspectRequest,
    ) {
        let rule = CrashRule {
            limit: suspect_request.crash_limit,
            quarantine: Duration::from_secs(u64::from(suspect_request.quarantine_seconds)),
        };
        match self.search(suspect_request.fingerprint) {
            Ok(index) => {
                let suspect = &mut self.suspects[index];
                let stale = suspect.left(now).is_zero();
                if suspect.crash == crash && !stale {
                    return;
                }
                suspect.crash = crash;
                suspect.strikes = if stale {
                    1
                } else {
                    suspect.strikes.saturating_add(1)
                };
                suspect.alone = suspect_request.alone || (suspect.alone && !stale);
                suspect.struck = now;
                suspect.rule = rule;
            }
            Err(_) => self.add(SuspectFingerprint {
                fingerprint: suspect_request.fingerprint,
                strikes: 1,
                alone: suspect_request.alone,
                rule,
                struck: now,
                crash,
            }),
        }
    }

    fn add(&mut self, suspect: SuspectFingerprint) {
        if self.suspects.len() == MAX_SUSPECTS {
            let oldest = |index: &usize| {
                let known = &self.suspects[*index];
                (known.exceeds_limit(), known.struck)
            };
            if let Some(index) = (0..MAX_SUSPECTS).min_by_key(oldest) {
                self.suspects.remove(index);
            }
        }
        let index = self
            .suspects
            .partition_point(|known| known.fingerprint < suspect.fingerprint);
        self.suspects.insert(index, suspect);
    }

    /// Whether requests with `fingerprint` are refused.
    pub fn is_quarantined(
        &self,
        now: time::NodeTime,
        fingerprint: ident::RequestFingerprint,
    ) -> bool {
        matches!(
            self.status(now, fingerprint),
            QuarantineStatus::Quarantined { .. }
        )
    }

    fn record_quarantined(&mut self, now: time::NodeTime, fingerprint: ident::RequestFingerprint) {
        let found = self.find(fingerprint);
        let request = found.map(|suspect| suspect.quarantined(now));
        self.quarantined.extend(request);
    }

    fn take(&mut self, run: u64) -> Option<RunningFingerprint> {
        let index = self.running.binary_search_by_key(&run, |known| known.run);
        Some(self.running.remove(index.ok()?))
    }

    fn search(&self, fingerprint: ident::RequestFingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&fingerprint, |known| known.fingerprint)
    }

    fn find(&self, fingerprint: ident::RequestFingerprint) -> Option<&SuspectFingerprint> {
        self.search(fingerprint)
            .ok()
            .map(|index| &self.suspects[index])
    }
}

fn suspect_request(
    fingerprint: ident::RequestFingerprint,
    rule: CrashRule,
    alone: bool,
) -> suspicion::SuspectRequest {
    suspicion::SuspectRequest {
        fingerprint,
        alone,
        crash_limit: rule.limit,
        quarantine_seconds: whole_seconds(rule.quarantine),
    }
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn whole_seconds(span: Duration) -> u32 {
    u32::try_from(span.as_secs()).unwrap_or(u32::MAX)
}
