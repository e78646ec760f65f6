//! Loopback addresses that belong to one experiment, so that experiments beside each other never meet.
//!
//! Failure: two experiments run on one machine, and a node of the first restarts. Symptom: for a second
//! its ports are free, a node of the second takes one, and targets and callers of the first go on with
//! a stranger: requests run in the wrong experiment, and a key is counted as run twice. Each experiment
//! therefore has a block of addresses, which nobody else of its kind binds while it holds the claim.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The port that shows a block as taken. It lies below the ports that systems hand out by themselves, so
/// no outgoing connection stands on it.
const CLAIM_PORT: u16 = 19_999;

/// The last address of a block, which carries the claim and nothing else.
const CLAIM_PLACE: u8 = 255;

/// Blocks looked at before giving up; more than the experiments that one machine bears.
const BLOCK_TRIES: u32 = 512;

/// First blocks that are handed out: 127.1.0.0, since 127.0.0.0 is where other programs listen.
const FIRST_BLOCK: u32 = 0x0100;

/// Blocks that can be handed out, up to 127.250.255.0.
const BLOCK_COUNT: u32 = 250 * 256;

/// A block of 254 loopback addresses, held until it is dropped.
#[derive(Debug)]
pub struct LoopbackGround {
    block: u16,
    /// Keeps others away; never accepts.
    _claim: TcpListener,
}

impl LoopbackGround {
    /// Claims a block that nobody holds.
    ///
    /// Fails where none of the blocks tried can be bound.
    pub fn claim() -> io::Result<Self> {
        // Processes that start one after the other begin at different blocks and seldom collide.
        let first = std::process::id().wrapping_mul(31);
        let mut refused = io::Error::from(io::ErrorKind::AddrInUse);
        for turn in 0..BLOCK_TRIES {
            let place = first.wrapping_add(turn) % BLOCK_COUNT;
            let block = u16::try_from(FIRST_BLOCK + place).unwrap_or(u16::MAX);
            match TcpListener::bind((address_in(block, CLAIM_PLACE), CLAIM_PORT)) {
                Ok(claim) => {
                    return Ok(Self {
                        block,
                        _claim: claim,
                    });
                }
                Err(error) => refused = error,
            }
        }
        Err(refused)
    }

    /// The address of one place, from 0 to 253.
    pub fn address(&self, place: u8) -> IpAddr {
        address_in(self.block, place.saturating_add(1).min(CLAIM_PLACE - 1))
    }

    /// A port of one place. Fixed ports below those that systems hand out stay free for whoever comes
    /// back to them.
    pub fn port(&self, place: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.address(place), port)
    }

    /// Tells this block from all others held at the same time.
    pub fn block(&self) -> u16 {
        self.block
    }
}

fn address_in(block: u16, place: u8) -> IpAddr {
    let [high, low] = block.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high, low, place))
}
