//! The story in lines, in order of time.

use crate::logs::line;
use crate::story::{cause, trail};

/// All that the logs tell of the request; the last line is the cause in a sentence.
pub(super) fn tell(trail: &trail::RequestTrail) -> String {
    let begun = trail.steps.first().map_or(0.0, trail::TrailStep::begun);
    let mut text = heading(trail, begun);
    for step in &trail.steps {
        let indent = "  ".repeat(step.depth());
        let from = step.begun() - begun;
        let until = step.time - begun;
        let what = match &step.facts {
            line::LogFacts::CallEnded(call) => tell_call(trail, call),
            line::LogFacts::RunEnded(run) => tell_run(trail, run),
            line::LogFacts::Other => continue,
        };
        let node = &step.node;
        text.push_str(&format!(
            "{from:8.3} to {until:7.3} s  {node:<24} {indent}{what}\n"
        ));
    }
    for clock in &trail.clocks {
        let step = clock.from - clock.to;
        let at = clock.from - begun;
        let node = &clock.node;
        text.push_str(&format!(
            "the clock of {node} stepped back by {step:.3} s at {at:.3} s; its times may not fit the others'\n"
        ));
    }
    text.push_str(&cause::sentence(trail));
    text.push('\n');
    text
}

fn heading(trail: &trail::RequestTrail, begun: f64) -> String {
    let steps = trail.steps.len();
    let mut nodes: Vec<_> = trail.steps.iter().map(|step| &step.node).collect();
    nodes.sort();
    nodes.dedup();
    let roots = trail.steps.iter().filter_map(|step| step.facts.ids());
    let mut roots: Vec<_> = roots.map(|(_, root)| root).collect();
    roots.sort_unstable();
    roots.dedup();
    let nodes = nodes.len();
    let roots = roots.join(", ");
    format!("root request {roots}: {steps} lines of {nodes} nodes, times from {begun:.3}\n")
}

fn tell_call(trail: &trail::RequestTrail, call: &line::CallEnd) -> String {
    let line::CallEnd {
        service,
        class,
        lane,
        took_ms,
        left_ms,
        ..
    } = call;
    let line::RuleMark { revision, index } = &call.rule;
    let mut text = format!(
        "call to {service} ({class}, lane {lane}, rule {index} of revision {revision}): {}",
        end_of(&call.verdict, call.status)
    );
    text.push_str(", ");
    text.push_str(&attempts_of(trail, call));
    if let Some(limit) = limit_of(trail, call) {
        text.push_str(&format!(", refused by {limit}"));
    }
    text.push_str(&format!(", took {took_ms} ms, {left_ms} ms left"));
    if let Some(pause) = call.retry_after_ms {
        text.push_str(&format!(", told to come back after {pause} ms"));
    }
    text
}

fn tell_run(trail: &trail::RequestTrail, run: &line::RunEnd) -> String {
    let entry = trail.name_of(&run.entry);
    let line::RunEnd {
        attempt,
        queued_ms,
        running,
        queued,
        ..
    } = run;
    let ran = match run.ran_ms {
        Some(ran) => format!("ran {ran} ms"),
        None => "never started".to_owned(),
    };
    let end = end_of(&run.verdict, run.status);
    format!(
        "run for {entry} (attempt {attempt}): {end}, waited {queued_ms} ms, {ran}, {running} running and \
         {queued} waiting at its end"
    )
}

/// A verdict with its status.
pub(super) fn end_of(verdict: &str, status: Option<u16>) -> String {
    match status {
        Some(status) => format!("{verdict} {status}"),
        None => verdict.to_owned(),
    }
}

/// How often a call was sent, and where to as far as its line tells; a cancelled attempt's node is not told.
pub(super) fn attempts_of(trail: &trail::RequestTrail, call: &line::CallEnd) -> String {
    let count = match call.attempts {
        0 => return "sent nowhere".to_owned(),
        1 => "one attempt".to_owned(),
        attempts => format!("{attempts} attempts"),
    };
    if call.nodes.is_empty() {
        return count;
    }
    let nodes: Vec<_> = call.nodes.iter().map(|node| trail.name_of(node)).collect();
    format!("{count} at {}", nodes.join(", "))
}

/// The limit that refused a call's last attempt, and whose it was.
pub(super) fn limit_of(trail: &trail::RequestTrail, call: &line::CallEnd) -> Option<String> {
    let limit = match &call.refused {
        serde_json::Value::Null => return None,
        serde_json::Value::String(name) => name.clone(),
        other => other.to_string(),
    };
    Some(match &call.refused_by {
        Some(node) => format!("{limit} of {}", trail.name_of(node)),
        None => limit,
    })
}
