//! Scale run of the control plane on loopback: real controllers, agents and proxies beside hollow forwarders (real
//! subscriptions without a proxy behind them) and hollow targets (heartbeats alone), many of which share one process.
//!
//! What it measures: processor time and memory of the real processes, bytes on the loopback interface, the time until
//! a change of the configuration is in force everywhere, and the time until lost machines are known to be lost.

mod agents;
mod machine;
mod measure;
mod report;
mod run;
mod targets;

use std::path::PathBuf;
use std::time::Duration;

pub use report::ScaleReport;
pub use run::run;

/// What is played.
#[derive(Clone, Debug)]
pub struct ScaleOptions {
    /// The program `plankhill-tier`.
    pub program: PathBuf,
    /// Hollow forwarders.
    pub agents: usize,
    /// Hollow targets.
    pub targets: usize,
    /// How long each phase is measured.
    pub window: Duration,
    /// Changes of the configuration.
    pub changes: u64,
    /// Forwarders and targets that are lost at once.
    pub lost: usize,
}

/// Why the run did not come to its end.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The operating system refused something.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// Something awaited did not happen in time.
    #[error("{what} did not come within {seconds} s")]
    TooLate {
        /// What was awaited.
        what: &'static str,
        /// For how long.
        seconds: u64,
    },
}
