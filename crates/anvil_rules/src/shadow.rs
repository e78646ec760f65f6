//! Rules that no request ever reaches.

use crate::{fault, parse};

/// Warns of each rule whose condition an earlier rule covers alone.
///
/// A rule that several earlier ones cover only together isn't found; see
/// `docs/design/rules.md`.
pub(crate) fn find_unreachable(
    file: &str,
    located: &[parse::LocatedRule],
) -> Vec<fault::RuleWarning> {
    let mut warnings = Vec::new();
    for (index, later) in located.iter().enumerate() {
        let covers = |earlier: &&parse::LocatedRule| earlier.rule.when.covers(&later.rule.when);
        let Some(earlier) = located[..index].iter().find(covers) else {
            continue;
        };
        warnings.push(fault::RuleWarning {
            file: file.to_owned(),
            line: later.line,
            name: later.rule.name.clone(),
            shadowed_by: earlier.rule.name.clone(),
            shadow_line: earlier.line,
        });
    }
    warnings
}
