//! Open calls: calls that this node has accepted from callers and not yet replied to.

use std::net::SocketAddr;

use anvil_overload::{allowance, kind, rank, refusal, routing};
use anvil_types::{context, ident, sorted, time, treatment, verdict};
use anvil_wire::call;

use crate::{accounts, event};

/// What an open call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// The answer to the current attempt, which was sent to a node.
    Out {
        /// The node.
        peer: ident::NodeId,
        /// Where it accepts connections, for a cancellation.
        address: SocketAddr,
    },
    /// The end of the pause before the next attempt.
    Pausing,
    /// The decision of the owner of the call's idempotency key.
    Asking,
    /// The decision of the home node of the call's client account.
    Metering,
}

/// One call that has no reply yet.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// Where the reply goes.
    pub handle: event::CallerHandle,
    /// The request, retained for further attempts.
    pub request: call::CallRequest,
    /// The id that the caller gave the request.
    pub label: Option<ident::RequestLabel>,
    /// The client account of the call, and whether it holds a token of the account's quota.
    pub account: accounts::CallAccount,
    /// The kind of the request.
    pub kind: kind::CallKind,
    /// The context; the deadline is stored separately.
    pub context: context::CallContext,
    /// Retries that the call may still spend or lend to its attempts.
    pub allowance: allowance::ChainAllowance,
    /// Whether the call has drawn the allowance of its root request at this node.
    pub holds_root: bool,
    /// The limit that refused the last attempt, and the node that it belongs to.
    pub refused: Option<(refusal::RefusalLimit, ident::NodeId)>,
    /// The treatment by the rules.
    pub treatment: treatment::RuleTreatment,
    /// The rule that applied.
    pub rule: treatment::RuleReference,
    /// The newest revision that the node had heard of when the call arrived, if it was not in force
    /// yet.
    pub newer_revision: Option<ident::RuleRevision>,
    /// When the call arrived.
    pub arrived: time::NodeTime,
    /// When the caller stops waiting.
    pub deadline: time::NodeTime,
    /// Attempts dispatched so far.
    pub attempts: u16,
    /// Attempts that may have reached a target.
    pub reached: u16,
    /// Attempts that may have run at a target.
    pub possible_runs: u16,
    /// Attempts refused by nodes that were leaving or could not be reached.
    pub redirects: u8,
    /// Nodes that refused or failed an attempt.
    pub tried: Vec<ident::NodeId>,
    /// Nodes whose target refused the latest attempt there although it had free slots.
    pub refusers: Vec<ident::NodeId>,
    /// Attempts that such targets refused.
    pub free_refusals: u16,
    /// Whether the call waits for a retry that the budget could not pay yet.
    pub awaits_retry: bool,
    /// Why an attempt may have run, if the outcome of one is uncertain.
    pub uncertainty: Option<verdict::UncertaintyReason>,
    /// What the call waits for.
    pub stage: CallStage,
    /// The run of the local target that made the call, if there is one.
    pub parent: Option<event::RunId>,
    /// When the current attempt was sent.
    pub sent_at: time::NodeTime,
    /// The unanswered query for the outcome of the current attempt.
    pub outcome_query: Option<OutcomeQuery>,
}

/// A query for the outcome of an attempt whose connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeQuery {
    /// When the query was first sent.
    pub since: time::NodeTime,
    /// How often the query was sent.
    pub tries: u8,
}

impl OpenCall {
    /// The verdict on the call as a whole, given the verdict on its last attempt.
    ///
    /// If an earlier attempt may have run and a later one was refused, a caller that is told "not
    /// run" would send its request again and have it run twice. The uncertainty of any attempt
    /// therefore takes precedence, and "not run" is only reported if it holds for all attempts.
    pub fn final_verdict(&self, last: verdict::CallVerdict) -> verdict::CallVerdict {
        match (last, self.uncertainty) {
            (verdict::CallVerdict::NotRun(_), Some(reason)) => {
                verdict::CallVerdict::MayHaveRun(reason)
            }
            (last, _) => last,
        }
    }

    /// The rank of the request among others.
    pub fn rank(&self) -> rank::CallRank {
        rank::CallRank::of(&self.context)
    }

    /// The routing query for the next attempt.
    pub fn route_query(&self) -> routing::RouteQuery<'_> {
        routing::RouteQuery {
            service: &self.request.service,
            rank: self.rank(),
            kind: self.kind,
            bytes: frame_bytes(&self.request.body),
            exclude: &self.tried,
        }
    }

    /// The idempotency key that must be granted before the call may run.
    pub fn guarded_key(&self) -> Option<ident::RequestKey> {
        self.context.key.filter(|_| !self.treatment.idempotent)
    }

    /// Whether the call has used up the attempts that its rule allows.
    ///
    /// An attempt that was refused by a node or by the target doesn't count, because it didn't run.
    pub fn attempts_exhausted(&self) -> bool {
        self.possible_runs >= self.treatment.attempts
    }

    /// Whether the current attempt is in flight at `node`.
    pub fn is_in_flight_at(&self, node: ident::NodeId) -> bool {
        matches!(self.stage, CallStage::Out { peer, .. } if peer == node)
    }
}

/// Bytes of a frame without the body. A packed call takes 115 to 150 bytes, because its headers and
/// treatment are mostly references to earlier frames.
const FRAME_OVERHEAD_BYTES: u32 = 130;

/// Bytes that a request or an answer with `body` takes between two nodes.
pub fn frame_bytes(body: &[u8]) -> u32 {
    u32::try_from(body.len())
        .unwrap_or(u32::MAX)
        .saturating_add(FRAME_OVERHEAD_BYTES)
}

/// Open calls by the sequence number of their id.
#[derive(Clone, Debug, Default)]
pub struct CallTable {
    open: sorted::SortedTable<u64, Box<OpenCall>>,
    last_sequence: u64,
}

impl CallTable {
    /// Allocates the sequence number for the id of a new call.
    pub fn allocate_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Adds an open call.
    pub fn open(&mut self, sequence: u64, call: Box<OpenCall>) {
        self.open.insert(sequence, call);
    }

    /// Removes a call that ends.
    pub fn close(&mut self, sequence: u64) -> Option<Box<OpenCall>> {
        self.open.remove(sequence)
    }

    /// An open call.
    pub fn get(&self, sequence: u64) -> Option<&OpenCall> {
        self.open.get(sequence).map(|call| &**call)
    }

    /// Mutable access to an open call.
    pub fn get_mut(&mut self, sequence: u64) -> Option<&mut OpenCall> {
        self.open.get_mut(sequence).map(|call| &mut **call)
    }

    /// The call whose reply goes to `handle`.
    pub fn find_by_caller(&self, handle: event::CallerHandle) -> Option<u64> {
        let mut entries = self.open.iter();
        let found = entries.find(|(_, call)| call.handle == handle);
        found.map(|(sequence, _)| *sequence)
    }

    /// The calls whose current attempt is in flight at `peer`.
    pub fn in_flight_at(&self, peer: ident::NodeId) -> Vec<u64> {
        self.open.keys_where(|call| call.is_in_flight_at(peer))
    }

    /// The calls made by a run of the local target.
    pub fn children(&self, run: event::RunId) -> Vec<u64> {
        self.open.keys_where(|call| call.parent == Some(run))
    }

    /// All open calls, oldest first.
    pub fn iter(&self) -> std::slice::Iter<'_, (u64, Box<OpenCall>)> {
        self.open.iter()
    }

    /// Number of open calls.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
