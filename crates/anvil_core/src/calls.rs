//! Calls that this node has accepted from callers and not yet replied to.

use std::net::SocketAddr;

use anvil_overload::{allowance, kind, rank, refusal, routing};
use anvil_types::{context, ident, sorted, time, treatment, verdict};
use anvil_wire::call;

use crate::{accounts, event};

/// Where an open call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// The current attempt is out at a node.
    Out {
        /// The node.
        peer: ident::NodeId,
        /// Where it accepts connections, for a cancellation.
        address: SocketAddr,
    },
    /// The next attempt waits for its pause to end.
    Pausing,
    /// The owner of the call's idempotency key has not decided.
    Asking,
    /// The home of the call's client account has not decided.
    Metering,
}

/// One call that waits for its end.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// Where the reply goes.
    pub handle: event::CallerHandle,
    /// The request, kept for further attempts.
    pub request: call::CallRequest,
    /// The caller's own id of the request.
    pub label: Option<ident::RequestLabel>,
    /// The client account that it is made for, and what it holds of its quota.
    pub account: accounts::CallAccount,
    /// The kind of the request.
    pub kind: kind::CallKind,
    /// The context, of which the deadline is kept apart.
    pub context: context::CallContext,
    /// Retries that the call may still spend or lend to its attempts.
    pub allowance: allowance::ChainAllowance,
    /// Whether the call holds the allowance of its root request at this node.
    pub holds_root: bool,
    /// The limit that refused the last attempt, and the node that it belongs to.
    pub refused: Option<(refusal::RefusalLimit, ident::NodeId)>,
    /// What the rules decided.
    pub treatment: treatment::RuleTreatment,
    /// Which rule decided.
    pub rule: treatment::RuleReference,
    /// When the call arrived.
    pub arrived: time::NodeTime,
    /// When the caller stops waiting.
    pub deadline: time::NodeTime,
    /// Attempts dispatched so far.
    pub attempts: u16,
    /// Attempts that may have come to a target.
    pub reached: u16,
    /// Attempts that may have run at a target.
    pub possible_runs: u16,
    /// Attempts refused by nodes that were leaving or could not be reached.
    pub redirects: u8,
    /// Nodes that refused or failed an attempt.
    pub tried: Vec<ident::NodeId>,
    /// Why an attempt may have run, where one ended so.
    pub uncertainty: Option<verdict::UncertaintyReason>,
    /// Where the call stands.
    pub stage: CallStage,
    /// The run of the local target that made the call, where one did.
    pub parent: Option<event::RunId>,
    /// When the current attempt was sent.
    pub sent_at: time::NodeTime,
    /// The question about the fate of the current attempt that is not answered yet.
    pub outcome_query: Option<OutcomeQuery>,
}

/// A question to the node of an attempt, whose connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeQuery {
    /// When it was asked first.
    pub since: time::NodeTime,
    /// Times that it was asked.
    pub tries: u8,
}

impl OpenCall {
    /// What the call's end says of all its attempts.
    ///
    /// Failure: one attempt may have run, and a later one is refused as not run. Symptom: the
    /// caller is told "not run" and files its claim anew, a second time. The doubt of any attempt
    /// outlasts the refusal of a later one, so "not run" is told only where it holds for all.
    pub fn final_verdict(&self, last: verdict::CallVerdict) -> verdict::CallVerdict {
        match (last, self.uncertainty) {
            (verdict::CallVerdict::NotRun(_), Some(doubt)) => {
                verdict::CallVerdict::MayHaveRun(doubt)
            }
            (last, _) => last,
        }
    }

    /// Where the request stands among others.
    pub fn rank(&self) -> rank::CallRank {
        rank::CallRank::of(&self.context)
    }

    /// What routing is asked for the next attempt.
    pub fn route_query(&self) -> routing::RouteQuery<'_> {
        routing::RouteQuery {
            service: &self.request.service,
            rank: self.rank(),
            kind: self.kind,
            bytes: frame_bytes(&self.request.body),
            exclude: &self.tried,
        }
    }

    /// The key without whose grant the call must not run.
    pub fn guarded_key(&self) -> Option<ident::RequestKey> {
        self.context.key.filter(|_| !self.treatment.idempotent)
    }

    /// Whether a further attempt would exceed the targets that the rule allows for the call.
    ///
    /// An attempt that was refused, by a node or by the target itself, ran nowhere.
    pub fn attempts_exhausted(&self) -> bool {
        self.possible_runs >= self.treatment.attempts
    }

    /// Whether the current attempt is out at `node`.
    pub fn is_in_flight_at(&self, node: ident::NodeId) -> bool {
        matches!(self.stage, CallStage::Out { peer, .. } if peer == node)
    }
}

/// Bytes of a frame beside the body: a packed call takes 115 to 150, of which the headers and the
/// treatment mostly refer to frames before it.
const FRAME_OVERHEAD_BYTES: u32 = 130;

/// Bytes that a request or an answer with `body` takes between two nodes.
pub fn frame_bytes(body: &[u8]) -> u32 {
    u32::try_from(body.len())
        .unwrap_or(u32::MAX)
        .saturating_add(FRAME_OVERHEAD_BYTES)
}

/// Open calls by the sequence of their id.
#[derive(Clone, Debug, Default)]
pub struct CallTable {
    open: sorted::SortedTable<u64, Box<OpenCall>>,
    last_sequence: u64,
}

impl CallTable {
    /// Mints the sequence of a new call's id.
    pub fn allocate_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Keeps an open call.
    pub fn open(&mut self, sequence: u64, call: Box<OpenCall>) {
        self.open.insert(sequence, call);
    }

    /// Takes a call out, to end it.
    pub fn close(&mut self, sequence: u64) -> Option<Box<OpenCall>> {
        self.open.remove(sequence)
    }

    /// An open call.
    pub fn get(&self, sequence: u64) -> Option<&OpenCall> {
        self.open.get(sequence).map(|call| &**call)
    }

    /// An open call, to be changed.
    pub fn get_mut(&mut self, sequence: u64) -> Option<&mut OpenCall> {
        self.open.get_mut(sequence).map(|call| &mut **call)
    }

    /// The call whose reply goes to `handle`.
    pub fn find_by_caller(&self, handle: event::CallerHandle) -> Option<u64> {
        let mut entries = self.open.iter();
        let found = entries.find(|(_, call)| call.handle == handle);
        found.map(|(sequence, _)| *sequence)
    }

    /// The calls whose current attempt is out at `peer`.
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
