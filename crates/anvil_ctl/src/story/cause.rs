//! Finds the cause of a request's result and describes it in one sentence.

use crate::logs::line;
use crate::story::{timeline, trace};

/// An ended call of the request, with its log entry.
#[derive(Clone, Copy, Debug)]
struct EndedCall<'a> {
    entry: &'a trace::TraceEntry,
    call: &'a line::CallEnd,
}

/// The cause is the deepest call that failed by itself, followed down from the root.
pub(super) fn sentence(trace: &trace::RequestTrace) -> String {
    let calls: Vec<_> = trace.entries.iter().filter_map(EndedCall::of).collect();
    let Some(root) = calls.iter().min_by(|a, b| a.cmp_start(b)) else {
        return "cause: unknown; no entry node in these logs reports how the request ended"
            .to_owned();
    };
    if line::is_success(&root.call.verdict, root.call.status) {
        return answered(trace, root);
    }
    let origin = origin(root, &calls);
    let mut own = describe(trace, origin);
    if origin.call.verdict.ends_with(": deadline") {
        own.push_str(&longest_wait(trace));
    }
    if std::ptr::eq(origin.entry, root.entry) {
        return format!("cause: {own}");
    }
    let end = timeline::end_of(&root.call.verdict, root.call.status);
    format!("cause: {own}; the calls above it passed that on, and the caller got {end}")
}

impl<'a> EndedCall<'a> {
    fn of(entry: &'a trace::TraceEntry) -> Option<Self> {
        match &entry.facts {
            line::LogFacts::CallEnded(call) => Some(Self { entry, call }),
            line::LogFacts::RunEnded(_) | line::LogFacts::Attempt(_) | line::LogFacts::Other => {
                None
            }
        }
    }

    /// Orders calls by depth, as far as their ids show it, and then by start.
    fn cmp_start(&self, other: &Self) -> std::cmp::Ordering {
        let depth = self.entry.depth().cmp(&other.entry.depth());
        depth.then(self.entry.started().total_cmp(&other.entry.started()))
    }

    /// Orders calls by depth, as far as their ids show it, and then by end.
    fn cmp_end(&self, other: &Self) -> std::cmp::Ordering {
        let depth = self.entry.depth().cmp(&other.entry.depth());
        depth.then(self.entry.time.total_cmp(&other.entry.time))
    }

    /// Whether it was made on behalf of `other`: by its id or, if calls have no ids, because it
    /// lies within `other` in time.
    fn is_descendant_of(&self, other: &Self) -> bool {
        match (&self.call.request, &other.call.request) {
            (Some(own), Some(above)) => {
                let rest = own.strip_prefix(above.as_str());
                rest.is_some_and(|rest| rest.starts_with('.'))
            }
            (None, None) => {
                let (own, above) = (self.entry, other.entry);
                let within = above.started() <= own.started() && own.time <= above.time;
                within && own.time - own.started() < above.time - above.started()
            }
            _ => false,
        }
    }

    /// Whether it failed by itself. A cancelled call ended because another call had failed.
    fn has_failed(&self) -> bool {
        let cancelled = self.call.verdict.ends_with(": cancelled");
        !cancelled && !line::is_success(&self.call.verdict, self.call.status)
    }
}

/// Follows the first failure among the descendants of `call` down to the deepest one.
fn origin<'a>(call: &EndedCall<'a>, calls: &[EndedCall<'a>]) -> EndedCall<'a> {
    let descendants = calls.iter().filter(|other| other.is_descendant_of(call));
    let failed = descendants.filter(|other| other.has_failed());
    let next = failed.min_by(|a, b| a.cmp_end(b));
    next.map_or(*call, |next| origin(next, calls))
}

fn answered(trace: &trace::RequestTrace, root: &EndedCall<'_>) -> String {
    let attempts = match root.call.attempts {
        0 | 1 => "in one attempt".to_owned(),
        attempts => format!("after {attempts} attempts"),
    };
    let end = timeline::end_of(&root.call.verdict, root.call.status);
    let took = root.call.took_ms;
    let longest = longest_wait(trace);
    format!("cause: none; {end} {attempts}, in {took} ms{longest}")
}

/// The longest wait of the request for a slot, if any. It usually takes most of the time of a call
/// that exceeds its deadline.
fn longest_wait(trace: &trace::RequestTrace) -> String {
    let waits = trace.entries.iter().filter_map(|entry| match &entry.facts {
        line::LogFacts::RunEnded(run) => Some((run.queued_ms, &entry.node)),
        line::LogFacts::CallEnded(_) | line::LogFacts::Attempt(_) | line::LogFacts::Other => None,
    });
    match waits.max_by_key(|(wait, _)| *wait) {
        Some((wait, node)) if wait > 0 => {
            format!("; the longest wait for a slot was {wait} ms at {node}")
        }
        _ => String::new(),
    }
}

/// Describes the end of a call from its own line and that of its last run.
fn describe(trace: &trace::RequestTrace, ended: EndedCall<'_>) -> String {
    let call = ended.call;
    let (service, node) = (&call.service, &ended.entry.node);
    let end = timeline::end_of(&call.verdict, call.status);
    let limit = timeline::limit_of(trace, call);
    let limit = limit.map_or_else(String::new, |limit| format!(", refused by {limit}"));
    if call.attempts == 0 {
        return format!("the call to {service} ended at {node} before it was sent: {end}{limit}");
    }
    let attempts = timeline::attempts_of(trace, call);
    let detail = match last_run(trace, ended) {
        Some((at, run)) => describe_wait(at, run),
        None => "; the logs have no run of them".to_owned(),
    };
    format!("the call to {service} from {node} ended {end}{limit} after {attempts}{detail}")
}

/// Describes the last attempt at its target's node.
fn describe_wait(at: &str, run: &line::RunEnd) -> String {
    let ran = match run.ran_ms {
        Some(ran) => format!("ran {ran} ms"),
        None => "never started".to_owned(),
    };
    let line::RunEnd {
        queued_ms,
        running,
        queued,
        ..
    } = run;
    format!(
        "; at {at} it waited {queued_ms} ms and {ran}, with {running} running and {queued} waiting"
    )
}

/// The last run of a call, with the node that logged it.
fn last_run<'a>(
    trace: &'a trace::RequestTrace,
    ended: EndedCall<'_>,
) -> Option<(&'a str, &'a line::RunEnd)> {
    let runs = trace.entries.iter().filter_map(|entry| match &entry.facts {
        line::LogFacts::RunEnded(run) if is_run_of(trace, entry, run, ended) => Some((entry, run)),
        _ => None,
    });
    let last = runs.max_by(|a, b| a.0.time.total_cmp(&b.0.time))?;
    Some((&last.0.node, last.1))
}

/// Whether a run belongs to the call: it has the call's id or, if calls have no ids, it ran for the
/// call's node at one of the nodes that the call was sent to.
fn is_run_of(
    trace: &trace::RequestTrace,
    entry: &trace::TraceEntry,
    run: &line::RunEnd,
    ended: EndedCall<'_>,
) -> bool {
    match (&run.request, &ended.call.request) {
        (Some(own), Some(call)) => own == call,
        (None, None) => {
            let mut nodes = ended.call.nodes.iter();
            let sent = nodes.any(|node| trace.name_of(node) == entry.node);
            sent && trace.name_of(&run.entry) == ended.entry.node
        }
        _ => false,
    }
}
