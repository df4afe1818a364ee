//! JSON written for people: indented keys, and tables for lists of like objects.

use serde_json::{Map, Value};

/// Spaces by which each level is indented.
const INDENT: usize = 2;

/// Spaces between two columns of a table.
const COLUMN_GAP: usize = 2;

/// Writes `value` for people.
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
    let row = |element: &'_ Value| {
        element
            .as_object()
            .is_some_and(|row| row.values().all(fits_line))
    };
    if elements.iter().all(row) {
        elements.iter().map(Value::as_object).collect()
    } else {
        None
    }
}

fn write_table(rows: &[&Map<String, Value>], depth: usize, text: &mut String) {
    let mut columns: Vec<&str> = Vec::new();
    for key in rows.iter().flat_map(|row| row.keys()) {
        if !columns.contains(&key.as_str()) {
            columns.push(key);
        }
    }
    let heading: Vec<String> = columns.iter().map(|column| (*column).to_owned()).collect();
    let cell = |row: &&Map<String, Value>, column: &str| {
        row.get(column).map(line_text).unwrap_or_default()
    };
    let body = rows
        .iter()
        .map(|row| columns.iter().map(|column| cell(row, column)).collect());
    let lines: Vec<Vec<String>> = std::iter::once(heading).chain(body).collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|place| widest(lines.iter().map(|line| line[place].as_str())))
        .collect();
    for line in &lines {
        let cells = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        push_line(
            depth,
            &cells.collect::<Vec<_>>().join(&" ".repeat(COLUMN_GAP)),
            text,
        );
    }
}

fn widest<'a>(cells: impl Iterator<Item = &'a str>) -> usize {
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}

/// True for plain values and for lists of them.
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
