//! The error type of the demo.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Reason why the demo cannot run to its end.
#[derive(Debug, Error)]
pub enum DemoError {
    /// An operation on a file, a socket or a process failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The tier did not reach an expected state in time.
    #[error("timed out after {seconds} s waiting for {awaited}; logs are in {}", logs.display())]
    TimedOut {
        /// The state or response waited for.
        awaited: &'static str,
        /// The time limit, in seconds.
        seconds: u64,
        /// Directory of the processes' logs.
        logs: PathBuf,
    },
}
