//! A small serving tier on loopback addresses, with stub targets and programs.
//!
//! [`run`] starts every process of the tier with one address per machine, sends agent programs
//! through the tier, drains a proxy, kills a controller and a proxy, and reports the results that
//! clients observed.

pub mod call;
mod client;
pub mod configuration;
pub mod control_plane;
mod counts;
mod demo_run;
mod drain;
mod error;
pub mod events;
pub mod fleet;
mod heartbeat;
pub mod history;
pub mod layout;
mod load_balancer;
mod program;
mod progress_printer;
mod report;
mod scenario;
pub mod settings_file;
mod target;
mod target_handler;

use std::path::PathBuf;

pub use error::DemoError;
pub use report::Report;

/// Options of the demo.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Path of the executable `plankhill-tier`.
    pub executable: PathBuf,
    /// Number of agent programs sent through the tier.
    pub program_count: u32,
}

/// Runs the demo, which takes less than a minute, and prints its progress.
///
/// # Errors
/// If the tier does not start, or a control request is not acknowledged in time. Failures that
/// clients observe are no error: [`Report::is_success`] evaluates them.
pub fn run(options: &DemoOptions) -> Result<Report, DemoError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(scenario::run(options))
}
