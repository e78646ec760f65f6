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

/// Appends each number as an untyped metric named by its path; the reducer documents each in the
/// dump.
fn append(path: &str, value: &Value, text: &mut String) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                append(&format!("{path}_{name}"), value, text);
            }
        }
        Value::Number(number) => {
            let words = path.trim_start_matches("anvil_").replace('_', " ");
            text.push_str(&format!(
                "# HELP {path} Reducer: {words}, in events since the start or as of now.\n\
                 # TYPE {path} untyped\n{path} {number}\n"
            ));
        }
        _ => {}
    }
}
