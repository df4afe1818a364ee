//! Exit codes of the command.

use std::process::ExitCode;

/// How the command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done, and nothing is wrong: code 0.
    Success,
    /// The checked file is not valid, or the role or call failed: code 1.
    Failure,
    /// The command line is not understood, or a file it names cannot be read: code 2.
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
