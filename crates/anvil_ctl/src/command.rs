//! Runs a command line and returns its report.

use std::ffi::OsString;

use crate::{apply, arguments, check, explain, outcome, show, story};

/// Runs a command line, given without the program's name.
pub fn run(words: Vec<OsString>, environment: &arguments::CtlEnvironment) -> outcome::CtlReport {
    let report = arguments::parse(words, environment).and_then(execute);
    report.unwrap_or_else(outcome::CtlReport::from)
}

fn execute(command: arguments::CtlCommand) -> Result<outcome::CtlReport, outcome::CtlFailure> {
    match command {
        arguments::CtlCommand::Help(topic) => Ok(outcome::CtlReport::done(topic.to_string())),
        arguments::CtlCommand::Check { files } => check::check(&files),
        arguments::CtlCommand::Apply(arguments) => apply::apply(&arguments),
        arguments::CtlCommand::Show { what, node } => show::show(what, &node),
        arguments::CtlCommand::Explain(arguments) => explain::explain(&arguments),
        arguments::CtlCommand::Story(arguments) => story::story(&arguments),
    }
}
