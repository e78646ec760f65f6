//! Which rule, limit and revision refused a request, for `explain` and the dump.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{context, ident, name, time, treatment, verdict};
use anvil_wire::call;
use serde::Serialize;

use crate::rank;

/// Refusals kept; a dump stays a few kilobytes.
pub const MAX_RECORDS: usize = 64;

/// Shortest time after which a refused caller is told to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shares of what is left of the objective, in percent, between which refused callers return.
const RETURN_SHARES: (u32, u32) = (15, 50);

/// Shortest time after which a caller with an objective returns; the nodes' view of the pressure is
/// a tenth of a second old.
const RETURN_LEAST: Duration = Duration::from_millis(100);

/// Shortest time after which a caller returns to a service that nobody offers.
const RESTART_PAUSE: Duration = Duration::from_millis(700);

/// The limit that refused a request, with its value at that moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalLimit {
    /// The cut line of the service asked for, or of one below it.
    Cut(Option<call::CutLine>),
    /// Places in the queue.
    QueuePlaces(u32),
    /// The wait that was expected or had passed, and the one that the rule allows.
    QueueWait {
        /// The wait.
        wait: Duration,
        /// The bound.
        allowed: Duration,
    },
    /// Time left.
    Deadline,
    /// The target leaves.
    Leaving,
    /// Retries left for the whole chain.
    ChainRetries(u16),
    /// Share of retries of this node, in percent.
    RetryRatio(u8),
    /// Crashes of targets that the request was part of, and the rule's bound.
    Crashes {
        /// Crashes seen.
        seen: u8,
        /// The bound.
        allowed: u8,
    },
    /// The quota of a client account.
    Quota {
        /// Time until there is a token again.
        pause: Duration,
        /// Tokens left, where this node counts them.
        tokens: Option<f64>,
        /// Whether the account's home decided; else this node did, since no home answered.
        asked_home: bool,
    },
    /// No limit of this module; the reason says it all.
    #[default]
    Other,
}

/// One refusal.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalRecord {
    /// When, on this node's clock.
    pub at: time::NodeTime,
    /// The root request.
    pub request: ident::RequestId,
    /// Its class.
    pub class: context::PriorityClass,
    /// Its lane.
    pub lane: context::LaneHash,
    /// The service asked for.
    pub service: name::ServiceName,
    /// Why.
    pub reason: verdict::RefusalReason,
    /// The limit and its value.
    pub limit: RefusalLimit,
    /// The node whose limit it is.
    pub by: ident::NodeId,
    /// The rule and the revision that set the limit.
    pub mark: treatment::RuleReference,
}

/// The last refusals of this node, the oldest first.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RefusalLog {
    notes: VecDeque<RefusalRecord>,
    total: u64,
}

impl RefusalLog {
    /// Keeps `note` and drops the oldest above [`MAX_RECORDS`].
    pub fn push(&mut self, note: RefusalRecord) {
        self.total += 1;
        if self.notes.len() == MAX_RECORDS {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    /// The refusals kept, the oldest first.
    pub fn records(&self) -> &VecDeque<RefusalRecord> {
        &self.notes
    }
}

/// When a caller with an objective does well to come back to a service under pressure.
///
/// Coming back within the objective is worth all of the answer and later a part of it, so the pause
/// is a part of what is left of the objective. The lane spreads the callers of one moment, so that
/// they don't return together and push each other out.
pub fn retry_within(objective: Duration, elapsed: Duration, lane: context::LaneHash) -> Duration {
    let left = objective.saturating_sub(elapsed);
    let (earliest, latest) = RETURN_SHARES;
    let spread = left * (latest - earliest) / 100;
    let pause = left * earliest / 100 + spread * u32::from(lane.0) / 256;
    pause.max(RETURN_LEAST)
}

/// When a caller does well to come back to a service that no node offers at the moment: its targets
/// or nodes are restarting, which takes a second or two.
pub fn retry_after_restart(lane: context::LaneHash) -> Duration {
    let spread = Duration::from_millis(u64::from(lane.0) * 500 / 256);
    RESTART_PAUSE + spread
}

/// When a refused caller does well to come back: the further below the line, the later.
///
/// The lane spreads the callers of one moment over a second, so that they don't return together.
pub fn retry_after(line: Option<&call::CutLine>, rank: &rank::CallRank) -> Duration {
    let below = rank::line_level(line).saturating_sub(rank.level());
    let classes = u64::from(below / rank::LANES);
    let spread = Duration::from_millis(u64::from(rank.lane.0.0) * 1_000 / 256);
    MIN_RETRY_AFTER + Duration::from_secs(classes) + spread
}
