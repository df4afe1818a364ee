//! JSON rendered for people: indented keys, and tables for lists of objects that are alike.

use serde_json::{Map, Value};

/// Spaces by which each level is indented.
const INDENT: usize = 2;

/// Spaces between two columns of a table.
const COLUMN_GAP: usize = 2;

/// Renders `value` for people, one line for each key.
pub fn render(value: &Value) -> String {
    let mut text = String::new();
    write_value(value, 0, &mut text);
    text
}

fn write_value(value: &Value, depth: usize, text: &mut String) {
    match value {
        Value::Object(fields) => write_object(fields, depth, text),
        Value::Array(elements) => write_list(elements, depth, text),
        plain => push_line(depth, &plain_text(plain), text),
    }
}

fn write_object(fields: &Map<String, Value>, depth: usize, text: &mut String) {
    let width = fields
        .iter()
        .filter(|(_, value)| fits_line(value))
        .map(|(key, _)| key.len())
        .max();
    let width = width.unwrap_or(0) + 1;
    for (key, value) in fields {
        if fits_line(value) {
            let label = format!("{key}:");
            push_line(depth, &format!("{label:width$} {}", line_text(value)), text);
        } else {
            push_line(depth, &format!("{key}:"), text);
            write_value(value, depth + 1, text);
        }
    }
}

fn write_list(elements: &[Value], depth: usize, text: &mut String) {
    if let Some(rows) = rows_of(elements) {
        return write_table(&rows, depth, text);
    }
    for element in elements {
        if fits_line(element) {
            push_line(depth, &format!("- {}", line_text(element)), text);
        } else {
            push_line(depth, "-", text);
            write_value(element, depth + 1, text);
        }
    }
}

/// The elements as rows, if there are any and all are objects whose values fit a line.
fn rows_of(elements: &[Value]) -> Option<Vec<&Map<String, Value>>> {
    if elements.is_empty() {
        return None;
    }
    let mut rows = Vec::with_capacity(elements.len());
    for element in elements {
        let row = element.as_object()?;
        if !row.values().all(fits_line) {
            return None;
        }
        rows.push(row);
    }
    Some(rows)
}

fn write_table(rows: &[&Map<String, Value>], depth: usize, text: &mut String) {
    let columns = columns_of(rows);
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

/// The keys of all rows, in the order in which they first occur.
fn columns_of<'a>(rows: &[&'a Map<String, Value>]) -> Vec<&'a str> {
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

/// Whether `value` is plain, or a list of plain values.
fn fits_line(value: &Value) -> bool {
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
            .map(plain_text)
            .collect::<Vec<_>>()
            .join(", "),
        Value::Object(_) => "none".to_owned(),
        plain => plain_text(plain),
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(word) => word.clone(),
        other => other.to_string(),
    }
}

fn push_line(depth: usize, line: &str, text: &mut String) {
    text.push_str(&" ".repeat(depth * INDENT));
    text.push_str(line.trim_end());
    text.push('\n');
}
