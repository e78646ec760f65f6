//! Records of refused requests, with the rule, limit and revision, for `explain` and the dump; and
//! the pauses that refused callers are given.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{context, ident, name, rate, time, treatment, verdict};
use anvil_wire::call;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::rank;

/// Number of refusals retained, so that a dump stays at a few kilobytes.
pub const MAX_RECORDS: usize = 64;

/// Shortest `retry-after` of a refused caller without an objective.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Range of the pause of a caller with an objective, in percent of the time left of the objective.
const RETRY_SHARES: (u32, u32) = (15, 50);

/// Shortest pause of a caller with an objective; the nodes' view of the load is a tenth of a second
/// old.
const MIN_RETRY_WITHIN: Duration = Duration::from_millis(100);

/// Shortest pause of a caller of a service that no node offers.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(700);

/// Shortest pause of a caller whose rule or account can't be read. Nodes know a corrected version
/// within seconds, but an operator takes longer to write it.
const MIN_CORRECTION_PAUSE: Duration = Duration::from_secs(10);

/// The limit that refused a request, with its value at that moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalLimit {
    /// The cut line of the requested service, or of one of its dependencies.
    Cut(Option<call::CutLine>),
    /// Places in the queue.
    QueuePlaces(u32),
    /// The expected or elapsed wait in the queue, and the wait that the rule allows.
    QueueWait {
        /// The wait.
        wait: Duration,
        /// The bound.
        allowed: Duration,
    },
    /// The rate that the target named, in requests a second.
    Rate {
        /// The rate.
        named: rate::RequestRate,
        /// The expected or elapsed wait for a token.
        wait: Duration,
        /// The longest wait.
        allowed: Duration,
    },
    /// The time left before the deadline.
    Deadline,
    /// The target is leaving.
    Leaving,
    /// The retries left for the whole chain.
    ChainRetries(u16),
    /// The retry ratio of this node, in percent.
    RetryRatio(u8),
    /// Crashes of targets that were running the request, and the rule's bound.
    Crashes {
        /// Crashes seen.
        seen: u8,
        /// The bound.
        allowed: u8,
    },
    /// The quota of a client account.
    Quota {
        /// Time until the next token.
        pause: Duration,
        /// Tokens left, if this node counts them.
        tokens: Option<f64>,
        /// Whether the account's home decided; otherwise this node decided, because no home
        /// answered.
        asked_home: bool,
    },
    /// No numeric limit; the refusal reason is sufficient.
    #[default]
    Other,
}

/// A refused request.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalRecord {
    /// Time of the refusal on this node's clock.
    pub at: time::NodeTime,
    /// The root request.
    pub request: ident::RequestId,
    /// Its class.
    pub class: context::PriorityClass,
    /// Its lane.
    pub lane: context::LaneHash,
    /// The requested service.
    pub service: name::ServiceName,
    /// Why.
    pub reason: verdict::RefusalReason,
    /// The limit that refused the request, with its value.
    pub limit: RefusalLimit,
    /// The node that enforced the limit.
    pub by: ident::NodeId,
    /// The rule and the revision that set the limit.
    #[serde(rename = "mark")]
    pub rule: treatment::RuleReference,
}

/// The most recent refusals of this node, the oldest first.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RefusalLog {
    #[serde(rename = "notes")]
    records: VecDeque<RefusalRecord>,
    total: u64,
}

impl RefusalLog {
    /// Appends `record` and drops the oldest one above [`MAX_RECORDS`].
    pub fn push(&mut self, record: RefusalRecord) {
        self.total += 1;
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// The retained refusals, the oldest first.
    pub fn records(&self) -> &VecDeque<RefusalRecord> {
        &self.records
    }
}

/// Pause after which a caller with an objective should retry a service under pressure.
///
/// An answer within the objective has its full value and a later one only a part of it, so the
/// pause is a share of the time left of the objective. The lane spreads callers that were refused
/// at the same moment, so that they do not return together and displace each other again.
pub fn retry_within(objective: Duration, elapsed: Duration, lane: context::LaneHash) -> Duration {
    let left = objective.saturating_sub(elapsed);
    let (earliest, latest) = RETRY_SHARES;
    let spread = left * (latest - earliest) / 100;
    let pause = left * earliest / 100 + spread * u32::from(lane.0) / 256;
    pause.max(MIN_RETRY_WITHIN)
}

/// Pause of a caller that has an appointment to return; `None` if it has no time to return.
///
/// Callers wait for a third of their remaining time at most, so a later appointment would not be
/// kept, and must return while their request can still be served within the time `left` of the
/// objective. The id spreads callers evenly over that range: the refused ones have the last lanes of
/// their class, and would return together if spread by lane. The pause has whole milliseconds, since
/// one that is rounded down on its way to the caller would make it return early.
pub fn appointment_pause(
    left: Duration,
    remaining: Duration,
    request: ident::RequestId,
) -> Option<Duration> {
    let (earliest, latest) = RETRY_SHARES;
    let end = (left * latest / 100).min(remaining / 3);
    let start = (end * earliest / latest).max(MIN_RETRY_WITHIN);
    let spread = end.checked_sub(start)?;
    // The lane is the first byte of this hash, so the next ones are independent of it.
    let [_, high, low, ..] = xxh3::xxh3_64(&request.0.to_le_bytes()).to_le_bytes();
    let draw = u32::from(u16::from_be_bytes([high, low]));
    let pause = start + spread * draw / (u32::from(u16::MAX) + 1);
    let millis = pause.as_micros().div_ceil(1_000);
    Some(Duration::from_millis(u64::try_from(millis).ok()?))
}

/// Pause after which a caller should retry a service that no node offers at the moment: its targets
/// or nodes are restarting, which takes one or two seconds.
pub fn retry_after_restart(lane: context::LaneHash) -> Duration {
    let spread = Duration::from_millis(u64::from(lane.0) * 500 / 256);
    MIN_RESTART_PAUSE + spread
}

/// Pause after which a caller should retry if its rule or account can't be read. The lane spreads
/// callers over as long again, so that they do not return together.
pub fn retry_after_correction(lane: context::LaneHash) -> Duration {
    MIN_CORRECTION_PAUSE + MIN_CORRECTION_PAUSE * u32::from(lane.0) / 256
}

/// Pause after which a refused caller should retry; it grows with the distance below the cut line.
///
/// The lane `spread`, which is uniformly distributed, spreads callers that were refused at the same
/// moment over a second, so that they do not return together.
pub fn retry_after(
    line: Option<&call::CutLine>,
    rank: &rank::CallRank,
    spread: context::LaneHash,
) -> Duration {
    let below = rank::line_level(line).saturating_sub(rank.level());
    let classes = u64::from(below / rank::LANES);
    let spread = Duration::from_millis(u64::from(spread.0) * 1_000 / 256);
    MIN_RETRY_AFTER + Duration::from_secs(classes) + spread
}
