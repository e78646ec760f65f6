//! Reading HTTP/1.1 messages from a socket.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn length(&self) -> usize {
        let stated = self.header("content-length");
        stated.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 65536];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// The next head; `None` if the connection ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            (name.to_ascii_lowercase(), value.trim().to_owned())
        };
        let headers = lines.map(header).collect();
        Ok(Some(Message {
            first,
            headers,
            body: Vec::new(),
        }))
    }

    /// A body of this length.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The next message, whose body has a length.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        message.body = self.body(message.length())?;
        Ok(Some(message))
    }

    /// Whether the other side has closed the connection.
    pub fn has_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// One call over a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\n{headers}Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    connection.send(head.as_bytes())?;
    connection.send(body)?;
    let answer = connection.message()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The segment size of an Ethernet link. The loopback's own segments are so large that the kernel
/// takes megabytes of an answer that nobody reads.
const SEGMENT_BYTES: i32 = 1_400;

/// The receive buffer of a client on a slow link.
const RECEIVE_BYTES: i32 = 32 * 1024;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

fn set_option(socket: i32, level: i32, name: i32, value: i32) {
    unsafe { setsockopt(socket, level, name, &raw const value, 4) };
}

/// Gives a socket of this process the segments and the receive buffer of a slow link.
pub fn use_small_segments(socket: i32) {
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    set_option(socket, IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES);
    set_option(socket, SOL_SOCKET, SO_RCVBUF, RECEIVE_BYTES);
}

impl Connection {
    /// Opens a connection with small segments.
    pub fn open_small(address: SocketAddr) -> io::Result<Self> {
        const AF_INET: i32 = 2;
        const SOCK_STREAM: i32 = 1;
        const SOCK_CLOEXEC: i32 = 0o2_000_000;
        let SocketAddr::V4(address) = address else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let handle = unsafe { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
        if handle < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = unsafe { TcpStream::from_raw_fd(handle) };
        use_small_segments(handle);
        let target = SocketAddress {
            family: 2,
            port: address.port().to_be(),
            ip: address.ip().octets(),
            zero: [0; 8],
        };
        match unsafe { connect(handle, &raw const target, 16) } {
            0 => Ok(Self::new(stream)),
            _ => Err(io::Error::last_os_error()),
        }
    }
}
