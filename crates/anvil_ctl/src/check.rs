//! `anvilctl check`.

use std::path::PathBuf;

use crate::{outcome, rule_file};

/// Checks all files and tells about each; the worst of them decides the exit status.
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
                    .push_str(&format!("{name}: {count} rules, right\n"));
            }
            Err(failure) => {
                let worse = failure.status.code() > report.status.code();
                if worse {
                    report.status = failure.status;
                }
                report.err.push_str(&outcome::CtlReport::from(failure).err);
            }
        }
    }
    Ok(report)
}
