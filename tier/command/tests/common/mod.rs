//! Runs the command `plankhill-tier`.

#![allow(dead_code)]

use std::process::{Command, Output};

/// Exit code and output of a run of the command.
pub struct Run {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

/// The command with `arguments`, without the environment variables of the caller.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plankhill-tier"));
    command
        .args(arguments)
        .env_remove("PLANKHILL_SETTINGS")
        .env_remove("PLANKHILL_LOG");
    command
}

/// Runs `command` to completion.
pub fn run(mut command: Command) -> Run {
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("starts the command");
    Run {
        code: status
            .code()
            .expect("the command was not killed by a signal"),
        output: String::from_utf8_lossy(&stdout).into_owned(),
        errors: String::from_utf8_lossy(&stderr).into_owned(),
    }
}
