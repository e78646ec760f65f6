//! Renders a trace as lines in order of time.

use crate::logs::line;
use crate::story::{cause, trace};

/// Renders all entries of the request; the last line gives the cause.
pub(super) fn render(trace: &trace::RequestTrace) -> String {
    let started = trace
        .entries
        .first()
        .map_or(0.0, trace::TraceEntry::started);
    let mut text = heading(trace, started);
    for entry in &trace.entries {
        let indent = "  ".repeat(entry.depth());
        let from = entry.started() - started;
        let until = entry.time - started;
        let what = match &entry.facts {
            line::LogFacts::CallEnded(call) => describe_call(trace, call),
            line::LogFacts::RunEnded(run) => describe_run(trace, run),
            line::LogFacts::Attempt(attempt) => describe_attempt(trace, attempt),
            line::LogFacts::Other => continue,
        };
        let node = &entry.node;
        text.push_str(&format!(
            "{from:8.3} to {until:7.3} s  {node:<24} {indent}{what}\n"
        ));
    }
    for clock in &trace.clocks {
        let step = clock.from - clock.to;
        let at = clock.from - started;
        let node = &clock.node;
        text.push_str(&format!(
            "the clock of {node} stepped back by {step:.3} s at {at:.3} s; its times may not match those of other nodes\n"
        ));
    }
    text.push_str(&cause::sentence(trace));
    text.push('\n');
    text
}

fn heading(trace: &trace::RequestTrace, started: f64) -> String {
    let entries = trace.entries.len();
    let mut nodes: Vec<_> = trace.entries.iter().map(|entry| &entry.node).collect();
    nodes.sort();
    nodes.dedup();
    let roots = trace.entries.iter().filter_map(|entry| entry.facts.ids());
    let mut roots: Vec<_> = roots.map(|(_, root)| root).collect();
    roots.sort_unstable();
    roots.dedup();
    let nodes = nodes.len();
    let roots = roots.join(", ");
    format!("root request {roots}: {entries} lines of {nodes} nodes, times from {started:.3}\n")
}

fn describe_call(trace: &trace::RequestTrace, call: &line::CallEnd) -> String {
    let line::CallEnd {
        service,
        class,
        lane,
        took_ms,
        left_ms,
        ..
    } = call;
    let line::RuleReference { revision, index } = &call.rule;
    let mut text = format!(
        "call to {service} ({class}, lane {lane}, rule {index} of revision {revision}): {}",
        end_of(&call.verdict, call.status)
    );
    text.push_str(", ");
    text.push_str(&attempts_of(trace, call));
    if let Some(limit) = limit_of(trace, call) {
        text.push_str(&format!(", refused by {limit}"));
    }
    text.push_str(&format!(", took {took_ms} ms, {left_ms} ms left"));
    if let Some(delay) = call.retry_after_ms {
        text.push_str(&format!(", told to retry after {delay} ms"));
    }
    text
}

fn describe_run(trace: &trace::RequestTrace, run: &line::RunEnd) -> String {
    let entry = trace.name_of(&run.entry);
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
    let report = run.report.as_ref().map(describe_report).unwrap_or_default();
    format!(
        "run for {entry} (attempt {attempt}): {end}, waited {queued_ms} ms, {ran}, {running} running and \
         {queued} waiting at its end{report}"
    )
}

fn describe_report(report: &line::StatusReport) -> String {
    let line::StatusReport {
        incarnation,
        sequence,
        age_ms,
    } = report;
    format!(", on report {sequence} of {incarnation} from {age_ms} ms before")
}

fn describe_attempt(trace: &trace::RequestTrace, line: &line::AttemptLine) -> String {
    let step = match &line.step {
        line::AttemptStep::Sent { to } => format!("sent to {}", trace.name_of(to)),
        line::AttemptStep::Started { run, report } => {
            let report = report.as_ref().map(describe_report).unwrap_or_default();
            format!("handed to the target as run {run}{report}")
        }
        line::AttemptStep::Ended {
            run,
            verdict,
            status,
            exchange,
        } => {
            let end = end_of(verdict, *status);
            let exchange = exchange.as_ref().map(describe_exchange);
            format!("run {run} ended {end}{}", exchange.unwrap_or_default())
        }
        line::AttemptStep::Settled { verdict, status } => {
            format!("taken as {}", end_of(verdict, *status))
        }
    };
    format!("attempt {}: {step}", line.attempt)
}

fn describe_exchange(exchange: &line::TargetExchange) -> String {
    let line::TargetExchange {
        connection,
        position,
        unrelated,
        identity,
    } = exchange;
    let identity = identity.as_deref().unwrap_or("no answer");
    format!(
        ", request {position} of connection {connection}, {identity}, {unrelated} unrelated answers"
    )
}

/// A verdict with its status.
pub(super) fn end_of(verdict: &str, status: Option<u16>) -> String {
    match status {
        Some(status) => format!("{verdict} {status}"),
        None => verdict.to_owned(),
    }
}

/// The number of attempts of a call and their nodes. The line names no node for a cancelled
/// attempt.
pub(super) fn attempts_of(trace: &trace::RequestTrace, call: &line::CallEnd) -> String {
    let count = match call.attempts {
        0 => return "no attempt".to_owned(),
        1 => "one attempt".to_owned(),
        attempts => format!("{attempts} attempts"),
    };
    if call.nodes.is_empty() {
        return count;
    }
    let nodes: Vec<_> = call.nodes.iter().map(|node| trace.name_of(node)).collect();
    format!("{count} at {}", nodes.join(", "))
}

/// The limit that refused a call's last attempt, and the node that it belongs to.
pub(super) fn limit_of(trace: &trace::RequestTrace, call: &line::CallEnd) -> Option<String> {
    let limit = match &call.refused {
        serde_json::Value::Null => return None,
        serde_json::Value::String(name) => name.clone(),
        other => other.to_string(),
    };
    Some(match &call.refused_by {
        Some(node) => format!("{limit} of {}", trace.name_of(node)),
        None => limit,
    })
}
