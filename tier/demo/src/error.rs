//! Why the demo cannot be run.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why the demo cannot be run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A file, a socket or a process cannot be made.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The tier did not come up in time.
    #[error("{what} did not happen within {seconds} s; the logs are in {}", logs.display())]
    TimedOut {
        /// What was waited for.
        what: &'static str,
        /// How long, in seconds.
        seconds: u64,
        /// Where the processes' logs are kept.
        logs: PathBuf,
    },
}
