//! Counters of the edges, one per cause.
//!
//! The reducer keeps its own totals; both are exported by the metrics endpoint.

use std::time::Duration;

use anvil_types::store;
use derive_more::Display;
use prometheus::core::Collector;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::store::holding;

/// Events that the edges count; each is a value of the label `cause`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EdgeCause {
    /// A caller's connection was accepted.
    #[display("caller_accepted")]
    CallerAccepted,
    /// A caller's connection was closed at once because the limit was reached.
    #[display("caller_over_limit")]
    CallerOverLimit,
    /// A request head was malformed; answered with 400.
    #[display("caller_head_malformed")]
    CallerHeadMalformed,
    /// A request head was above a limit; answered with 431 or 414.
    #[display("caller_head_oversized")]
    CallerHeadOversized,
    /// A request head did not arrive in time; answered with 408.
    #[display("caller_head_slow")]
    CallerHeadSlow,
    /// A request body was above the limit; answered with 413.
    #[display("caller_body_oversized")]
    CallerBodyOversized,
    /// A request body did not arrive in time; answered with 408.
    #[display("caller_body_slow")]
    CallerBodySlow,
    /// No memory was left for a request body or a head; answered with 503.
    #[display("caller_body_no_memory")]
    CallerBodyNoMemory,
    /// A caller's connection was closed because it took no byte of its answer for too long, or its
    /// unread answer held memory that others needed.
    #[display("caller_answer_unread")]
    CallerAnswerUnread,
    /// A request body was incomplete or had malformed chunks; answered with 400.
    #[display("caller_body_malformed")]
    CallerBodyMalformed,
    /// The request names no valid service; answered with 400.
    #[display("caller_service_malformed")]
    CallerServiceMalformed,
    /// One of the `anvil-` headers was malformed; answered with 400.
    #[display("caller_hint_malformed")]
    CallerHintMalformed,
    /// A parent token was not issued by this node; answered with 400.
    #[display("caller_parent_forged")]
    CallerParentForged,
    /// The method is not supported, such as CONNECT; answered with 501.
    #[display("caller_method_refused")]
    CallerMethodRefused,
    /// A caller closed its connection before the reply.
    #[display("caller_gone")]
    CallerDisconnected,
    /// A connection to the target was opened.
    #[display("target_connected")]
    TargetConnected,
    /// An idle connection to the target was reused.
    #[display("target_reused")]
    TargetReused,
    /// No connection to the target could be opened.
    #[display("target_unreachable")]
    TargetUnreachable,
    /// The target left before any byte of a request was sent.
    #[display("target_withdrawn")]
    TargetWithdrawn,
    /// The target refused a request without running it.
    #[display("target_refused")]
    TargetRefused,
    /// Another incarnation of the target answered at the address.
    #[display("target_misdirected")]
    TargetMisdirected,
    /// The connection broke while a request was in flight.
    #[display("target_broken")]
    TargetBroken,
    /// The connection to the target ended in the middle of an answer, or the answer was invalid.
    #[display("target_answer_cut")]
    TargetAnswerTruncated,
    /// The target's answer had neither a length nor chunks, so its end can't be determined.
    #[display("target_answer_unframed")]
    TargetAnswerUnframed,
    /// The target's answer was above the limit.
    #[display("target_answer_oversized")]
    TargetAnswerOversized,
    /// An answer of the target was given up because others filled the memory for answers.
    #[display("target_answer_no_memory")]
    TargetAnswerNoMemory,
    /// The deadline passed while a request was in flight.
    #[display("target_timed_out")]
    TargetTimedOut,
    /// A run was cancelled, which closed its connection.
    #[display("target_cancelled")]
    TargetCancelled,
    /// A connection to another node was opened.
    #[display("peer_connected")]
    PeerConnected,
    /// A connection from another node was accepted.
    #[display("peer_accepted")]
    PeerAccepted,
    /// No connection to another node could be opened.
    #[display("peer_unreachable")]
    PeerUnreachable,
    /// A handshake failed: wrong version, wrong node or wrong key.
    #[display("peer_handshake_refused")]
    PeerHandshakeRefused,
    /// A connection from another node was closed at once because the limit was reached.
    #[display("peer_over_limit")]
    PeerOverLimit,
    /// A frame was malformed; its connection was closed.
    #[display("peer_frame_malformed")]
    PeerFrameMalformed,
    /// A frame's seal was invalid; its connection was closed.
    #[display("peer_frame_forged")]
    PeerFrameForged,
    /// A frame was above the limit; its connection was closed.
    #[display("peer_frame_oversized")]
    PeerFrameOversized,
    /// A connection ended in the middle of a frame.
    #[display("peer_frame_truncated")]
    PeerFrameTruncated,
    /// A connection to another node ended.
    #[display("peer_lost")]
    PeerConnectionLost,
    /// A connection to another node was closed because answers were due and nothing arrived.
    #[display("peer_silent")]
    PeerUnresponsive,
    /// The queue to a peer was full, and a frame was returned unsent.
    #[display("peer_queue_full")]
    PeerQueueFull,
    /// No memory was left for the body of another node's call, which was refused as not run.
    #[display("peer_call_no_memory")]
    PeerCallNoMemory,
    /// No memory was left for the body of another node's answer; its caller gets 502.
    #[display("peer_answer_no_memory")]
    PeerAnswerNoMemory,
    /// A datagram was malformed or not authentic, and dropped.
    #[display("datagram_refused")]
    DatagramRefused,
    /// A datagram could not be sent or was not read in time, and was dropped.
    #[display("datagram_dropped")]
    DatagramDropped,
    /// An announcement of a target was refused; answered with 422.
    #[display("announcement_refused")]
    AnnouncementRefused,
    /// An item of the store could not be read and was skipped.
    #[display("store_item_unreadable")]
    StoreItemUnreadable,
    /// The store was restored from an older copy.
    #[display("store_era_changed")]
    StoreEraChanged,
    /// An operator's request was malformed or not authorised.
    #[display("operator_refused")]
    OperatorRefused,
}

/// Upper bounds of the latency histograms, in seconds: from a lookup without queueing to the
/// longest time that callers wait, each about twice the one before.
const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Outcome of a request or a run, the label `outcome` of the latency histograms.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LatencyOutcome {
    /// The target answered completely.
    #[display("answered")]
    Answered,
    /// It certainly did not run.
    #[display("not_run")]
    NotRun,
    /// It is unknown whether it ran.
    #[display("may_have_run")]
    MayHaveRun,
}

/// The registry of the edges' counters, gauges and histograms.
#[derive(Clone, Debug)]
pub struct EdgeCounters {
    registry: Registry,
    events: IntCounterVec,
    calls: HistogramVec,
    runs: HistogramVec,
    store_refusals: IntCounterVec,
    store_waits: HistogramVec,
    queued_inputs: IntGauge,
    caller_connections: IntGauge,
    target_connections: IntGauge,
    peer_connections: IntGauge,
    unreadable_rows: IntGauge,
    body_bytes: IntGauge,
}

impl EdgeCounters {
    /// Registers all metrics; fails only if a name is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let opts = Opts::new(
            "anvil_edge_events_total",
            "Events at the edges of the node by cause, in events since the start.",
        );
        let events = IntCounterVec::new(opts, &["cause"])?;
        register(&registry, &events)?;
        let calls = latency(
            &registry,
            "anvil_call_duration_seconds",
            "Time from a whole request of a caller to its reply by outcome, in seconds.",
        )?;
        let runs = latency(
            &registry,
            "anvil_run_duration_seconds",
            "Time of a run at the local target by outcome, in seconds.",
        )?;
        let opts = Opts::new(
            "anvil_store_refused_total",
            "Requests to the store that the node did not send, by requester and reason, in requests since the start.",
        );
        let store_refusals = IntCounterVec::new(opts, &["requester", "reason"])?;
        register(&registry, &store_refusals)?;
        let opts = HistogramOpts::new(
            "anvil_store_wait_seconds",
            "Time for which a request to the store waited for a thread, by requester, in seconds.",
        );
        let opts = opts.buckets(LATENCY_BOUNDS.to_vec());
        let store_waits = HistogramVec::new(opts, &["requester"])?;
        register(&registry, &store_waits)?;
        let queued_inputs = gauge(
            &registry,
            "anvil_queued_inputs",
            "Inputs that waited for the reducer when it last looked, in inputs.",
        )?;
        let caller_connections = gauge(
            &registry,
            "anvil_caller_connections",
            "Connections of callers open at present, in connections.",
        )?;
        let target_connections = gauge(
            &registry,
            "anvil_target_connections",
            "Connections to the local target open at present, in connections.",
        )?;
        let peer_connections = gauge(
            &registry,
            "anvil_peer_connections",
            "Connections to other nodes open at present, in connections.",
        )?;
        let unreadable_rows = gauge(
            &registry,
            "anvil_unreadable_rows",
            "Rows of the desired state with a fault, in rows of the newest version read.",
        )?;
        let body_bytes = gauge(
            &registry,
            "anvil_body_bytes",
            "Memory that bodies hold at present, in bytes.",
        )?;
        Ok(Self {
            registry,
            events,
            calls,
            runs,
            store_refusals,
            store_waits,
            queued_inputs,
            caller_connections,
            target_connections,
            peer_connections,
            unreadable_rows,
            body_bytes,
        })
    }

    /// Counts one event.
    pub fn count(&self, cause: EdgeCause) {
        self.counter(cause).inc();
    }

    /// The counter of `cause`, for a component that counts only this cause.
    pub fn counter(&self, cause: EdgeCause) -> IntCounter {
        self.events.with_label_values(&[&cause.to_string()])
    }

    /// Events of `cause` since the start.
    pub fn total(&self, cause: EdgeCause) -> u64 {
        self.counter(cause).get()
    }

    /// Records the time from a complete request to its reply.
    pub fn observe_call(&self, outcome: LatencyOutcome, duration: Duration) {
        observe(&self.calls, outcome, duration);
    }

    /// Records the duration of a run at the local target.
    pub fn observe_run(&self, outcome: LatencyOutcome, duration: Duration) {
        observe(&self.runs, outcome, duration);
    }

    /// Counts a request to the store that the node did not send.
    pub fn count_store_refusal(
        &self,
        requester: store::StoreRequester,
        reason: holding::RefusalReason,
    ) {
        let labels = [requester.to_string(), reason.to_string()];
        let refusals = self.store_refusals.with_label_values(&labels);
        refusals.inc();
    }

    /// Records the time for which a request to the store waited for a thread.
    pub fn observe_store_wait(&self, requester: store::StoreRequester, wait: Duration) {
        let waits = self.store_waits.with_label_values(&[requester.to_string()]);
        waits.observe(wait.as_secs_f64());
    }

    /// Inputs that wait for the reducer.
    pub fn queued_inputs(&self) -> &IntGauge {
        &self.queued_inputs
    }

    /// Open connections of callers.
    pub fn caller_connections(&self) -> &IntGauge {
        &self.caller_connections
    }

    /// Open connections to the target.
    pub fn target_connections(&self) -> &IntGauge {
        &self.target_connections
    }

    /// Open connections to other nodes.
    pub fn peer_connections(&self) -> &IntGauge {
        &self.peer_connections
    }

    /// Rows with a fault in the newest desired state that was accepted from the store.
    pub fn unreadable_rows(&self) -> &IntGauge {
        &self.unreadable_rows
    }

    /// Memory that bodies hold.
    pub fn body_bytes(&self) -> &IntGauge {
        &self.body_bytes
    }

    /// The registry, for the metrics endpoint.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
pub struct GaugeGuard {
    gauge: IntGauge,
}

impl GaugeGuard {
    /// Adds one to `gauge` until the guard is dropped.
    pub fn hold(gauge: &IntGauge) -> Self {
        gauge.inc();
        let gauge = gauge.clone();
        Self { gauge }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

fn register<C>(registry: &Registry, collector: &C) -> Result<(), prometheus::Error>
where
    C: Collector + Clone + 'static,
{
    registry.register(Box::new(collector.clone()))
}

fn latency(registry: &Registry, name: &str, help: &str) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
    let histogram = HistogramVec::new(opts, &["outcome"])?;
    register(registry, &histogram)?;
    Ok(histogram)
}

fn observe(histogram: &HistogramVec, outcome: LatencyOutcome, duration: Duration) {
    let series = histogram.with_label_values(&[&outcome.to_string()]);
    series.observe(duration.as_secs_f64());
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    register(registry, &gauge)?;
    Ok(gauge)
}
