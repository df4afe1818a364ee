//! Errors of a policy text, with the information that its author needs to correct them.

use std::fmt;

use super::tree::Position;

/// One error of a policy text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// The file name of the text.
    pub file: String,
    /// The position of the error.
    pub position: Position,
    /// The path of the faulty key, as in `budget destination 4 / member shop / floor`.
    pub key: String,
    /// The description of the problem.
    pub problem: String,
    /// The suggested fix.
    pub suggestion: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        let Diagnostic {
            file,
            key,
            problem,
            suggestion,
            ..
        } = self;
        write!(f, "{file}:{line}:{column}: {key}: {problem}; {suggestion}")
    }
}

/// The errors of a text; displayed one per line. Never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicyErrors(pub Vec<Diagnostic>);

impl fmt::Display for PolicyErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, diagnostic) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for PolicyErrors {}

/// Maximum number of errors that are reported for one text: a file that is not a policy at all would give many more.
const MAX_DIAGNOSTICS: usize = 20;

/// Collects the errors of one text.
pub(super) struct Diagnostics<'a> {
    file: &'a str,
    found: Vec<Diagnostic>,
}

impl<'a> Diagnostics<'a> {
    pub(super) fn new(file: &'a str) -> Self {
        Diagnostics {
            file,
            found: Vec::new(),
        }
    }

    pub(super) fn add(
        &mut self,
        position: Position,
        key: &str,
        problem: impl Into<String>,
        suggestion: impl Into<String>,
    ) {
        if self.found.len() < MAX_DIAGNOSTICS {
            self.found.push(Diagnostic {
                file: self.file.to_owned(),
                position,
                key: key.to_owned(),
                problem: problem.into(),
                suggestion: suggestion.into(),
            });
        }
    }

    /// `value` if no error was found, otherwise the errors.
    pub(super) fn into_result<T>(self, value: T) -> Result<T, PolicyErrors> {
        if self.found.is_empty() {
            Ok(value)
        } else {
            Err(PolicyErrors(self.found))
        }
    }
}

/// The Jaro-Winkler similarity, from 0 to 1, that a name must exceed to be suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// The name most similar to `key`, to be suggested in its place; `None` if no name is similar enough.
pub(super) fn nearest<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let similarities = names
        .into_iter()
        .map(|name| (strsim::jaro_winkler(key, name), name));
    let (similarity, name) = similarities.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (similarity > MIN_SIMILARITY).then_some(name)
}
