//! What is wrong with a policy, said so that its author can put it right.

use std::fmt;

use super::tree::Position;

/// One error of a policy's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// The name of the text.
    pub file: String,
    /// Where the error is.
    pub position: Position,
    /// What is wrong, as `budget destination 4 / member shop / floor`.
    pub key: String,
    /// What is wrong about it.
    pub problem: String,
    /// What to do.
    pub way_out: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        let Diagnostic {
            file,
            key,
            problem,
            way_out,
            ..
        } = self;
        write!(f, "{file}:{line}:{column}: {key}: {problem}; {way_out}")
    }
}

/// All errors that were found, each in a line of its own. Never empty.
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

/// Errors that are kept: a file that is no policy at all needs no more.
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
        way_out: impl Into<String>,
    ) {
        if self.found.len() < MAX_DIAGNOSTICS {
            self.found.push(Diagnostic {
                file: self.file.to_owned(),
                position,
                key: key.to_owned(),
                problem: problem.into(),
                way_out: way_out.into(),
            });
        }
    }

    /// What was made, if no error was found.
    pub(super) fn into_result<T>(self, made: T) -> Result<T, PolicyErrors> {
        if self.found.is_empty() {
            Ok(made)
        } else {
            Err(PolicyErrors(self.found))
        }
    }
}

/// How alike (Jaro-Winkler, 0 to 1) a name has to be to be proposed.
const MIN_SIMILARITY: f64 = 0.7;

/// The name most like `key`, to be proposed in its place; `None` if none is like it.
pub(super) fn nearest<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let similarities = names
        .into_iter()
        .map(|name| (strsim::jaro_winkler(key, name), name));
    let (similarity, name) = similarities.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (similarity > MIN_SIMILARITY).then_some(name)
}
