//! A server that sends bytes without end, and the memory of the process that reads them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use tokio::net::TcpSocket;
use tokio::runtime;

/// Bytes of one connection after which the sender gives up, so that a reader without any bound ends
/// the test.
const MAX_SENT_BYTES: u64 = 256 << 20;

/// Bytes per write of a fast server.
const FAST_WRITE_BYTES: usize = 64 * 1024;

/// Connections that wait to be accepted.
const MAX_WAITING_CONNECTIONS: u32 = 1_024;

/// How fast the bytes come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPace {
    /// As fast as they are read.
    Fast,
    /// One part at a time, with this pause after each.
    Slow(Duration),
}

/// Sends a start, and then a part without end, on each connection until the reader closes it.
#[derive(Debug)]
pub struct EndlessServer {
    address: SocketAddr,
    sent: Arc<AtomicU64>,
}

impl EndlessServer {
    /// Starts a server on a free port of the loopback address.
    pub fn start(start: &'static str, part: &'static str, pace: SendPace) -> io::Result<Self> {
        let listener = listen()?;
        let address = listener.local_addr()?;
        let sent: Arc<AtomicU64> = Arc::default();
        let counted = sent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let counted = counted.clone();
                // The reader closes the connection, which ends it with an error.
                thread::spawn(move || serve(stream, start, part, pace, &counted));
            }
        });
        Ok(Self { address, sent })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes sent on all connections.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// Listens with a queue for all connections of a test. The system drops the first packet of one beyond
/// it, and its next try comes after a node has given up.
fn listen() -> io::Result<TcpListener> {
    let runtime = runtime::Builder::new_current_thread().enable_io().build()?;
    let _entered = runtime.enter();
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let listener = socket.listen(MAX_WAITING_CONNECTIONS)?.into_std()?;
    listener.set_nonblocking(false)?;
    Ok(listener)
}

fn serve(
    mut stream: TcpStream,
    start: &str,
    part: &str,
    pace: SendPace,
    sent: &AtomicU64,
) -> io::Result<()> {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request)?;
    stream.write_all(start.as_bytes())?;
    send_endlessly(&mut stream, part, pace, sent)
}

/// Sends `part` again and again until the other side closes the connection.
pub fn send_endlessly(
    stream: &mut TcpStream,
    part: &str,
    pace: SendPace,
    sent: &AtomicU64,
) -> io::Result<()> {
    let bytes = match pace {
        SendPace::Fast => part.repeat(FAST_WRITE_BYTES / part.len() + 1).into_bytes(),
        SendPace::Slow(_) => part.as_bytes().to_vec(),
    };
    let mut own_bytes = 0;
    while own_bytes < MAX_SENT_BYTES {
        stream.write_all(&bytes)?;
        own_bytes += bytes.len() as u64;
        sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if let SendPace::Slow(pause) = pace {
            thread::sleep(pause);
        }
    }
    Ok(())
}

/// The largest memory of this process so far, in bytes; none if the system does not state it.
pub fn peak_memory() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}
