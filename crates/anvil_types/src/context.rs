//! The context that a request propagates down its call chain.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ident;

/// Priority of a request; lower classes are shed first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Work that can be deferred to times of low load.
    #[display("low")]
    Low,
    /// Ordinary requests.
    #[default]
    #[display("normal")]
    Normal,
    /// Requests that a person waits for.
    #[display("high")]
    High,
    /// Requests whose loss does harm, such as submissions and bids.
    #[display("critical")]
    Critical,
}

impl PriorityClass {
    /// All classes, from the one shed first to the one shed last.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Critical];
}

/// Shedding order among requests of one class, the same at every hop.
///
/// Every node sheds the higher lanes first, so the requests that one service admits are admitted by
/// the next ones too, and complete requests succeed instead of parts of many.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct LaneHash(pub u8);

/// Random bits in a lane whose upper bits encode the class that the rules decided.
const RANDOM_BITS: u32 = 6;

impl LaneHash {
    /// Moves the lane into a band for `rule_class`, for a request that takes its class from its
    /// account.
    ///
    /// Within the account's class, requests are then shed by the class that the rules gave them, so
    /// that an account's submissions are shed after its lookups.
    #[must_use]
    pub fn with_class_band(self, rule_class: PriorityClass) -> Self {
        let band = PriorityClass::Critical as u8 - rule_class as u8;
        Self(band << RANDOM_BITS | self.0 >> (u8::BITS - RANDOM_BITS))
    }

    /// The last of the lanes that [`Self::with_class_band`] maps to this one, whatever the band.
    #[must_use]
    pub fn last_of_band_lane(self) -> Self {
        let ignored = u8::BITS - RANDOM_BITS;
        Self(self.0 << ignored | ((1 << ignored) - 1))
    }

    /// The lane in the first quarter of its class, or of its band if `has_band`, that keeps the order
    /// of the lanes.
    #[must_use]
    pub fn in_first_quarter(self, has_band: bool) -> Self {
        let bits = if has_band { RANDOM_BITS } else { u8::BITS };
        let random = u8::MAX >> (u8::BITS - bits);
        Self(self.0 & !random | (self.0 & random) >> 2)
    }

    /// The random part of a lane with a class band, in the range 0 to 1.
    pub fn random_fraction(self) -> f64 {
        let random = self.0 & ((1 << RANDOM_BITS) - 1);
        f64::from(random) / f64::from(1_u8 << RANDOM_BITS)
    }
}

/// Context set by the root request; each hop lowers the remaining time and retry allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallContext {
    /// Identifies the root request.
    pub request: ident::RequestId,
    /// Priority class, decided once, at the root.
    pub class: PriorityClass,
    /// Class that the rules gave the request, if `class` is that of the client account.
    pub rule_class: Option<PriorityClass>,
    /// Shedding order within the class, decided once, at the root.
    pub lane: LaneHash,
    /// Time until the caller stops waiting, in microseconds.
    pub remaining_micros: u64,
    /// Retries, beyond first attempts, that this branch of the chain may still spend.
    pub retries_left: u16,
    /// Number of hops above this call.
    pub depth: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the call, or one above it, retries an attempt that may have run.
    pub repeat: bool,
    /// Idempotency key of a non-idempotent request, if the caller sent one.
    pub key: Option<ident::RequestKey>,
    /// Fingerprint by which resends of the same request are recognised.
    pub fingerprint: ident::RequestFingerprint,
}
