//! From a command line to its report.

use std::ffi::OsString;

use crate::{apply, arguments, check, explain, outcome, show, story};

/// Does what the command line asks for; `line` comes without the program's name.
pub fn run(line: Vec<OsString>, environment: &arguments::CtlEnvironment) -> outcome::CtlReport {
    let done = arguments::read(line, environment).and_then(carry_out);
    done.unwrap_or_else(outcome::CtlReport::from)
}

fn carry_out(command: arguments::CtlCommand) -> Result<outcome::CtlReport, outcome::CtlFailure> {
    match command {
        arguments::CtlCommand::Help(topic) => Ok(outcome::CtlReport::done(topic.to_string())),
        arguments::CtlCommand::Check { files } => check::check(&files),
        arguments::CtlCommand::Apply(arguments) => apply::apply(&arguments),
        arguments::CtlCommand::Show { what, node } => show::show(what, &node),
        arguments::CtlCommand::Explain(arguments) => explain::explain(&arguments),
        arguments::CtlCommand::Story(arguments) => story::story(&arguments),
    }
}
