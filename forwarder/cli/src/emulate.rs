//! One scenario, played once.

use std::io::Write;
use std::time::Instant;

use plankhill_experiments::shipped::{self, SHIPPED};
use plankhill_forwarder_config::scenario::Scenario;

use crate::summary;
use crate::Fault;

pub fn emulate(
    out: &mut impl Write,
    scenario: &str,
    seed: Option<u64>,
    set: &[String],
    json: bool,
) -> Result<(), Fault> {
    let mut text = shipped::find(scenario).map_err(Fault::Given)?;
    for pair in set {
        let (key, value) = pair
            .split_once('=')
            .ok_or_else(|| Fault::Given(format!("--set {pair}: is not of the form KEY=VALUE")))?;
        text.set(key, value).map_err(Fault::Given)?;
    }
    if let Some(seed) = seed {
        text.set("seed", &seed.to_string()).map_err(Fault::Given)?;
    }
    let scenario = Scenario::read(&text).map_err(Fault::Given)?;
    let began = Instant::now();
    let outcome = plankhill_emulator::play(&scenario);
    if json {
        let line = serde_json::to_string(&outcome).map_err(|e| Fault::Outside(e.to_string()))?;
        writeln!(out, "{line}")?;
        return Ok(());
    }
    summary::print(out, &outcome, began.elapsed())?;
    Ok(())
}

pub fn scenarios(out: &mut impl Write, name: Option<&str>) -> Result<(), Fault> {
    if let Some(name) = name {
        let text = shipped::named(name).map_err(Fault::Given)?;
        out.write_all(text.as_bytes())?;
        return Ok(());
    }
    for (name, text) in SHIPPED {
        let about = shipped::about(name, text).map_err(Fault::Outside)?;
        writeln!(out, "{name:22} {about}")?;
    }
    Ok(())
}
