//! Answers of the target as bytes: heads, and bodies by each of their framings.

use std::time::Duration;

use anvil_edge::target;
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http::{HeaderMap, StatusCode, header, response};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::head;

/// Largest head of an answer, in bytes; the same as what the common servers send at most.
const HEAD_BYTES: usize = 64 * 1024;

/// Most header lines of an answer.
const HEAD_LINES: usize = 128;

/// Longest line that announces a chunk, in bytes: a size in hex and a few extensions.
const CHUNK_LINE_BYTES: usize = 1_024;

/// Bytes read from the socket at once.
const READ_BYTES: usize = 8 * 1024;

/// Why no whole answer came.
#[derive(Debug, Display, Error, From)]
pub enum AnswerFault {
    /// The connection broke.
    #[display("the connection broke: {_0}")]
    Broken(std::io::Error),
    /// The connection ended before the answer did.
    #[display("the connection ended in the answer")]
    Ended,
    /// The bytes are no answer.
    #[display("the bytes are no answer: {reason}")]
    #[from(skip)]
    Malformed {
        /// What is wrong.
        #[error(not(source))]
        reason: &'static str,
    },
    /// The body is above the limit.
    #[display("the body is above the limit")]
    Oversized,
    /// The body states no length, and its end can't be told from a cut.
    #[display("the end of the body can't be told from a cut")]
    OpenEnded,
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is none, whatever the headers say.
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
    /// Whether the target keeps the connection open, and for how long where it says so.
    pub keeping: KeepOpen,
}

/// What an answer says of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepOpen {
    /// It ends with this answer.
    No,
    /// It stays open, for this long where the target says so.
    Yes(Option<Duration>),
}

/// Reads answers one after the other.
#[derive(Debug)]
pub struct AnswerReader<R> {
    reader: R,
    buffer: BytesMut,
    begun: bool,
}

impl<R> AnswerReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Reads from `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader,
            buffer: BytesMut::new(),
            begun: false,
        }
    }

    /// Whether the head of an answer has come.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Whether bytes came behind the last answer; they belong to no request.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next head; interim answers are passed over.
    pub async fn head(&mut self, method: &str) -> Result<AnswerHead, AnswerFault> {
        loop {
            if let Some(head) = self.parse_head(method)? {
                if head.parts.status.is_informational() {
                    continue;
                }
                return Ok(head);
            }
            if self.buffer.len() > HEAD_BYTES {
                return Err(malformed("the head is too large"));
            }
            self.fill().await?;
        }
    }

    /// The body, whole, of at most `limit` bytes.
    pub async fn body(
        &mut self,
        framing: BodyFraming,
        open_end: target::CloseMeaning,
        limit: usize,
    ) -> Result<Bytes, AnswerFault> {
        match framing {
            BodyFraming::Absent => Ok(Bytes::new()),
            BodyFraming::Length(length) if length > limit => Err(AnswerFault::Oversized),
            BodyFraming::Length(length) => {
                self.fill_to(length).await?;
                Ok(self.buffer.split_to(length).freeze())
            }
            BodyFraming::Chunked => self.chunks(limit).await,
            BodyFraming::UntilClose if open_end == target::CloseMeaning::Truncated => {
                Err(AnswerFault::OpenEnded)
            }
            BodyFraming::UntilClose => self.until_close(limit).await,
        }
    }

    fn parse_head(&mut self, method: &str) -> Result<Option<AnswerHead>, AnswerFault> {
        let mut lines = [httparse::EMPTY_HEADER; HEAD_LINES];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed
            .parse(&self.buffer)
            .map_err(|_| malformed("the head"))?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let head = read_head(&parsed, method)?;
        self.begun = true;
        self.buffer.advance(length);
        Ok(Some(head))
    }

    async fn chunks(&mut self, limit: usize) -> Result<Bytes, AnswerFault> {
        let mut body = BytesMut::new();
        loop {
            let line = self.line().await?;
            let size = chunk_size(&line)?;
            if size == 0 {
                self.trailers().await?;
                return Ok(body.freeze());
            }
            if size > limit.saturating_sub(body.len()) {
                return Err(AnswerFault::Oversized);
            }
            self.fill_to(size).await?;
            body.extend_from_slice(&self.buffer.split_to(size));
            if !self.line().await?.is_empty() {
                return Err(malformed("a chunk is longer than it says"));
            }
        }
    }

    async fn trailers(&mut self) -> Result<(), AnswerFault> {
        for _ in 0..HEAD_LINES {
            if self.line().await?.is_empty() {
                return Ok(());
            }
        }
        Err(malformed("too many trailers"))
    }

    async fn until_close(&mut self, limit: usize) -> Result<Bytes, AnswerFault> {
        loop {
            if self.buffer.len() > limit {
                return Err(AnswerFault::Oversized);
            }
            match self.fill().await {
                Ok(()) => {}
                Err(AnswerFault::Ended) => return Ok(self.buffer.split().freeze()),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// One line without its end.
    async fn line(&mut self) -> Result<Bytes, AnswerFault> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            if let Some(end) = end {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(2);
                return Ok(line);
            }
            if self.buffer.len() > CHUNK_LINE_BYTES {
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
        // One step beyond what has arrived, so that a length alone reserves no memory.
        self.buffer.reserve(READ_BYTES);
        let read = self.reader.read_buf(&mut self.buffer).await?;
        if read == 0 {
            return Err(AnswerFault::Ended);
        }
        Ok(())
    }
}

fn read_head(parsed: &httparse::Response<'_, '_>, method: &str) -> Result<AnswerHead, AnswerFault> {
    let code = parsed.code.unwrap_or_default();
    let status = StatusCode::from_u16(code).map_err(|_| malformed("the status"))?;
    let headers = head::header_map(parsed.headers).ok_or_else(|| malformed("a header"))?;
    let framing = framing(status, &headers, method)?;
    let keeping = keeping(parsed.version == Some(1), &headers, framing);
    let (mut parts, ()) = http::Response::new(()).into_parts();
    parts.status = status;
    parts.headers = headers;
    Ok(AnswerHead {
        parts,
        framing,
        keeping,
    })
}

/// How the body is framed, after RFC 9112, section 6.3.
///
/// An answer that states both a length and chunks, or two lengths, could be read in two ways, and
/// what one reading takes for its rest would reach another request; such answers are refused.
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
            head::body_length(length)
                .map(BodyFraming::Length)
                .ok_or_else(|| malformed("the length"))
        }
        (None, None) => Ok(BodyFraming::UntilClose),
    }
}

fn keeping(current: bool, headers: &HeaderMap, framing: BodyFraming) -> KeepOpen {
    if head::says_close(headers) || !current || framing == BodyFraming::UntilClose {
        return KeepOpen::No;
    }
    let stated = headers.get("keep-alive").and_then(|value| {
        let mut parts = value.to_str().ok()?.split(',');
        let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    KeepOpen::Yes(stated)
}

fn chunk_size(line: &[u8]) -> Result<usize, AnswerFault> {
    let text = std::str::from_utf8(line).map_err(|_| malformed("a chunk's size"))?;
    let digits = text.split(';').next().unwrap_or_default().trim();
    let plain = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = usize::from_str_radix(digits, 16).ok().filter(|_| plain);
    size.ok_or_else(|| malformed("a chunk's size"))
}

fn malformed(reason: &'static str) -> AnswerFault {
    AnswerFault::Malformed { reason }
}
