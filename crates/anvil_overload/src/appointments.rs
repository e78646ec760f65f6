//! Appointments of refused callers; see `docs/design/return-order.md`.
//!
//! A caller that was refused for lack of capacity is told when to return. The entry node remembers
//! that time, and a request with the same content that returns then goes before new ones of its
//! class, so that one request is not refused again and again while others are served at once.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{account, context, ident, time};
use serde::Serialize;

/// Maximum number of appointments. They lapse a few seconds after they were made, so this covers
/// some hundred refusals a second at one entry node, in less than 200 KB.
pub const MAX_APPOINTMENTS: usize = 1_024;

/// Lapsed appointments that are removed with each new one. With two, they are removed faster than they
/// are made, and the cost of one refusal stays bounded.
const REMOVED_PER_REFUSAL: usize = 2;

/// How long after the stated time a caller may return.
pub const RETURN_WINDOW: Duration = Duration::from_secs(1);

/// Recognizes a request that returns: its content, and the account that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReturnKey {
    /// Hash of service, method, path and body.
    pub fingerprint: ident::RequestFingerprint,
    /// The client account; `None` if there is none.
    pub account: Option<account::AccountId>,
}

/// How a request would be ranked without an appointment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawnRank {
    /// Its id. Some callers use the same one when they return.
    pub request: ident::RequestId,
    /// Its class.
    pub class: context::PriorityClass,
    /// The class that the rules gave it, if its class is that of its account.
    pub rule_class: Option<context::PriorityClass>,
    /// Its lane.
    pub lane: context::LaneHash,
}

impl DrawnRank {
    /// The rank of a request with `context`.
    pub const fn of(context: &context::CallContext) -> Self {
        Self {
            request: context.request,
            class: context.class,
            rule_class: context.rule_class,
            lane: context.lane,
        }
    }

    /// The lane of a return, in the first quarter of the class or of the band in it.
    ///
    /// In a long overload most requests are returns. With one lane for all of them, no line could
    /// admit a part of them, and those beyond the capacity would be refused further down the chain.
    fn return_lane(&self) -> context::LaneHash {
        self.lane.in_first_quarter(self.rule_class.is_some())
    }

    fn has_class_of(&self, other: &Self) -> bool {
        (self.class, self.rule_class) == (other.class, other.rule_class)
    }
}

/// How the arrival of a request relates to the appointments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalStatus {
    /// It has no appointment.
    New,
    /// It returned at the time that its caller was told.
    OnTime,
    /// It returned before that time.
    Early,
    /// It returned after its appointment had lapsed.
    Late,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was refused for lack of capacity, and its caller may be told to return after this pause.
    Refused(Duration),
    /// It did not run for another reason, so an appointment that it has not used yet stays.
    NotRun,
    /// It may have run, or nobody waits for it any more.
    Finished,
}

/// What an appointment waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppointmentStage {
    /// For its caller to return.
    Waiting,
    /// For the end of a request that returned early.
    HeldEarly,
    /// For the end of the request that used it.
    Used,
}

#[derive(Clone, Copy, Debug)]
struct Appointment {
    /// Increases with each appointment, so the least one is the oldest.
    serial: u64,
    /// The rank of the first refused request, and the id of the one that returned last.
    rank: DrawnRank,
    due: time::NodeTime,
    stage: AppointmentStage,
    /// Whether a request of another id has returned early.
    matched_early: bool,
}

impl Appointment {
    fn is_lapsed(&self, now: time::NodeTime) -> bool {
        self.stage == AppointmentStage::Waiting && now > self.due + RETURN_WINDOW
    }
}

/// The appointments of an entry node.
#[derive(Clone, Debug, Default)]
pub struct AppointmentBook {
    /// Sorted by key; those of one key are in the order in which they were made.
    entries: Vec<(ReturnKey, Appointment)>,
    /// The same by serial number, the oldest first.
    by_age: VecDeque<(u64, ReturnKey)>,
    next_serial: u64,
    evicted: u64,
    full: bool,
}

/// The state of the appointments, for the dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct AppointmentView {
    /// Appointments whose callers have not returned, including lapsed ones.
    pub waiting: usize,
    /// Appointments that belong to an open request.
    pub open: usize,
    /// Appointments evicted for lack of space.
    pub evicted: u64,
    /// Whether space is short.
    pub full: bool,
}

impl AppointmentBook {
    /// Records the arrival of a request; returns its lane and how it relates to the appointments.
    ///
    /// A request with the id of an earlier one is taken for its return. Otherwise, it is the return
    /// of the appointment that has been due for longest, or else it returns early. Other callers may
    /// send the same content, so an appointment is matched by one early request only, unless the id
    /// is the same: otherwise, one refusal would pin everybody who asks for a popular page to a
    /// refused lane.
    pub fn arrived(
        &mut self,
        now: time::NodeTime,
        key: ReturnKey,
        drawn: &DrawnRank,
    ) -> (context::LaneHash, ArrivalStatus) {
        let mut unmatched = ArrivalStatus::New;
        for position in self.range(key).rev() {
            if self.entries[position].1.is_lapsed(now) {
                self.remove(position);
                unmatched = ArrivalStatus::Late;
            }
        }
        let Some(entry) = self.find_waiting(now, key, drawn) else {
            return (drawn.lane, unmatched);
        };
        let same_request = entry.rank.request == drawn.request;
        entry.rank.request = drawn.request;
        if entry.due <= now {
            entry.stage = AppointmentStage::Used;
            return (drawn.return_lane(), ArrivalStatus::OnTime);
        }
        entry.stage = AppointmentStage::HeldEarly;
        entry.matched_early |= !same_request;
        (entry.rank.lane, ArrivalStatus::Early)
    }

    /// Whether a request has its lane from an appointment, at the time of which it returned or
    /// earlier.
    pub fn sets_lane(&self, key: ReturnKey, rank: &DrawnRank) -> bool {
        self.find_held(key, rank).is_some()
    }

    /// Records the end of a request with the rank that it had; returns the pause that its caller is
    /// told, if it gets or has an appointment.
    ///
    /// A caller that returned early is told the time left until its appointment, which stays. A
    /// request that used its appointment and is refused again gets another one, and keeps the lane
    /// that it had at first.
    pub fn ended(
        &mut self,
        now: time::NodeTime,
        key: ReturnKey,
        rank: &DrawnRank,
        end: RequestEnd,
    ) -> Option<Duration> {
        let held = self.find_held(key, rank);
        match (held, end) {
            (None, RequestEnd::Refused(pause)) => Some(self.add(now, key, rank, pause)),
            (None, _) => None,
            (Some(position), RequestEnd::Finished | RequestEnd::NotRun) => {
                let entry = &mut self.entries[position].1;
                match (entry.stage, end) {
                    (AppointmentStage::HeldEarly, RequestEnd::NotRun) => {
                        entry.stage = AppointmentStage::Waiting;
                    }
                    _ => self.remove(position),
                }
                None
            }
            (Some(position), RequestEnd::Refused(pause)) => {
                let entry = &mut self.entries[position].1;
                let is_kept = entry.stage == AppointmentStage::HeldEarly && entry.due > now;
                if !is_kept {
                    entry.due = now + pause;
                    entry.matched_early = false;
                }
                entry.stage = AppointmentStage::Waiting;
                Some(entry.due.since(now))
            }
        }
    }

    /// The number of appointments and whether space is short.
    pub fn view(&self) -> AppointmentView {
        let mut stages = self.entries.iter().map(|(_, entry)| entry.stage);
        let waiting = stages
            .by_ref()
            .filter(|stage| *stage == AppointmentStage::Waiting);
        let waiting = waiting.count();
        AppointmentView {
            waiting,
            open: self.entries.len() - waiting,
            evicted: self.evicted,
            full: self.full,
        }
    }

    /// Whether space is short: appointments were evicted, and more than half of the space is used
    /// since.
    pub const fn is_full(&self) -> bool {
        self.full
    }

    fn add(
        &mut self,
        now: time::NodeTime,
        key: ReturnKey,
        rank: &DrawnRank,
        pause: Duration,
    ) -> Duration {
        self.make_space(now);
        let appointment = Appointment {
            serial: self.next_serial,
            rank: *rank,
            due: now + pause,
            stage: AppointmentStage::Waiting,
            matched_early: false,
        };
        self.by_age.push_back((self.next_serial, key));
        self.next_serial += 1;
        let position = self.entries.partition_point(|(known, _)| *known <= key);
        self.entries.insert(position, (key, appointment));
        pause
    }

    /// Removes the oldest appointments as far as they have lapsed, and the oldest one if there is no
    /// space otherwise.
    fn make_space(&mut self, now: time::NodeTime) {
        for _ in 0..REMOVED_PER_REFUSAL {
            match self.oldest() {
                Some(position) if self.entries[position].1.is_lapsed(now) => self.remove(position),
                _ => break,
            }
        }
        if self.entries.len() >= MAX_APPOINTMENTS
            && let Some(position) = self.oldest()
        {
            self.remove(position);
            self.evicted += 1;
            self.full = true;
        }
    }

    fn oldest(&self) -> Option<usize> {
        let (serial, key) = self.by_age.front()?;
        let found = self
            .entries
            .binary_search_by(|(known, entry)| known.cmp(key).then(entry.serial.cmp(serial)));
        found.ok()
    }

    fn remove(&mut self, position: usize) {
        let (_, entry) = self.entries.remove(position);
        let serial = entry.serial;
        if let Ok(age) = self
            .by_age
            .binary_search_by_key(&serial, |(known, _)| *known)
        {
            self.by_age.remove(age);
        }
        self.full &= self.entries.len() > MAX_APPOINTMENTS / 2;
    }

    fn range(&self, key: ReturnKey) -> std::ops::Range<usize> {
        let start = self.entries.partition_point(|(known, _)| *known < key);
        let end = self.entries.partition_point(|(known, _)| *known <= key);
        start..end
    }

    /// The appointment that an arriving request returns for.
    fn find_waiting(
        &mut self,
        now: time::NodeTime,
        key: ReturnKey,
        drawn: &DrawnRank,
    ) -> Option<&mut Appointment> {
        let range = self.range(key);
        let entries = self.entries[range].iter_mut().map(|(_, entry)| entry);
        let candidates = entries.filter(|entry| {
            let same_request = entry.rank.request == drawn.request;
            entry.stage == AppointmentStage::Waiting
                && entry.rank.has_class_of(drawn)
                && (same_request || entry.due <= now || !entry.matched_early)
        });
        candidates.min_by_key(|entry| (entry.rank.request != drawn.request, entry.due))
    }

    /// The position of the appointment that belongs to an open request.
    fn find_held(&self, key: ReturnKey, rank: &DrawnRank) -> Option<usize> {
        let is_held = |position: &usize| {
            let entry = &self.entries[*position].1;
            entry.stage != AppointmentStage::Waiting && entry.rank.request == rank.request
        };
        self.range(key).find(is_held)
    }
}
