//! One fault of a document, and the list of all faults found in it.

use std::fmt;

/// The key under which a fault of the whole document is listed.
const WHOLE_DOCUMENT: &str = "document";

/// What is wrong with the value of one key. Ordered by key, then by message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Path of the key from the root of the document, for example `routes[3].timeout_ms`.
    pub key: String,
    /// What is wrong, in a few words.
    pub message: String,
}

impl Fault {
    /// A fault of the value under `key`.
    pub fn new(key: impl Into<String>, message: impl Into<String>) -> Self {
        Fault {
            key: key.into(),
            message: message.into(),
        }
    }

    /// A fault found by `serde` while it read the value under `path`.
    pub fn at_path(path: &serde_path_to_error::Path, message: impl fmt::Display) -> Self {
        let path = path.to_string();
        let key = if path == "." {
            WHOLE_DOCUMENT.to_owned()
        } else {
            path
        };
        Fault {
            key,
            message: message.to_string().trim().to_owned(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.key, self.message)
    }
}

/// All faults found in one document; never empty when it is part of an error.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// An empty list.
    pub fn new() -> Self {
        Faults::default()
    }

    /// Adds a fault of the value under `key`.
    pub fn add(&mut self, key: impl Into<String>, message: impl Into<String>) {
        self.0.push(Fault::new(key, message));
    }

    /// Adds every fault of `others`.
    pub fn append(&mut self, others: Faults) {
        self.0.extend(others.0);
    }

    /// The faults in the order in which they were found.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.0.iter()
    }

    /// Number of faults.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// `Ok` if nothing is wrong.
    ///
    /// # Errors
    /// The faults, if there are any.
    pub fn into_result(self) -> Result<(), Faults> {
        if self.is_empty() {
            Ok(())
        } else {
            Err(self)
        }
    }
}

impl From<Vec<Fault>> for Faults {
    fn from(faults: Vec<Fault>) -> Self {
        Faults(faults)
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Faults(vec![fault])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("; ")?;
            }
            fault.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
