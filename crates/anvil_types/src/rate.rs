//! Rates of requests, as targets name them.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Millionths of a request in one request.
const MILLIONTHS: u64 = 1_000_000;

/// Digits that a rate is read with behind its decimal point.
const FRACTION_DIGITS: usize = 6;

/// Requests a second, in millionths so that rates can be compared exactly.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.per_second())]
pub struct RequestRate(u64);

/// A text that is not a decimal number of requests a second.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("not a decimal number of requests a second")]
pub struct RateError;

impl RequestRate {
    /// The rate of `millionths` of a request a second.
    pub const fn from_millionths(millionths: u64) -> Self {
        Self(millionths)
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "exact below nine billion requests a second"
        )]
        let millionths = self.0 as f64;
        millionths / 1_000_000.0
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    /// Reads digits with an optional fraction, such as `7.9`; signs, exponents and names of numbers
    /// are refused. A rate beyond the range is the highest one.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !is_digits(whole) || !is_digits(fraction) {
            return Err(RateError);
        }
        // Only an overflow makes a row of digits unreadable.
        let whole: u64 = whole.parse().unwrap_or(u64::MAX);
        let kept = &fraction[..fraction.len().min(FRACTION_DIGITS)];
        let fraction: u64 = format!("{kept:0<FRACTION_DIGITS$}").parse().unwrap_or(0);
        let millionths = whole.saturating_mul(MILLIONTHS).saturating_add(fraction);
        Ok(Self(millionths))
    }
}

/// People read requests a second, nodes exchange the exact millionths.
impl Serialize for RequestRate {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match serializer.is_human_readable() {
            true => serializer.serialize_f64(self.per_second()),
            false => serializer.serialize_u64(self.0),
        }
    }
}

impl<'bytes> Deserialize<'bytes> for RequestRate {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'bytes>,
    {
        u64::deserialize(deserializer).map(Self)
    }
}
