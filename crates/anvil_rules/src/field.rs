//! Typed access to one field, which reports a fault if its value is invalid.

use std::ops::RangeInclusive;
use std::time::Duration;

use anvil_types::name;

use crate::{duration, fault, range, yaml};

/// A value with its path in the document, such as `rules[2].then.deadline`.
#[derive(Debug)]
pub(crate) struct NodeField<'a> {
    pub(crate) node: &'a yaml::YamlNode,
    pub(crate) path: String,
}

/// The fields of a map.
#[derive(Debug)]
pub(crate) struct FieldMap<'a> {
    entries: &'a [yaml::YamlEntry],
    path: String,
    position: yaml::TextPosition,
}

impl<'a> FieldMap<'a> {
    /// Opens a map and adds a fault for each field that is not in `known`.
    pub(crate) fn open(
        field: &NodeField<'a>,
        known: &'static [&'static str],
        faults: &mut fault::FaultList<'_>,
    ) -> Option<Self> {
        let entries = field.map(faults)?;
        let map = Self {
            entries,
            path: field.path.clone(),
            position: field.node.position,
        };
        for entry in entries {
            if !known.contains(&entry.key.as_str()) {
                let reason = fault::FaultReason::UnknownField { known };
                faults.add(entry.position, &join(&map.path, &entry.key), reason);
            }
        }
        Some(map)
    }

    /// The field of this name, if it is set.
    pub(crate) fn get(&self, name: &str) -> Option<NodeField<'a>> {
        let entry = self.entries.iter().find(|entry| entry.key == name)?;
        Some(NodeField {
            node: &entry.node,
            path: join(&self.path, name),
        })
    }

    /// The field of this name; adds a fault if it isn't set.
    pub(crate) fn require(
        &self,
        name: &'static str,
        faults: &mut fault::FaultList<'_>,
    ) -> Option<NodeField<'a>> {
        let field = self.get(name);
        if field.is_none() {
            let reason = fault::FaultReason::MissingField { name };
            faults.add(self.position, path_or_document(&self.path), reason);
        }
        field
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

/// The path to show in a fault; the root of the document has an empty path.
fn path_or_document(path: &str) -> &str {
    if path.is_empty() { "document" } else { path }
}

impl<'a> NodeField<'a> {
    /// Adds a fault about this field.
    pub(crate) fn add_fault(&self, reason: fault::FaultReason, faults: &mut fault::FaultList<'_>) {
        faults.add(self.node.position, path_or_document(&self.path), reason);
    }

    fn add_wrong_type(&self, expected: &'static str, faults: &mut fault::FaultList<'_>) {
        let found = self.node.value.kind();
        self.add_fault(fault::FaultReason::WrongType { expected, found }, faults);
    }

    /// Parses text in a special format, such as a duration.
    fn parsed<T, R>(
        &self,
        expected: &'static str,
        read: R,
        faults: &mut fault::FaultList<'_>,
    ) -> Option<T>
    where
        R: Fn(&str) -> Option<T>,
    {
        let yaml::YamlValue::Text(text) = &self.node.value else {
            self.add_wrong_type(expected, faults);
            return None;
        };
        let value = read(text);
        if value.is_none() {
            let found = text.chars().take(range::MAX_VALUE_BYTES).collect();
            self.add_fault(
                fault::FaultReason::InvalidFormat { found, expected },
                faults,
            );
        }
        value
    }

    pub(crate) fn map(&self, faults: &mut fault::FaultList<'_>) -> Option<&'a [yaml::YamlEntry]> {
        let yaml::YamlValue::Map(entries) = &self.node.value else {
            self.add_wrong_type("a map", faults);
            return None;
        };
        Some(entries)
    }

    /// Whether the value is a list.
    pub(crate) fn is_list(&self) -> bool {
        matches!(self.node.value, yaml::YamlValue::List(_))
    }

    /// The entries of a list with at most `limit` entries.
    pub(crate) fn list(
        &self,
        limit: usize,
        faults: &mut fault::FaultList<'_>,
    ) -> Option<Vec<Self>> {
        let yaml::YamlValue::List(nodes) = &self.node.value else {
            self.add_wrong_type("a list", faults);
            return None;
        };
        if nodes.len() > limit {
            self.add_fault(fault::FaultReason::TooMany { limit }, faults);
            return None;
        }
        let item = |(index, node)| Self {
            node,
            path: format!("{}[{index}]", self.path),
        };
        Some(nodes.iter().enumerate().map(item).collect())
    }

    /// The entries of a list that isn't empty, or a single value as its only entry.
    pub(crate) fn one_or_more(&self, faults: &mut fault::FaultList<'_>) -> Vec<Self> {
        if !matches!(self.node.value, yaml::YamlValue::List(_)) {
            return vec![Self {
                node: self.node,
                path: self.path.clone(),
            }];
        }
        let items = self.list(range::MAX_LIST_ENTRIES, faults);
        if items.as_ref().is_some_and(Vec::is_empty) {
            self.add_fault(fault::FaultReason::EmptyList, faults);
        }
        items.unwrap_or_default()
    }

    /// Text of at most [`range::MAX_VALUE_BYTES`].
    pub(crate) fn text(&self, faults: &mut fault::FaultList<'_>) -> Option<&'a str> {
        let yaml::YamlValue::Text(text) = &self.node.value else {
            self.add_wrong_type("text (in quotes, if it looks like a number)", faults);
            return None;
        };
        let limit = range::MAX_VALUE_BYTES;
        if text.len() > limit {
            self.add_fault(fault::FaultReason::TooLong { limit }, faults);
            return None;
        }
        Some(text)
    }

    /// Parses text by `read`; its error becomes a fault of this field.
    pub(crate) fn read<T, R>(&self, read: R, faults: &mut fault::FaultList<'_>) -> Option<T>
    where
        R: Fn(&str) -> Result<T, fault::FaultReason>,
    {
        let text = self.text(faults)?;
        read(text)
            .map_err(|reason| self.add_fault(reason, faults))
            .ok()
    }

    /// A name, validated by `new`.
    pub(crate) fn name<T, N>(&self, new: N, faults: &mut fault::FaultList<'_>) -> Option<T>
    where
        N: Fn(&str) -> Result<T, name::NameError>,
    {
        self.read(|text| Ok(new(text)?), faults)
    }

    pub(crate) fn boolean(&self, faults: &mut fault::FaultList<'_>) -> Option<bool> {
        let yaml::YamlValue::Bool(value) = self.node.value else {
            self.add_wrong_type("true or false", faults);
            return None;
        };
        Some(value)
    }

    /// A whole number within `range`.
    pub(crate) fn integer<T>(
        &self,
        range: &RangeInclusive<i64>,
        faults: &mut fault::FaultList<'_>,
    ) -> Option<T>
    where
        T: TryFrom<i64>,
    {
        let yaml::YamlValue::Integer(number) = self.node.value else {
            self.add_wrong_type("a whole number", faults);
            return None;
        };
        self.check_range(number, number.to_string(), range, faults)
    }

    /// A whole number of percent within `range`, such as `10%`.
    pub(crate) fn percent<T>(
        &self,
        range: &RangeInclusive<i64>,
        faults: &mut fault::FaultList<'_>,
    ) -> Option<T>
    where
        T: TryFrom<i64>,
    {
        let expected = "a whole number of percent, such as 10%";
        let read = |text: &str| text.strip_suffix('%')?.parse().ok();
        let number: i64 = self.parsed(expected, read, faults)?;
        self.check_range(number, format!("{number}%"), range, faults)
    }

    fn check_range<T>(
        &self,
        number: i64,
        found: String,
        range: &RangeInclusive<i64>,
        faults: &mut fault::FaultList<'_>,
    ) -> Option<T>
    where
        T: TryFrom<i64>,
    {
        let value = T::try_from(number).ok().filter(|_| range.contains(&number));
        if value.is_none() {
            let reason = fault::FaultReason::OutOfRange {
                found,
                min: range.start().to_string(),
                max: range.end().to_string(),
            };
            self.add_fault(reason, faults);
        }
        value
    }

    /// A duration within `range`, such as `500ms`.
    pub(crate) fn duration(
        &self,
        range: &RangeInclusive<Duration>,
        faults: &mut fault::FaultList<'_>,
    ) -> Option<Duration> {
        let expected = "a duration such as 500ms, 10s or 5m";
        let value = self.parsed(expected, duration::parse, faults)?;
        if !range.contains(&value) {
            let reason = fault::FaultReason::OutOfRange {
                found: duration::format(value),
                min: duration::format(*range.start()),
                max: duration::format(*range.end()),
            };
            self.add_fault(reason, faults);
            return None;
        }
        Some(value)
    }

    /// One of the keywords in `known`, which correspond to `values` by index.
    pub(crate) fn keyword<T>(
        &self,
        known: &'static [&'static str],
        values: &[T],
        faults: &mut fault::FaultList<'_>,
    ) -> Option<T>
    where
        T: Copy,
    {
        let text = self.text(faults)?;
        let position = known.iter().position(|keyword| *keyword == text);
        if position.is_none() {
            let reason = fault::FaultReason::UnknownValue {
                found: text.to_owned(),
                known,
            };
            self.add_fault(reason, faults);
        }
        values.get(position?).copied()
    }
}
