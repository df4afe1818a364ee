//! Runs the command.

#![allow(dead_code)]

use std::process::{Command, Output};

/// What one run of the command left.
pub struct Run {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

/// The command with `arguments`, without the caller's settings.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plankhill-tier"));
    command
        .args(arguments)
        .env_remove("PLANKHILL_SETTINGS")
        .env_remove("PLANKHILL_LOG");
    command
}

/// Runs `command` to its end.
pub fn run(mut command: Command) -> Run {
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("the command can be started");
    Run {
        code: status.code().expect("the command ends by itself"),
        output: String::from_utf8_lossy(&stdout).into_owned(),
        errors: String::from_utf8_lossy(&stderr).into_owned(),
    }
}
