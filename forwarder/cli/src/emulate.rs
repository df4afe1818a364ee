//! `plankhill emulate` and `plankhill scenarios`.

use std::io::Write;
use std::time::Instant;

use plankhill_experiments::shipped::{self, SHIPPED};
use plankhill_forwarder_config::scenario::Scenario;

use crate::error::CliError;
use crate::summary;

/// Runs one scenario and prints its outcome.
///
/// # Errors
/// The scenario, or a key that overrides it, is invalid.
pub fn emulate(
    out: &mut impl Write,
    scenario: &str,
    seed: Option<u64>,
    set: &[String],
    json: bool,
) -> Result<(), CliError> {
    let mut text = shipped::find(scenario).map_err(CliError::Usage)?;
    for pair in set {
        let (key, value) = pair.split_once('=').ok_or_else(|| {
            CliError::Usage(format!("--set {pair}: is not of the form KEY=VALUE"))
        })?;
        text.set(key, value).map_err(CliError::Usage)?;
    }
    if let Some(seed) = seed {
        text.set("seed", &seed.to_string())
            .map_err(CliError::Usage)?;
    }
    let scenario = Scenario::read(&text).map_err(CliError::Usage)?;
    let started_at = Instant::now();
    let outcome = plankhill_emulator::play(&scenario);
    if json {
        let line = serde_json::to_string(&outcome).map_err(|e| CliError::Failure(e.to_string()))?;
        writeln!(out, "{line}")?;
        return Ok(());
    }
    summary::print(out, &outcome, started_at.elapsed())?;
    Ok(())
}

/// Lists the scenarios that come with the program, or prints one.
///
/// # Errors
/// No scenario has that name.
pub fn scenarios(out: &mut impl Write, name: Option<&str>) -> Result<(), CliError> {
    if let Some(name) = name {
        let text = shipped::named(name).map_err(CliError::Usage)?;
        out.write_all(text.as_bytes())?;
        return Ok(());
    }
    for (name, text) in SHIPPED {
        let about = shipped::about(name, text).map_err(CliError::Failure)?;
        writeln!(out, "{name:22} {about}")?;
    }
    Ok(())
}
