//! Locates, reads and validates the settings file.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use plankhill_validation::{faults_of, Fault};
use validator::Validate;

use crate::{Settings, SettingsError};

/// The environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "PLANKHILL_SETTINGS";

/// The settings file used if [`PATH_VARIABLE`] is unset or empty.
pub const DEFAULT_PATH: &str = "/etc/plankhill/local.toml";

/// Maximum size of a settings file, in bytes; a typical file has about two thousand.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// Path of the settings file of this process.
pub fn settings_path() -> PathBuf {
    match std::env::var_os(PATH_VARIABLE) {
        Some(path) if !path.is_empty() => PathBuf::from(path),
        _ => PathBuf::from(DEFAULT_PATH),
    }
}

impl Settings {
    /// Reads the settings file of this process ([`settings_path`]).
    ///
    /// # Errors
    /// [`SettingsError`] if the file cannot be read, lacks a key or has an invalid value.
    pub fn load() -> Result<Settings, SettingsError> {
        Settings::read(&settings_path())
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    /// The same as those of [`Settings::load`].
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = read_text(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        text.parse()
    }
}

impl FromStr for Settings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Settings, SettingsError> {
        let document = toml::Deserializer::parse(text)
            .map_err(|error| invalid(Fault::new("document", error.message())))?;
        let settings: Settings = serde_path_to_error::deserialize(document)
            .map_err(|error| invalid(Fault::at_path(error.path(), error.inner().message())))?;
        match settings.validate() {
            Ok(()) => Ok(settings),
            Err(errors) => Err(SettingsError::Invalid(faults_of(&errors))),
        }
    }
}

fn invalid(fault: Fault) -> SettingsError {
    SettingsError::Invalid(fault.into())
}

fn read_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?
        .take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::FileTooLarge,
            "file is larger than 1 MiB",
        ));
    }
    Ok(text)
}
