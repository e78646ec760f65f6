//! What a call carries down the whole chain.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ident;

/// How much a request matters; lower classes are shed first.
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
    /// Work that may wait for quiet times.
    #[display("low")]
    Low,
    /// Ordinary work.
    #[default]
    #[display("normal")]
    Normal,
    /// Work that people wait for.
    #[display("high")]
    High,
    /// Work whose loss does harm, such as submissions and bids.
    #[display("critical")]
    Critical,
}

impl PriorityClass {
    /// All classes, from the one shed first to the one shed last.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Critical];
}

/// A stable order among requests of one class, the same at every hop.
///
/// Every node sheds the higher lanes first, so the requests that survive one service survive the
/// next ones too and whole requests complete.
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

/// Bits of a lane that are left where its upper ones tell the class that the rules decided.
const BAND_BITS: u32 = 6;

impl LaneHash {
    /// The lane of a request whose class is its account's: what the rules say of it decides next, so
    /// that an account's submissions are shed after its lookups.
    #[must_use]
    pub fn with_class_band(self, by_rule: PriorityClass) -> Self {
        let band = PriorityClass::Critical as u8 - by_rule as u8;
        Self(band << BAND_BITS | self.0 >> (u8::BITS - BAND_BITS))
    }

    /// The part of a banded lane that is drawn, from zero to one.
    pub fn random_fraction(self) -> f64 {
        let drawn = self.0 & ((1 << BAND_BITS) - 1);
        f64::from(drawn) / f64::from(1_u8 << BAND_BITS)
    }
}

/// The context that the root request sets and each hop narrows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallContext {
    /// The root request.
    pub request: ident::RequestId,
    /// Importance, decided once, at the root.
    pub class: PriorityClass,
    /// What the rules said of it, where the class is that of the client account.
    pub rule_class: Option<PriorityClass>,
    /// Shedding order within the class, decided once, at the root.
    pub lane: LaneHash,
    /// Time left until the caller stops waiting, in microseconds.
    pub remaining_micros: u64,
    /// Retries, beyond first attempts, that this branch of the chain may still spend.
    pub retries_left: u16,
    /// Number of hops above this call.
    pub depth: u8,
    /// Whether a run may be repeated.
    pub idempotent: bool,
    /// Whether the call, or one above it, is a further attempt at something that may have run.
    pub repeat: bool,
    /// The key that names a non-idempotent action, where the caller sent one.
    pub key: Option<ident::RequestKey>,
    /// The digest by which resends of the same request are recognised.
    pub fingerprint: ident::RequestFingerprint,
}
