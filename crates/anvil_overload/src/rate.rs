//! The rate that a target names in its answers, and the tokens that hold it; see
//! `docs/design/named-rates.md`.

use std::time::Duration;

use anvil_quota::bucket;
use anvil_types::{rate, time};
use serde::Serialize;

/// Window in which a target gets no more than the lowest rate that it named within it allows.
pub const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Capacity of the bucket beyond one token, in seconds of the rate.
const BURST_SECONDS: f64 = 0.25;

/// Lowest rate that is kept to, in requests a second: only an answer can lift a limit, so a target
/// that names zero gets a request in ten seconds.
const MIN_RATE: f64 = 0.1;

/// Maximum number of earlier rates that are held at a time.
const MAX_HELD: usize = 16;

/// How the rate of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateChange {
    /// The rate is the same as before.
    None,
    /// The target named a rate and had none before.
    Named,
    /// The target named another rate.
    Changed,
    /// The target names no rate any more.
    Lifted,
}

/// A rate that was replaced by a higher one, and still holds for the window that began before.
#[derive(Clone, Copy, Debug, Serialize)]
struct HeldRate {
    rate: rate::RequestRate,
    until: time::NodeTime,
}

/// The rate that one incarnation of a target named, and a token for each request that it allows.
///
/// A token bucket of rate L and capacity B lets at most 4 L + B requests pass in four seconds.
#[derive(Clone, Debug, Serialize)]
pub struct RateLimit {
    /// The latest rate that it named; none if its latest answer named none.
    named: Option<rate::RequestRate>,
    /// When the target began to name rates without interruption.
    since: time::NodeTime,
    /// Whether it has ever named a rate.
    was_named: bool,
    /// Whether it has ever named something that is not a rate.
    was_malformed: bool,
    /// Whether an answer of the target itself has arrived here.
    is_first_hand: bool,
    /// Sorted by rate and by time: a later one is higher than those before it.
    held: Vec<HeldRate>,
    bucket: bucket::TokenBucket,
    filled_at: time::NodeTime,
}

impl Default for RateLimit {
    /// The limit of a target that has named none.
    fn default() -> Self {
        Self {
            named: None,
            since: time::NodeTime::START,
            was_named: false,
            was_malformed: false,
            is_first_hand: false,
            held: Vec::new(),
            bucket: bucket::TokenBucket::new(time::NodeTime::START, 0.0),
            filled_at: time::NodeTime::START,
        }
    }
}

impl RateLimit {
    /// Records the rate that an answer names.
    ///
    /// A lower rate holds at once. A higher one, or none, holds once the window has passed: until
    /// then some requests of the window were allowed by the lower rate, and answers from before it
    /// may arrive late.
    pub fn record(&mut self, now: time::NodeTime, stated: Option<rate::RequestRate>) -> RateChange {
        self.is_first_hand = true;
        self.change_to(now, stated)
    }

    /// Records the rate that another node knows from earlier answers of the target.
    ///
    /// A node that has restarted beside a target knows no rate until the first answer, while the
    /// nodes that passed on earlier answers do. Of what they know the lowest rate holds, and the
    /// first answer decides.
    pub fn learn(&mut self, now: time::NodeTime, known: rate::RequestRate) -> RateChange {
        if self.is_first_hand || self.named.is_some_and(|named| named <= known) {
            return RateChange::None;
        }
        self.change_to(now, Some(known))
    }

    /// Puts `stated` in force and holds the rate before it, if that is lower, for its window.
    fn change_to(&mut self, now: time::NodeTime, stated: Option<rate::RequestRate>) -> RateChange {
        let change = match (self.named, stated) {
            (before, after) if before == after => return RateChange::None,
            (None, Some(_)) => RateChange::Named,
            (Some(_), Some(_)) => RateChange::Changed,
            (_, None) => RateChange::Lifted,
        };
        let is_free = self.in_force(now).is_none();
        // Only the tokens count here; when the bucket became full concerns the queue alone.
        let _ = self.fill(now);
        if let Some(before) = self.named
            && stated.is_none_or(|stated| stated > before)
        {
            self.hold(before, now + RATE_WINDOW);
        }
        if change == RateChange::Named {
            self.since = now;
            self.was_named = true;
        }
        self.named = stated;
        if is_free {
            // What the target got before it named a rate has used up the tokens.
            self.bucket = bucket::TokenBucket::new(now, 0.0);
            self.filled_at = now;
        }
        change
    }

    /// Holds `rate` until a later time than any rate held before, so equal and higher ones end.
    fn hold(&mut self, rate: rate::RequestRate, until: time::NodeTime) {
        self.held.retain(|held| held.rate < rate);
        self.held.push(HeldRate { rate, until });
        if self.held.len() > MAX_HELD {
            // The lower neighbour holds in place of the highest one.
            self.held.pop();
            if let Some(last) = self.held.last_mut() {
                last.until = until;
            }
        }
    }

    /// Records that an answer names something that is not a rate; returns whether it is the first.
    pub fn record_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.was_malformed, true)
    }

    /// The latest rate that the target named.
    pub fn named(&self) -> Option<rate::RequestRate> {
        self.named
    }

    /// When the target began to name rates without interruption.
    pub fn since(&self) -> time::NodeTime {
        self.since
    }

    /// Whether the target has ever named a rate.
    pub fn was_named(&self) -> bool {
        self.was_named
    }

    /// The rate that holds now: the lowest one that the target named within the window.
    pub fn in_force(&self, now: time::NodeTime) -> Option<rate::RequestRate> {
        let held = self.held.iter().find(|held| now < held.until);
        let rates = self.named.into_iter().chain(held.map(|held| held.rate));
        rates.min()
    }

    /// Adds the tokens that have accrued since the last call. Returns when the bucket became full
    /// since then, if it did: from that time on the target got less than its rate.
    pub fn fill(&mut self, now: time::NodeTime) -> Option<time::NodeTime> {
        self.held.retain(|held| now < held.until);
        let size = self.size(now)?;
        let missing = size.capacity - self.bucket.level();
        let filled_up = self.filled_at + Duration::from_secs_f64(missing.max(0.0) / size.rate);
        self.bucket.fill(now, size);
        self.filled_at = now;
        (missing > 0.0 && filled_up <= now).then_some(filled_up)
    }

    /// Takes the token of a request that starts; [`Self::fill`] must have been called at this time.
    pub fn take(&mut self) {
        if self.size(self.filled_at).is_some() {
            self.bucket.take();
        }
    }

    /// Time from the last [`Self::fill`] until a request may start that waits behind `ahead`
    /// others.
    pub fn wait(&self, ahead: usize) -> Duration {
        let Some(size) = self.size(self.filled_at) else {
            return Duration::ZERO;
        };
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let missing = (ahead + 1.0 - self.bucket.level()).max(0.0);
        let micros = missing / size.rate * 1e6;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at least zero, and at most ten seconds for each waiting request"
        )]
        let micros = micros.ceil() as u64;
        Duration::from_micros(micros)
    }

    /// When the request that is the first to wait may start, or may learn that it need not wait so
    /// long because a held rate ends; none if it may start at once.
    pub fn next_token(&self) -> Option<time::NodeTime> {
        let wait = self.wait(0);
        let held_until = self.held.iter().map(|held| held.until).min();
        let token = self.filled_at + wait;
        (!wait.is_zero()).then(|| held_until.map_or(token, |until| until.min(token)))
    }

    /// Share of the bucket that was empty at the last [`Self::fill`].
    pub fn used_share(&self) -> f64 {
        let size = self.size(self.filled_at);
        size.map_or(0.0, |size| 1.0 - self.bucket.level() / size.capacity)
    }

    /// Whether the bucket was full at the last [`Self::fill`]: the target gets less than its rate.
    pub fn is_full(&self) -> bool {
        let size = self.size(self.filled_at);
        size.is_none_or(|size| self.bucket.level() >= size.capacity)
    }

    /// Time between two tokens; none if no rate is in force.
    pub fn interval(&self) -> Option<Duration> {
        let size = self.size(self.filled_at)?;
        Some(Duration::from_secs_f64(size.rate.recip()))
    }

    fn size(&self, now: time::NodeTime) -> Option<bucket::BucketSize> {
        let rate = self.in_force(now)?.per_second().max(MIN_RATE);
        Some(bucket::BucketSize {
            rate,
            capacity: 1.0 + rate * BURST_SECONDS,
        })
    }
}
