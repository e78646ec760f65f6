//! The operators' command.

use std::io::Write;
use std::process::ExitCode;

use anvil_ctl::{arguments, command};

fn main() -> ExitCode {
    let environment = arguments::CtlEnvironment::from_process();
    let report = command::run(std::env::args_os().skip(1).collect(), &environment);
    // Write errors are ignored: a reader such as `head` may close the pipe early.
    let _ = std::io::stdout().write_all(report.out.as_bytes());
    let _ = std::io::stderr().write_all(report.err.as_bytes());
    ExitCode::from(report.status.code())
}
