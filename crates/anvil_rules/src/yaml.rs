//! YAML as a tree with positions.
//!
//! Deserializing directly into types would stop at the first fault, but operators want all of them
//! at once. So the text is parsed into a tree that is then checked field by field; see
//! `docs/design/rules.md`.

use std::fmt;

use serde::de;
use serde::{Deserialize, Deserializer};
use serde_saphyr::{MergeKeyPolicy, Spanned, options};

/// Maximum size of a text, in bytes. This limit and those below allow
/// [`crate::document::MAX_RULES`] rules, and no text within them takes more than a second to check.
pub const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of scalars, lists and maps in a text.
const MAX_NODES: usize = 1_000_000;

/// Maximum number of parser events in a text; a list or a map takes two.
const MAX_EVENTS: usize = 2 * MAX_NODES;

/// Maximum number of parser events that aliases may repeat. A few hundred bytes of nested aliases
/// expand to billions of values and would block a node for seconds; real files share a few lists.
const MAX_ALIAS_EVENTS: usize = 20_000;

/// A position in the text; line and column count from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextPosition {
    /// The line.
    pub line: u64,
    /// The column, in characters.
    pub column: u64,
}

/// A value with its position.
#[derive(Clone, Debug)]
pub struct YamlNode {
    /// Where the value begins.
    pub position: TextPosition,
    /// The value.
    pub value: YamlValue,
}

/// A value, typed according to the YAML core schema.
#[derive(Clone, Debug)]
pub enum YamlValue {
    /// An empty value or `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number in the range of `i64`.
    Integer(i64),
    /// Any other number.
    Float(f64),
    /// Text.
    Text(String),
    /// A list.
    List(Vec<YamlNode>),
    /// A map, in order, with unique keys.
    Map(Vec<YamlEntry>),
}

/// One key of a map with its value.
#[derive(Clone, Debug)]
pub struct YamlEntry {
    /// The key.
    pub key: String,
    /// Where the key begins.
    pub position: TextPosition,
    /// The value.
    pub node: YamlNode,
}

/// A text that is not valid YAML or exceeds a limit.
#[derive(Clone, Debug)]
pub struct YamlError {
    /// Where parsing stopped, or the start of the text if the parser doesn't report it.
    pub position: TextPosition,
    /// The message of the parser.
    pub message: String,
}

impl YamlValue {
    /// The type of the value, as shown in a fault.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "true or false",
            Self::Integer(_) | Self::Float(_) => "a number",
            Self::Text(_) => "text",
            Self::List(_) => "a list",
            Self::Map(_) => "a map",
        }
    }
}

/// Parses one YAML document.
///
/// Fails with the parser's first error. Duplicate keys, merge keys, multiple documents and texts
/// above [`MAX_TEXT_BYTES`] are errors.
pub fn parse(text: &str) -> Result<YamlNode, YamlError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(YamlError {
            position: TextPosition { line: 1, column: 1 },
            message: format!("the text is longer than {MAX_TEXT_BYTES} bytes"),
        });
    }
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! { max_nodes: MAX_NODES, max_events: MAX_EVENTS },
        alias_limits: serde_saphyr::alias_limits! {
            max_total_replayed_events: MAX_ALIAS_EVENTS,
        },
        merge_keys: MergeKeyPolicy::Error,
        duplicate_keys: options::DuplicateKeyPolicy::Error,
        with_snippet: false,
    };
    let read = serde_saphyr::from_str_with_options::<Spanned<YamlValue>>(text, options);
    read.map(YamlNode::from).map_err(|error| {
        let location = error.location().filter(|location| location.line() > 0);
        YamlError {
            position: location.map_or(TextPosition { line: 1, column: 1 }, TextPosition::from),
            message: message_of(&error),
        }
    })
}

/// The parser's message without its position, which is reported separately.
fn message_of(error: &serde_saphyr::Error) -> String {
    let message = error.render_with_formatter(&serde_saphyr::UserMessageFormatter);
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message,
    }
}

impl From<serde_saphyr::Location> for TextPosition {
    fn from(location: serde_saphyr::Location) -> Self {
        Self {
            line: location.line(),
            column: location.column(),
        }
    }
}

impl From<Spanned<YamlValue>> for YamlNode {
    fn from(spanned: Spanned<YamlValue>) -> Self {
        Self {
            position: spanned.referenced.into(),
            value: spanned.value,
        }
    }
}

impl<'de> Deserialize<'de> for YamlValue {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> de::Visitor<'de> for ValueVisitor {
    type Value = YamlValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_none<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_some<D>(self, deserializer: D) -> Result<YamlValue, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }

    fn visit_bool<E>(self, value: bool) -> Result<YamlValue, E> {
        Ok(YamlValue::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<YamlValue, E> {
        Ok(YamlValue::Integer(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<YamlValue, E> {
        let value = i64::try_from(value);
        Ok(value.map_or(YamlValue::Float(f64::INFINITY), YamlValue::Integer))
    }

    fn visit_f64<E>(self, value: f64) -> Result<YamlValue, E> {
        Ok(YamlValue::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<YamlValue, E> {
        Ok(YamlValue::Text(value.to_owned()))
    }

    fn visit_string<E>(self, value: String) -> Result<YamlValue, E> {
        Ok(YamlValue::Text(value))
    }

    fn visit_seq<A>(self, mut access: A) -> Result<YamlValue, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut nodes = Vec::new();
        while let Some(node) = access.next_element::<Spanned<YamlValue>>()? {
            nodes.push(YamlNode::from(node));
        }
        Ok(YamlValue::List(nodes))
    }

    fn visit_map<A>(self, mut access: A) -> Result<YamlValue, A::Error>
    where
        A: de::MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(key) = access.next_key::<Spanned<String>>()? {
            let node = access.next_value::<Spanned<YamlValue>>()?;
            entries.push(YamlEntry {
                position: key.referenced.into(),
                key: key.value,
                node: YamlNode::from(node),
            });
        }
        Ok(YamlValue::Map(entries))
    }
}
