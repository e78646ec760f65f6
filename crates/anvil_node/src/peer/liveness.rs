//! Whether the other end of a connection still lives.
//!
//! Failure: a connection goes silent for good, without a reset, since the other instance lost its
//! power or the network dropped its state. Symptom: calls out on it wait for their deadlines, and
//! new calls follow them. While answers are due and nothing comes, the connection is probed; one
//! that stays silent is given up, so its calls end within a second.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

/// Time between two looks at a connection on which answers are due.
///
/// The farthest node is some milliseconds away and a busy one takes some tens more, so a node that
/// lives answers long before the next look. Calls that wait on a silent connection use up their
/// callers' objectives, the shortest of which are some hundred milliseconds, so it is no longer.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Looks without a sign of life after which the connection is given up; the first of them probes.
const MAX_SILENT_CHECKS: u32 = 3;

/// Looks after the last call by which it has been answered or given up: fifteen seconds, more than
/// callers wait.
const MAX_CHECKS_PER_CALL: u32 = 60;

/// What the reading and the writing side of a connection tell each other.
#[derive(Debug, Default)]
pub struct LinkLiveness {
    /// Calls sent less answers received; they may be answered on another connection of the same
    /// two nodes, so the sum is a reason to look and no more.
    unanswered_calls: AtomicU32,
    /// Looks since the last call was sent.
    checks_since_call: AtomicU32,
    /// Whether anything came since the last look.
    received: AtomicBool,
    /// The place of the last frame among all frames that came to this node.
    last_received: AtomicU64,
    /// The other end asked for a sign of life.
    probe: Notify,
}

/// What a look at the connection calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Nothing.
    None,
    /// Ask for a sign of life.
    Probe,
    /// Give the connection up.
    Close,
}

impl LinkLiveness {
    /// Notes that a call was sent.
    pub fn call_sent(&self) {
        self.checks_since_call.store(0, Ordering::Relaxed);
        if self.unanswered_calls.fetch_add(1, Ordering::Relaxed) == 0 {
            // Silence before the first call says nothing.
            self.received.store(true, Ordering::Relaxed);
        }
    }

    /// Notes that a frame came.
    pub fn frame_received(&self, is_answer: bool) {
        self.received.store(true, Ordering::Relaxed);
        if is_answer {
            let fewer = |calls: u32| calls.checked_sub(1);
            // An answer to a call on another connection finds nothing to take back.
            let _ = self
                .unanswered_calls
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fewer);
        }
    }

    /// Notes that the other end asked for a sign of life.
    pub fn probe_received(&self) {
        self.probe.notify_one();
    }

    /// Notes the place of a frame among all that came to this node.
    pub fn record_received(&self, position: u64) {
        self.last_received.store(position, Ordering::Relaxed);
    }

    /// The place of the last frame; later ones came on connections that lived later.
    pub fn last_received(&self) -> u64 {
        self.last_received.load(Ordering::Relaxed)
    }

    /// Waits until the other end asks for a sign of life.
    pub async fn wait_for_probe(&self) {
        self.probe.notified().await;
    }

    /// Whether answers are due.
    pub fn awaits_answers(&self) -> bool {
        self.unanswered_calls.load(Ordering::Relaxed) > 0
    }

    /// Looks at the connection once; `silent` counts the looks without a sign of life.
    ///
    /// Looks are counted and not time, since a process that was paused finds much time gone and the
    /// answers of that time unread in its socket.
    pub fn check(&self, silent: &mut u32) -> LivenessAction {
        if self.checks_since_call.fetch_add(1, Ordering::Relaxed) >= MAX_CHECKS_PER_CALL {
            // What is still awaited was answered on another connection of the two nodes.
            self.unanswered_calls.store(0, Ordering::Relaxed);
            return LivenessAction::None;
        }
        if self.received.swap(false, Ordering::Relaxed) {
            *silent = 0;
            return LivenessAction::None;
        }
        *silent += 1;
        match *silent {
            1 => LivenessAction::Probe,
            checks if checks >= MAX_SILENT_CHECKS => LivenessAction::Close,
            _ => LivenessAction::None,
        }
    }
}
