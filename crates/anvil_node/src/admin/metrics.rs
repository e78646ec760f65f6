//! The edges' and the reducer's counters in the Prometheus text format.

use prometheus::{Encoder, TextEncoder};
use serde_json::Value;

use crate::counters;

/// Media type of the text format.
pub const MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Encodes the edges' registry and the reducer's counters, given as a JSON object of numbers.
pub fn encode(counters: &counters::EdgeCounters, reducer: &str) -> String {
    let families = counters.registry().gather();
    let mut bytes = Vec::new();
    // Encoding into memory fails only if a metric family is inconsistent, which tests rule out.
    let _ = TextEncoder::new().encode(&families, &mut bytes);
    let mut text = String::from_utf8(bytes).unwrap_or_default();
    let parsed: Value = serde_json::from_str(reducer).unwrap_or_default();
    append("anvil", &parsed, &mut text);
    text
}

/// Name of the field that labels the other fields of a list entry.
const LABEL: &str = "account";

/// Appends each number as an untyped metric named by its path; the reducer documents each in the
/// dump. In a list, the field [`LABEL`] of each entry becomes the label of its numbers.
fn append(path: &str, value: &Value, text: &mut String) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                append(&format!("{path}_{name}"), value, text);
            }
        }
        Value::Number(number) => {
            append_head(path, text);
            text.push_str(&format!("{path} {number}\n"));
        }
        Value::Array(entries) => append_labelled(path, entries, text),
        _ => {}
    }
}

fn append_head(path: &str, text: &mut String) {
    let words = path.trim_start_matches("anvil_").replace('_', " ");
    text.push_str(&format!(
        "# HELP {path} Reducer: {words}, in events since the start or as of now.\n\
         # TYPE {path} untyped\n"
    ));
}

/// Appends the numbers of a list, one metric family for each field.
fn append_labelled(path: &str, entries: &[Value], text: &mut String) {
    let Some(Value::Object(fields)) = entries.first() else {
        return;
    };
    for (name, _) in fields.iter().filter(|(_, value)| value.is_number()) {
        let path = format!("{path}_{name}");
        append_head(&path, text);
        for entry in entries {
            // Names of accounts contain nothing that a label would have to escape.
            if let (Some(label), Some(number)) = (entry[LABEL].as_str(), entry[name].as_number()) {
                text.push_str(&format!("{path}{{{LABEL}=\"{label}\"}} {number}\n"));
            }
        }
    }
}
