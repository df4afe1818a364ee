//! The arguments of `drain`, `undrain` and `roll`.

use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt};

use super::{missing, Command, UsageError};

/// Default maximum number of forwarders that are out of service at once.
const DEFAULT_MAX_UNAVAILABLE: usize = 1;
/// Default drain timeout of a forwarder, in seconds: clients may be idle for most of a minute.
const DEFAULT_DRAIN_TIMEOUT_S: u64 = 120;
/// Default restart timeout of a forwarder, in seconds.
const DEFAULT_RESTART_TIMEOUT_S: u64 = 600;

/// The action that an order requests of forwarders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Drain: leave service.
    Drain,
    /// Return to service.
    Undrain,
}

impl DrainAction {
    /// Name of the command.
    fn command(self) -> &'static str {
        match self {
            DrainAction::Drain => "drain",
            DrainAction::Undrain => "undrain",
        }
    }
}

/// Arguments of `drain` and `undrain`: an order to forwarders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainArguments {
    /// Address of a controller, as `IP:PORT`.
    pub address: String,
    /// The requested action.
    pub action: DrainAction,
    /// Names of the machines.
    pub nodes: Vec<String>,
    /// A zone whose machines are all included, in addition to `nodes`.
    pub zone: Option<String>,
}

/// Arguments of `roll`: a rolling restart of forwarders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RollingRestartArguments {
    /// Address of a controller, as `IP:PORT`.
    pub address: String,
    /// Names of the machines; empty means all.
    pub nodes: Vec<String>,
    /// Maximum number of machines that are out of service at once.
    pub max_unavailable: usize,
    /// Maximum time for a machine to drain.
    pub drain_timeout: Duration,
    /// Maximum time for a machine to restart.
    pub restart_timeout: Duration,
}

pub(super) fn parse_drain(mut parser: Parser, action: DrainAction) -> Result<Command, UsageError> {
    let mut values = Vec::new();
    let mut zone = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("zone") => zone = Some(parser.value()?.string()?),
            Arg::Value(value) => values.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let (address, nodes) = split_values(action.command(), values)?;
    if nodes.is_empty() && zone.is_none() {
        return Err(missing(action.command(), "the name of a machine or --zone"));
    }
    Ok(Command::Drain(DrainArguments {
        address,
        action,
        nodes,
        zone,
    }))
}

pub(super) fn parse_rolling_restart(mut parser: Parser) -> Result<Command, UsageError> {
    let mut values = Vec::new();
    let mut max_unavailable = DEFAULT_MAX_UNAVAILABLE;
    let mut drain_timeout = Duration::from_secs(DEFAULT_DRAIN_TIMEOUT_S);
    let mut restart_timeout = Duration::from_secs(DEFAULT_RESTART_TIMEOUT_S);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("most") => max_unavailable = parse_count("--most", &mut parser)?,
            Arg::Long("empty-within") => {
                drain_timeout = parse_seconds("--empty-within", &mut parser)?;
            }
            Arg::Long("back-within") => {
                restart_timeout = parse_seconds("--back-within", &mut parser)?;
            }
            Arg::Value(value) => values.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let (address, nodes) = split_values("roll", values)?;
    Ok(Command::RollingRestart(RollingRestartArguments {
        address,
        nodes,
        max_unavailable,
        drain_timeout,
        restart_timeout,
    }))
}

/// Splits positional arguments into the controller's address and the names of machines.
fn split_values(
    command: &'static str,
    values: Vec<String>,
) -> Result<(String, Vec<String>), UsageError> {
    let mut values = values.into_iter();
    let address = values
        .next()
        .ok_or(missing(command, "the address of a controller"))?;
    Ok((address, values.collect()))
}

/// Parses the value of `option`, a number of seconds of at least 1.
fn parse_seconds(option: &'static str, parser: &mut Parser) -> Result<Duration, UsageError> {
    Ok(Duration::from_secs(parse_count(option, parser)? as u64))
}

/// Parses the value of `option`, a number of at least 1.
fn parse_count(option: &'static str, parser: &mut Parser) -> Result<usize, UsageError> {
    let text = parser.value()?.string()?;
    match text.parse() {
        Ok(number) if number >= 1 => Ok(number),
        _ => Err(UsageError::InvalidCount { option, text }),
    }
}
