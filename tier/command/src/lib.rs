//! The command `plankhill-tier`: runs the roles of the serving tier, checks files, and calls
//! controllers for the operator.

mod arguments;
mod check;
mod controller_call;
mod demo;
mod drains;
mod exit;
mod logging;
mod render;
mod role;
mod rolling_restart;
mod status;
mod usage;

use std::ffi::OsString;
use std::io::Write;

pub use arguments::{
    Command, DrainAction, DrainArguments, LogFormat, OutputFormat, Role, RollingRestartArguments,
    UsageError,
};
pub use exit::ExitStatus;
pub use render::render;

/// Parses the arguments that follow the program's name and executes the command.
pub fn run_command(arguments: impl IntoIterator<Item = OsString>) -> ExitStatus {
    match Command::parse(arguments) {
        Ok(command) => execute(command),
        Err(error) => {
            print_error(&format!(
                "plankhill-tier: {error}\nTry: plankhill-tier --help"
            ));
            ExitStatus::Usage
        }
    }
}

fn execute(command: Command) -> ExitStatus {
    match command {
        Command::Help => print(usage::HELP),
        Command::Version => print(&format!("plankhill-tier {}", env!("CARGO_PKG_VERSION"))),
        Command::Run { role, log_format } => role::start(role, log_format),
        Command::CheckSettings { file } => check::settings(&file),
        Command::CheckConfiguration { file } => check::configuration(&file),
        Command::Demo { programs } => demo::show(programs),
        Command::Drain(order) => drains::send_order(&order),
        Command::Drains { address, format } => drains::show(&address, format),
        Command::RollingRestart(plan) => rolling_restart::run(&plan),
        Command::Status { address, format } => status::show(&address, format),
    }
}

/// Prints to standard output; ignores write errors, for example if the reader closed the pipe.
fn print(text: &str) -> ExitStatus {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    ExitStatus::Success
}

fn print_error(text: &str) {
    let _ = writeln!(std::io::stderr(), "{text}");
}
