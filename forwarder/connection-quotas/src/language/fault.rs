//! What is wrong with a policy, said so that it can be put right.

use std::fmt;

use super::tree::Place;

/// One fault of a policy file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    pub file: String,
    pub place: Place,
    /// What is at fault, as `budget destination 4 / member shop / floor`.
    pub key: String,
    pub what: String,
    pub way_out: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Place { line, column } = self.place;
        write!(
            f,
            "{}:{line}:{column}: {}: {}; {}",
            self.file, self.key, self.what, self.way_out
        )
    }
}

/// All that was found, each in a line of its own. Never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// As many are told at most: a file that is no policy at all needs no more.
pub const MOST_TOLD: usize = 20;

/// Gathers faults of one file.
pub struct Gathered<'a> {
    file: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Gathered<'a> {
    pub fn new(file: &'a str) -> Self {
        Gathered {
            file,
            faults: Vec::new(),
        }
    }

    pub fn add(
        &mut self,
        place: Place,
        key: &str,
        what: impl Into<String>,
        way_out: impl Into<String>,
    ) {
        if self.faults.len() < MOST_TOLD {
            let (file, key) = (self.file.to_owned(), key.to_owned());
            self.faults.push(Fault {
                file,
                place,
                key,
                what: what.into(),
                way_out: way_out.into(),
            });
        }
    }

    /// What was made, if nothing was found against it.
    pub fn unless_any<T>(self, made: T) -> Result<T, Faults> {
        if self.faults.is_empty() {
            return Ok(made);
        }
        Err(Faults(self.faults))
    }
}

/// The nearest of some names, to be proposed where another stands; none if all are far.
pub fn nearest<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let near = names
        .into_iter()
        .map(|name| (strsim::jaro_winkler(key, name), name));
    near.max_by(|a, b| a.0.total_cmp(&b.0))
        .filter(|(likeness, _)| *likeness > 0.7)
        .map(|(_, name)| name)
}
