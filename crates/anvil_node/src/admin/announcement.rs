//! Announcements of the local target, validated before the reducer receives them.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::event;
use anvil_types::name;
use derive_more::{Display, Error, From};
use serde::Deserialize;

/// Upper bound of the slots and of the connections that a target may announce.
pub const MAX_COUNT: u32 = 100_000;

/// Shortest accepted lease, in milliseconds; a shorter one would expire between two renewals on a
/// busy machine.
pub const MIN_LEASE_MS: u64 = 100;

/// Longest accepted lease, in milliseconds; it bounds how long a vanished target stays known.
pub const MAX_LEASE_MS: u64 = 600_000;

/// Why an announcement was refused.
#[derive(Debug, Display, Error, From)]
pub enum AnnouncementError {
    /// The body is not a valid announcement.
    #[display("the announcement is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// The address can't be connected to.
    #[display("address: {_0} can't be connected to")]
    Address(#[error(not(source))] SocketAddr),
    /// A count is out of range.
    #[display("{field}: {found} is out of range: {min} to {max} is expected")]
    #[from(skip)]
    Range {
        /// The field.
        field: &'static str,
        /// The value that was sent.
        found: u64,
        /// The lowest accepted value.
        min: u64,
        /// The highest accepted value.
        max: u64,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnouncementBody {
    service: name::ServiceName,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    lease_ms: u64,
    #[serde(default)]
    warm: bool,
}

/// Parses and validates the announcement in the JSON in `bytes`.
pub fn parse(bytes: &[u8]) -> Result<event::TargetAnnouncement, AnnouncementError> {
    let body: AnnouncementBody = serde_json::from_slice(bytes)?;
    if body.address.ip().is_unspecified() || body.address.port() == 0 {
        return Err(AnnouncementError::Address(body.address));
    }
    let max_count = u64::from(MAX_COUNT);
    check("slots", u64::from(body.slots), 1, max_count)?;
    check("connections", u64::from(body.connections), 1, max_count)?;
    check("lease_ms", body.lease_ms, MIN_LEASE_MS, MAX_LEASE_MS)?;
    Ok(event::TargetAnnouncement {
        service: body.service,
        address: body.address,
        slots: body.slots,
        connections: body.connections,
        lease: Duration::from_millis(body.lease_ms),
        warm: body.warm,
        incarnation: None,
    })
}

fn check(field: &'static str, found: u64, min: u64, max: u64) -> Result<(), AnnouncementError> {
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(AnnouncementError::Range {
        field,
        found,
        min,
        max,
    })
}
