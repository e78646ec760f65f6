//! Seeded random choices among members.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A generator that gives the same choices for the same seed.
#[derive(Clone, Debug)]
pub struct ChoiceSource(Pcg64Mcg);

impl ChoiceSource {
    /// Starts from `seed`.
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A random 64-bit number.
    pub fn any(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A random number below `bound`, or zero if `bound` is zero.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        let wide = u128::from(self.0.next_u64()) * bound as u128;
        (wide >> u64::BITS) as usize
    }

    /// A random duration below `bound`, in whole microseconds.
    pub fn span(&mut self, bound: std::time::Duration) -> std::time::Duration {
        let micros = usize::try_from(bound.as_micros()).unwrap_or(usize::MAX);
        std::time::Duration::from_micros(self.below(micros) as u64)
    }

    /// A random factor with an exponential distribution of mean one, at most eight.
    ///
    /// A time that is multiplied by it ends with the same probability at each moment, so nodes that
    /// begin to wait together act at independent moments.
    pub fn exponential(&mut self) -> f64 {
        let fraction = (self.any() >> 11) as f64 / (1_u64 << 53) as f64;
        (-(1.0 - fraction).ln()).min(8.0)
    }

    /// Puts `items` into a random order.
    pub fn shuffle<Item>(&mut self, items: &mut [Item]) {
        for last in (1..items.len()).rev() {
            let other = self.below(last + 1);
            items.swap(last, other);
        }
    }
}
