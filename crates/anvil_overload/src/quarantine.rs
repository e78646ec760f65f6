//! Requests that crash the targets that run them; see `docs/design/quarantine.md`.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{ident, name, time};
use anvil_wire::suspicion;
use serde::Serialize;

use crate::policy;

/// Crashes beyond the rule's limit after which a request is refused though others always ran
/// beside it.
pub const AMBIGUOUS_CRASH_MARGIN: u8 = 2;

/// How long a suspect stays one without a further crash.
pub const SUSPECT_TTL: Duration = Duration::from_secs(60);

/// Suspects remembered; at 40 slots a target that is the crowd of some fifty crashes.
pub const MAX_SUSPECTS: usize = 2_048;

/// Crashes remembered, so that a notice heard twice counts once.
pub const MAX_CRASH_MARKS: usize = 256;

/// Prints whose whole answers are remembered, one for each value of their lowest byte; what everybody asks
/// for is among them at any time, at 4 KB a node.
const PROVED_KEPT: usize = 256;

/// Prints that were answered whole lately.
#[derive(Clone, Debug, Default)]
struct ProvedPrints {
    kept: Vec<Option<(ident::RequestFingerprint, time::NodeTime)>>,
}

impl ProvedPrints {
    fn note(&mut self, now: time::NodeTime, print: ident::RequestFingerprint) {
        self.kept.resize(PROVED_KEPT, None);
        self.kept[place_of(print)] = Some((print, now));
    }

    /// Whether `print` was answered whole within [`SUSPECT_TTL`].
    fn holds(&self, now: time::NodeTime, print: ident::RequestFingerprint) -> bool {
        let kept = self.kept.get(place_of(print)).copied().flatten();
        kept.is_some_and(|(known, at)| known == print && now.since(at) < SUSPECT_TTL)
    }
}

fn place_of(print: ident::RequestFingerprint) -> usize {
    usize::from(print.0.to_le_bytes()[0])
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrintStatus {
    /// Nothing.
    Clean,
    /// It ran when a target crashed; it may run, with no other suspect beside it.
    Suspect,
    /// It is refused.
    Quarantined {
        /// Crashes that it was part of.
        seen: u8,
        /// Crashes that its rule allows.
        allowed: u8,
        /// How long it stays refused.
        left: Duration,
    },
}

/// What a rule says about crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CrashRule {
    /// Crashes allowed.
    pub limit: u8,
    /// Time of refusal after the last one.
    pub quarantine: Duration,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct RunningPrint {
    run: u64,
    print: ident::RequestFingerprint,
    rule: CrashRule,
}

/// Runs that broke, while it is open whether the target crashed.
#[derive(Clone, Debug, Serialize)]
struct CrashGroup {
    broken: Vec<RunningPrint>,
    /// Runs that were under way when the first one broke and have not ended yet, sorted.
    waiting: Vec<u64>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct SuspectPrint {
    print: ident::RequestFingerprint,
    strikes: u8,
    alone: bool,
    rule: CrashRule,
    struck: time::NodeTime,
    /// The crash of the last strike.
    crash: suspicion::CrashId,
}

impl SuspectPrint {
    /// One crash is bad luck. A request is condemned by the rule's number of crashes if no other
    /// suspect ran beside it in one of them, which two requests can't both be; otherwise only
    /// after [`AMBIGUOUS_CRASH_MARGIN`] more.
    fn condemned(&self) -> bool {
        let limit = self.rule.limit.max(1);
        let crowd = limit.saturating_add(AMBIGUOUS_CRASH_MARGIN);
        self.strikes >= crowd || (self.alone && self.strikes >= limit)
    }

    fn span(&self) -> Duration {
        if self.condemned() {
            self.rule.quarantine
        } else {
            SUSPECT_TTL
        }
    }

    fn left(&self, now: time::NodeTime) -> Duration {
        self.span().saturating_sub(now.since(self.struck))
    }
}

/// Which requests were running when targets crashed.
#[derive(Clone, Debug, Serialize)]
pub struct PoisonList {
    node: ident::NodeId,
    crashes: u64,
    group: Option<CrashGroup>,
    /// Sorted by run.
    running: Vec<RunningPrint>,
    /// Sorted by print.
    suspects: Vec<SuspectPrint>,
    marks: VecDeque<suspicion::CrashId>,
    #[serde(skip)]
    proved: ProvedPrints,
    #[serde(skip)]
    policy: policy::OverloadPolicy,
}

impl PoisonList {
    /// An empty list of `node`.
    pub fn new(node: ident::NodeId, policy: policy::OverloadPolicy) -> Self {
        Self {
            node,
            crashes: 0,
            group: None,
            running: Vec::new(),
            suspects: Vec::new(),
            marks: VecDeque::new(),
            proved: ProvedPrints::default(),
            policy,
        }
    }

    /// What is known of `print`.
    ///
    /// Failure: some instances are lost for another reason, one after the other, and what everybody asks
    /// for was out at each of them. Symptom: it is refused everywhere for the time of the quarantine. A
    /// request that crashes its targets is never answered, so one that was answered whole within a
    /// minute is not refused; it stays a suspect and runs apart from others.
    pub fn status(&self, now: time::NodeTime, print: ident::RequestFingerprint) -> PrintStatus {
        let Some(suspect) = self.find(print) else {
            return PrintStatus::Clean;
        };
        let left = suspect.left(now);
        if !self.policy.quarantine || left.is_zero() {
            PrintStatus::Clean
        } else if suspect.condemned() && !self.proved.holds(now, print) {
            PrintStatus::Quarantined {
                seen: suspect.strikes,
                allowed: suspect.rule.limit,
                left,
            }
        } else {
            PrintStatus::Suspect
        }
    }

    /// Notes a run that starts at the local target.
    pub fn run_started(&mut self, run: u64, print: ident::RequestFingerprint, rule: CrashRule) {
        let entry = RunningPrint { run, print, rule };
        let place = self.running.partition_point(|known| known.run < run);
        self.running.insert(place, entry);
    }

    /// Notes a run that ended without breaking; a whole answer takes one strike back.
    ///
    /// Returns a notice where the run was the last one that left open whether the target crashed.
    pub fn run_ended(
        &mut self,
        now: time::NodeTime,
        run: u64,
        whole: bool,
        service: &name::ServiceName,
    ) -> Option<suspicion::SuspicionNotice> {
        let entry = self.take(run)?;
        if whole {
            self.answered(now, entry.print);
        }
        let group = self.group.as_mut()?;
        let place = group.waiting.binary_search(&run).ok()?;
        if whole {
            // Failure: one connection breaks and all that run are suspected. Symptom: a busy
            // target runs them one by one. A target that goes on to answer did not crash.
            self.group = None;
            return None;
        }
        group.waiting.remove(place);
        self.conclude(now, service)
    }

    /// Notes that a request was answered whole, here or by another node, which takes one strike back.
    ///
    /// Without what other nodes answered, a caller's node that has no target to run the request would add
    /// up the losses of a minute, and refuse what all targets serve.
    pub fn answered(&mut self, now: time::NodeTime, print: ident::RequestFingerprint) {
        self.proved.note(now, print);
        self.clear(print);
    }

    /// Notes a run whose connection broke.
    ///
    /// Returns a notice once every run that was under way has broken or ended without an answer:
    /// then the target crashed.
    pub fn run_broken(
        &mut self,
        now: time::NodeTime,
        run: u64,
        service: &name::ServiceName,
    ) -> Option<suspicion::SuspicionNotice> {
        let entry = self.take(run)?;
        let running = &self.running;
        let group = self.group.get_or_insert_with(|| CrashGroup {
            broken: Vec::new(),
            waiting: running.iter().map(|known| known.run).collect(),
        });
        group.broken.push(entry);
        if let Ok(place) = group.waiting.binary_search(&run) {
            group.waiting.remove(place);
        }
        self.conclude(now, service)
    }

    /// Notes that a whole node was lost with these requests out on it.
    ///
    /// The node may live on behind a broken network, so only a request that was a suspect before,
    /// and the only one, counts as having been alone: the lost node kept suspects apart.
    pub fn peer_lost(
        &mut self,
        now: time::NodeTime,
        peer: ident::NodeId,
        service: &name::ServiceName,
        prints: &[(ident::RequestFingerprint, CrashRule)],
    ) -> suspicion::SuspicionNotice {
        let crash = suspicion::CrashId {
            node: peer,
            sequence: 0,
        };
        let suspected =
            |print: ident::RequestFingerprint| self.status(now, print) != PrintStatus::Clean;
        let suspects = prints.iter().filter(|(print, _)| suspected(*print)).count();
        let strikes = prints
            .iter()
            .map(|(print, rule)| strike(*print, *rule, suspects == 1 && suspected(*print)))
            .collect();
        let notice = suspicion::SuspicionNotice {
            crash,
            service: service.clone(),
            suspects: strikes,
        };
        self.apply(now, &notice);
        notice
    }

    /// Takes in what another node saw; false where it was known.
    pub fn apply_notice(
        &mut self,
        now: time::NodeTime,
        notice: &suspicion::SuspicionNotice,
    ) -> bool {
        // Callers' nodes each know only their own share of a lost node's requests.
        let whole = notice.crash.sequence > 0;
        if whole && self.marks.contains(&notice.crash) {
            return false;
        }
        self.apply(now, notice);
        true
    }

    /// Suspects and condemned at present.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nobody is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn clear(&mut self, print: ident::RequestFingerprint) {
        let Ok(place) = self.place(print) else {
            return;
        };
        let suspect = &mut self.suspects[place];
        // What crashes its targets is not answered, so an answer takes a condemnation back as a whole; with
        // one strike less it would be refused again as soon as the answer is forgotten.
        suspect.strikes = match suspect.condemned() {
            true => 0,
            false => suspect.strikes - 1,
        };
        if suspect.strikes == 0 {
            self.suspects.remove(place);
        }
    }

    fn conclude(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
    ) -> Option<suspicion::SuspicionNotice> {
        let group = self.group.take_if(|group| group.waiting.is_empty())?;
        self.crashes += 1;
        let notice = suspicion::SuspicionNotice {
            crash: suspicion::CrashId {
                node: self.node,
                sequence: self.crashes,
            },
            service: service.clone(),
            suspects: self.strikes(now, &group.broken),
        };
        self.apply(now, &notice);
        Some(notice)
    }

    /// Failure: innocents run beside the request that crashes the target. Symptom: they are
    /// refused for good. If exactly one suspect was among them, the crash is its doing and nobody
    /// else's; otherwise all share the suspicion and are kept apart from now on. A request that
    /// broke with nothing beside it may have met a broken connection, so that counts as a crowd.
    fn strikes(
        &self,
        now: time::NodeTime,
        broken: &[RunningPrint],
    ) -> Vec<suspicion::SuspectRequest> {
        let suspected = |known: &&RunningPrint| self.status(now, known.print) != PrintStatus::Clean;
        let mut suspects = broken.iter().filter(suspected);
        let first = suspects.next().filter(|_| broken.len() > 1);
        match first.filter(|_| suspects.next().is_none()) {
            Some(known) => vec![strike(known.print, known.rule, true)],
            None => broken
                .iter()
                .map(|known| strike(known.print, known.rule, false))
                .collect(),
        }
    }

    fn apply(&mut self, now: time::NodeTime, notice: &suspicion::SuspicionNotice) {
        if self.marks.len() == MAX_CRASH_MARKS {
            self.marks.pop_front();
        }
        self.marks.push_back(notice.crash);
        for strike in &notice.suspects {
            self.strike(now, notice.crash, strike);
        }
    }

    /// Failure: a page that everybody asks for is out many times at a node that is lost, and each caller's
    /// node tells of its own share. Symptom: one loss gives it enough strikes to be refused everywhere for
    /// the time of the quarantine. A crash therefore strikes a print once, however often it was running.
    fn strike(
        &mut self,
        now: time::NodeTime,
        crash: suspicion::CrashId,
        strike: &suspicion::SuspectRequest,
    ) {
        let rule = CrashRule {
            limit: strike.crash_limit,
            quarantine: Duration::from_secs(u64::from(strike.quarantine_seconds)),
        };
        match self.place(strike.fingerprint) {
            Ok(place) => {
                let suspect = &mut self.suspects[place];
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
                suspect.alone = strike.alone || (suspect.alone && !stale);
                suspect.struck = now;
                suspect.rule = rule;
            }
            Err(_) => self.add(SuspectPrint {
                print: strike.fingerprint,
                strikes: 1,
                alone: strike.alone,
                rule,
                struck: now,
                crash,
            }),
        }
    }

    fn add(&mut self, suspect: SuspectPrint) {
        if self.suspects.len() == MAX_SUSPECTS {
            let oldest = |place: &usize| {
                let known = &self.suspects[*place];
                (known.condemned(), known.struck)
            };
            if let Some(place) = (0..MAX_SUSPECTS).min_by_key(oldest) {
                self.suspects.remove(place);
            }
        }
        let place = self
            .suspects
            .partition_point(|known| known.print < suspect.print);
        self.suspects.insert(place, suspect);
    }

    fn take(&mut self, run: u64) -> Option<RunningPrint> {
        let place = self.running.binary_search_by_key(&run, |known| known.run);
        Some(self.running.remove(place.ok()?))
    }

    fn place(&self, print: ident::RequestFingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&print, |known| known.print)
    }

    fn find(&self, print: ident::RequestFingerprint) -> Option<&SuspectPrint> {
        self.place(print).ok().map(|place| &self.suspects[place])
    }
}

fn strike(
    print: ident::RequestFingerprint,
    rule: CrashRule,
    alone: bool,
) -> suspicion::SuspectRequest {
    suspicion::SuspectRequest {
        fingerprint: print,
        alone,
        crash_limit: rule.limit,
        quarantine_seconds: u32::try_from(rule.quarantine.as_secs()).unwrap_or(u32::MAX),
    }
}
