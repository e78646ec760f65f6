//! Authenticated datagrams.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use anvil_types::ident;

use super::{replay, ring};
use crate::seal;

/// The version of the layout of datagrams and of the messages in them, which is the first byte of
/// each datagram.
const FORMAT_VERSION: u8 = 2;

/// Size of the header before the payload, in bytes: format version, key id, sender and sequence.
const HEADER_BYTES: usize = 1 + 2 + 8 + 8;

/// Number of bytes that sealing adds to a payload.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + seal::TAG_BYTES;

/// Maximum size of a sealed datagram, in bytes; with IPv6 and UDP headers it fits into an Ethernet
/// frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES;

/// Seals (authenticates) the datagrams that a node sends.
#[derive(Debug)]
pub struct DatagramSealer {
    ring: Arc<ring::KeyRing>,
    node: ident::NodeId,
    sequence: u64,
}

/// Opens (verifies) the datagrams that a node receives.
#[derive(Debug)]
pub struct DatagramOpener {
    ring: Arc<ring::KeyRing>,
    address: SocketAddr,
    guard: replay::ReplayGuard,
}

/// A datagram with a valid tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The sender, as claimed by a holder of the key.
    pub sender: ident::NodeId,
    /// The payload.
    pub payload: &'a [u8],
}

impl DatagramSealer {
    /// Starts the sequence of a node whose id was generated for this process.
    pub const fn new(ring: Arc<ring::KeyRing>, node: ident::NodeId) -> Self {
        Self {
            ring,
            node,
            sequence: 0,
        }
    }

    /// Seals `payload` for the node at `to`.
    ///
    /// Fails if the payload is longer than [`MAX_PAYLOAD_BYTES`].
    pub fn seal(&mut self, to: SocketAddr, payload: &[u8]) -> Result<Vec<u8>, seal::SealError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(seal::SealError::Oversized {
                length: payload.len(),
                limit: MAX_PAYLOAD_BYTES,
            });
        }
        self.sequence += 1;
        let key = self.ring.sending_key();
        let mut bytes = Vec::with_capacity(OVERHEAD_BYTES + payload.len());
        bytes.push(FORMAT_VERSION);
        bytes.extend_from_slice(&key.id().0.to_be_bytes());
        bytes.extend_from_slice(&self.node.0.to_be_bytes());
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(payload);
        let tag = key.datagram().tag(&[&address_bytes(to), &bytes]);
        bytes.extend_from_slice(&tag);
        Ok(bytes)
    }
}

impl DatagramOpener {
    /// Opens datagrams for the node whose peers send to `address`.
    ///
    /// The tag covers the receiver's address. Otherwise a datagram that was recorded on its way to
    /// one node would be accepted by another, which has not seen its sequence.
    pub fn new(ring: Arc<ring::KeyRing>, address: SocketAddr) -> Self {
        Self {
            ring,
            address,
            guard: replay::ReplayGuard::default(),
        }
    }

    /// Verifies a datagram; nothing is allocated before its tag is verified.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<OpenedDatagram<'a>, seal::SealError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(seal::SealError::Oversized {
                length: bytes.len(),
                limit: MAX_DATAGRAM_BYTES,
            });
        }
        let split = bytes.len().checked_sub(seal::TAG_BYTES);
        let (sealed, tag) = split.map_or((bytes, &[][..]), |at| bytes.split_at(at));
        let header = DatagramHeader::read(sealed)?;
        let key = self.ring.find(header.key)?;
        let address = address_bytes(self.address);
        key.datagram().verify(&[&address, sealed], tag)?;
        if !self.guard.accept(header.sender, header.sequence) {
            return Err(seal::SealError::Replayed);
        }
        Ok(OpenedDatagram {
            sender: header.sender,
            payload: &sealed[HEADER_BYTES..],
        })
    }

    /// Forgets a sender that has permanently left the fleet.
    pub fn forget(&mut self, sender: ident::NodeId) {
        self.guard.forget(sender);
    }
}

struct DatagramHeader {
    key: ring::KeyId,
    sender: ident::NodeId,
    sequence: u64,
}

impl DatagramHeader {
    fn read(bytes: &[u8]) -> Result<Self, seal::SealError> {
        let Some((format, rest)) = bytes.split_first() else {
            return Err(seal::SealError::short("the datagram"));
        };
        if *format != FORMAT_VERSION {
            let found = u16::from(*format);
            return Err(seal::SealError::Version { found });
        }
        let header = || {
            let (key, rest) = rest.split_first_chunk::<2>()?;
            let (sender, rest) = rest.split_first_chunk::<8>()?;
            let sequence = rest.first_chunk::<8>()?;
            Some(Self {
                key: ring::KeyId(u16::from_be_bytes(*key)),
                sender: ident::NodeId(u64::from_be_bytes(*sender)),
                sequence: u64::from_be_bytes(*sequence),
            })
        };
        header().ok_or_else(|| seal::SealError::short("the datagram"))
    }
}

/// Encodes an address in canonical form: an IPv4 address is mapped to IPv6, because a socket of
/// either family may report the peer.
fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; 18];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}
