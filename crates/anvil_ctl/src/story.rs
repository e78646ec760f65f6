//! `anvilctl story`: what became of one request, over the logs of all nodes.

use crate::{arguments, logs, outcome};

mod cause;
mod telling;
mod trail;

/// Follows the request through the logs and tells what happened to it, the cause in the last line.
pub fn story(
    arguments: &arguments::StoryArguments,
) -> Result<outcome::CtlReport, outcome::CtlFailure> {
    let source = logs::source::LogSource::open(&arguments.logs);
    let source = source.map_err(outcome::CtlFailure::usage)?;
    let trail = trail::RequestTrail::find(&source, &arguments.request);
    let trail = trail.map_err(outcome::CtlFailure::usage)?;
    let mut report = outcome::CtlReport::done(String::new());
    report.err = trail.faults();
    if trail.is_empty() {
        let id = &arguments.request;
        let message = format!(
            "anvilctl: no line of the {} read names request {id}\n",
            trail.lines()
        );
        report.err.push_str(&message);
        report.status = outcome::ExitStatus::Absent;
        return Ok(report);
    }
    report.out = telling::tell(&trail);
    Ok(report)
}
