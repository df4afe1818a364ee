//! The commands that take forwarders out of service.

use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt};

use super::{missing, Command, UsageError};

/// Forwarders out at once in a roll, unless the command line says otherwise.
const DEFAULT_MOST_OUT: usize = 1;
/// Seconds that a forwarder may take to get empty, unless the command line says otherwise: clients may rest for
/// most of a minute.
const DEFAULT_EMPTY_WITHIN: u64 = 120;
/// Seconds that a forwarder may take to come back, unless the command line says otherwise.
const DEFAULT_BACK_WITHIN: u64 = 600;

/// An order for forwarders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainArguments {
    /// Address of a controller, as `IP:PORT`.
    pub address: String,
    /// Whether they leave; otherwise they are taken back.
    pub leave: bool,
    /// The machines.
    pub nodes: Vec<String>,
    /// All machines of a zone.
    pub zone: Option<String>,
}

/// A roll over forwarders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RollArguments {
    /// Address of a controller, as `IP:PORT`.
    pub address: String,
    /// The machines; all if none is named.
    pub nodes: Vec<String>,
    /// Out of service at once.
    pub most_out: usize,
    /// The longest time until one is empty.
    pub empty_within: Duration,
    /// The longest time until one is back.
    pub back_within: Duration,
}

pub(super) fn parse_drain(mut parser: Parser, leave: bool) -> Result<Command, UsageError> {
    let name = if leave { "drain" } else { "undrain" };
    let (mut values, mut zone) = (Vec::new(), None);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("zone") => zone = Some(parser.value()?.string()?),
            Arg::Value(value) => values.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let (address, nodes) = split(name, values)?;
    if nodes.is_empty() && zone.is_none() {
        return Err(missing(name, "the name of a machine, or --zone"));
    }
    Ok(Command::Drain(DrainArguments {
        address,
        leave,
        nodes,
        zone,
    }))
}

pub(super) fn parse_roll(mut parser: Parser) -> Result<Command, UsageError> {
    let mut values = Vec::new();
    let (mut most_out, mut empty_within, mut back_within) =
        (DEFAULT_MOST_OUT, DEFAULT_EMPTY_WITHIN, DEFAULT_BACK_WITHIN);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("most") => most_out = at_least_one("--most", parser.value()?.string()?)?,
            Arg::Long("empty-within") => {
                empty_within = at_least_one("--empty-within", parser.value()?.string()?)? as u64;
            }
            Arg::Long("back-within") => {
                back_within = at_least_one("--back-within", parser.value()?.string()?)? as u64;
            }
            Arg::Value(value) => values.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let (address, nodes) = split("roll", values)?;
    Ok(Command::Roll(RollArguments {
        address,
        nodes,
        most_out,
        empty_within: Duration::from_secs(empty_within),
        back_within: Duration::from_secs(back_within),
    }))
}

/// The controller's address and the machines behind it.
fn split(command: &'static str, values: Vec<String>) -> Result<(String, Vec<String>), UsageError> {
    let mut values = values.into_iter();
    let address = values
        .next()
        .ok_or(missing(command, "the address of a controller"))?;
    Ok((address, values.collect()))
}

fn at_least_one(option: &'static str, text: String) -> Result<usize, UsageError> {
    match text.parse() {
        Ok(number) if number >= 1 => Ok(number),
        _ => Err(UsageError::NoCount { option, text }),
    }
}
