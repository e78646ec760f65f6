//! Why the request ended as it did, in one sentence.

use crate::logs::line;
use crate::story::{telling, trail};

/// A call of the request, with where and when it ended.
#[derive(Clone, Copy, Debug)]
struct EndedCall<'a> {
    step: &'a trail::TrailStep,
    call: &'a line::CallEnd,
}

/// The cause: the deepest call that failed by itself, on the way down from the root.
pub(super) fn sentence(trail: &trail::RequestTrail) -> String {
    let calls: Vec<_> = trail.steps.iter().filter_map(EndedCall::of).collect();
    let Some(root) = calls.iter().min_by(|a, b| a.above(b)) else {
        return "cause: not in these logs; no entry node tells how the request ended".to_owned();
    };
    if line::is_fine(&root.call.verdict, root.call.status) {
        return answered(trail, root);
    }
    let origin = origin(root, &calls);
    let mut own = describe(trail, origin);
    if origin.call.verdict.ends_with(": deadline") {
        own.push_str(&longest_wait(trail));
    }
    if std::ptr::eq(origin.step, root.step) {
        return format!("cause: {own}");
    }
    let end = telling::end_of(&root.call.verdict, root.call.status);
    format!("cause: {own}; the calls above it passed that on, and the caller got {end}")
}

impl<'a> EndedCall<'a> {
    fn of(step: &'a trail::TrailStep) -> Option<Self> {
        match &step.facts {
            line::LogFacts::CallEnded(call) => Some(Self { step, call }),
            line::LogFacts::RunEnded(_) | line::LogFacts::Other => None,
        }
    }

    /// Higher in the tree as far as ids tell, or begun earlier.
    fn above(&self, other: &Self) -> std::cmp::Ordering {
        let depth = self.step.depth().cmp(&other.step.depth());
        depth.then(self.step.begun().total_cmp(&other.step.begun()))
    }

    /// Higher in the tree as far as ids tell, or ended earlier.
    fn before(&self, other: &Self) -> std::cmp::Ordering {
        let depth = self.step.depth().cmp(&other.step.depth());
        depth.then(self.step.time.total_cmp(&other.step.time))
    }

    /// Whether it was made for `other`: its id says so, or, where calls have no ids, it lies within it in
    /// time.
    fn is_below(&self, other: &Self) -> bool {
        match (&self.call.request, &other.call.request) {
            (Some(own), Some(above)) => {
                let rest = own.strip_prefix(above.as_str());
                rest.is_some_and(|rest| rest.starts_with('.'))
            }
            (None, None) => {
                let (own, above) = (self.step, other.step);
                let within = above.begun() <= own.begun() && own.time <= above.time;
                within && own.time - own.begun() < above.time - above.begun()
            }
            _ => false,
        }
    }

    /// Whether it failed by itself: what was cancelled ended since something beside it had failed.
    fn has_failed(&self) -> bool {
        let cancelled = self.call.verdict.ends_with(": cancelled");
        !cancelled && !line::is_fine(&self.call.verdict, self.call.status)
    }
}

/// Goes down from `call` to the first failure below it, as far as there is one.
fn origin<'a>(call: &EndedCall<'a>, calls: &[EndedCall<'a>]) -> EndedCall<'a> {
    let below = calls.iter().filter(|other| other.is_below(call));
    let failed = below.filter(|other| other.has_failed());
    let next = failed.min_by(|a, b| a.before(b));
    next.map_or(*call, |next| origin(next, calls))
}

fn answered(trail: &trail::RequestTrail, root: &EndedCall<'_>) -> String {
    let attempts = match root.call.attempts {
        0 | 1 => "in one attempt".to_owned(),
        attempts => format!("after {attempts} attempts"),
    };
    let end = telling::end_of(&root.call.verdict, root.call.status);
    let took = root.call.took_ms;
    let longest = longest_wait(trail);
    format!("cause: none; {end} {attempts}, in {took} ms{longest}")
}

/// Where the request waited longest for a slot, if it waited: time that ran out was mostly spent there.
fn longest_wait(trail: &trail::RequestTrail) -> String {
    let waits = trail.steps.iter().filter_map(|step| match &step.facts {
        line::LogFacts::RunEnded(run) => Some((run.queued_ms, &step.node)),
        line::LogFacts::CallEnded(_) | line::LogFacts::Other => None,
    });
    match waits.max_by_key(|(wait, _)| *wait) {
        Some((wait, node)) if wait > 0 => {
            format!("; the longest wait for a slot was {wait} ms at {node}")
        }
        _ => String::new(),
    }
}

/// What the call's own line and that of its run tell of its end.
fn describe(trail: &trail::RequestTrail, ended: EndedCall<'_>) -> String {
    let call = ended.call;
    let (service, node) = (&call.service, &ended.step.node);
    let end = telling::end_of(&call.verdict, call.status);
    let limit = telling::limit_of(trail, call);
    let limit = limit.map_or_else(String::new, |limit| format!(", refused by {limit}"));
    if call.attempts == 0 {
        return format!(
            "the call to {service} was given up at {node} before it was sent: {end}{limit}"
        );
    }
    let attempts = telling::attempts_of(trail, call);
    let below = match last_run(trail, ended) {
        Some((at, run)) => tell_wait(at, run),
        None => "; the logs tell no more of them".to_owned(),
    };
    format!("the call to {service} from {node} ended {end}{limit} after {attempts}{below}")
}

/// What the last attempt met at its target's node.
fn tell_wait(at: &str, run: &line::RunEnd) -> String {
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

/// The last run of a call, with the node that tells of it.
fn last_run<'a>(
    trail: &'a trail::RequestTrail,
    ended: EndedCall<'_>,
) -> Option<(&'a str, &'a line::RunEnd)> {
    let runs = trail.steps.iter().filter_map(|step| match &step.facts {
        line::LogFacts::RunEnded(run) if is_run_of(trail, step, run, ended) => Some((step, run)),
        _ => None,
    });
    let last = runs.max_by(|a, b| a.0.time.total_cmp(&b.0.time))?;
    Some((&last.0.node, last.1))
}

/// Whether a run is one of the call's: it has the call's id, or, where calls have no ids, it was made for the
/// call's node at one of those that the call was sent to.
fn is_run_of(
    trail: &trail::RequestTrail,
    step: &trail::TrailStep,
    run: &line::RunEnd,
    ended: EndedCall<'_>,
) -> bool {
    match (&run.request, &ended.call.request) {
        (Some(own), Some(call)) => own == call,
        (None, None) => {
            let mut nodes = ended.call.nodes.iter();
            let sent = nodes.any(|node| trail.name_of(node) == step.node);
            sent && trail.name_of(&run.entry) == ended.step.node
        }
        _ => false,
    }
}
