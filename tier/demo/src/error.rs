//! Why the demo can't be played.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why the demo can't be played.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A file, a socket or a process can't be made.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The tier did not come up in time.
    #[error("{what} did not happen within {seconds} s; the logs are in {}", logs.display())]
    TooLate {
        /// What was waited for.
        what: &'static str,
        /// How long, in seconds.
        seconds: u64,
        /// Where the processes' logs are kept.
        logs: PathBuf,
    },
}
