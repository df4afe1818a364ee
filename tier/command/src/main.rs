//! The command `plankhill-tier`.

use std::process::ExitCode;

fn main() -> ExitCode {
    plankhill_tier::run_command(std::env::args_os().skip(1)).into()
}
