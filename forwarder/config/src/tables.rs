//! Deserializes TOML files. An error is one line with file, line, key and what is allowed there. Keys can be
//! overridden from outside before the file is checked.

use serde::de::DeserializeOwned;
use toml::de::DeTable;
use toml::{Table, Value};

/// A TOML text with the name of its file, and the keys that were overridden.
#[derive(Clone, Debug)]
pub struct Text {
    name: String,
    text: String,
    table: Table,
    set: Vec<String>,
}

impl Text {
    pub fn read(path: &std::path::Path) -> Result<Text, String> {
        let name = path.display().to_string();
        let bytes = std::fs::read(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
        let text = String::from_utf8(bytes).map_err(|_| format!("{name}: is not UTF-8"))?;
        Text::parse(name, text)
    }

    /// `name` identifies the file in messages.
    pub fn parse(name: String, text: String) -> Result<Text, String> {
        let table = text.parse::<Table>().map_err(|e| {
            let line = e.span().map_or(1, |span| line_at(&text, span.start));
            format!("{name}:{line}: not TOML: {}", one_line(e.message()))
        })?;
        Ok(Text {
            name,
            text,
            table,
            set: Vec::new(),
        })
    }

    /// Sets a key by its path, such as `forwarders.count` or `troubles.0.strength`. The value is TOML; a value that
    /// is not valid TOML is taken as a string.
    pub fn set(&mut self, path: &str, value: &str) -> Result<(), String> {
        let value = match format!("v = {value}").parse::<Table>() {
            Ok(mut table) => table
                .remove("v")
                .unwrap_or_else(|| Value::String(value.into())),
            Err(_) => Value::String(value.into()),
        };
        self.set_value(path, value)
    }

    pub fn set_value(&mut self, path: &str, value: Value) -> Result<(), String> {
        let steps: Vec<&str> = path.split('.').collect();
        let mut root = Value::Table(std::mem::take(&mut self.table));
        let result = put(&mut root, &steps, value).map_err(|what| format!("--set {path}: {what}"));
        let Value::Table(table) = root else {
            unreachable!("the root is a table")
        };
        self.table = table;
        self.set.push(path.to_owned());
        result
    }

    /// The text as it was read, without overrides.
    pub fn text(&self) -> &str {
        &self.text
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Deserializes the table. The error for an unknown key suggests the nearest known key.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, String> {
        let value = Value::Table(self.table.clone());
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            let message = one_line(e.inner().message());
            let unknown = quoted(&message).filter(|_| message.starts_with("unknown field"));
            let key = match unknown {
                // The path already ends with the unknown key for some shapes.
                Some(key) if path != key && !path.ends_with(&format!(".{key}")) => join(&path, key),
                _ => path,
            };
            let nearest = unknown.and_then(|key| nearest(key, &message));
            let hint = nearest
                .map(|known| format!("; did you mean `{known}`?"))
                .unwrap_or_default();
            self.error_at(&key, &format!("{message}{hint}"))
        })
    }

    /// The message for a key whose value is not allowed.
    pub fn error_at(&self, key: &str, what: &str) -> String {
        let key = key.trim_start_matches("?.").trim_end_matches(".?");
        if self.set.iter().any(|set| *set == dotted(key)) {
            return format!("--set {}: {what}", dotted(key));
        }
        format!("{}:{}: {key}: {what}", self.name, self.line_of(key))
    }

    /// The line of a key, or of the innermost enclosing table that the file contains.
    fn line_of(&self, key: &str) -> usize {
        let Ok(root) = DeTable::parse(&self.text) else {
            return 1;
        };
        let mut line = 1;
        let steps = dotted(key);
        let mut steps = steps.split('.');
        let Some((key, value)) = steps
            .next()
            .and_then(|step| root.get_ref().get_key_value(step))
        else {
            return line;
        };
        line = line_at(&self.text, key.span().start);
        let mut place = value;
        for step in steps {
            let next = match (step.parse::<usize>(), place.get_ref()) {
                (Ok(position), toml::de::DeValue::Array(list)) => {
                    list.get(position).map(|v| (v.span(), v))
                }
                (_, toml::de::DeValue::Table(table)) => table
                    .get_key_value(step)
                    .map(|(key, value)| (key.span(), value)),
                _ => None,
            };
            let Some((span, value)) = next else {
                return line;
            };
            (line, place) = (line_at(&self.text, span.start), value);
        }
        line
    }
}

/// Sets the value at a path. Missing tables along the path are created, missing list elements are not.
fn put(into: &mut Value, steps: &[&str], value: Value) -> Result<(), String> {
    let (step, rest) = steps.split_first().expect("a path has at least one step");
    let place = match (step.parse::<usize>(), into) {
        (Ok(position), Value::Array(list)) => list.get_mut(position),
        (_, Value::Table(table)) => Some(
            table
                .entry(step.to_string())
                .or_insert_with(|| Value::Table(Table::new())),
        ),
        _ => None,
    };
    let place = place.ok_or_else(|| format!("there is no {step:?} here"))?;
    if rest.is_empty() {
        *place = value;
        return Ok(());
    }
    put(place, rest, value)
}

/// Converts `troubles[1].kind` to `troubles.1.kind`.
fn dotted(key: &str) -> String {
    key.replace('[', ".")
        .replace(']', "")
        .trim_start_matches('.')
        .to_owned()
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() || path == "." {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn line_at(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The first text between two backquotes.
fn quoted(text: &str) -> Option<&str> {
    text.split('`').nth(1)
}

/// The nearest of the names that serde lists after "expected".
fn nearest<'a>(key: &str, message: &'a str) -> Option<&'a str> {
    let names = message.split('`').skip(3).step_by(2);
    let near = names.map(|name| (strsim::jaro_winkler(key, name), name));
    near.max_by(|a, b| a.0.total_cmp(&b.0))
        .filter(|(likeness, _)| *likeness > 0.7)
        .map(|(_, name)| name)
}

/// The nearest of some names, for messages about an unknown name.
pub fn nearest_of<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by(|a, b| strsim::jaro_winkler(key, a).total_cmp(&strsim::jaro_winkler(key, b)))
}
