//! Why a configuration, or a patch between two documents, cannot be used.

use plankhill_validation::{Fault, Faults};
use thiserror::Error;

/// Why a configuration cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The document is no JSON, is truncated, lacks a key or has a value of a wrong type.
    #[error("configuration cannot be read: {0}")]
    Unreadable(Fault),
    /// The document can be read, and at least one of its values is not allowed.
    #[error("configuration is not valid: {0}")]
    Invalid(Faults),
}

impl ConfigurationError {
    /// The faults, key by key; never empty.
    pub fn faults(&self) -> Faults {
        match self {
            ConfigurationError::Unreadable(fault) => fault.clone().into(),
            ConfigurationError::Invalid(faults) => faults.clone(),
        }
    }
}

/// Why a patch between two documents cannot be made or applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PatchError {
    /// The patch builds on another version than the given document's.
    #[error("patch builds on version {expected}, the document has version {found}")]
    OtherBase {
        /// Version that the patch builds on.
        expected: u64,
        /// Version of the given document.
        found: u64,
    },
    /// A document is no JSON object, or one of its lists cannot be read; the text is the JSON
    /// reader's.
    #[error("document cannot be read: {0}")]
    Document(String),
    /// The patch retains a key that the document lacks.
    #[error("document has no key {0}")]
    MissingKey(String),
    /// The patch retains elements that the list of this key lacks.
    #[error("list {0} has no such elements")]
    MissingElements(String),
    /// The result would be larger than [`crate::MAX_DOCUMENT_BYTES`].
    #[error("the patched document would be too large")]
    TooLarge,
}
