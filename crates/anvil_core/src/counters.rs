//! Counters of the reducer, exported by the metrics endpoint and in the dump.

use anvil_types::verdict;
use serde::Serialize;

/// Totals since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct NodeCounters {
    /// Requests accepted from callers.
    pub calls_arrived: u64,
    /// Requests refused because they carry no key of a known account.
    pub calls_unauthenticated: u64,
    /// Requests refused because their rule, or some client account, could not be read.
    pub calls_unreadable: u64,
    /// Requests refused because their account has used up its quota.
    pub calls_over_quota: u64,
    /// Replies with a complete answer.
    pub calls_answered: u64,
    /// Replies to requests that certainly did not run.
    pub calls_not_run: u64,
    /// Replies to requests that may have run.
    pub calls_may_have_run: u64,
    /// Callers that disconnected before their reply.
    pub callers_gone: u64,
    /// Attempts dispatched after the first one of their call.
    pub retries: u64,
    /// Answers dropped because they matched no open attempt.
    pub answers_stale: u64,
    /// Answers of other nodes whose status is no final one of HTTP.
    pub answers_invalid: u64,
    /// Duplicate attempts of other nodes that were dropped.
    pub calls_repeated: u64,
    /// Runs started at the local target.
    pub runs_started: u64,
    /// Runs that ended with a complete answer.
    pub runs_whole: u64,
    /// Runs that ended in any other way.
    pub runs_failed: u64,
    /// Calls of other nodes refused before they ran.
    pub runs_refused: u64,
    /// Messages of the local target that were ignored as outdated or of an unknown service.
    #[serde(rename = "words_ignored")]
    pub messages_ignored: u64,
    /// Times that an announced target was asked whether it accepts requests before it is used.
    pub targets_asked: u64,
    /// Crashes of the local target, detected by broken runs.
    pub targets_crashed: u64,
    /// Notices of crashes at other nodes that were not known yet.
    pub crashes_heard: u64,
    /// Requests that this node began to refuse because targets had crashed while they ran them.
    pub requests_quarantined: u64,
    /// Calls and runs refused because their request is quarantined.
    pub calls_quarantined: u64,
    /// Requests to the store about quarantined requests.
    pub store_asked_quarantine: u64,
    /// Retries that the retry ratio did not allow.
    pub retries_over_ratio: u64,
    /// Retries after a target's refusal that were not made because their request would probably
    /// not have been completed.
    pub retries_hopeless: u64,
    /// Retries that had to wait until the retry ratio allowed them.
    pub retries_delayed: u64,
    /// Refusals for lack of capacity whose callers were given a time to return.
    pub appointments_made: u64,
    /// Requests that returned at the time that their caller was told.
    pub returns_on_time: u64,
    /// Requests that returned before that time.
    pub returns_early: u64,
    /// Requests that returned after their appointment had lapsed.
    pub returns_late: u64,
    /// Runs cancelled because their caller or parent was gone.
    pub runs_cancelled: u64,
    /// Attempts whose outcome was queried because their connection had ended.
    #[serde(rename = "fates_asked")]
    pub outcomes_queried: u64,
    /// Queried attempts that were reported as still queued or running.
    #[serde(rename = "fates_held")]
    pub outcomes_pending: u64,
    /// Answers sent again because the first copy may have been lost with its connection.
    #[serde(rename = "fates_answered")]
    pub outcomes_answered: u64,
    /// Queried attempts that never arrived or are no longer remembered.
    #[serde(rename = "fates_unknown")]
    pub outcomes_unknown: u64,
    /// Cached answers that were evicted for lack of space before their retention had ended.
    pub answers_evicted: u64,
    /// Changes of the rate that the local target names.
    pub rates_changed: u64,
    /// Answers of the local target that named something that is not a rate.
    pub rates_malformed: u64,
    /// Answers of the local target that stated something that is not a load.
    pub loads_malformed: u64,
    /// Statements of earlier incarnations of the local target, which were ignored.
    pub statements_outdated: u64,
    /// Runs handed to the local target while it named a rate.
    pub runs_under_rate: u64,
    /// Changes of what this node knows about the targets of other nodes.
    pub notices_changed: u64,
    /// Attempts given up because their node has ended or did not answer the query.
    #[serde(rename = "fates_lost")]
    pub outcomes_lost: u64,
}

impl NodeCounters {
    /// Counts one reply to a caller.
    pub fn count_reply(&mut self, verdict: verdict::CallVerdict) {
        match verdict {
            verdict::CallVerdict::Answered => self.calls_answered += 1,
            verdict::CallVerdict::NotRun(_) => self.calls_not_run += 1,
            verdict::CallVerdict::MayHaveRun(_) => self.calls_may_have_run += 1,
        }
    }
}
