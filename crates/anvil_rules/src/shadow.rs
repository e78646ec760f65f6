//! Detection of rules that no request can reach.

use crate::{condition, fault, parse, service, table};

/// Returns a warning for each rule whose condition is covered by a single earlier rule.
///
/// A rule that only several earlier rules together cover isn't detected; see
/// `docs/design/rules.md`.
pub(crate) fn find_unreachable(
    file: &str,
    located: &[parse::LocatedRule],
) -> Vec<fault::RuleWarning> {
    let mut warnings = Vec::new();
    let mut earlier = EarlierRules::default();
    for (index, later) in located.iter().enumerate() {
        if let Some(shadow) = earlier.find_covering(located, &later.rule.when) {
            let shadow = &located[shadow];
            warnings.push(fault::RuleWarning {
                file: file.to_owned(),
                line: later.line,
                name: later.rule.name.clone(),
                shadowed_by: shadow.rule.name.clone(),
                shadow_line: shadow.line,
            });
        }
        earlier.add(index, &later.rule.when);
    }
    warnings
}

/// The indices of the preceding rules by service. Comparing each rule with every earlier one took
/// most of a second at [`crate::document::MAX_RULES`] rules.
#[derive(Default)]
struct EarlierRules {
    by_service: table::PrefixTable<Vec<usize>>,
}

impl EarlierRules {
    fn add(&mut self, index: usize, when: &condition::RuleCondition) {
        if when.services.is_empty() {
            self.by_service.entry(table::MATCH_ALL).push(index);
        }
        for service in &when.services {
            self.by_service.entry(service.key()).push(index);
        }
    }

    /// The first preceding rule that covers `when`.
    ///
    /// A rule that covers all services of `when` covers the first of them, so only rules for that
    /// service are compared.
    fn find_covering(
        &self,
        located: &[parse::LocatedRule],
        when: &condition::RuleCondition,
    ) -> Option<usize> {
        let mut first: Option<usize> = None;
        let covers = |index: &&usize| located[**index].rule.when.covers(when);
        let visit = |indices: &Vec<usize>| {
            let found = indices.iter().find(covers).copied();
            first = found.into_iter().chain(first).min();
        };
        match when.services.first().map(service::ServicePattern::key) {
            Some(table::TableKey::Exact(name)) => self.by_service.for_each(name, visit),
            Some(table::TableKey::Prefix(text)) => self.by_service.for_each_prefix(text, visit),
            None => self.by_service.for_each_prefix("", visit),
        }
        first
    }
}
