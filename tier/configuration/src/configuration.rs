//! The parsed form of the operator's document.

use plankhill_validation::{Fault, Faults};
use serde::Deserialize;
use validator::Validate;

use crate::{check, ConfigurationError, Limits, Route, Service, MAX_DOCUMENT_BYTES};

/// The routes, services and limits of one version.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
pub struct Configuration {
    /// The version. Each version must be higher than the previous one, by any amount.
    pub version: u64,
    /// The routes. Each has a unique combination of host and prefix.
    #[validate(nested)]
    pub routes: Vec<Route>,
    /// The services. Each has a unique name.
    #[validate(nested)]
    pub services: Vec<Service>,
    /// Limits on client requests and connections.
    #[validate(nested)]
    pub limits: Limits,
}

impl Configuration {
    /// Parses and validates a document, except for its version number.
    ///
    /// # Errors
    /// [`ConfigurationError`] if the document cannot be parsed or is not valid.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
        let configuration = Configuration::read(bytes)?;
        let faults = check::faults_of_configuration(&configuration);
        faults.into_result().map_err(ConfigurationError::Invalid)?;
        Ok(configuration)
    }

    /// Checks that this configuration may replace the version `current` (0 if there is none).
    ///
    /// # Errors
    /// [`ConfigurationError::Invalid`] if the version is not higher than `current`.
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

    /// Parses a document. Key paths for error messages are tracked only in a second pass after an
    /// error, since tracking them costs time on large documents.
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

/// Parses `bytes` again to find the path of the key at which parsing fails.
fn locate(bytes: &[u8], error: &serde_json::Error) -> Fault {
    let mut source = serde_json::Deserializer::from_slice(bytes);
    match serde_path_to_error::deserialize::<_, Configuration>(&mut source) {
        Err(located) => Fault::at_path(located.path(), located.inner()),
        Ok(_) => Fault::new("document", error.to_string()),
    }
}
