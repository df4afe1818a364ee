//! A validation fault, and the list of all faults found in a document.

use std::fmt;

/// The key of a fault that concerns the entire document.
const DOCUMENT_KEY: &str = "document";

/// A fault in the value of one key. Ordered by key, then by message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Path of the key from the root of the document, for example `routes[3].timeout_ms`.
    pub key: String,
    /// Short description of the fault.
    pub message: String,
}

impl Fault {
    /// Creates a fault of the value under `key`.
    pub fn new(key: impl Into<String>, message: impl Into<String>) -> Self {
        Fault {
            key: key.into(),
            message: message.into(),
        }
    }

    /// Creates a fault from a `serde` error at `path`; a fault at the root has the key `document`.
    pub fn at_path(path: &serde_path_to_error::Path, message: impl fmt::Display) -> Self {
        let path = path.to_string();
        let key = if path == "." {
            DOCUMENT_KEY.to_owned()
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
    /// Creates an empty list.
    pub fn new() -> Self {
        Faults::default()
    }

    /// Adds a fault of the value under `key`.
    pub fn add(&mut self, key: impl Into<String>, message: impl Into<String>) {
        self.0.push(Fault::new(key, message));
    }

    /// Adds every fault in `others`.
    pub fn append(&mut self, others: Faults) {
        self.0.extend(others.0);
    }

    /// Iterates over the faults in the order in which they were found.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.0.iter()
    }

    /// Returns the number of faults.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the list has no faults.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `Ok` if the list is empty.
    ///
    /// # Errors
    /// Returns the list itself if it has any faults.
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
