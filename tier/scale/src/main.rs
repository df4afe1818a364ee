//! The command `plankhill-scale`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt};
use plankhill_scale::{run, ScaleOptions};

const HELP: &str = "\
Measures the control plane before many hollow forwarders and targets, on loopback addresses (Linux).

Usage: plankhill-scale --program FILE [--agents N] [--targets N] [--window S] [--changes N] [--lost N]

  --program FILE   The program plankhill-tier.
  --agents N       Hollow forwarders (default 100); each takes two descriptors.
  --targets N      Hollow targets (default 1000), one heartbeat a second each.
  --window S       Seconds for which each phase is measured (default 10).
  --changes N      Changes of the configuration (default 5).
  --lost N         Forwarders, and then targets, lost at once (default 10).
";

fn main() -> ExitCode {
    let options = match parse(std::env::args_os().skip(1)) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("plankhill-scale: {error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match run(&options) {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("plankhill-scale: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Option<ScaleOptions>, lexopt::Error> {
    let mut options = ScaleOptions {
        program: PathBuf::new(),
        agents: 100,
        targets: 1_000,
        window: Duration::from_secs(10),
        changes: 5,
        lost: 10,
    };
    let mut parser = Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("program") => options.program = parser.value()?.into(),
            Arg::Long("agents") => options.agents = parser.value()?.parse()?,
            Arg::Long("targets") => options.targets = parser.value()?.parse()?,
            Arg::Long("window") => options.window = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("changes") => options.changes = parser.value()?.parse()?,
            Arg::Long("lost") => options.lost = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    if options.program.as_os_str().is_empty() {
        return Err("--program is needed".into());
    }
    if options.lost > options.agents.min(options.targets) {
        return Err("--lost is more than there are".into());
    }
    Ok(Some(options))
}
