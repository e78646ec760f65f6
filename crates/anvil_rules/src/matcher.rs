//! Finds the rule that decides a request.
//!
//! The result is that of a scan from the first rule to the last, but an index by service and path,
//! with a bit mask of methods, avoids the scan. See `docs/design/rules.md` for measurements.

use std::sync::Arc;

use anvil_types::{name, treatment};

use crate::{destination, document, outcome, path, service, table, view};

/// Maximum number of index entries for the combinations of services and paths in one rule. A rule
/// with more is indexed by service only, so that the index stays a bounded multiple of the
/// document.
const MAX_ENTRIES_PER_RULE: usize = 64;

/// The decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleDecision<'a> {
    /// How the request is treated.
    pub treatment: treatment::RuleTreatment,
    /// The index of the rule in the list, from zero; `None` if no rule matched.
    pub index: Option<u32>,
    /// The services that the rule sends the request to; `None` if the caller names the service.
    pub send_to: Option<&'a destination::RuleDestination>,
    /// The name of the rule; `None` if no rule matched.
    pub name: Option<&'a name::RuleName>,
}

/// A document compiled for matching.
#[derive(Clone, Debug, Default)]
pub struct RuleMatcher {
    rules: Vec<Arc<document::NamedRule>>,
    index: ServiceTable,
}

type ServiceTable = table::PrefixTable<PathTable>;
type PathTable = table::PrefixTable<Vec<IndexEntry>>;

/// A candidate rule. Each list of entries is in the order of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IndexEntry {
    rule: u32,
    methods: MethodMask,
}

/// A set of methods; all methods without a bit of their own share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MethodMask(u16);

impl MethodMask {
    const ALL: Self = Self(u16::MAX);

    fn of(method: &str) -> Self {
        Self(match method {
            "GET" => 1,
            "HEAD" => 1 << 1,
            "POST" => 1 << 2,
            "PUT" => 1 << 3,
            "DELETE" => 1 << 4,
            "PATCH" => 1 << 5,
            "OPTIONS" => 1 << 6,
            "TRACE" => 1 << 7,
            "CONNECT" => 1 << 8,
            _ => 1 << 9,
        })
    }

    fn of_all(methods: &[String]) -> Self {
        if methods.is_empty() {
            return Self::ALL;
        }
        let bits = methods.iter().map(|method| Self::of(method).0);
        Self(bits.fold(0, |all, bit| all | bit))
    }

    const fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }
}

impl RuleMatcher {
    /// Builds the index of a document.
    pub fn compile(document: &document::RuleDocument) -> Self {
        let rules = document.rules().to_vec();
        let mut keys = Vec::new();
        for (index, rule) in (0_u32..).zip(&rules) {
            collect_keys(index, rule, &mut keys);
        }
        // Sorted keys are appended; an unsorted key would move half of a table on average.
        keys.sort_unstable();
        let mut index = ServiceTable::default();
        for (service, path, entry) in &keys {
            index.entry(*service).entry(*path).push(*entry);
        }
        drop(keys);
        Self { rules, index }
    }

    /// The rules in order.
    pub fn rules(&self) -> &[Arc<document::NamedRule>] {
        &self.rules
    }

    /// Decides a request by the first rule whose condition matches.
    ///
    /// If none does, the defaults apply, and RFC 9110's definition of the method determines whether
    /// the request is idempotent.
    pub fn decide(&self, request: &view::RequestView<'_>) -> RuleDecision<'_> {
        let Some(index) = self.first_match(request) else {
            return RuleDecision {
                treatment: outcome::RuleOutcome::default().treatment(request.method),
                index: None,
                send_to: None,
                name: None,
            };
        };
        let rule = &self.rules[index as usize];
        RuleDecision {
            treatment: rule.then.treatment(request.method),
            index: Some(index),
            send_to: rule.then.send_to.as_ref(),
            name: Some(&rule.name),
        }
    }

    fn first_match(&self, request: &view::RequestView<'_>) -> Option<u32> {
        let method = MethodMask::of(request.method);
        let mut first: Option<u32> = None;
        self.index.for_each(request.service, |paths| {
            paths.for_each(request.path, |entries| {
                let found = self.first_in(entries, method, first, request);
                first = found.or(first);
            });
        });
        first
    }

    /// The first entry that matches and precedes the rule `bound`.
    fn first_in(
        &self,
        entries: &[IndexEntry],
        method: MethodMask,
        bound: Option<u32>,
        request: &view::RequestView<'_>,
    ) -> Option<u32> {
        let before = |entry: &&IndexEntry| bound.is_none_or(|bound| entry.rule < bound);
        let mut candidates = entries.iter().take_while(before);
        let found = candidates.find(|entry| {
            entry.methods.intersects(method)
                && self.rules[entry.rule as usize].when.matches(request)
        });
        found.map(|entry| entry.rule)
    }
}

type IndexKey<'a> = (table::TableKey<'a>, table::TableKey<'a>, IndexEntry);

fn collect_keys<'a>(index: u32, rule: &'a document::NamedRule, keys: &mut Vec<IndexKey<'a>>) {
    let when = &rule.when;
    let entry = IndexEntry {
        rule: index,
        methods: MethodMask::of_all(&when.methods),
    };
    let services = keys_or_all(&when.services, service::ServicePattern::key);
    let mut paths = keys_or_all(&when.paths, path::PathPattern::key);
    if services.len() * paths.len() > MAX_ENTRIES_PER_RULE {
        paths = vec![table::MATCH_ALL];
    }
    for service in services {
        for path in &paths {
            keys.push((service, *path, entry));
        }
    }
}

/// The distinct keys of `patterns`, or the key that matches everything if there are none.
fn keys_or_all<'a, P, K>(patterns: &'a [P], key: K) -> Vec<table::TableKey<'a>>
where
    K: Fn(&'a P) -> table::TableKey<'a>,
{
    if patterns.is_empty() {
        return vec![table::MATCH_ALL];
    }
    let mut keys: Vec<_> = patterns.iter().map(key).collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}
