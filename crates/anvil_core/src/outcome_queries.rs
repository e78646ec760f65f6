//! What becomes of calls and runs when the connection that they were on ends; see "When a connection
//! ends" in `docs/design/edges.md`.
//!
//! Failure: a connection is reset, or was silenced while nothing crossed it, and both its nodes live on.
//! Symptom: calls on it end as "may have run" although their targets work on or have answered, their
//! runs are cancelled, and at a node that stops the planned work has cost requests. A connection is no
//! process: the entry node asks over a new one, to which only that process can answer, and only a
//! process that is gone or says nothing ends the call in doubt.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::kind;
use anvil_types::{ident, time, verdict};
use anvil_wire::{call, frame, outcome};

use crate::{calls, duplicates, effect, entry, event, reducer, timers};

/// Times that the fate of an attempt is asked for, and that a target's node tries to tell what it holds.
///
/// A process that is gone refuses at once. Where nothing answers, one try takes half a second, and the
/// first packet of a connection may be lost once, so three keep a caller in doubt for 1.5 s at most.
const MAX_TRIES: u8 = 3;

/// Longest wait for the fate of a request that may run again.
///
/// Another target can take it meanwhile, and its objective passes. A node that lives answers within a
/// few milliseconds, a busy one within some tens more.
const IDEMPOTENT_QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for the fate of a request that must not run again: the time of all tries, twice.
///
/// Whoever answers relies on it: what was asked longer ago, nobody waits for.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// The kind of a request that this node never saw; nothing is known of what such requests need below.
const UNKNOWN_KIND: kind::CallKind = kind::CallKind(0);

/// Names this part in log lines.
const PART: &str = "fates";

impl reducer::NodeReducer {
    /// A connection to `peer` ended, with calls or answers on it whose fate is unknown.
    pub(crate) fn connection_lost(&mut self, peer: ident::NodeId) {
        let out = self.calls.in_flight_at(peer);
        let held = self.held_for(peer);
        if !out.is_empty() || !held.is_empty() {
            let text = format!(
                "a connection ended: peer={peer} calls_out={} runs_held={}",
                out.len(),
                held.len()
            );
            self.report(effect::StateChange::Part { part: PART, text });
        }
        self.query_outcomes(peer, &out);
        self.announce_held_runs(peer, &held);
        if let Some(to) = self.shutdown.pending_address(peer) {
            self.send_leaving(peer, to);
        }
        self.key_unreachable(peer);
    }

    /// Membership believes that `peer` has crashed.
    ///
    /// Failure: the datagrams of a busy node are late, and it is believed gone while its connections work
    /// and its target is at work. Symptom: its calls end as "may have run", at a node that stops too, and
    /// the runs that it asked for are cancelled. So belief ends only the calls whose connection was found
    /// silent as well; the others are asked for, and so are those who asked for the runs here. An instance
    /// that lost its power closes no connection, and answers no question either.
    pub(crate) fn peer_presumed_crashed(&mut self, peer: ident::NodeId) {
        let out = self.calls.in_flight_at(peer);
        let is_asked = |sequence: &u64| {
            let open = self.calls.get(*sequence);
            open.is_some_and(|open| open.outcome_query.is_some())
        };
        let (silent, unasked): (Vec<u64>, Vec<u64>) = out.into_iter().partition(is_asked);
        self.end_lost_calls(peer, &silent);
        self.query_outcomes(peer, &unasked);
        let held = self.held_for(peer);
        self.announce_held_runs(peer, &held);
        self.key_unreachable(peer);
    }

    /// Tells `peer` what this node holds for it, so that it cancels what it does not wait for.
    fn announce_held_runs(
        &mut self,
        peer: ident::NodeId,
        held: &[(outcome::AttemptId, SocketAddr)],
    ) {
        if let Some((_, reply_to)) = held.first().copied() {
            let held: Vec<outcome::AttemptId> = held.iter().map(|(id, _)| *id).collect();
            self.send_held(peer, reply_to, &held);
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
                self.runs_held(peer, reply_to, &attempts);
            }
            outcome::OutcomeMessage::Leaving { reply_to } => self.peer_leaving(peer, reply_to),
        }
    }

    /// No connection to `peer` came about for a message of this module.
    pub(crate) fn outcome_message_unsent(
        &mut self,
        peer: ident::NodeId,
        message: outcome::OutcomeMessage,
    ) {
        match message {
            outcome::OutcomeMessage::Query { attempts, .. } => {
                let asked = attempts.iter().map(|asked| asked.id);
                let still = asked.filter(|id| self.is_awaiting(peer, *id));
                let out: Vec<u64> = still.map(|id| id.call.sequence).collect();
                self.query_outcomes(peer, &out);
            }
            outcome::OutcomeMessage::Pending { attempts, .. } => self.held_unsent(&attempts),
            // Whoever is gone waits for nothing.
            outcome::OutcomeMessage::Leaving { .. } => self.shutdown.confirm(peer),
        }
    }

    /// A node is about to end: asks it for what is out there, while it can still answer.
    fn peer_leaving(&mut self, peer: ident::NodeId, to: SocketAddr) {
        let out = self.calls.in_flight_at(peer);
        if !out.is_empty() {
            self.query_outcomes(peer, &out);
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

    /// Tells `peer` that this node is about to end.
    pub(crate) fn send_leaving(&mut self, peer: ident::NodeId, to: SocketAddr) {
        let reply_to = self.config.peer_address;
        let message = outcome::OutcomeMessage::Leaving { reply_to };
        self.send_outcome_message(peer, to, message);
    }

    /// Asks the node of these calls what became of them; ends those that were asked for too often.
    fn query_outcomes(&mut self, peer: ident::NodeId, out: &[u64]) {
        let (reply_to, now) = (self.config.peer_address, self.now);
        let mut asked = Vec::new();
        let mut lost = Vec::new();
        let mut to = None;
        for sequence in out.iter().copied() {
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
                    asked.push(outcome::QueriedAttempt {
                        id: outcome::AttemptId { call, attempt },
                        age_micros: entry::micros(now.since(open.sent_at)),
                        idempotent: open.treatment.idempotent,
                    });
                }
                None => lost.push(sequence),
            }
        }
        self.counters.fates_asked += asked.len() as u64;
        for attempts in asked.chunks(outcome::MAX_ATTEMPTS) {
            let attempts = attempts.to_vec();
            let message = outcome::OutcomeMessage::Query { reply_to, attempts };
            if let Some(to) = to {
                self.send_outcome_message(peer, to, message);
            }
        }
        self.give_up(peer, &lost);
    }

    /// The node of an attempt should have said what became of it.
    pub(crate) fn outcome_query_expired(&mut self, sequence: u64) {
        let Some(calls::CallStage::Out { peer, .. }) =
            self.calls.get(sequence).map(|open| open.stage)
        else {
            return;
        };
        // All that were asked for at once are given up at once, since together they tell less about any
        // one of them than each would alone.
        let now = self.now;
        let mut overdue = self.calls.in_flight_at(peer);
        overdue.retain(|sequence| {
            let open = self.calls.get(*sequence);
            open.and_then(query_deadline).is_some_and(|due| due <= now)
        });
        self.give_up(peer, &overdue);
    }

    fn give_up(&mut self, peer: ident::NodeId, lost: &[u64]) {
        self.counters.fates_lost += lost.len() as u64;
        self.end_lost_calls(peer, lost);
    }

    /// The target's node holds these attempts of calls of this node.
    fn runs_held(
        &mut self,
        peer: ident::NodeId,
        reply_to: SocketAddr,
        held: &[outcome::AttemptId],
    ) {
        for id in held {
            if self.is_awaiting(peer, *id) {
                if let Some(open) = self.calls.get_mut(id.call.sequence) {
                    open.outcome_query = None;
                }
                continue;
            }
            // The word that nobody waits any more was lost with the connection.
            let (call, attempt) = (id.call, id.attempt);
            self.send_frame(peer, reply_to, frame::PeerFrame::Cancel { call, attempt });
        }
    }

    /// The attempts that this node holds for `peer`, and where that one accepts connections.
    fn held_for(&self, peer: ident::NodeId) -> Vec<(outcome::AttemptId, SocketAddr)> {
        let runs = self.runs.iter().filter(|(_, run)| run.peer == peer);
        runs.map(|(_, run)| (run.attempt_id(), run.reply_to))
            .collect()
    }

    fn send_held(&mut self, peer: ident::NodeId, to: SocketAddr, held: &[outcome::AttemptId]) {
        let reply_to = self.config.peer_address;
        for attempts in held.chunks(outcome::MAX_ATTEMPTS) {
            let attempts = attempts.to_vec();
            let message = outcome::OutcomeMessage::Pending { reply_to, attempts };
            self.send_outcome_message(peer, to, message);
        }
    }

    /// An entry node could not be told what is held for it: tries again, and cancels what it asked for
    /// once it is taken for gone, since no answer can reach it.
    fn held_unsent(&mut self, held: &[outcome::AttemptId]) {
        let mut again = Vec::new();
        let mut to = None;
        for id in held {
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
            again.push(*id);
        }
        if let Some((peer, reply_to)) = to {
            self.send_held(peer, reply_to, &again);
        }
    }

    /// Tells an entry node what became of its attempts.
    fn outcomes_queried(
        &mut self,
        peer: ident::NodeId,
        reply_to: SocketAddr,
        asked: &[outcome::QueriedAttempt],
    ) {
        self.shutdown.confirm(peer);
        let mut held = Vec::new();
        for attempt in asked.iter().filter(|asked| asked.id.call.node == peer) {
            if let Some(run) = self.runs.find_by_attempt(attempt.id) {
                self.reset_failed_notices(run);
                held.push(attempt.id);
                continue;
            }
            if let Some(kept) = self
                .memory
                .record_for(attempt.idempotent)
                .answers
                .get(attempt.id)
            {
                let frame = frame::PeerFrame::Answer(Box::new(kept.clone()));
                self.counters.fates_answered += 1;
                self.send_frame(peer, reply_to, frame);
                continue;
            }
            let answer = self.answer_unknown_attempt(attempt);
            // Asked once more, the attempt would be found barred and told as "may have run".
            self.send_answer(peer, reply_to, answer, attempt.idempotent);
        }
        self.counters.fates_held += held.len() as u64;
        if !held.is_empty() {
            self.send_held(peer, reply_to, &held);
        }
    }

    fn reset_failed_notices(&mut self, run: event::RunId) {
        if let Some(found) = self.runs.get_mut(run) {
            found.failed_notices = 0;
        }
    }

    /// The answer to an attempt that this node neither has nor keeps an answer to.
    ///
    /// One that never came is barred before it is told as not run: its frame may still stand unread in
    /// the connection that ended, and would run after the request went elsewhere.
    fn answer_unknown_attempt(&mut self, asked: &outcome::QueriedAttempt) -> call::PeerAnswer {
        self.counters.fates_unknown += 1;
        // The question may have been under way for as long as anybody waits for its answer.
        let age = Duration::from_micros(asked.age_micros) + QUERY_TIMEOUT;
        let sent = time::NodeTime(self.now.0.saturating_sub(entry::micros(age)));
        let came = &mut self.memory.record_for(asked.idempotent).received;
        let standing = came.status(asked.id, sent);
        came.admit(self.now, asked.id);
        let verdict = match standing {
            duplicates::AttemptStatus::New => {
                verdict::CallVerdict::NotRun(verdict::RefusalReason::Unreachable)
            }
            duplicates::AttemptStatus::Seen | duplicates::AttemptStatus::Unknown => {
                verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost)
            }
        };
        call::PeerAnswer {
            call: asked.id.call,
            attempt: asked.id.attempt,
            verdict,
            answer: None,
            retries_spent: 0,
            failed_below: false,
            load: self.load_report(UNKNOWN_KIND),
        }
    }
}

/// Counts one more question about a call; none where it was asked for too often.
fn count_query(open: &mut calls::OpenCall, now: time::NodeTime) -> Option<time::NodeTime> {
    let quest = open.outcome_query.get_or_insert(calls::OutcomeQuery {
        since: now,
        tries: 0,
    });
    if quest.tries >= MAX_TRIES {
        return None;
    }
    quest.tries += 1;
    query_deadline(open)
}

/// When a call's node should have said what became of it.
fn query_deadline(open: &calls::OpenCall) -> Option<time::NodeTime> {
    let patience = match open.treatment.idempotent {
        true => IDEMPOTENT_QUERY_TIMEOUT,
        false => QUERY_TIMEOUT,
    };
    Some(open.outcome_query?.since + patience)
}
