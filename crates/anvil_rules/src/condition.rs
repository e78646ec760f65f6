//! The `when` part of a rule.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{path, service, view};

/// A condition on requests. All parts must match; an empty part matches every request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleCondition {
    /// One of these hosts, in lower case and without a port.
    pub hosts: Vec<String>,
    /// One of these services.
    pub services: Vec<service::ServicePattern>,
    /// One of these methods, case-sensitive as in RFC 9110.
    pub methods: Vec<String>,
    /// One of these paths.
    pub paths: Vec<path::PathPattern>,
    /// All of these headers, sorted by name and without duplicates.
    pub headers: Vec<HeaderCondition>,
}

/// A condition on one header.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{name} {test}")]
pub struct HeaderCondition {
    /// Field name, lower case.
    pub name: String,
    /// The test of its lines.
    pub test: HeaderTest,
}

/// A test of the lines of one header.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeaderTest {
    /// There is at least one line.
    #[display("is present")]
    Present,
    /// There is no line.
    #[display("is absent")]
    Absent,
    /// One of the lines has exactly this value.
    #[display("equals {_0:?}")]
    Equals(String),
}

/// The part of a condition that didn't match.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ConditionPart {
    /// The host differs.
    #[display("host")]
    Host,
    /// The service differs.
    #[display("service")]
    Service,
    /// The method differs.
    #[display("method")]
    Method,
    /// The path differs.
    #[display("path")]
    Path,
    /// A header is missing, differs, or is present although it must be absent.
    #[display("headers")]
    Headers,
}

impl RuleCondition {
    /// Whether the condition matches `request`.
    pub fn matches(&self, request: &view::RequestView<'_>) -> bool {
        self.first_mismatch(request).is_none()
    }

    /// The first part that doesn't match `request`, or `None` if all match.
    pub fn first_mismatch(&self, request: &view::RequestView<'_>) -> Option<ConditionPart> {
        if !self.matches_host(request) {
            return Some(ConditionPart::Host);
        }
        if !self.matches_service(request.service) {
            return Some(ConditionPart::Service);
        }
        if !self.matches_method(request.method) {
            return Some(ConditionPart::Method);
        }
        if !self.matches_path(request.path) {
            return Some(ConditionPart::Path);
        }
        if !self.headers.iter().all(|header| header.matches(request)) {
            return Some(ConditionPart::Headers);
        }
        None
    }

    fn matches_host(&self, request: &view::RequestView<'_>) -> bool {
        if self.hosts.is_empty() {
            return true;
        }
        let host = request.host().unwrap_or_default();
        self.hosts
            .iter()
            .any(|known| known.eq_ignore_ascii_case(host))
    }

    fn matches_service(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        self.services.is_empty() || services.any(|pattern| pattern.matches(service))
    }

    fn matches_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|known| known == method)
    }

    fn matches_path(&self, path: &str) -> bool {
        self.paths.is_empty() || self.paths.iter().any(|pattern| pattern.matches(path))
    }

    /// Whether this condition provably matches every request that `other` matches.
    ///
    /// A `false` may be wrong if only several patterns together cover one of `other`; a `true` is
    /// always right.
    pub fn covers(&self, other: &Self) -> bool {
        covers_each(&self.hosts, &other.hosts, |own, inner| own == inner)
            && covers_each(&self.services, &other.services, |own, inner| {
                own.covers(inner)
            })
            && covers_each(&self.methods, &other.methods, |own, inner| own == inner)
            && covers_each(&self.paths, &other.paths, |own, inner| own.covers(inner))
            && self
                .headers
                .iter()
                .all(|own| own.is_implied_by(&other.headers))
    }
}

fn covers_each<P, C>(outer: &[P], inner: &[P], covers: C) -> bool
where
    C: Fn(&P, &P) -> bool,
{
    if outer.is_empty() {
        return true;
    }
    let covered = |part: &P| outer.iter().any(|own| covers(own, part));
    !inner.is_empty() && inner.iter().all(covered)
}

impl HeaderCondition {
    fn matches(&self, request: &view::RequestView<'_>) -> bool {
        let mut lines = request.headers.iter().filter(|line| line.name == self.name);
        match &self.test {
            HeaderTest::Present => lines.next().is_some(),
            HeaderTest::Absent => lines.next().is_none(),
            HeaderTest::Equals(value) => lines.any(|line| line.value == value.as_bytes()),
        }
    }

    fn is_implied_by(&self, others: &[Self]) -> bool {
        let mut same_name = others.iter().filter(|other| other.name == self.name);
        same_name.any(|other| match (&self.test, &other.test) {
            (HeaderTest::Present, HeaderTest::Equals(_)) => true,
            (own, test) => own == test,
        })
    }
}
