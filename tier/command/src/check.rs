//! Checks settings and configuration files, and prints each fault with its key.

use std::path::Path;

use plankhill_configuration::{Configuration, ConfigurationError, Faults};
use plankhill_settings::{Settings, SettingsError};

use crate::{print, print_error, ExitStatus};

/// Checks a settings file.
pub(crate) fn settings(file: &Path) -> ExitStatus {
    match Settings::read(file) {
        Ok(_) => print(&format!("{}: settings are valid", file.display())),
        Err(SettingsError::Invalid(faults)) => print_faults(file, &faults),
        Err(error @ SettingsError::Read { .. }) => report_unreadable(&error.to_string()),
    }
}

/// Checks an operator's configuration file.
pub(crate) fn configuration(file: &Path) -> ExitStatus {
    let bytes = match std::fs::read(file) {
        Ok(bytes) => bytes,
        Err(error) => {
            return report_unreadable(&format!("cannot read {}: {error}", file.display()))
        }
    };
    match parse_first(&bytes) {
        Ok(configuration) => print(&format!(
            "{}: configuration is valid (version {}, {} routes, {} services)",
            file.display(),
            configuration.version,
            configuration.routes.len(),
            configuration.services.len()
        )),
        Err(error) => print_faults(file, &error.faults()),
    }
}

/// Parses and checks a configuration as the first one of a tier, without a predecessor.
fn parse_first(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
    let configuration = Configuration::parse(bytes)?;
    configuration.check(0)?;
    Ok(configuration)
}

fn print_faults(file: &Path, faults: &Faults) -> ExitStatus {
    for fault in faults.iter() {
        print(&format!("{}: {fault}", file.display()));
    }
    ExitStatus::Failure
}

fn report_unreadable(message: &str) -> ExitStatus {
    print_error(message);
    ExitStatus::Usage
}
