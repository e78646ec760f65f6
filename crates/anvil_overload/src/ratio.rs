//! Retries of one node as a share of its first attempts; see `docs/design/retries.md`.

use std::time::Duration;

use anvil_types::{context, name, time};
use serde::Serialize;

use crate::rank;

/// Retries that may come in one burst.
pub const RATIO_BURST: u64 = 20;

/// Retries that a node may add each second however few requests it sends, so that the share
/// does not forbid every retry where traffic is thin.
pub const RATIO_FLOOR_PER_SECOND: u64 = 2;

/// One retry, in the unit of the budget: micro-retries.
const RETRY: u64 = 1_000_000;

/// Spans of [`SHARE_WINDOW`] over whose mean the share is given out.
///
/// A service that begins to refuse gets fewer first attempts at once, since requests end at their first
/// refusal; with a share of these alone, the retries that would carry requests through shrink just when
/// they are needed. Ten seconds are the window in which the platform counts repeats against the requests
/// of that window or of the one before it, so a mean over them stays within the larger of the two.
pub const SHARE_WINDOWS: usize = 10;

/// See [`SHARE_WINDOWS`]; also the time whose share may be saved up beyond the burst.
///
/// Savings are what ranks are told apart by: the retries of a service that fails half of its requests
/// go to the highest ranks, of which most then come through whole. They raise the repeats of ten seconds
/// by a tenth of their share at most.
pub const SHARE_WINDOW: Duration = Duration::from_secs(1);

/// What the last lane of the highest class leaves of the savings to the lanes before it.
const LANES_LEAVE: f64 = 0.5;

/// The most that the classes below the highest leave of the savings, in percent. With less, browsing that
/// comes twice as often as submissions takes a fifth of the retries of a small burst, and with this a tenth.
const CLASSES_LEAVE: u64 = 90;

/// What they leave, in micro-retries, beyond the retries that the highest class has asked for within the
/// last span; so a budget that only they need is theirs.
const CLASSES_LEAVE_ALWAYS: u64 = 2 * RETRY;

/// What a budget holds beyond the share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RatioLimits {
    /// The most that may come in one burst, in micro-retries.
    burst: u64,
    /// What is added each second however few requests are sent, in micro-retries.
    floor_per_second: u64,
}

impl RatioLimits {
    /// For a node on its own: [`RATIO_BURST`] and [`RATIO_FLOOR_PER_SECOND`].
    pub const NODE: Self = Self {
        burst: RATIO_BURST * RETRY,
        floor_per_second: RATIO_FLOOR_PER_SECOND * RETRY,
    };

    /// A node's part of a burst that all `nodes` share.
    pub fn shared(fleet_burst: u32, nodes: usize) -> Self {
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        Self {
            burst: (u64::from(fleet_burst) * RETRY / nodes).max(RETRY),
            floor_per_second: 0,
        }
    }
}

/// A token bucket that the share of recent first attempts fills and retries empty.
///
/// The chain's allowance bounds the retries of one root; this bounds those of many roots
/// together, which could still double the load of a service that refuses most of its requests.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    /// Below zero where repeats came that could not be held back.
    tokens: i64,
    filled: time::NodeTime,
    limits: RatioLimits,
    share: ShareHistory,
}

/// What first attempts have added to a budget lately, span by span.
#[derive(Clone, Debug, Serialize)]
struct ShareHistory {
    /// When the present span began.
    began: time::NodeTime,
    /// What the present span has added.
    present: u64,
    /// What the spans before it have added; the place of the next one to be replaced goes round.
    former: [u64; SHARE_WINDOWS],
    next: usize,
    /// Spans that have ended, until all places are filled.
    ended: usize,
    /// What each step of importance has asked for in the present span, and in the one before it.
    asked: AskedSums,
    former_asked: AskedSums,
}

/// Steps of importance: one for each class that the rules decide, within each class.
const STEPS: usize = context::PriorityClass::ALL.len() * context::PriorityClass::ALL.len();

/// What was asked for by requests of each step, from the lowest.
type AskedSums = [u64; STEPS];

/// The step of a request; one whose class the rules decided stands at the top of that class.
fn step(rank: &rank::CallRank) -> usize {
    let by_rule = rank.by_rule.unwrap_or(context::PriorityClass::Critical);
    rank.class as usize * context::PriorityClass::ALL.len() + by_rule as usize
}

impl ShareHistory {
    fn new(now: time::NodeTime) -> Self {
        Self {
            began: now,
            present: 0,
            former: [0; SHARE_WINDOWS],
            next: 0,
            ended: 0,
            asked: [0; STEPS],
            former_asked: [0; STEPS],
        }
    }

    /// Ends the spans that are over at `now`.
    fn turn(&mut self, now: time::NodeTime) {
        let over = now.since(self.began).as_micros() / SHARE_WINDOW.as_micros();
        let over = u32::try_from(over).unwrap_or(u32::MAX);
        // Beyond all places, each further span is as empty as the last.
        for _ in 0..(over as usize).min(SHARE_WINDOWS + 1) {
            self.former[self.next] = std::mem::take(&mut self.present);
            self.next = (self.next + 1) % SHARE_WINDOWS;
            self.ended = (self.ended + 1).min(SHARE_WINDOWS);
            self.former_asked = std::mem::take(&mut self.asked);
        }
        self.began = self.began + SHARE_WINDOW * over;
    }

    /// What requests above `step` have asked for within the last span.
    fn asked_above(&self, step: usize) -> u64 {
        let sum = |asked: &AskedSums| asked[step + 1..].iter().sum::<u64>();
        sum(&self.asked).max(sum(&self.former_asked))
    }

    /// Whether the past is long enough for its mean to stand for the share.
    fn is_known(&self) -> bool {
        self.ended >= SHARE_WINDOWS
    }

    /// What a span adds in the mean.
    fn mean(&self) -> u64 {
        self.former.iter().sum::<u64>() / SHARE_WINDOWS as u64
    }
}

impl RetryBudget {
    /// A full budget of a node on its own.
    pub fn new(now: time::NodeTime) -> Self {
        Self::with_limits(now, RatioLimits::NODE)
    }

    /// A full budget within `limits`.
    pub fn with_limits(now: time::NodeTime, limits: RatioLimits) -> Self {
        Self {
            tokens: signed(limits.burst),
            filled: now,
            limits,
            share: ShareHistory::new(now),
        }
    }

    /// Counts a first attempt whose rule allows `percent` retries for each hundred.
    pub fn count_first_attempt(&mut self, now: time::NodeTime, percent: u8) {
        self.fill(now);
        let added = u64::from(percent) * RETRY / 100;
        self.share.present += added;
        if !self.share.is_known() {
            self.add(added);
        }
    }

    /// Counts a repeat that a retry further up the chain made unavoidable.
    pub fn charge_inherited(&mut self) {
        let least = -signed(self.limits.burst);
        self.tokens = (self.tokens - signed(RETRY)).max(least);
    }

    /// Spends one retry for a request of `rank`; false where its part of the budget is used up.
    ///
    /// Failure: a service refuses half of what it gets, and a request needs eight answers of it. With
    /// retries given to whoever asks first, each request gets one or two and hardly any comes through.
    /// Each rank therefore leaves a part of the savings to the ranks above it; lanes are the same at
    /// every hop, so the requests that win here win at their other calls as well.
    pub fn spend(&mut self, now: time::NodeTime, rank: &rank::CallRank) -> bool {
        self.fill(now);
        let kept = self.kept_above(rank);
        let allowed = self.tokens >= signed(RETRY.max(kept));
        if allowed {
            self.tokens -= signed(RETRY);
        }
        allowed
    }

    /// What a request of `rank` leaves to the ranks above it.
    fn kept_above(&mut self, rank: &rank::CallRank) -> u64 {
        let most = self.most();
        let step = step(rank);
        self.share.asked[step] += RETRY;
        let above = match step + 1 < STEPS {
            true => {
                let asked = self.share.asked_above(step) + CLASSES_LEAVE_ALWAYS;
                (most * CLASSES_LEAVE / 100).min(asked)
            }
            false => 0,
        };
        above + ((most - above) as f64 * lane_leave(rank)) as u64
    }

    /// The most that may be saved: the burst, and the share of one span.
    fn most(&self) -> u64 {
        self.limits.burst + self.share.mean()
    }

    /// Adds what the time since the last look has brought.
    fn fill(&mut self, now: time::NodeTime) {
        self.share.turn(now);
        let mut rate = self.limits.floor_per_second;
        if self.share.is_known() {
            rate += self.share.mean();
        }
        let micros = u64::try_from(now.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        self.filled = now;
        self.add(micros.saturating_mul(rate) / 1_000_000);
    }

    fn add(&mut self, tokens: u64) {
        let most = signed(self.most());
        self.tokens = self.tokens.saturating_add(signed(tokens)).min(most);
    }
}

/// What a request leaves to the lanes before its own, as a part of what is left to its step.
///
/// Below the highest class only accounts' requests are told apart by lane: there one class holds most of
/// the traffic, and retries given to whoever asks first would complete none of it.
fn lane_leave(rank: &rank::CallRank) -> f64 {
    let lane = rank.lane.0;
    let part = match (rank.by_rule, rank.class) {
        (Some(_), _) => lane.random_fraction(),
        (None, context::PriorityClass::Critical) => f64::from(lane.0) / f64::from(rank::LANES),
        (None, _) => 0.0,
    };
    part * LANES_LEAVE
}

fn signed(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}

/// Budgets by service.
///
/// Retries for a service that fails must not use up what another one may need, and a platform that
/// bounds the repeats of each service counts them so.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceBudgets {
    /// Sorted by service.
    budgets: Vec<(name::ServiceName, RetryBudget)>,
}

impl ServiceBudgets {
    /// The budget of `service`, a full one within `limits` where it is new.
    pub fn get_or_insert(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
        limits: RatioLimits,
    ) -> &mut RetryBudget {
        let place = self
            .budgets
            .binary_search_by(|(known, _)| known.cmp(service));
        let place = place.unwrap_or_else(|place| {
            let budget = RetryBudget::with_limits(now, limits);
            self.budgets.insert(place, (service.clone(), budget));
            place
        });
        let budget = &mut self.budgets[place].1;
        budget.limits = limits;
        budget
    }
}
