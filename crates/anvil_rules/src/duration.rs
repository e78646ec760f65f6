//! Durations as operators write them.

use std::time::Duration;

/// Units, the longest suffix first, so that `ms` isn't read as `s`; in microseconds.
const UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
];

/// Reads a whole number with a unit, such as `500ms`; none where the text is anything else.
pub fn parse(text: &str) -> Option<Duration> {
    let (unit, scale) = UNITS.iter().find(|(unit, _)| text.ends_with(unit))?;
    let digits = text.strip_suffix(unit)?;
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    Some(Duration::from_micros(number.checked_mul(*scale)?))
}

/// Writes a duration with the greatest unit that loses nothing; [`parse`] takes it back.
pub fn format(duration: Duration) -> String {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    let fits = |scale: u64| micros.is_multiple_of(scale);
    let whole = UNITS.iter().rev().find(|(_, scale)| fits(*scale));
    match whole {
        Some((unit, scale)) if micros > 0 => format!("{}{unit}", micros / scale),
        _ => "0s".to_owned(),
    }
}
