//! HTTP/1.1 over blocking sockets: just what the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    /// A parameter of the query, with percent escapes decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes
            .get(at + 1..at + 3)
            .and_then(|two| std::str::from_utf8(two).ok());
        let code = digits.and_then(|two| u8::from_str_radix(two, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (sign, _) => {
                out.push(if sign == b'+' { b' ' } else { sign });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// One connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    /// The next message; `None` at a regular end between two messages.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            message.body = self.chunks()?;
            return Ok(Some(message));
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        message.body = self.take(length)?;
        Ok(Some(message))
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}

/// An answer with a body of known length; `extra` are whole header lines.
pub fn answer(status: u16, reason: &str, extra: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, limit: Duration, request: &[u8]) -> io::Result<Message> {
    let mut connection = Connection::open(address, limit)?;
    connection.write(request)?;
    let read = connection.read()?;
    read.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
