//! Detects connections whose other end no longer responds.
//!
//! A connection can go silent without a reset, because the other instance lost power or the network
//! dropped its state. Calls in flight on it would wait for their deadlines, and new calls would be
//! sent after them. While answers are due and nothing is received, the connection is probed; if it
//! stays silent it is closed, so that its calls end within a second.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::Notify;

/// Time between two checks of a connection on which answers are due.
///
/// The most distant node is a few milliseconds away and a busy one takes some tens more, so a live
/// node answers long before the next check. Calls that wait on a silent connection use up their
/// callers' objectives, the shortest of which are a few hundred milliseconds, so the interval must
/// not be longer.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Consecutive checks without a received frame after which the connection is closed; the first of
/// them sends a probe.
const MAX_SILENT_CHECKS: u32 = 3;

/// Checks after which the last call has certainly been answered or abandoned: fifteen seconds, more
/// than callers wait.
const MAX_CHECKS_PER_CALL: u32 = 60;

/// State shared by the reading and the writing side of a connection.
#[derive(Debug, Default)]
pub struct LinkLiveness {
    /// Calls sent minus answers received. A call may be answered on another connection of the same
    /// two nodes, so the number only decides whether the connection is checked.
    unanswered_calls: AtomicU32,
    /// Checks since the last call was sent.
    checks_since_call: AtomicU32,
    /// Whether anything was received since the last check.
    received: AtomicBool,
    /// The sequence number of the last frame, among all frames that this node has received.
    last_received: AtomicU64,
    /// Notified when the other end sends a ping.
    probe: Notify,
}

/// What to do after a check of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Nothing.
    None,
    /// Send a ping.
    Probe,
    /// Close the connection.
    Close,
}

impl LinkLiveness {
    /// Notes that a call was sent.
    pub fn call_sent(&self) {
        self.checks_since_call.store(0, Ordering::Relaxed);
        if self.unanswered_calls.fetch_add(1, Ordering::Relaxed) == 0 {
            // Silence before the first call means nothing.
            self.received.store(true, Ordering::Relaxed);
        }
    }

    /// Notes that a frame was received.
    pub fn frame_received(&self, is_answer: bool) {
        self.received.store(true, Ordering::Relaxed);
        if is_answer {
            let decrement = |calls: u32| calls.checked_sub(1);
            // An answer to a call on another connection may find the count at zero.
            let _ =
                self.unanswered_calls
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        }
    }

    /// Notes that bytes were received, which need not be a whole frame.
    pub fn bytes_received(&self) {
        self.received.store(true, Ordering::Relaxed);
    }

    /// Notes that the other end sent a ping.
    pub fn probe_received(&self) {
        self.probe.notify_one();
    }

    /// Notes the sequence number of a received frame, among all frames that this node has received.
    pub fn record_received(&self, sequence: u64) {
        self.last_received.store(sequence, Ordering::Relaxed);
    }

    /// The sequence number of the last received frame; a connection with a higher one was alive
    /// more recently.
    pub fn last_received(&self) -> u64 {
        self.last_received.load(Ordering::Relaxed)
    }

    /// Waits until the other end sends a ping.
    pub async fn wait_for_probe(&self) {
        self.probe.notified().await;
    }

    /// Whether answers are due.
    pub fn awaits_answers(&self) -> bool {
        self.unanswered_calls.load(Ordering::Relaxed) > 0
    }

    /// Checks the connection once; `misses` counts consecutive checks without a received frame.
    ///
    /// Checks are counted instead of time: after a pause of this process much time has passed, but
    /// the answers of that time are still unread in its socket.
    pub fn check(&self, misses: &mut u32) -> LivenessAction {
        if self.checks_since_call.fetch_add(1, Ordering::Relaxed) >= MAX_CHECKS_PER_CALL {
            // The remaining calls were answered on another connection of the two nodes.
            self.unanswered_calls.store(0, Ordering::Relaxed);
            return LivenessAction::None;
        }
        if self.received.swap(false, Ordering::Relaxed) {
            *misses = 0;
            return LivenessAction::None;
        }
        *misses += 1;
        match *misses {
            1 => LivenessAction::Probe,
            checks if checks >= MAX_SILENT_CHECKS => LivenessAction::Close,
            _ => LivenessAction::None,
        }
    }
}

/// The reading side of a connection, which takes each byte as a sign of life.
///
/// A large frame takes seconds on a busy network, and the other end is alive all the while.
#[derive(Debug)]
pub struct TrackedReader<R> {
    reader: R,
    liveness: Arc<LinkLiveness>,
}

impl<R> TrackedReader<R> {
    /// Notes in `liveness` what is read from `reader`.
    pub fn new(reader: R, liveness: Arc<LinkLiveness>) -> Self {
        Self { reader, liveness }
    }
}

impl<R> AsyncRead for TrackedReader<R>
where
    R: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.reader).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.liveness.bytes_received();
        }
        read
    }
}
