//! Renders JSON as human-readable text: indented keys, and tables for lists of flat objects.

use serde_json::{Map, Value};

/// Number of spaces of indentation per level.
const INDENT: usize = 2;

/// Number of spaces between columns of a table.
const COLUMN_GAP: usize = 2;

/// Renders `value` as human-readable text, with one line for each key or table row.
pub fn render(value: &Value) -> String {
    let mut text = String::new();
    write_value(value, 0, &mut text);
    text
}

fn write_value(value: &Value, depth: usize, text: &mut String) {
    match value {
        Value::Object(fields) => write_object(fields, depth, text),
        Value::Array(elements) => write_list(elements, depth, text),
        scalar => push_line(depth, &scalar_text(scalar), text),
    }
}

fn write_object(fields: &Map<String, Value>, depth: usize, text: &mut String) {
    let width = fields
        .iter()
        .filter(|(_, value)| fits_on_one_line(value))
        .map(|(key, _)| key.len())
        .max();
    let width = width.unwrap_or(0) + 1;
    for (key, value) in fields {
        if fits_on_one_line(value) {
            let label = format!("{key}:");
            push_line(depth, &format!("{label:width$} {}", line_text(value)), text);
        } else {
            push_line(depth, &format!("{key}:"), text);
            write_value(value, depth + 1, text);
        }
    }
}

fn write_list(elements: &[Value], depth: usize, text: &mut String) {
    if let Some(rows) = as_table_rows(elements) {
        return write_table(&rows, depth, text);
    }
    for element in elements {
        if fits_on_one_line(element) {
            push_line(depth, &format!("- {}", line_text(element)), text);
        } else {
            push_line(depth, "-", text);
            write_value(element, depth + 1, text);
        }
    }
}

/// The elements as table rows, or `None` if there are none or not all are objects whose values fit on
/// one line.
fn as_table_rows(elements: &[Value]) -> Option<Vec<&Map<String, Value>>> {
    if elements.is_empty() {
        return None;
    }
    let mut rows = Vec::with_capacity(elements.len());
    for element in elements {
        let row = element.as_object()?;
        if !row.values().all(fits_on_one_line) {
            return None;
        }
        rows.push(row);
    }
    Some(rows)
}

fn write_table(rows: &[&Map<String, Value>], depth: usize, text: &mut String) {
    let columns = column_names(rows);
    let mut lines: Vec<Vec<String>> = vec![columns.iter().map(ToString::to_string).collect()];
    for row in rows {
        let cells = columns.iter().map(|column| cell_text(row, column));
        lines.push(cells.collect());
    }
    let mut widths = vec![0; columns.len()];
    for line in &lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = cell.chars().count().max(*width);
        }
    }
    let gap = " ".repeat(COLUMN_GAP);
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        push_line(depth, &padded.join(&gap), text);
    }
}

/// The keys of all rows, in the order of their first occurrence.
fn column_names<'a>(rows: &[&'a Map<String, Value>]) -> Vec<&'a str> {
    let mut columns: Vec<&str> = Vec::new();
    for key in rows.iter().flat_map(|row| row.keys()) {
        if !columns.contains(&key.as_str()) {
            columns.push(key);
        }
    }
    columns
}

fn cell_text(row: &Map<String, Value>, column: &str) -> String {
    match row.get(column) {
        Some(value) => line_text(value),
        None => String::new(),
    }
}

/// Whether `value` is a scalar, a list of scalars or an empty object.
fn fits_on_one_line(value: &Value) -> bool {
    match value {
        Value::Object(fields) => fields.is_empty(),
        Value::Array(elements) => elements
            .iter()
            .all(|element| !element.is_object() && !element.is_array()),
        _ => true,
    }
}

fn line_text(value: &Value) -> String {
    match value {
        Value::Array(elements) if elements.is_empty() => "none".to_owned(),
        Value::Array(elements) => elements
            .iter()
            .map(scalar_text)
            .collect::<Vec<_>>()
            .join(", "),
        Value::Object(_) => "none".to_owned(),
        scalar => scalar_text(scalar),
    }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn push_line(depth: usize, line: &str, text: &mut String) {
    text.push_str(&" ".repeat(depth * INDENT));
    text.push_str(line.trim_end());
    text.push('\n');
}
