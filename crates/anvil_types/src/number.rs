//! Numbers as other systems state them: with a fraction, and beyond the range of the node's own types.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::de::{self, Unexpected};
use serde::{Deserialize, Deserializer};

/// The accepted numbers, as messages name them.
const EXPECTED_NUMBER: &str = "a number from 0 up";

/// The accepted counts, as messages name them.
const EXPECTED_COUNT: &str = "a whole number from 0 up";

/// Duration that stands for all longer ones; sums and multiples of it stay within their types.
pub const MAX_DURATION: Duration = Duration::from_secs(86_400);

/// A finite number from zero up, with or without a fraction.
///
/// A field of an integer type would refuse `48.0`, `48.5` and whatever exceeds it, and with the field what
/// it belongs to. Users of a stated number round it in the direction that keeps what was stated.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, PartialOrd)]
pub struct StatedNumber(f64);

/// The text or the number is not a finite number from zero up.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{EXPECTED_NUMBER} is expected")]
pub struct NumberError;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rounding down and saturation are what the conversions are for"
)]
impl StatedNumber {
    /// The number itself.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// This many seconds, at most [`MAX_DURATION`].
    pub fn seconds(self) -> Duration {
        Duration::from_secs_f64(self.0.min(MAX_DURATION.as_secs_f64()))
    }

    /// This many milliseconds, at most [`MAX_DURATION`].
    pub fn millis(self) -> Duration {
        Self(self.0 / 1_000.0).seconds()
    }

    /// The number, rounded down; the largest value of the type for a larger number.
    pub const fn floor_u16(self) -> u16 {
        self.0 as u16
    }

    /// The number, rounded down; the largest value of the type for a larger number.
    pub const fn floor_u32(self) -> u32 {
        self.0 as u32
    }
}

impl TryFrom<f64> for StatedNumber {
    type Error = NumberError;

    fn try_from(number: f64) -> Result<Self, NumberError> {
        let is_valid = number.is_finite() && number >= 0.0;
        is_valid.then_some(Self(number)).ok_or(NumberError)
    }
}

#[expect(clippy::cast_precision_loss, reason = "a stated number is a float")]
impl From<u64> for StatedNumber {
    fn from(number: u64) -> Self {
        Self(number as f64)
    }
}

impl FromStr for StatedNumber {
    type Err = NumberError;

    /// Parses digits with an optional fraction, such as `7.9`; signs, exponents and names of numbers are
    /// refused. A number beyond the range is the largest one.
    fn from_str(text: &str) -> Result<Self, NumberError> {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_digits =
            |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
        if !is_digits(whole) || !is_digits(fraction) {
            return Err(NumberError);
        }
        let number: f64 = text.parse().map_err(|_| NumberError)?;
        Ok(Self(number.min(f64::MAX)))
    }
}

impl<'de> Deserialize<'de> for StatedNumber {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_f64(NumberVisitor {
            expected: EXPECTED_NUMBER,
        })
    }
}

/// Deserializes a number of the settings, which are text, quoted or not; errors name what is `expected`.
///
/// # Errors
///
/// Fails for all but finite numbers from zero up.
pub fn deserialize_setting<'de, D, E>(
    deserializer: D,
    expected: E,
) -> Result<StatedNumber, D::Error>
where
    D: Deserializer<'de>,
    E: fmt::Display,
{
    deserializer.deserialize_str(NumberVisitor { expected })
}

/// A whole number, which may be written with a fraction of zero.
///
/// Unlike a [`StatedNumber`] it is exact up to its largest value, so that counts can be compared.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedCount(pub u64);

/// The number is not whole, negative, or too large.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{EXPECTED_COUNT} is expected")]
pub struct CountError;

impl TryFrom<f64> for StatedCount {
    type Error = CountError;

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "only whole numbers within the range are converted"
    )]
    fn try_from(number: f64) -> Result<Self, CountError> {
        // The smallest power of two beyond the type; all whole numbers below it fit.
        const END: f64 = 18_446_744_073_709_551_616.0;
        let is_valid = number.fract() == 0.0 && (0.0..END).contains(&number);
        is_valid.then_some(Self(number as u64)).ok_or(CountError)
    }
}

impl<'de> Deserialize<'de> for StatedCount {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_u64(CountVisitor)
    }
}

struct NumberVisitor<T> {
    expected: T,
}

impl<T> de::Visitor<'_> for NumberVisitor<T>
where
    T: fmt::Display,
{
    type Value = StatedNumber;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.expected)
    }

    fn visit_u64<E>(self, number: u64) -> Result<StatedNumber, E>
    where
        E: de::Error,
    {
        Ok(StatedNumber::from(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<StatedNumber, E>
    where
        E: de::Error,
    {
        let found = Unexpected::Signed(number);
        let number = u64::try_from(number).map(StatedNumber::from);
        number.map_err(|_| E::invalid_value(found, &self))
    }

    fn visit_f64<E>(self, number: f64) -> Result<StatedNumber, E>
    where
        E: de::Error,
    {
        let found = Unexpected::Float(number);
        StatedNumber::try_from(number).map_err(|_| E::invalid_value(found, &self))
    }

    fn visit_str<E>(self, text: &str) -> Result<StatedNumber, E>
    where
        E: de::Error,
    {
        let number: Option<f64> = text.parse().ok();
        let number = number.and_then(|number| StatedNumber::try_from(number).ok());
        let expected = &self.expected;
        number.ok_or_else(|| E::custom(format_args!("{text:?} is not {expected}")))
    }
}

struct CountVisitor;

impl de::Visitor<'_> for CountVisitor {
    type Value = StatedCount;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(EXPECTED_COUNT)
    }

    fn visit_u64<E>(self, count: u64) -> Result<StatedCount, E>
    where
        E: de::Error,
    {
        Ok(StatedCount(count))
    }

    fn visit_i64<E>(self, count: i64) -> Result<StatedCount, E>
    where
        E: de::Error,
    {
        let found = Unexpected::Signed(count);
        let count = u64::try_from(count).map(StatedCount);
        count.map_err(|_| E::invalid_value(found, &self))
    }

    fn visit_f64<E>(self, count: f64) -> Result<StatedCount, E>
    where
        E: de::Error,
    {
        let found = Unexpected::Float(count);
        StatedCount::try_from(count).map_err(|_| E::invalid_value(found, &self))
    }
}
