//! The errors that end the command, and their exit statuses.

use std::io::ErrorKind;

use plankhill_experiments::ExperimentError;

/// An error that ends the command. Its message is the one line on standard error.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The arguments, or a file that they name, are invalid: exit status 2.
    #[error("{0}")]
    Usage(String),
    /// Another operation failed, such as I/O: exit status 1.
    #[error("{0}")]
    Failure(String),
    /// The reader of standard output has closed it: exit status 0.
    #[error("standard output is closed")]
    OutputClosed,
}

impl CliError {
    /// The exit status of the command.
    pub fn exit_status(&self) -> u8 {
        match self {
            CliError::Usage(_) => 2,
            CliError::Failure(_) => 1,
            CliError::OutputClosed => 0,
        }
    }
}

impl From<std::io::Error> for CliError {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::BrokenPipe => CliError::OutputClosed,
            _ => CliError::Failure(error.to_string()),
        }
    }
}

impl From<ExperimentError> for CliError {
    fn from(error: ExperimentError) -> Self {
        match error {
            ExperimentError::InvalidInput(reason) => CliError::Usage(reason),
            ExperimentError::Io(reason) => CliError::Failure(reason),
            ExperimentError::Interrupted => CliError::Failure("stopped before its end".into()),
        }
    }
}
