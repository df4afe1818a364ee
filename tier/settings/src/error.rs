//! Errors of reading a settings file.

use std::io;
use std::path::PathBuf;

use plankhill_validation::Faults;
use thiserror::Error;

/// A settings file cannot be read or is invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be opened or read.
    #[error("cannot read the settings file {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not TOML, lacks a key or has an invalid value; the faults name the keys.
    #[error("settings are not valid: {0}")]
    Invalid(Faults),
}

impl SettingsError {
    /// The faults with their keys; empty if the file could not be read.
    pub fn faults(&self) -> Faults {
        match self {
            SettingsError::Read { .. } => Faults::new(),
            SettingsError::Invalid(faults) => faults.clone(),
        }
    }
}
