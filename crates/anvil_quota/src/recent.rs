//! Requests that a home recently admitted, by age.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::quota;

/// Length of one slice.
pub const SLICE: Duration = Duration::from_millis(250);

/// Number of slices; they cover five seconds, as long as the windows over which quotas are
/// evaluated.
pub const SLICES: usize = quota::MAX_SLICES;

/// Admitted requests, minus those given back, by time slice.
#[derive(Clone, Copy, Debug)]
pub struct RecentUses {
    /// The newest slice first.
    slices: [i32; SLICES],
    /// Start of the newest slice.
    started_at: time::NodeTime,
}

impl RecentUses {
    /// Creates a record without requests.
    pub const fn new(now: time::NodeTime) -> Self {
        Self {
            slices: [0; SLICES],
            started_at: now,
        }
    }

    /// Counts admitted requests; a negative number was given back.
    pub fn count(&mut self, now: time::NodeTime, uses: i32) {
        self.advance(now);
        self.slices[0] = self.slices[0].saturating_add(uses);
    }

    /// Adds the slices of another home, the newest first.
    pub fn merge(&mut self, now: time::NodeTime, other: &[i32]) {
        self.advance(now);
        for (own, other) in self.slices.iter_mut().zip(other) {
            *own = own.saturating_add(*other);
        }
    }

    /// The slices, the newest first.
    pub fn slices(&mut self, now: time::NodeTime) -> [i32; SLICES] {
        self.advance(now);
        self.slices
    }

    /// Whether no requests are recorded.
    pub fn is_empty(&self) -> bool {
        self.slices.iter().all(|uses| *uses == 0)
    }

    /// Begins the slices that are due at `now`.
    fn advance(&mut self, now: time::NodeTime) {
        let passed = now.since(self.started_at).as_micros() / SLICE.as_micros();
        if passed == 0 {
            return;
        }
        let steps = usize::try_from(passed).unwrap_or(SLICES);
        if steps >= SLICES {
            *self = Self::new(now);
            return;
        }
        self.slices.rotate_right(steps);
        self.slices[..steps].fill(0);
        self.started_at = self.started_at + SLICE * steps as u32;
    }
}

/// Number of requests in `slices`, the newest first, that are at most `age` old; the oldest slice
/// counts in part.
pub fn uses_within(slices: &[i32], age: Duration) -> f64 {
    let whole = age.as_secs_f64() / SLICE.as_secs_f64();
    let parts = slices.iter().enumerate();
    parts
        .map(|(place, uses)| f64::from(*uses) * (whole - place as f64).clamp(0.0, 1.0))
        .sum()
}
