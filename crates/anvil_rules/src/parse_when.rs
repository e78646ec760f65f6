//! Parsing of the `when` part of a rule.

use anvil_types::name;

use crate::{condition, fault, field, method, path, service};

/// Fields of a condition.
const FIELDS: [&str; 5] = ["host", "service", "method", "path", "headers"];

/// Fields of the condition on one header.
const HEADER_FIELDS: [&str; 2] = ["equals", "present"];

/// Parses a condition; an invalid part is left empty.
pub(crate) fn read_condition(
    field: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> condition::RuleCondition {
    let Some(map) = field::FieldMap::open(field, &FIELDS, faults) else {
        return condition::RuleCondition::default();
    };
    condition::RuleCondition {
        hosts: read_part(map.get("host"), read_host, faults),
        services: read_part(map.get("service"), read_service, faults),
        methods: read_part(map.get("method"), read_method, faults),
        paths: read_part(map.get("path"), read_path, faults),
        headers: map
            .get("headers")
            .map(|headers| read_headers(&headers, faults))
            .unwrap_or_default(),
    }
}

fn read_part<T, R>(
    field: Option<field::NodeField<'_>>,
    read: R,
    faults: &mut fault::FaultList<'_>,
) -> Vec<T>
where
    R: Fn(&str) -> Result<T, fault::FaultReason>,
{
    let Some(field) = field else {
        return Vec::new();
    };
    let items = field.one_or_more(faults).into_iter();
    items.filter_map(|item| item.read(&read, faults)).collect()
}

fn read_host(text: &str) -> Result<String, fault::FaultReason> {
    let forbidden = |c: char| c.is_whitespace() || c.is_control() || "/?#@*".contains(c);
    if text.is_empty() || text.contains(forbidden) {
        let found = text.to_owned();
        return Err(fault::FaultReason::InvalidHost { found });
    }
    Ok(text.to_ascii_lowercase())
}

fn read_service(text: &str) -> Result<service::ServicePattern, fault::FaultReason> {
    let found = || text.to_owned();
    match text.split_once('*') {
        None => {
            name::ServiceName::new(text)?;
            Ok(service::ServicePattern::Exact(found()))
        }
        Some((_, rest)) if !rest.is_empty() => {
            Err(fault::FaultReason::MisplacedStar { found: found() })
        }
        Some(("", _)) => Ok(service::ServicePattern::Prefix(String::new())),
        Some((prefix, _)) => {
            name::ServiceName::new(prefix)?;
            Ok(service::ServicePattern::Prefix(prefix.to_owned()))
        }
    }
}

fn read_method(text: &str) -> Result<String, fault::FaultReason> {
    let found = text.to_owned();
    if !method::is_token(text) || text.bytes().any(|byte| byte.is_ascii_lowercase()) {
        return Err(fault::FaultReason::InvalidMethod { found });
    }
    Ok(found)
}

fn read_path(text: &str) -> Result<path::PathPattern, fault::FaultReason> {
    let begins = text.starts_with(['/', '*']);
    let forbidden = |c: char| c.is_whitespace() || c.is_control() || c == '?' || c == '#';
    if !begins || text.contains(forbidden) {
        let found = text.to_owned();
        return Err(fault::FaultReason::InvalidPath { found });
    }
    Ok(path::PathPattern::new(text))
}

fn read_headers(
    field: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Vec<condition::HeaderCondition> {
    let Some(entries) = field.map(faults) else {
        return Vec::new();
    };
    let mut headers = Vec::new();
    for entry in entries {
        let item = field::NodeField {
            node: &entry.node,
            path: format!("{}.{}", field.path, entry.key),
        };
        if !method::is_token(&entry.key) {
            let found = entry.key.clone();
            item.add_fault(fault::FaultReason::InvalidHeaderName { found }, faults);
            continue;
        }
        let Some(test) = read_header_test(&item, faults) else {
            continue;
        };
        let name = entry.key.to_ascii_lowercase();
        match headers.binary_search_by(|header: &condition::HeaderCondition| header.name.cmp(&name))
        {
            Ok(_) => item.add_fault(fault::FaultReason::DuplicateHeader { name }, faults),
            Err(at) => headers.insert(at, condition::HeaderCondition { name, test }),
        }
    }
    headers
}

fn read_header_test(
    field: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Option<condition::HeaderTest> {
    if !matches!(field.node.value, crate::yaml::YamlValue::Map(_)) {
        let text = field.text(faults)?;
        return Some(condition::HeaderTest::Equals(text.to_owned()));
    }
    let map = field::FieldMap::open(field, &HEADER_FIELDS, faults)?;
    if let Some(equals) = map.get("equals") {
        let text = equals.text(faults)?;
        return Some(condition::HeaderTest::Equals(text.to_owned()));
    }
    let present = map.require("present", faults)?.boolean(faults)?;
    Some(if present {
        condition::HeaderTest::Present
    } else {
        condition::HeaderTest::Absent
    })
}
