//! Why a settings file cannot be used.

use std::io;
use std::path::PathBuf;

use plankhill_validation::Faults;
use thiserror::Error;

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be opened or read.
    #[error("cannot read the settings file {}: {source}", path.display())]
    Read {
        /// The file that was asked for.
        path: PathBuf,
        /// What the operating system answered.
        source: io::Error,
    },
    /// The file is no TOML, lacks a key, or has a value that is not allowed; the faults name the
    /// keys.
    #[error("settings are not valid: {0}")]
    Invalid(Faults),
}

impl SettingsError {
    /// The faults by key; empty if the file could not be read at all.
    pub fn faults(&self) -> Faults {
        match self {
            SettingsError::Read { .. } => Faults::new(),
            SettingsError::Invalid(faults) => faults.clone(),
        }
    }
}
