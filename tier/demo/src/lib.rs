//! A small serving tier on loopback addresses, with stand-in targets and programs.
//!
//! [`run`] starts every process of the tier as it would run on machines of its own, sends programs
//! through it, kills a controller and a proxy, and tells what the clients saw.

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
mod target_answer;

use std::path::PathBuf;

pub use error::DemoError;
pub use report::Report;

/// What the demo runs.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// The program `plankhill-tier`.
    pub program: PathBuf,
    /// Number of agent programs sent through the tier.
    pub programs: u32,
}

/// Runs the demo, which takes less than a minute, and prints what happens.
///
/// # Errors
/// If the tier does not start or does not take the configuration. What clients saw is no error:
/// [`Report::is_success`] judges it.
pub fn run(options: &DemoOptions) -> Result<Report, DemoError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(scenario::run(options))
}
