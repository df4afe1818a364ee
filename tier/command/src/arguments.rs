//! The command line: what it asks for, and why it is not understood.

mod draining;

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::{Arg, Parser, ValueExt};
use thiserror::Error;

use draining::{parse_drain, parse_rolling_restart};
pub use draining::{DrainAction, DrainArguments, RollingRestartArguments};

/// Programs of the demo unless the command line says otherwise: enough to be under way at both
/// kills.
const DEFAULT_DEMO_PROGRAMS: u32 = 40;

/// Largest number of programs of the demo; with more it would take over a minute.
const MAX_DEMO_PROGRAMS: u32 = 200;

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a role until it is stopped.
    Run {
        /// The role to run.
        role: Role,
        /// Form of the log lines.
        log_format: LogFormat,
    },
    /// Check a settings file.
    CheckSettings {
        /// The file to check.
        file: PathBuf,
    },
    /// Check a configuration of the operator.
    CheckConfiguration {
        /// The file to check.
        file: PathBuf,
    },
    /// Show a small tier on loopback addresses.
    Demo {
        /// Number of programs sent through it.
        programs: u32,
    },
    /// Take forwarders out of service, or back.
    Drain(DrainArguments),
    /// Show which forwarders are out of service.
    Drains {
        /// Address of the controller, as `IP:PORT`.
        address: String,
        /// Form of the answer on standard output.
        form: AnswerForm,
    },
    /// Take forwarders out of service and back, a few at a time.
    RollingRestart(RollingRestartArguments),
    /// Ask a controller for its status.
    Status {
        /// Address of the controller, as `IP:PORT`.
        address: String,
        /// Form of the answer on standard output.
        form: AnswerForm,
    },
}

/// A role of the serving tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Stores the control state.
    Controller,
    /// Links one machine's proxy to the control plane.
    Agent,
    /// Carries requests from clients to targets.
    Proxy,
    /// Stores turns and budgets.
    Store,
}

/// Form in which a controller's answer is printed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnswerForm {
    /// For people.
    #[default]
    Text,
    /// JSON, as received.
    Json,
}

/// Form of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object each.
    Json,
}

/// Why a command line is not understood.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An option is unknown, misses its value or has one too many.
    #[error("{0}")]
    Option(#[from] lexopt::Error),
    /// No command is given.
    #[error("no command is given")]
    NoCommand,
    /// The command is unknown.
    #[error("there is no command {0:?}")]
    UnknownCommand(String),
    /// The command needs another argument.
    #[error("{command} needs {what}")]
    Missing {
        /// The command.
        command: &'static str,
        /// The argument that is missing.
        what: &'static str,
    },
    /// `check` cannot check this.
    #[error("check knows settings and configuration, not {0:?}")]
    UnknownKind(String),
    /// The number of programs is none, or out of bounds.
    #[error("--programs is a number from 1 to {MAX_DEMO_PROGRAMS}, not {0:?}")]
    ProgramCount(String),
    /// The option's value is no number, or none from 1 on.
    #[error("{option} is a number from 1 on, not {text:?}")]
    NoCount {
        /// The option.
        option: &'static str,
        /// Its value.
        text: String,
    },
    /// The form of log lines is unknown.
    #[error("--log-format is text or json, not {0:?}")]
    UnknownLogFormat(String),
}

impl Command {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    /// [`UsageError`] if they do not form a command.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Command, UsageError> {
        let mut parser = Parser::from_args(arguments);
        let name = match parser.next()? {
            None => return Err(UsageError::NoCommand),
            Some(Arg::Short('h') | Arg::Long("help")) => return Ok(Command::Help),
            Some(Arg::Short('V') | Arg::Long("version")) => return Ok(Command::Version),
            Some(Arg::Value(name)) => name.string()?,
            Some(other) => return Err(other.unexpected().into()),
        };
        match name.as_str() {
            "controller" => parse_role(parser, Role::Controller),
            "agent" => parse_role(parser, Role::Agent),
            "proxy" => parse_role(parser, Role::Proxy),
            "store" => parse_role(parser, Role::Store),
            "check" => parse_check(parser),
            "drain" => parse_drain(parser, DrainAction::Drain),
            "undrain" => parse_drain(parser, DrainAction::Undrain),
            "drains" => parse_query(parser, "drains", |address, form| Command::Drains {
                address,
                form,
            }),
            "roll" => parse_rolling_restart(parser),
            "status" => parse_query(parser, "status", |address, form| Command::Status {
                address,
                form,
            }),
            "demo" => parse_demo(parser),
            _ => Err(UsageError::UnknownCommand(name)),
        }
    }
}

fn parse_role(mut parser: Parser, role: Role) -> Result<Command, UsageError> {
    let mut log_format = LogFormat::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("log-format") => log_format = parse_log_format(parser.value()?.string()?)?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Run { role, log_format })
}

fn parse_log_format(name: String) -> Result<LogFormat, UsageError> {
    match name.as_str() {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err(UsageError::UnknownLogFormat(name)),
    }
}

fn parse_check(mut parser: Parser) -> Result<Command, UsageError> {
    let mut values = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Value(value) if values.len() < 2 => values.push(value),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut values = values.into_iter();
    let kind = values
        .next()
        .ok_or(missing("check", "settings or configuration"))?
        .string()?;
    let file = values.next().map(PathBuf::from);
    let file = || file.ok_or(missing("check", "a file"));
    match kind.as_str() {
        "settings" => Ok(Command::CheckSettings { file: file()? }),
        "configuration" => Ok(Command::CheckConfiguration { file: file()? }),
        _ => Err(UsageError::UnknownKind(kind)),
    }
}

/// `ADDRESS [--json]`, the arguments of a command `name` that queries a controller; `command` makes
/// the command.
fn parse_query(
    mut parser: Parser,
    name: &'static str,
    command: impl FnOnce(String, AnswerForm) -> Command,
) -> Result<Command, UsageError> {
    let mut address = None;
    let mut form = AnswerForm::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("json") => form = AnswerForm::Json,
            Arg::Value(value) if address.is_none() => address = Some(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let address = address.ok_or(missing(name, "the address of a controller"))?;
    Ok(command(address, form))
}

fn parse_demo(mut parser: Parser) -> Result<Command, UsageError> {
    let mut programs = DEFAULT_DEMO_PROGRAMS;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("programs") => programs = parse_programs(parser.value()?.string()?)?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Demo { programs })
}

fn parse_programs(text: String) -> Result<u32, UsageError> {
    match text.parse() {
        Ok(programs) if (1..=MAX_DEMO_PROGRAMS).contains(&programs) => Ok(programs),
        _ => Err(UsageError::ProgramCount(text)),
    }
}

fn missing(command: &'static str, what: &'static str) -> UsageError {
    UsageError::Missing { command, what }
}
