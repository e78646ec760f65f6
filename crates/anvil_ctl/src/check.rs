//! `anvilctl check`.

use std::path::PathBuf;

use crate::{outcome, rule_file};

/// Checks all files and reports on each; the worst result decides the exit status.
pub fn check(files: &[PathBuf]) -> Result<outcome::CtlReport, outcome::CtlFailure> {
    let mut report = outcome::CtlReport::done(String::new());
    for path in files {
        match rule_file::RuleFile::read(path) {
            Ok(file) => {
                report.err.push_str(&file.warnings());
                let count = file.rules.document.rules().len();
                let name = path.display();
                report
                    .out
                    .push_str(&format!("{name}: {count} rules, valid\n"));
            }
            Err(failure) => {
                let is_worse = failure.status.code() > report.status.code();
                if is_worse {
                    report.status = failure.status;
                }
                report.err.push_str(&outcome::CtlReport::from(failure).err);
            }
        }
    }
    Ok(report)
}
