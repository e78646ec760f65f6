//! Blocks of loopback addresses, one for each experiment, which isolate concurrent experiments.
//!
//! When a node restarts, its ports are free for a second. If a node of another experiment on the
//! same machine took one, targets and callers of the first experiment would continue with it:
//! requests would run in the wrong experiment, and a key would be counted as run twice. Each
//! experiment therefore claims a block of addresses that no other experiment binds while the claim
//! is held.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// The port whose listener marks a block as taken. It is below the ephemeral ports of the system,
/// so no outgoing connection uses it.
const CLAIM_PORT: u16 = 19_999;

/// The last address of a block, which is used only for the claim.
const CLAIM_INDEX: u8 = 255;

/// Blocks tried before giving up; more than the experiments that one machine can run.
const MAX_CLAIM_ATTEMPTS: u32 = 512;

/// The first block that is used, 127.1.0.0, since other programs listen in 127.0.0.0.
const FIRST_BLOCK: u32 = 0x0100;

/// Number of usable blocks, up to 127.250.255.0.
const BLOCK_COUNT: u32 = 250 * 256;

/// Blocks that this process has tried so far.
///
/// The servers of an experiment may outlive its claim in the same process, so a process never
/// returns to a block that it has held.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// A block of 254 loopback addresses, held until it is dropped.
#[derive(Debug)]
pub struct LoopbackBlock {
    number: u16,
    /// Marks the block as taken; never accepts connections.
    _claim: TcpListener,
}

impl LoopbackBlock {
    /// Claims a free block.
    ///
    /// Fails if none of the blocks tried can be bound.
    pub fn claim() -> io::Result<Self> {
        // Processes with different ids begin at different blocks, so that they seldom collide.
        let first = std::process::id().wrapping_mul(31);
        let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let tried = TRIED.fetch_add(1, Ordering::Relaxed);
            let offset = first.wrapping_add(tried) % BLOCK_COUNT;
            let number = u16::try_from(FIRST_BLOCK + offset).unwrap_or(u16::MAX);
            match TcpListener::bind((address_in(number, CLAIM_INDEX), CLAIM_PORT)) {
                Ok(claim) => {
                    return Ok(Self {
                        number,
                        _claim: claim,
                    });
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// The address with an index from 0 to 253.
    pub fn address(&self, index: u8) -> IpAddr {
        address_in(self.number, index.saturating_add(1).min(CLAIM_INDEX - 1))
    }

    /// A port of the address with this index. Fixed ports below the ephemeral range stay free for a
    /// process that restarts.
    pub fn port(&self, index: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.address(index), port)
    }

    /// The number of the block, unique among all blocks held at the same time.
    pub fn number(&self) -> u16 {
        self.number
    }
}

fn address_in(block: u16, index: u8) -> IpAddr {
    let [high, low] = block.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high, low, index))
}
