//! `anvilctl story`: reconstructs one request from the logs of all nodes.

use crate::{arguments, logs, outcome};

mod cause;
mod timeline;
mod trace;

/// Reconstructs the request from the logs; the last line of the report gives the cause.
pub fn story(
    arguments: &arguments::StoryArguments,
) -> Result<outcome::CtlReport, outcome::CtlFailure> {
    let source = logs::source::LogSource::open(&arguments.logs);
    let source = source.map_err(outcome::CtlFailure::usage)?;
    let trace = trace::RequestTrace::find(&source, &arguments.request);
    let trace = trace.map_err(outcome::CtlFailure::usage)?;
    let mut report = outcome::CtlReport::done(String::new());
    report.err = trace.faults();
    if trace.is_empty() {
        let id = &arguments.request;
        let message = format!(
            "anvilctl: no line of the {} read names request {id}\n",
            trace.lines()
        );
        report.err.push_str(&message);
        report.status = outcome::ExitStatus::Absent;
        return Ok(report);
    }
    report.out = timeline::render(&trace);
    Ok(report)
}
