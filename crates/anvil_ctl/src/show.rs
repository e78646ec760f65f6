//! `anvilctl rules`, `status` and `dump`.

use crate::{arguments, node, outcome, render, rule_file};

/// Shows part of a node's state.
pub fn show(
    what: arguments::ShowTopic,
    arguments: &arguments::NodeArguments,
) -> Result<outcome::CtlReport, outcome::CtlFailure> {
    let client = node::NodeClient::new(arguments)?;
    let path = match what {
        arguments::ShowTopic::Rules => "/rules",
        arguments::ShowTopic::History => "/rules/history",
        arguments::ShowTopic::Status => "/status",
        arguments::ShowTopic::Dump => "/dump",
    };
    let answer = client.get(path)?.accepted()?;
    let out = match what {
        arguments::ShowTopic::Rules => with_revision(&answer),
        _ if arguments.json => answer.text + "\n",
        _ => render::tree(&answer.json()),
    };
    Ok(outcome::CtlReport::done(out))
}

/// The rules after a line with their revision, which lets `apply` detect conflicts.
fn with_revision(answer: &node::NodeAnswer) -> String {
    let prefix = rule_file::REVISION_PREFIX;
    match answer.revision {
        Some(revision) => format!("{prefix}{revision}\n{}", answer.text),
        None => answer.text.clone(),
    }
}
