//! What a home let in lately, by age.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::quota;

/// Length of one slice.
pub const SLICE: Duration = Duration::from_millis(250);

/// Slices kept: five seconds, as long as the windows over which quotas are judged.
pub const SLICES: usize = quota::MAX_SLICES;

/// Requests let in, less those given back, by the slice of time in which they were.
#[derive(Clone, Copy, Debug)]
pub struct RecentUses {
    /// The newest first.
    slices: [i32; SLICES],
    /// When the newest slice began.
    begun: time::NodeTime,
}

impl RecentUses {
    /// Nothing was let in yet.
    pub const fn new(now: time::NodeTime) -> Self {
        Self {
            slices: [0; SLICES],
            begun: now,
        }
    }

    /// Counts requests; a negative number was given back.
    pub fn count(&mut self, now: time::NodeTime, uses: i32) {
        self.turn(now);
        self.slices[0] = self.slices[0].saturating_add(uses);
    }

    /// Takes in what another home let in, its slices the newest first.
    pub fn merge(&mut self, now: time::NodeTime, other: &[i32]) {
        self.turn(now);
        for (own, other) in self.slices.iter_mut().zip(other) {
            *own = own.saturating_add(*other);
        }
    }

    /// The slices, the newest first.
    pub fn slices(&mut self, now: time::NodeTime) -> [i32; SLICES] {
        self.turn(now);
        self.slices
    }

    /// Whether nothing was let in.
    pub fn is_empty(&self) -> bool {
        self.slices.iter().all(|uses| *uses == 0)
    }

    /// Begins as many new slices as time has brought.
    fn turn(&mut self, now: time::NodeTime) {
        let passed = now.since(self.begun).as_micros() / SLICE.as_micros();
        if passed == 0 {
            return;
        }
        let turns = usize::try_from(passed).unwrap_or(SLICES);
        if turns >= SLICES {
            *self = Self::new(now);
            return;
        }
        self.slices.rotate_right(turns);
        self.slices[..turns].fill(0);
        self.begun = self.begun + SLICE * turns as u32;
    }
}

/// Uses in `slices`, the newest first, that are at most `age` old; of the oldest slice a part.
pub fn uses_within(slices: &[i32], age: Duration) -> f64 {
    let whole = age.as_secs_f64() / SLICE.as_secs_f64();
    let parts = slices.iter().enumerate();
    parts
        .map(|(place, uses)| f64::from(*uses) * (whole - place as f64).clamp(0.0, 1.0))
        .sum()
}
