//! What the log tells of the local target's status reports, and of the report on which a run relied;
//! see `docs/OPERATIONS-platform.md`.

use std::time::Duration;

use anvil_types::{ident, time};
use derive_more::Display;
use serde::Serialize;

use crate::{event, request_log};

/// The state that a target reports.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// It accepts requests.
    #[display("ready")]
    Ready,
    /// It is leaving and still works.
    #[display("leaving")]
    Leaving,
    /// It sends no further reports.
    #[display("gone")]
    Gone,
}

/// What a status report changed at the node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportChange {
    /// The target is used from now on.
    #[display("serving")]
    Serving,
    /// The target stays in use.
    #[display("renewed")]
    Renewed,
    /// The target is not used any more.
    #[display("withdrawn")]
    Withdrawn,
    /// The target is asked before it is used.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The report is of an incarnation that is not the one in use, or not in use any more.
    #[display("nothing")]
    Nothing,
}

/// A status report as it was received.
///
/// A report doesn't say when it was sent. Its place in the sequence, and how long this process has run
/// and has known the incarnation, show whether it may have been sent to an earlier process.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("incarnation={incarnation} state={state} sequence={sequence}")]
pub struct ReceivedReport {
    /// The incarnation that sent it.
    pub incarnation: ident::IncarnationId,
    /// The state that it reports.
    pub state: ReportedState,
    /// When the incarnation started by its own clock, in Unix milliseconds, if the report says so.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// The position of the report among those of the incarnation.
    pub sequence: u64,
    /// How long this process has run, in milliseconds.
    pub process_age_ms: u64,
    /// The time since this process received the first report of the incarnation, in milliseconds.
    pub known_for_ms: u64,
}

impl ReceivedReport {
    /// The report in `message`, received at `now` by a process that has known its incarnation for
    /// `known_for`.
    pub(crate) fn new(
        now: time::NodeTime,
        message: &event::TargetIncarnation,
        state: ReportedState,
        known_for: Duration,
    ) -> Self {
        Self {
            incarnation: message.id.clone(),
            state,
            started_at_ms: message.started_at_ms,
            sequence: message.sequence,
            process_age_ms: request_log::millis(now.since(time::NodeTime::START)),
            known_for_ms: request_log::millis(known_for),
        }
    }
}

/// The status report on which a run relied when it was handed to the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReportReference {
    /// The incarnation that sent it.
    pub incarnation: ident::IncarnationId,
    /// The position of the report among those of the incarnation.
    #[serde(rename = "report")]
    pub sequence: u64,
    /// How long before the run it was received, in milliseconds.
    #[serde(rename = "report_age_ms")]
    pub age_ms: u64,
}
