//! `anvilctl apply`.

use std::thread;
use std::time::{Duration, Instant};

use anvil_types::ident;
use serde_json::Value;
use uuid::Uuid;

use crate::{arguments, node, outcome, rule_file, wait};

/// Interval between checks for a change whose answer was lost.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(250);

/// The outcome of sending a change.
#[derive(Debug)]
enum ChangeOutcome {
    /// It was accepted as this revision.
    Accepted(ident::RuleRevision),
    /// It was certainly not applied.
    Refused(outcome::CtlFailure),
    /// It may or may not have been applied, for this reason.
    Unknown(String),
}

/// Checks a rule file, sends it, and resolves the outcome if the answer is lost.
pub fn apply(
    arguments: &arguments::ApplyArguments,
) -> Result<outcome::CtlReport, outcome::CtlFailure> {
    let file = rule_file::RuleFile::read(&arguments.file)?;
    let client = node::NodeClient::new(&arguments.node)?;
    let newest = client.get("/rules")?.accepted()?.revision;
    let base = arguments.base.or_else(|| file.base()).or(newest);
    let request = node::ChangeRequest {
        text: &file.text,
        change: arguments.change.unwrap_or_else(|| Uuid::new_v4().as_u128()),
        base: base.unwrap_or_default(),
        author: &arguments.author,
    };
    let outcome = match send(&client, &request, arguments) {
        ChangeOutcome::Unknown(reason) => resolve(&client, request.change, reason, arguments),
        known => known,
    };
    match outcome {
        ChangeOutcome::Accepted(revision) => {
            let mut report = accepted(&client, revision, arguments);
            report.err.insert_str(0, &file.warnings());
            Ok(report)
        }
        ChangeOutcome::Refused(failure) => Err(failure),
        ChangeOutcome::Unknown(reason) => Err(unknown(&reason, request.change, arguments)),
    }
}

fn send(
    client: &node::NodeClient,
    request: &node::ChangeRequest<'_>,
    arguments: &arguments::ApplyArguments,
) -> ChangeOutcome {
    let answer = match client.post_rules(request) {
        Ok(answer) => answer,
        Err(node::RequestError::Lost { .. }) => {
            return ChangeOutcome::Unknown("the node's answer was lost".to_owned());
        }
        Err(unreachable) => return ChangeOutcome::Refused(unreachable.into()),
    };
    let json = answer.json();
    match answer.status {
        200 => match json["revision"].as_u64() {
            Some(revision) => ChangeOutcome::Accepted(ident::RuleRevision(revision)),
            None => ChangeOutcome::Unknown("the node's answer has no revision".to_owned()),
        },
        409 => ChangeOutcome::Refused(conflict(&json)),
        422 if json["faults"].is_array() => ChangeOutcome::Refused(faults(&json, arguments)),
        503 if json["outcome"] == "not-applied" => ChangeOutcome::Refused(not_applied(&answer)),
        500..=599 => ChangeOutcome::Unknown(answer.detail()),
        _ => ChangeOutcome::Refused(answer.refused()),
    }
}

/// Polls the history for a change whose answer was lost, until the request timeout has passed.
///
/// Resending the change without this check could undo another change that was accepted in between.
fn resolve(
    client: &node::NodeClient,
    change: u128,
    reason: String,
    arguments: &arguments::ApplyArguments,
) -> ChangeOutcome {
    let deadline = Instant::now() + arguments.node.timeout;
    loop {
        let history = client.get("/rules/history");
        let found = history
            .ok()
            .and_then(|history| find_change(&history.json(), change));
        if let Some(revision) = found {
            return ChangeOutcome::Accepted(revision);
        }
        if Instant::now() >= deadline {
            return ChangeOutcome::Unknown(reason);
        }
        thread::sleep(RESOLVE_INTERVAL);
    }
}

fn find_change(history: &Value, change: u128) -> Option<ident::RuleRevision> {
    let changes = history["changes"].as_array()?;
    let found = changes.iter().find(|entry| {
        let id = entry["change"].as_str();
        id.and_then(|id| u128::from_str_radix(id, 16).ok()) == Some(change)
    });
    found?["revision"].as_u64().map(ident::RuleRevision)
}

fn accepted(
    client: &node::NodeClient,
    revision: ident::RuleRevision,
    arguments: &arguments::ApplyArguments,
) -> outcome::CtlReport {
    let mut report = match arguments.wait {
        Some(limit) => wait::wait(client, revision, limit),
        None => outcome::CtlReport::done(String::new()),
    };
    report
        .out
        .insert_str(0, &format!("accepted as revision {revision}\n"));
    report
}

fn conflict(json: &Value) -> outcome::CtlFailure {
    let base = &json["base"];
    let revision = &json["revision"];
    let mut text = format!(
        "conflict: the rules are at revision {revision} and your file was made from {base}; \
         nothing was changed"
    );
    for other in json["others"].as_array().into_iter().flatten() {
        let number = &other["revision"];
        let author = other["author"].as_str().unwrap_or_default();
        text.push_str(&format!("\n  revision {number} by {author}:"));
        let edits = other["edits"].as_array().into_iter().flatten();
        for edit in edits.filter_map(Value::as_str) {
            text.push_str(&format!("\n    {edit}"));
        }
    }
    text.push_str(
        "\nfetch the rules with `anvilctl rules show`, make your change again and apply it",
    );
    outcome::CtlFailure::new(outcome::ExitStatus::Refused, eyre::eyre!("{text}"))
}

fn faults(json: &Value, arguments: &arguments::ApplyArguments) -> outcome::CtlFailure {
    let mut text = "the node refused the rules, nothing was changed".to_owned();
    let file = arguments.file.display();
    for fault in json["faults"].as_array().into_iter().flatten() {
        let (line, column) = (&fault["line"], &fault["column"]);
        let field = fault["field"].as_str().unwrap_or_default();
        let reason = fault["reason"].as_str().unwrap_or_default();
        text.push_str(&format!("\n{file}:{line}:{column}: {field}: {reason}"));
    }
    outcome::CtlFailure::new(outcome::ExitStatus::Refused, eyre::eyre!("{text}"))
}

fn not_applied(answer: &node::NodeAnswer) -> outcome::CtlFailure {
    let detail = answer.detail();
    let report = eyre::eyre!("{detail}; nothing was changed, apply the file again later");
    outcome::CtlFailure::new(outcome::ExitStatus::Refused, report)
}

fn unknown(
    reason: &str,
    change: u128,
    arguments: &arguments::ApplyArguments,
) -> outcome::CtlFailure {
    let file = arguments.file.display();
    let report = eyre::eyre!(
        "{reason}, and the change is not in the node's history yet: it may still be applied\n\
         check with `anvilctl rules history`, or repeat it safely with \
         `anvilctl apply {file} --change {change:032x}`"
    );
    outcome::CtlFailure::new(outcome::ExitStatus::Unknown, report)
}
