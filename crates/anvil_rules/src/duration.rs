//! The text form of durations in rules and settings.

use std::time::Duration;

/// Units in microseconds. `us` and `ms` come before `s`, which they end with.
const UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
];

/// Parses a whole number with a unit, such as `500ms`; returns `None` for any other text.
pub fn parse(text: &str) -> Option<Duration> {
    let (unit, scale) = UNITS.iter().find(|(unit, _)| text.ends_with(unit))?;
    let digits = text.strip_suffix(unit)?;
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    Some(Duration::from_micros(number.checked_mul(*scale)?))
}

/// Formats a duration in the largest unit that represents it exactly; [`parse`] reads it back.
pub fn format(duration: Duration) -> String {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    let divides = |scale: u64| micros.is_multiple_of(scale);
    let largest = UNITS.iter().rev().find(|(_, scale)| divides(*scale));
    match largest {
        Some((unit, scale)) if micros > 0 => format!("{}{unit}", micros / scale),
        _ => "0s".to_owned(),
    }
}
