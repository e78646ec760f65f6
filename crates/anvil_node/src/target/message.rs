//! Reads the heads and bodies of answers from the target, in all framings of HTTP/1.1.

use std::time::Duration;

use anvil_edge::target;
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http::{HeaderMap, StatusCode, header, response};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::{head, memory};

/// Highest status of HTTP.
const MAX_STATUS: u16 = 599;

/// Largest head of an answer, in bytes; common servers send no larger one.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of header lines of an answer, and of trailers.
const MAX_HEADER_LINES: usize = 128;

/// Longest line between chunks, in bytes: a size in hex and a few extensions.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;

/// Length of a line end, in bytes.
const LINE_END_BYTES: usize = 2;

/// Bytes of chunk framing that any answer may have, and the further ones for each byte of its body.
/// Even chunks of two bytes stay within them.
const FREE_FRAMING_BYTES: usize = 64 * 1024;
const FRAMING_BYTES_PER_BODY_BYTE: usize = 3;

/// Longest body that is read in the buffer of its connection, in bytes.
const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// Minimum free buffer space for each read from the socket, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Why there is no complete answer.
#[derive(Debug, Display, Error, From)]
pub enum AnswerFault {
    /// The connection broke.
    #[display("the connection broke: {_0}")]
    Broken(std::io::Error),
    /// The connection ended before the answer did.
    #[display("the connection ended in the answer")]
    UnexpectedEnd,
    /// The bytes are not a valid answer.
    #[display("the bytes are not a valid answer: {reason}")]
    #[from(skip)]
    Malformed {
        /// What is wrong.
        #[error(not(source))]
        reason: &'static str,
    },
    /// The body is above the limit.
    #[display("the body is above the limit")]
    Oversized,
    /// Other bodies fill the memory.
    #[display("no memory is left for the answer")]
    NoMemory,
    /// The body has neither a length nor chunks, so its end looks like a broken connection.
    #[display("the body has neither a length nor chunks")]
    MissingLength,
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body, regardless of the headers.
    Absent,
    /// This many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// Up to the end of the connection.
    UntilClose,
}

/// The head of an answer.
#[derive(Debug)]
pub struct AnswerHead {
    /// Status and headers.
    pub parts: response::Parts,
    /// How the body is framed.
    pub framing: BodyFraming,
    /// Whether the target keeps the connection open, and for how long if it states that.
    pub keep_alive: KeepAlive,
}

/// Whether the connection stays open after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// It closes after this answer.
    No,
    /// It stays open, for this long if the target states a timeout.
    Yes(Option<Duration>),
}

/// Reads answers one after the other.
#[derive(Debug)]
pub struct AnswerReader<R> {
    reader: R,
    buffer: BytesMut,
    memory: memory::BodyMemory,
    has_begun: bool,
}

impl<R> AnswerReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Reads answers from `reader` into `memory`.
    pub fn new(reader: R, memory: &memory::BodyMemory) -> Self {
        Self {
            reader,
            buffer: BytesMut::new(),
            memory: memory.clone(),
            has_begun: false,
        }
    }

    /// Whether the head of an answer was received.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Whether bytes were received after the last answer; they belong to no request.
    pub fn has_excess_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next head; interim answers are skipped, and count towards its size.
    pub async fn head(&mut self, method: &str) -> Result<AnswerHead, AnswerFault> {
        let mut interim_bytes = 0;
        loop {
            let received = self.buffer.len();
            match self.parse_head(method)? {
                Some(head) if !head.parts.status.is_informational() => return Ok(head),
                Some(_) => interim_bytes += received - self.buffer.len(),
                None if interim_bytes + received > MAX_HEAD_BYTES => {
                    return Err(malformed("the head is too large"));
                }
                None => self.fill().await?,
            }
        }
    }

    /// The complete body, of at most `limit` bytes, which keeps its lease.
    pub async fn body(
        &mut self,
        framing: BodyFraming,
        close_meaning: target::CloseMeaning,
        limit: usize,
    ) -> Result<Bytes, AnswerFault> {
        match framing {
            BodyFraming::Absent => Ok(Bytes::new()),
            BodyFraming::Length(length) if length > limit => Err(AnswerFault::Oversized),
            BodyFraming::Length(length) if length <= MAX_BUFFERED_BYTES => {
                self.fill_to(length).await?;
                let body = self.buffer.split_to(length).freeze();
                Ok(self.memory.own(memory::BodyKind::Answer, body)?)
            }
            BodyFraming::Length(length) => {
                let mut body = self.new_body(length);
                self.take(length, &mut body).await?;
                Ok(body.finish()?)
            }
            BodyFraming::Chunked => self.chunks(limit).await,
            BodyFraming::UntilClose if close_meaning == target::CloseMeaning::Truncated => {
                Err(AnswerFault::MissingLength)
            }
            BodyFraming::UntilClose => self.until_close(limit).await,
        }
    }

    fn new_body(&self, limit: usize) -> memory::BodyBuffer {
        memory::BodyBuffer::new(&self.memory, memory::BodyKind::ArrivingAnswer, limit)
    }

    /// Moves `length` bytes to `body` as they are received.
    async fn take(
        &mut self,
        length: usize,
        body: &mut memory::BodyBuffer,
    ) -> Result<(), AnswerFault> {
        let mut left = length;
        while left > 0 {
            if self.buffer.is_empty() {
                self.fill().await?;
            }
            let taken = left.min(self.buffer.len());
            body.push(&self.buffer[..taken]).await?;
            self.buffer.advance(taken);
            left -= taken;
        }
        Ok(())
    }

    fn parse_head(&mut self, method: &str) -> Result<Option<AnswerHead>, AnswerFault> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed
            .parse(&self.buffer)
            .map_err(|_| malformed("the head"))?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let head = read_head(&parsed, method)?;
        self.has_begun = true;
        self.buffer.advance(length);
        Ok(Some(head))
    }

    async fn chunks(&mut self, limit: usize) -> Result<Bytes, AnswerFault> {
        let mut body = self.new_body(limit);
        let mut framing_bytes = 0;
        loop {
            let line = self.line().await?;
            framing_bytes += line.len() + 2 * LINE_END_BYTES;
            if framing_bytes > FREE_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * body.len() {
                return Err(malformed("the chunks have too much framing"));
            }
            let size = chunk_size(&line)?;
            if size == 0 {
                self.trailers().await?;
                return Ok(body.finish()?);
            }
            if size > limit.saturating_sub(body.len()) {
                return Err(AnswerFault::Oversized);
            }
            self.take(size, &mut body).await?;
            if !self.line().await?.is_empty() {
                return Err(malformed("a chunk is longer than it says"));
            }
        }
    }

    async fn trailers(&mut self) -> Result<(), AnswerFault> {
        for _ in 0..MAX_HEADER_LINES {
            if self.line().await?.is_empty() {
                return Ok(());
            }
        }
        Err(malformed("too many trailers"))
    }

    async fn until_close(&mut self, limit: usize) -> Result<Bytes, AnswerFault> {
        let mut body = self.new_body(limit);
        loop {
            let received = self.buffer.len();
            if body.len() + received > limit {
                return Err(AnswerFault::Oversized);
            }
            self.take(received, &mut body).await?;
            match self.fill().await {
                Ok(()) => {}
                Err(AnswerFault::UnexpectedEnd) => return Ok(body.finish()?),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// The next line, without its line end.
    async fn line(&mut self) -> Result<Bytes, AnswerFault> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            if let Some(end) = end {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(LINE_END_BYTES);
                return Ok(line);
            }
            if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                return Err(malformed("a line between chunks is too long"));
            }
            self.fill().await?;
        }
    }

    async fn fill_to(&mut self, wanted: usize) -> Result<(), AnswerFault> {
        while self.buffer.len() < wanted {
            self.fill().await?;
        }
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), AnswerFault> {
        // Only READ_BYTES beyond the received bytes are reserved, so that a stated length alone
        // reserves no memory.
        self.buffer.reserve(READ_BYTES);
        let read = self.reader.read_buf(&mut self.buffer).await?;
        if read == 0 {
            return Err(AnswerFault::UnexpectedEnd);
        }
        Ok(())
    }
}

impl From<memory::MemoryError> for AnswerFault {
    fn from(_: memory::MemoryError) -> Self {
        Self::NoMemory
    }
}

fn read_head(parsed: &httparse::Response<'_, '_>, method: &str) -> Result<AnswerHead, AnswerFault> {
    let status = read_status(parsed.code).ok_or_else(|| malformed("the status"))?;
    let headers = head::header_map(parsed.headers).ok_or_else(|| malformed("a header"))?;
    let framing = framing(status, &headers, method)?;
    let keep_alive = keep_alive(parsed.version == Some(1), &headers, framing);
    let (mut parts, ()) = http::Response::new(()).into_parts();
    parts.status = status;
    parts.headers = headers;
    Ok(AnswerHead {
        parts,
        framing,
        keep_alive,
    })
}

/// The status, unless it is none of HTTP: RFC 9110, section 15, calls 600 and more invalid, so that an answer
/// with one can't be told apart from other bytes.
fn read_status(code: Option<u16>) -> Option<StatusCode> {
    let status = StatusCode::from_u16(code?).ok();
    status.filter(|status| status.as_u16() <= MAX_STATUS)
}

/// How the body is framed, as in RFC 9112, section 6.3.
///
/// An answer that states both a length and chunks, or two lengths, is ambiguous: bytes that one
/// parser takes for the body, another would take for the answer to the next request. Such answers
/// are refused.
fn framing(
    status: StatusCode,
    headers: &HeaderMap,
    method: &str,
) -> Result<BodyFraming, AnswerFault> {
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if bodiless || status.is_informational() || method == "HEAD" {
        return Ok(BodyFraming::Absent);
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    let coding = headers.get(header::TRANSFER_ENCODING);
    match (coding, length) {
        (Some(_), Some(_)) => Err(malformed("both a length and chunks")),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(BodyFraming::Chunked)
        }
        (Some(_), None) => Err(malformed("an unknown transfer coding")),
        (None, Some(length)) => {
            if lengths.any(|other| other != length) {
                return Err(malformed("two lengths"));
            }
            head::parse_content_length(length)
                .map(BodyFraming::Length)
                .ok_or_else(|| malformed("the length"))
        }
        (None, None) => Ok(BodyFraming::UntilClose),
    }
}

fn keep_alive(is_http11: bool, headers: &HeaderMap, framing: BodyFraming) -> KeepAlive {
    if head::closes_connection(headers) || !is_http11 || framing == BodyFraming::UntilClose {
        return KeepAlive::No;
    }
    let stated = headers.get("keep-alive").and_then(|value| {
        let mut parts = value.to_str().ok()?.split(',');
        let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    KeepAlive::Yes(stated)
}

fn chunk_size(line: &[u8]) -> Result<usize, AnswerFault> {
    let text = std::str::from_utf8(line).map_err(|_| malformed("a chunk's size"))?;
    let digits = text.split(';').next().unwrap_or_default().trim();
    let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = usize::from_str_radix(digits, 16).ok().filter(|_| is_hex);
    size.ok_or_else(|| malformed("a chunk's size"))
}

fn malformed(reason: &'static str) -> AnswerFault {
    AnswerFault::Malformed { reason }
}
