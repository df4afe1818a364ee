//! The meaning of the operator's document.

use plankhill_validation::{Fault, Faults};
use serde::Deserialize;
use validator::Validate;

use crate::{check, ConfigurationError, Limits, Route, Service, MAX_DOCUMENT_BYTES};

/// Routes, services and limits of one version.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
pub struct Configuration {
    /// The version. Versions rise by any steps.
    pub version: u64,
    /// Routes, no two with the same host and prefix.
    #[validate(nested)]
    pub routes: Vec<Route>,
    /// Services, no two with the same name.
    #[validate(nested)]
    pub services: Vec<Service>,
    /// Limits of what clients may send.
    #[validate(nested)]
    pub limits: Limits,
}

impl Configuration {
    /// Reads and checks a document, all but its version number.
    ///
    /// # Errors
    /// [`ConfigurationError`] if the document cannot be read completely or is not valid by itself.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
        let configuration = Configuration::read(bytes)?;
        let faults = check::faults_of_configuration(&configuration);
        faults.into_result().map_err(ConfigurationError::Invalid)?;
        Ok(configuration)
    }

    /// Checks that this may follow the version `current` (0 if there is none).
    ///
    /// # Errors
    /// [`ConfigurationError::Invalid`] if the version is not above `current`.
    pub fn check(&self, current: u64) -> Result<(), ConfigurationError> {
        if self.version > current {
            return Ok(());
        }
        let message = format!(
            "{} is not above the current version {current}",
            self.version
        );
        Err(ConfigurationError::Invalid(Faults::from(Fault::new(
            "version", message,
        ))))
    }

    /// Reads without a path first, since keeping it costs time on big documents.
    fn read(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
        if bytes.len() > MAX_DOCUMENT_BYTES {
            let fault = Fault::new(
                "document",
                format!("larger than {MAX_DOCUMENT_BYTES} bytes"),
            );
            return Err(ConfigurationError::Unreadable(fault));
        }
        serde_json::from_slice(bytes)
            .map_err(|error| ConfigurationError::Unreadable(locate(bytes, &error)))
    }
}

/// Reads `bytes` again to learn the path of the key at which reading fails.
fn locate(bytes: &[u8], error: &serde_json::Error) -> Fault {
    let mut source = serde_json::Deserializer::from_slice(bytes);
    match serde_path_to_error::deserialize::<_, Configuration>(&mut source) {
        Err(located) => Fault::at_path(located.path(), located.inner()),
        Ok(_) => Fault::new("document", error.to_string()),
    }
}
