//! Queries for the outcome of attempts whose connection ended; see "When a connection ends" in
//! `docs/design/edges.md`.
//!
//! A connection may be reset or go silent while both nodes keep running. If that alone ended the
//! calls in flight, they would be reported as "may have run" although their targets still work on
//! them or have answered, their runs would be cancelled, and a planned stop would cost requests.
//! Instead the entry node queries the outcome over a new connection, which only the same process
//! can answer. Only if that process has ended or doesn't answer, the outcome stays uncertain.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::kind;
use anvil_types::{ident, time, verdict};
use anvil_wire::{call, frame, outcome};

use crate::{calls, duplicates, effect, entry, event, reducer, timers};

/// How often the outcome of an attempt is queried, and how often a target's node tries to send the
/// list of runs that it holds.
///
/// The host of a process that has ended refuses the connection immediately. If nothing answers, one
/// try takes half a second, and the first packet of a connection may be lost, so three tries delay
/// the reply to a caller by at most 1.5 s.
const MAX_TRIES: u8 = 3;

/// Longest wait for the outcome of an idempotent request.
///
/// Another target could run it instead, and its latency objective is running out. A live node
/// answers within a few milliseconds, a busy one within some tens of milliseconds.
const IDEMPOTENT_QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for the outcome of a non-idempotent request: twice the time of all tries.
///
/// The node that answers relies on this bound: nobody waits for the answer to an older query.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// The kind of a request that this node never received; such requests have no known dependencies.
const UNKNOWN_KIND: kind::CallKind = kind::CallKind(0);

/// The name of this part in log lines.
const PART: &str = "fates";

impl reducer::NodeReducer {
    /// Handles the end of a connection to `peer`, which may have lost calls and answers.
    pub(crate) fn connection_lost(&mut self, peer: ident::NodeId) {
        let in_flight = self.calls.in_flight_at(peer);
        let pending = self.pending_for(peer);
        if !in_flight.is_empty() || !pending.is_empty() {
            let text = format!(
                "a connection ended: peer={peer} calls_out={} runs_held={}",
                in_flight.len(),
                pending.len()
            );
            self.report(effect::StateChange::Part { part: PART, text });
        }
        self.query_outcomes(peer, &in_flight);
        self.announce_pending_runs(peer, &pending);
        if let Some(to) = self.shutdown.pending_address(peer) {
            self.send_leaving(peer, to);
        }
        self.key_unreachable(peer);
    }

    /// Handles the presumption of membership that `peer` has crashed.
    ///
    /// The datagrams of a busy node may be late, so it may be presumed crashed although its
    /// connections and its target work. If that ended everything, the calls in flight there would
    /// be reported as "may have run", even at a stopping node, and the runs that it requested would
    /// be cancelled. Therefore only the calls that are already being queried end, because their
    /// connection was silent as well. The outcome of the others is queried, and the peer is sent
    /// the list of its runs here. An instance that lost power closes no connection, but it doesn't
    /// answer the queries either.
    pub(crate) fn peer_presumed_crashed(&mut self, peer: ident::NodeId) {
        let in_flight = self.calls.in_flight_at(peer);
        let is_queried = |sequence: &u64| {
            let open = self.calls.get(*sequence);
            open.is_some_and(|open| open.outcome_query.is_some())
        };
        let (silent, unqueried): (Vec<u64>, Vec<u64>) = in_flight.into_iter().partition(is_queried);
        self.end_lost_calls(peer, &silent);
        self.query_outcomes(peer, &unqueried);
        let pending = self.pending_for(peer);
        self.announce_pending_runs(peer, &pending);
        self.key_unreachable(peer);
    }

    /// Sends `peer` the list of its runs at this node, so that it cancels those that it doesn't
    /// wait for.
    fn announce_pending_runs(
        &mut self,
        peer: ident::NodeId,
        pending: &[(outcome::AttemptId, SocketAddr)],
    ) {
        if let Some((_, reply_to)) = pending.first().copied() {
            let pending: Vec<outcome::AttemptId> = pending.iter().map(|(id, _)| *id).collect();
            self.send_pending(peer, reply_to, &pending);
        }
    }

    pub(crate) fn outcome_message_arrived(
        &mut self,
        peer: ident::NodeId,
        message: outcome::OutcomeMessage,
    ) {
        match message {
            outcome::OutcomeMessage::Query { reply_to, attempts } => {
                self.outcomes_queried(peer, reply_to, &attempts);
            }
            outcome::OutcomeMessage::Pending { reply_to, attempts } => {
                self.pending_announced(peer, reply_to, &attempts);
            }
            outcome::OutcomeMessage::Leaving { reply_to } => self.peer_leaving(peer, reply_to),
        }
    }

    /// Handles a message of this module that could not be sent to `peer`.
    pub(crate) fn outcome_message_unsent(
        &mut self,
        peer: ident::NodeId,
        message: outcome::OutcomeMessage,
    ) {
        match message {
            outcome::OutcomeMessage::Query { attempts, .. } => {
                let queried = attempts.iter().map(|queried| queried.id);
                let awaited = queried.filter(|id| self.is_awaiting(peer, *id));
                let in_flight: Vec<u64> = awaited.map(|id| id.call.sequence).collect();
                self.query_outcomes(peer, &in_flight);
            }
            outcome::OutcomeMessage::Pending { attempts, .. } => self.pending_unsent(&attempts),
            // A node that can't be reached waits for nothing.
            outcome::OutcomeMessage::Leaving { .. } => self.shutdown.confirm(peer),
        }
    }

    /// Handles the notice that `peer` is about to exit: queries the outcome of the calls in flight
    /// there while it can still answer.
    fn peer_leaving(&mut self, peer: ident::NodeId, to: SocketAddr) {
        let in_flight = self.calls.in_flight_at(peer);
        if !in_flight.is_empty() {
            self.query_outcomes(peer, &in_flight);
            return;
        }
        let message = outcome::OutcomeMessage::Query {
            reply_to: self.config.peer_address,
            attempts: Vec::new(),
        };
        self.send_outcome_message(peer, to, message);
    }

    fn send_outcome_message(
        &mut self,
        peer: ident::NodeId,
        to: SocketAddr,
        message: outcome::OutcomeMessage,
    ) {
        self.send_frame(peer, to, frame::PeerFrame::Outcome(Box::new(message)));
    }

    /// Notifies `peer` that this node is about to exit.
    pub(crate) fn send_leaving(&mut self, peer: ident::NodeId, to: SocketAddr) {
        let reply_to = self.config.peer_address;
        let message = outcome::OutcomeMessage::Leaving { reply_to };
        self.send_outcome_message(peer, to, message);
    }

    /// Queries the outcome of these calls at their node; ends those that were queried too often.
    fn query_outcomes(&mut self, peer: ident::NodeId, in_flight: &[u64]) {
        let (reply_to, now) = (self.config.peer_address, self.now);
        let mut queried = Vec::new();
        let mut lost = Vec::new();
        let mut to = None;
        for sequence in in_flight.iter().copied() {
            let call = self.call_id(sequence);
            let Some(open) = self.calls.get_mut(sequence) else {
                continue;
            };
            let calls::CallStage::Out { address, .. } = open.stage else {
                continue;
            };
            let attempt = open.attempts;
            match count_query(open, now) {
                Some(due) => {
                    self.timers
                        .set(due, timers::TimerKind::OutcomeQuery(sequence));
                    to = Some(address);
                    queried.push(outcome::QueriedAttempt {
                        id: outcome::AttemptId { call, attempt },
                        age_micros: entry::micros(now.since(open.sent_at)),
                        idempotent: open.treatment.idempotent,
                    });
                }
                None => lost.push(sequence),
            }
        }
        self.counters.outcomes_queried += queried.len() as u64;
        for attempts in queried.chunks(outcome::MAX_ATTEMPTS) {
            let attempts = attempts.to_vec();
            let message = outcome::OutcomeMessage::Query { reply_to, attempts };
            if let Some(to) = to {
                self.send_outcome_message(peer, to, message);
            }
        }
        self.give_up(peer, &lost);
    }

    /// Gives up the call if the query for its outcome has timed out.
    pub(crate) fn outcome_query_expired(&mut self, sequence: u64) {
        let Some(calls::CallStage::Out { peer, .. }) =
            self.calls.get(sequence).map(|open| open.stage)
        else {
            return;
        };
        // All calls with an overdue query to the node are given up together. A loss suspects every
        // lost request of having crashed the node, and the more requests share it, the weaker is
        // the evidence against each.
        let now = self.now;
        let mut overdue = self.calls.in_flight_at(peer);
        overdue.retain(|sequence| {
            let open = self.calls.get(*sequence);
            open.and_then(query_deadline).is_some_and(|due| due <= now)
        });
        self.give_up(peer, &overdue);
    }

    fn give_up(&mut self, peer: ident::NodeId, lost: &[u64]) {
        self.counters.outcomes_lost += lost.len() as u64;
        self.end_lost_calls(peer, lost);
    }

    /// Handles the notice that `peer` holds runs for these attempts of this node's calls.
    fn pending_announced(
        &mut self,
        peer: ident::NodeId,
        reply_to: SocketAddr,
        pending: &[outcome::AttemptId],
    ) {
        for id in pending {
            if self.is_awaiting(peer, *id) {
                if let Some(open) = self.calls.get_mut(id.call.sequence) {
                    open.outcome_query = None;
                }
                continue;
            }
            // The cancellation of this attempt was lost with the connection.
            let (call, attempt) = (id.call, id.attempt);
            self.send_frame(peer, reply_to, frame::PeerFrame::Cancel { call, attempt });
        }
    }

    /// The attempts for which this node holds runs of `peer`, and the address for answers.
    fn pending_for(&self, peer: ident::NodeId) -> Vec<(outcome::AttemptId, SocketAddr)> {
        let runs = self.runs.iter().filter(|(_, run)| run.peer == peer);
        runs.map(|(_, run)| (run.attempt_id(), run.reply_to))
            .collect()
    }

    fn send_pending(
        &mut self,
        peer: ident::NodeId,
        to: SocketAddr,
        pending: &[outcome::AttemptId],
    ) {
        let reply_to = self.config.peer_address;
        for attempts in pending.chunks(outcome::MAX_ATTEMPTS) {
            let attempts = attempts.to_vec();
            let message = outcome::OutcomeMessage::Pending { reply_to, attempts };
            self.send_outcome_message(peer, to, message);
        }
    }

    /// Repeats a notice about pending runs that could not be sent. After [`MAX_TRIES`] the runs are
    /// cancelled, because no answer can reach their entry node.
    fn pending_unsent(&mut self, pending: &[outcome::AttemptId]) {
        let mut retry = Vec::new();
        let mut to = None;
        for id in pending {
            let Some(run) = self.runs.find_by_attempt(*id) else {
                continue;
            };
            let Some(found) = self.runs.get_mut(run) else {
                continue;
            };
            found.failed_notices += 1;
            if found.failed_notices >= MAX_TRIES {
                self.cancel_run(run);
                continue;
            }
            to = Some((found.peer, found.reply_to));
            retry.push(*id);
        }
        if let Some((peer, reply_to)) = to {
            self.send_pending(peer, reply_to, &retry);
        }
    }

    /// Answers a query of an entry node for the outcome of its attempts.
    fn outcomes_queried(
        &mut self,
        peer: ident::NodeId,
        reply_to: SocketAddr,
        queried: &[outcome::QueriedAttempt],
    ) {
        self.shutdown.confirm(peer);
        let mut pending = Vec::new();
        for attempt in queried
            .iter()
            .filter(|queried| queried.id.call.node == peer)
        {
            if let Some(run) = self.runs.find_by_attempt(attempt.id) {
                self.reset_failed_notices(run);
                pending.push(attempt.id);
                continue;
            }
            if let Some(cached) = self
                .memory
                .record_for(attempt.idempotent)
                .answers
                .get(attempt.id)
            {
                let frame = frame::PeerFrame::Answer(Box::new(cached.clone()));
                self.counters.outcomes_answered += 1;
                self.send_frame(peer, reply_to, frame);
                continue;
            }
            let answer = self.answer_unknown_attempt(attempt);
            // Answering also caches the answer. Without that, a repeated query would find the
            // attempt recorded as seen and be answered with "may have run".
            self.send_answer(peer, reply_to, answer, attempt.idempotent);
        }
        self.counters.outcomes_pending += pending.len() as u64;
        if !pending.is_empty() {
            self.send_pending(peer, reply_to, &pending);
        }
    }

    fn reset_failed_notices(&mut self, run: event::RunId) {
        if let Some(found) = self.runs.get_mut(run) {
            found.failed_notices = 0;
        }
    }

    /// The answer to a query for an attempt without a run or a cached answer.
    ///
    /// An attempt that never arrived is recorded as seen before it is reported as not run. Its
    /// frame may still be unread in the connection that ended, and must not run after the request
    /// was sent elsewhere.
    fn answer_unknown_attempt(&mut self, queried: &outcome::QueriedAttempt) -> call::PeerAnswer {
        self.counters.outcomes_unknown += 1;
        // The query may have been in transit for as long as the entry node waits for the answer.
        let age = Duration::from_micros(queried.age_micros) + QUERY_TIMEOUT;
        let sent = time::NodeTime(self.now.0.saturating_sub(entry::micros(age)));
        let received = &mut self.memory.record_for(queried.idempotent).received;
        let status = received.status(queried.id, sent);
        received.admit(self.now, queried.id);
        let verdict = match status {
            duplicates::AttemptStatus::New => {
                verdict::CallVerdict::NotRun(verdict::RefusalReason::Unreachable)
            }
            duplicates::AttemptStatus::Seen | duplicates::AttemptStatus::Unknown => {
                verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost)
            }
        };
        call::PeerAnswer {
            call: queried.id.call,
            attempt: queried.id.attempt,
            verdict,
            answer: None,
            retries_spent: 0,
            failed_below: false,
            load: self.load_report(UNKNOWN_KIND),
        }
    }
}

/// Counts a query about a call and returns its deadline; none if the call was queried too often.
fn count_query(open: &mut calls::OpenCall, now: time::NodeTime) -> Option<time::NodeTime> {
    let query = open.outcome_query.get_or_insert(calls::OutcomeQuery {
        since: now,
        tries: 0,
    });
    if query.tries >= MAX_TRIES {
        return None;
    }
    query.tries += 1;
    query_deadline(open)
}

/// When the query for the outcome of a call times out.
fn query_deadline(open: &calls::OpenCall) -> Option<time::NodeTime> {
    let timeout = match open.treatment.idempotent {
        true => IDEMPOTENT_QUERY_TIMEOUT,
        false => QUERY_TIMEOUT,
    };
    Some(open.outcome_query?.since + timeout)
}
