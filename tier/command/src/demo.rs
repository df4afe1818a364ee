//! Runs the demo: a small tier on loopback addresses.

use plankhill_demo::{DemoError, DemoOptions, Report};

use crate::{print, print_error, ExitStatus};

/// Runs the demo with this executable and prints its report; fails if a client saw an error.
pub(crate) fn show(programs: u32) -> ExitStatus {
    match run(programs) {
        Ok(report) => {
            print(&format!("\n{report}"));
            if report.is_success() {
                ExitStatus::Success
            } else {
                ExitStatus::Failure
            }
        }
        Err(error) => {
            print_error(&format!("plankhill-tier: {error}"));
            ExitStatus::Failure
        }
    }
}

fn run(programs: u32) -> Result<Report, DemoError> {
    let executable = std::env::current_exe()?;
    plankhill_demo::run(&DemoOptions {
        executable,
        program_count: programs,
    })
}
