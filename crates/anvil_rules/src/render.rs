//! Rendering of a document as YAML.
//!
//! Only changes are stored, not the text that an operator sent. So the rendered text has lost its
//! comments, but parsing it gives an equal document.

use anvil_types::{context, treatment};
use serde::{Serialize, Serializer};

use crate::{account, condition, destination, document, duration, outcome};

#[derive(Serialize)]
struct DocumentText<'a> {
    rules: Vec<RuleText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    accounts: Option<Vec<AccountText<'a>>>,
}

#[derive(Serialize)]
struct AccountText<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<context::PriorityClass>,
    keys: Vec<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rate: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    burst: Option<u32>,
}

#[derive(Serialize)]
struct RuleText<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "WhenText::is_empty")]
    when: WhenText<'a>,
    then: ThenText<'a>,
}

#[derive(Serialize)]
struct WhenText<'a> {
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    host: &'a [String],
    #[serde(skip_serializing_if = "Vec::is_empty")]
    service: Vec<String>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    method: &'a [String],
    #[serde(skip_serializing_if = "Vec::is_empty")]
    path: Vec<String>,
    #[serde(skip_serializing_if = "Vec::is_empty", serialize_with = "as_map")]
    headers: Vec<(&'a str, HeaderText<'a>)>,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum HeaderText<'a> {
    Equals(&'a str),
    Present(bool),
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ThenText<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    action: Option<treatment::RuleAction>,
    #[serde(skip_serializing_if = "Option::is_none")]
    public: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    send_to: Option<SendText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<context::PriorityClass>,
    #[serde(skip_serializing_if = "Option::is_none")]
    idempotent: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retries: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_ratio: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    backoff: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempts: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    objective: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    queue_wait: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    crash_limit: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    quarantine: Option<String>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum SendText<'a> {
    Service(&'a str),
    Split(Vec<PartText<'a>>),
}

#[derive(Serialize)]
struct PartText<'a> {
    service: &'a str,
    weight: u32,
}

impl<'a> SendText<'a> {
    fn of(destination: &'a destination::RuleDestination) -> Self {
        let part = |part: &'a destination::WeightedService| PartText {
            service: part.service.as_str(),
            weight: part.weight,
        };
        match destination {
            destination::RuleDestination::Service(service) => Self::Service(service.as_str()),
            destination::RuleDestination::Split(parts) => {
                Self::Split(parts.iter().map(part).collect())
            }
        }
    }
}

/// Renders a document as YAML that [`crate::parse::parse_rules`] parses to an equal one.
pub fn to_yaml(document: &document::RuleDocument) -> String {
    let rules = document.rules().iter().map(|rule| rule_text(rule));
    let accounts = document.accounts().map(|table| table.accounts());
    let text = DocumentText {
        rules: rules.collect(),
        accounts: accounts.map(|accounts| {
            accounts
                .iter()
                .map(|account| account_text(account))
                .collect()
        }),
    };
    // Serializing strings, numbers and maps with text keys into memory can't fail.
    serde_saphyr::to_string(&text).unwrap_or_default()
}

fn as_map<S>(headers: &[(&str, HeaderText<'_>)], serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_map(headers.iter().map(|(name, test)| (name, test)))
}

/// Keys are rendered as digests, since the keys themselves are not stored.
fn account_text(record: &account::AccountRecord) -> AccountText<'_> {
    AccountText {
        name: record.name.as_str(),
        class: record.class,
        keys: record.keys.iter().map(ToString::to_string).collect(),
        rate: record.quota.map(|quota| quota.per_kilosecond / 1_000),
        burst: record.quota.map(|quota| quota.burst),
    }
}

fn rule_text(rule: &document::NamedRule) -> RuleText<'_> {
    RuleText {
        name: rule.name.as_str(),
        when: WhenText::of(&rule.when),
        then: ThenText::of(&rule.then),
    }
}

impl<'a> WhenText<'a> {
    fn of(when: &'a condition::RuleCondition) -> Self {
        let header = |header: &'a condition::HeaderCondition| {
            let test = match &header.test {
                condition::HeaderTest::Present => HeaderText::Present(true),
                condition::HeaderTest::Absent => HeaderText::Present(false),
                condition::HeaderTest::Equals(value) => HeaderText::Equals(value),
            };
            (header.name.as_str(), test)
        };
        Self {
            host: &when.hosts,
            service: when.services.iter().map(ToString::to_string).collect(),
            method: &when.methods,
            path: when.paths.iter().map(ToString::to_string).collect(),
            headers: when.headers.iter().map(header).collect(),
        }
    }

    const fn is_empty(&self) -> bool {
        self.host.is_empty()
            && self.service.is_empty()
            && self.method.is_empty()
            && self.path.is_empty()
            && self.headers.is_empty()
    }
}

impl<'a> ThenText<'a> {
    fn of(then: &'a outcome::RuleOutcome) -> Self {
        Self {
            action: then.action,
            public: then.public,
            send_to: then.send_to.as_ref().map(SendText::of),
            attempts: then.attempts,
            objective: then.objective.map(duration::format),
            class: then.class,
            idempotent: then.idempotent,
            retries: then.chain_retries,
            retry_ratio: then.retry_ratio_percent.map(|ratio| format!("{ratio}%")),
            backoff: then.backoff.map(duration::format),
            deadline: then.deadline.map(duration::format),
            queue_wait: then.queue_wait.map(duration::format),
            crash_limit: then.crash_limit,
            quarantine: then.quarantine.map(duration::format),
        }
    }
}
