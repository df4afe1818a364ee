//! Exit codes of the command.

use std::process::ExitCode;

/// Result of the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded: code 0.
    Success,
    /// The checked file is invalid, or the role, the demo or the call failed: code 1.
    Failure,
    /// The command line is invalid, or a file that it names cannot be read: code 2.
    Usage,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Failure => 1,
            ExitStatus::Usage => 2,
        })
    }
}
