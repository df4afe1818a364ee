//! Errors of configurations and of patches between two documents.

use plankhill_validation::{Fault, Faults};
use thiserror::Error;

/// An error of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The document is not valid JSON, lacks a key or has a value of a wrong type.
    #[error("configuration cannot be read: {0}")]
    Unreadable(Fault),
    /// The document can be parsed, but at least one of its values is not allowed.
    #[error("configuration is not valid: {0}")]
    Invalid(Faults),
}

impl ConfigurationError {
    /// Returns the faults by key; never empty.
    pub fn faults(&self) -> Faults {
        match self {
            ConfigurationError::Unreadable(fault) => fault.clone().into(),
            ConfigurationError::Invalid(faults) => faults.clone(),
        }
    }
}

/// An error in creating or applying a patch between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PatchError {
    /// The base version of the patch differs from the version of the given document.
    #[error("patch builds on version {expected}, the document has version {found}")]
    OtherBase {
        /// Base version of the patch.
        expected: u64,
        /// Version of the given document.
        found: u64,
    },
    /// A document is not a JSON object, or one of its lists cannot be parsed. Contains the message of
    /// the JSON parser.
    #[error("document cannot be read: {0}")]
    Document(String),
    /// The patch retains a key that the document lacks.
    #[error("document has no key {0}")]
    MissingKey(String),
    /// The patch retains elements that do not exist in the list with this key.
    #[error("list {0} has no such elements")]
    MissingElements(String),
    /// The resulting document would be larger than [`crate::MAX_DOCUMENT_BYTES`].
    #[error("the patched document would be too large")]
    TooLarge,
}
