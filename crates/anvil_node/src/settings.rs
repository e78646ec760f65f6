//! The node's settings: one YAML file, validated completely before anything starts.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anvil_overload::policy;
use anvil_platform::settings as hosted;
use anvil_types::{name, number};
use anvil_wire::codec;
use anvil_wire::seal::ring;
use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, de};

use crate::memory;

/// Bytes of a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// The least memory with which a node works, in megabytes, and the most that can be meant.
const MEMORY_RANGE: (u64, u64) = (64, 16_000_000);

/// Why settings were refused; the text names the file, the line, the field and the reason.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{}: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not valid settings.
    #[display("{}: {reason}", file.display())]
    Refused {
        /// The file.
        file: PathBuf,
        /// Line, field and reason, as the parser reports them.
        #[error(not(source))]
        reason: String,
    },
}

/// The settings of an instance for its node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The availability zone of the instance.
    pub zone: name::ZoneName,
    /// The region of the instance.
    pub region: name::RegionName,
    /// The address by which other nodes reach this instance.
    pub advertise: IpAddr,
    /// Where the node listens.
    pub listen: ListenSettings,
    /// Datagram addresses of other nodes, contacted at the start in addition to the contacts in the
    /// platform's store.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's store; if there are none, the node runs without a store.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// The keys by which nodes authenticate each other; the first one is used, all are accepted.
    pub peer_keys: PeerKeys,
    /// The bearer token that operators must send; without one, all requests to the admin address
    /// are authorised.
    #[serde(default)]
    pub admin_token: Option<String>,
    /// Settings of the platform that hosts the node, whose dialect the node then uses; without
    /// them, the node uses its own dialect.
    #[serde(default)]
    pub hosted: Option<hosted::HostedSettings>,
    /// Limits of the edges.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Switches that turn safeguards off, for experiments only; in operation all stay on.
    #[serde(default)]
    pub policy: policy::OverloadPolicy,
}

/// Where the node listens; port 0 binds a free port, which the node reports when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers, over HTTP.
    pub caller: SocketAddr,
    /// Operators and the local target, over HTTP.
    pub admin: SocketAddr,
    /// Other nodes, over TCP.
    pub peer: SocketAddr,
    /// Other nodes, over UDP.
    pub gossip: SocketAddr,
}

/// Limits of the edges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Connections of callers open at once.
    #[serde(deserialize_with = "bounded::<_, 1, 100_000>")]
    pub caller_connections: u64,
    /// Connections of other nodes open at once.
    #[serde(deserialize_with = "bounded::<_, 1, 100_000>")]
    pub peer_connections: u64,
    /// Bytes of a request head; the HTTP library requires at least 8,192.
    #[serde(deserialize_with = "bounded::<_, 8_192, 131_072>")]
    pub header_bytes: u64,
    /// Header lines of a request.
    #[serde(deserialize_with = "bounded::<_, 1, 1_000>")]
    pub header_count: u64,
    /// Longest time for a complete request head, from its first byte, in milliseconds.
    #[serde(deserialize_with = "bounded::<_, 10, 600_000>")]
    pub header_wait_ms: u64,
    /// Longest idle time of a caller's connection between requests, in milliseconds.
    #[serde(deserialize_with = "bounded::<_, 10, 3_600_000>")]
    pub idle_wait_ms: u64,
    /// Longest time for a complete body, in milliseconds.
    #[serde(deserialize_with = "bounded::<_, 10, 600_000>")]
    pub body_wait_ms: u64,
    /// Longest time in which a caller takes no byte of its answer, in milliseconds.
    #[serde(deserialize_with = "bounded::<_, 1_000, 600_000>")]
    pub answer_wait_ms: u64,
    /// Memory of the instance, in megabytes; half of it holds bodies. Fractions are cut off.
    #[serde(deserialize_with = "megabytes")]
    pub memory_mb: u64,
    /// Length of a request body, in bytes. Without it, what the hosting platform allows, or else
    /// [`codec::MAX_BODY_BYTES`]; in any case no more than fits into the memory for bodies.
    #[serde(deserialize_with = "optional_bytes")]
    pub body_bytes: Option<u64>,
    /// Longest time for flushing replies when the process exits, in milliseconds.
    #[serde(deserialize_with = "bounded::<_, 10, 600_000>")]
    pub flush_wait_ms: u64,
    /// Threads of the runtime that serves connections.
    #[serde(deserialize_with = "bounded::<_, 1, 64>")]
    pub worker_threads: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            // The largest current service has 350 connections per target; this leaves room for as
            // many again from external callers.
            caller_connections: 1_024,
            peer_connections: 4_096,
            header_bytes: 65_536,
            header_count: 100,
            header_wait_ms: 10_000,
            // Longer than the pools of common clients keep an idle connection, so that a caller
            // rarely sends a request on one that the node is just closing.
            idle_wait_ms: 120_000,
            body_wait_ms: 30_000,
            answer_wait_ms: 30_000,
            memory_mb: memory::SMALLEST_INSTANCE_BYTES / MEGABYTE,
            body_bytes: None,
            flush_wait_ms: 5_000,
            worker_threads: 2,
        }
    }
}

impl LimitSettings {
    /// Longest time for a complete request head.
    pub fn header_wait(&self) -> Duration {
        Duration::from_millis(self.header_wait_ms)
    }

    /// Longest idle time of a caller's connection between requests.
    pub fn idle_wait(&self) -> Duration {
        Duration::from_millis(self.idle_wait_ms)
    }

    /// Longest time for a complete body.
    pub fn body_wait(&self) -> Duration {
        Duration::from_millis(self.body_wait_ms)
    }

    /// Longest time in which a caller takes no byte of its answer.
    pub fn answer_wait(&self) -> Duration {
        Duration::from_millis(self.answer_wait_ms)
    }

    /// Memory of the instance, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb * MEGABYTE
    }

    /// Longest time for flushing replies when the process exits.
    pub fn flush_wait(&self) -> Duration {
        Duration::from_millis(self.flush_wait_ms)
    }
}

impl NodeSettings {
    /// Length of a request body that is accepted, in bytes, if there is memory for it.
    pub fn body_bytes(&self) -> usize {
        let hosted = self.hosted.as_ref().map(|_| hosted::MAX_BODY_BYTES);
        let stated = self.limits.body_bytes.or(hosted);
        let stated = stated.and_then(|bytes| usize::try_from(bytes).ok());
        stated.unwrap_or(codec::MAX_BODY_BYTES)
    }
}

/// The keys shared by the fleet, validated together.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "Vec<KeyEntry>")]
pub struct PeerKeys(Arc<ring::KeyRing>);

impl PeerKeys {
    /// The key ring for sealing.
    pub fn ring(&self) -> &Arc<ring::KeyRing> {
        &self.0
    }
}

impl TryFrom<Vec<KeyEntry>> for PeerKeys {
    type Error = ring::KeyError;

    fn try_from(entries: Vec<KeyEntry>) -> Result<Self, ring::KeyError> {
        let mut keys = Vec::with_capacity(entries.len());
        for KeyEntry { id, secret } in entries {
            keys.push(ring::SealKey::new(ring::KeyId(id), &secret.0)?);
        }
        Ok(Self(Arc::new(ring::KeyRing::new(keys)?)))
    }
}

/// One key in the settings.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyEntry {
    id: u16,
    secret: HexSecret,
}

/// A secret in hex; it has no `Debug` or `Display`, so that it never reaches a log.
#[derive(Deserialize)]
#[serde(try_from = "String")]
struct HexSecret(Vec<u8>);

/// Why a secret was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("a secret is hex digits, two for each byte, such as `openssl rand -hex 32` prints")]
struct HexError;

impl TryFrom<String> for HexSecret {
    type Error = HexError;

    fn try_from(text: String) -> Result<Self, HexError> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digits || !text.len().is_multiple_of(2) {
            return Err(HexError);
        }
        let pairs = (0..text.len()).step_by(2);
        let bytes = pairs.map(|index| u8::from_str_radix(&text[index..index + 2], 16));
        let bytes: Result<_, _> = bytes.collect();
        Ok(Self(bytes.map_err(|_| HexError)?))
    }
}

/// Reads and checks the settings in `file`.
pub fn load(file: &Path) -> Result<NodeSettings, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    parse(&text, file)
}

/// Parses and checks settings given as text; errors name `file`.
pub fn parse(text: &str, file: &Path) -> Result<NodeSettings, SettingsError> {
    let refused = |reason: String| SettingsError::Refused {
        file: file.to_owned(),
        reason,
    };
    let settings: NodeSettings =
        serde_saphyr::from_str(text).map_err(|error| refused(error.to_string()))?;
    if settings.advertise.is_unspecified() {
        let reason = "advertise: an address that other nodes can reach is needed";
        return Err(refused(reason.to_owned()));
    }
    let largest = memory::largest_request(settings.limits.memory_bytes());
    if settings
        .limits
        .body_bytes
        .is_some_and(|bytes| bytes > largest as u64)
    {
        let reason = format!(
            "limits.body_bytes: limits.memory_mb of {} has room for {largest} at most",
            settings.limits.memory_mb
        );
        return Err(refused(reason));
    }
    Ok(settings)
}

/// The numbers that a setting accepts.
#[derive(Clone, Copy, Debug, Display)]
#[display("{kind} from {min} to {max}")]
struct SettingRange {
    kind: &'static str,
    min: u64,
    max: u64,
}

impl SettingRange {
    /// Reads a number within the range.
    fn read<'de, D>(self, deserializer: D) -> Result<number::StatedNumber, D::Error>
    where
        D: Deserializer<'de>,
    {
        let number = number::deserialize_setting(deserializer, self)?;
        #[expect(clippy::cast_precision_loss, reason = "all ranges end below 2^53")]
        let range = self.min as f64..=self.max as f64;
        if range.contains(&number.get()) {
            return Ok(number);
        }
        let reason = format!("{number} is out of range: {self} is expected");
        Err(de::Error::custom(reason))
    }
}

/// Reads megabytes, of which platforms may state fractions.
fn megabytes<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let kind = "a number";
    let (min, max) = MEMORY_RANGE;
    let range = SettingRange { kind, min, max };
    let number = range.read(deserializer)?;
    Ok(u64::from(number.floor_u32()))
}

fn optional_bytes<'de, D>(deserializer: D) -> Result<Option<u64>, D::Error>
where
    D: Deserializer<'de>,
{
    bounded::<D, 1, { u32::MAX as u64 }>(deserializer).map(Some)
}

fn bounded<'de, D, const MIN: u64, const MAX: u64>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let range = SettingRange {
        kind: "a whole number",
        min: MIN,
        max: MAX,
    };
    let number = range.read(deserializer)?.get();
    let count = number::StatedCount::try_from(number);
    count.map(|count| count.0).map_err(|_| {
        let reason = format!("{number} is not whole: {range} is expected");
        de::Error::custom(reason)
    })
}
