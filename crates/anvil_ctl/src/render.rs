//! JSON in readable form: maps as indented lines, lists of maps as tables.

use std::fmt::Write;

use serde_json::{Map, Value};

/// Two spaces for each level.
const INDENT: &str = "  ";

/// Columns that identify a row, which come first.
const LEADING_COLUMNS: [&str; 5] = ["revision", "name", "node", "service", "field"];

/// Placeholder for an empty or missing value.
const PLACEHOLDER: &str = "-";

/// Renders any JSON value; the text ends with a line break.
pub fn tree(value: &Value) -> String {
    let mut out = String::new();
    match value {
        Value::Object(fields) => write_fields(&mut out, fields, 0),
        Value::Array(items) => write_items(&mut out, items, 0),
        scalar => line(&mut out, 0, &plain(scalar)),
    }
    out
}

fn write_fields(out: &mut String, fields: &Map<String, Value>, depth: usize) {
    for (name, value) in fields {
        match value {
            Value::Object(inner) if !inner.is_empty() => {
                line(out, depth, &format!("{name}:"));
                write_fields(out, inner, depth + 1);
            }
            Value::Array(items) if items.iter().any(is_nested) => {
                line(out, depth, &format!("{name}: {}", items.len()));
                write_items(out, items, depth + 1);
            }
            flat => line(out, depth, &format!("{name}: {}", plain(flat))),
        }
    }
}

fn write_items(out: &mut String, items: &[Value], depth: usize) {
    if let Some(rows) = as_rows(items) {
        write_table(out, &rows, depth);
        return;
    }
    for item in items {
        match item {
            Value::Object(fields) => {
                line(out, depth, "-");
                write_fields(out, fields, depth + 1);
            }
            Value::Array(inner) if inner.iter().any(is_nested) => {
                line(out, depth, "-");
                write_items(out, inner, depth + 1);
            }
            flat => line(out, depth, &format!("- {}", plain(flat))),
        }
    }
}

/// The maps of a list, if every item is a map that fits in one table row.
fn as_rows(items: &[Value]) -> Option<Vec<&Map<String, Value>>> {
    let rows: Option<Vec<_>> = items.iter().map(Value::as_object).collect();
    rows.filter(|rows| rows.iter().all(|row| !row.values().any(is_deep)))
}

fn write_table(out: &mut String, rows: &[&Map<String, Value>], depth: usize) {
    let columns = columns_of(rows);
    let cells: Vec<Vec<String>> = rows.iter().map(|row| row_cells(row, &columns)).collect();
    let widths: Vec<usize> = columns
        .iter()
        .enumerate()
        .map(|(index, name)| column_width(name, index, &cells))
        .collect();
    let titles: Vec<String> = columns.iter().map(|name| (*name).to_owned()).collect();
    for row in std::iter::once(&titles).chain(&cells) {
        let padded = row.iter().zip(&widths);
        let padded: Vec<String> = padded
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        line(out, depth, padded.join(INDENT).trim_end());
    }
}

/// All columns of the rows, the leading ones first.
fn columns_of<'a>(rows: &[&'a Map<String, Value>]) -> Vec<&'a str> {
    let mut columns: Vec<&str> = Vec::new();
    for name in rows.iter().flat_map(|row| row.keys()) {
        if !columns.contains(&name.as_str()) {
            columns.push(name);
        }
    }
    let rank = |name: &&str| LEADING_COLUMNS.iter().position(|leading| leading == name);
    columns.sort_by_key(|name| rank(name).unwrap_or(LEADING_COLUMNS.len()));
    columns
}

fn row_cells(row: &Map<String, Value>, columns: &[&str]) -> Vec<String> {
    let cell = |name: &&str| row.get(*name).map_or_else(|| PLACEHOLDER.to_owned(), plain);
    columns.iter().map(cell).collect()
}

fn column_width(name: &str, index: usize, cells: &[Vec<String>]) -> usize {
    let widest = cells.iter().map(|row| row[index].chars().count()).max();
    widest.unwrap_or_default().max(name.chars().count())
}

/// A value on one line.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => PLACEHOLDER.to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => PLACEHOLDER.to_owned(),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            items.join(", ")
        }
        Value::Object(fields) if fields.is_empty() => PLACEHOLDER.to_owned(),
        Value::Object(fields) => {
            let fields = fields.iter();
            let fields: Vec<String> = fields
                .map(|(name, v)| format!("{name}={}", plain(v)))
                .collect();
            fields.join(" ")
        }
        other => other.to_string(),
    }
}

fn is_nested(value: &Value) -> bool {
    matches!(value, Value::Object(_) | Value::Array(_))
}

/// Whether a value is too deep for one cell of a table.
fn is_deep(value: &Value) -> bool {
    match value {
        Value::Object(fields) => fields.values().any(is_nested),
        Value::Array(items) => items.iter().any(is_nested),
        _ => false,
    }
}

fn line(out: &mut String, depth: usize, text: &str) {
    let indent = INDENT.repeat(depth);
    // Writing to a string can't fail.
    let _ = writeln!(out, "{indent}{text}");
}
