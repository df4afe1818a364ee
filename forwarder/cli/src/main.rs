//! `plankhill`: the forwarder's command line. Invalid arguments and files end it with one line on standard error and
//! exit status 2; other failures end it with exit status 1 (see `error`).
//!
//! | module | subcommands |
//! | --- | --- |
//! | `emulate` | `emulate`, `scenarios` |
//! | `experiment` | `experiment`, `report` |
//! | `convert` | `convert` |
//! | `summary` | the output of `emulate` |

mod convert;
mod emulate;
mod error;
mod experiment;
mod summary;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use error::CliError;

#[derive(Parser)]
#[command(
    name = "plankhill",
    version,
    about = "Runs simulated days of the event forwarder, compares them and reports the results"
)]
struct Arguments {
    #[command(subcommand)]
    subcommand: PlankhillCommand,
}

#[derive(Subcommand)]
enum PlankhillCommand {
    /// Runs one scenario and prints its outcome.
    #[command(after_help = "Examples:
  plankhill emulate ordinary-day
  plankhill emulate scenarios/partner-silent.toml --seed 7
  plankhill emulate eid-rush --set forwarders.decisions=backoff --set forwarders.count=12
  plankhill emulate cold-return --json | jq .payoff")]
    Emulate {
        /// A file, or the name of a scenario that `plankhill scenarios` lists.
        scenario: String,
        /// Replaces the scenario's own seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Overrides a key of the scenario, such as `troubles.0.strength=3`; may be repeated.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Prints the complete outcome as one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Runs the days of an experiment: a sweep over keys, variants and seeds, as defined in the file.
    #[command(after_help = "Examples:
  plankhill experiment docs/experiments/troubles.toml --out /tmp/troubles
  plankhill report /tmp/troubles

An interrupted run continues when it is started again with the same file and folder.")]
    Experiment {
        file: PathBuf,
        /// The folder of the results: new, empty, or that of the same experiment.
        #[arg(long)]
        out: PathBuf,
        /// Number of days run in parallel; by default the number of cores.
        #[arg(long)]
        jobs: Option<usize>,
        /// Hides the progress bar.
        #[arg(long)]
        quiet: bool,
    },
    /// Writes DIR/report.html from the results of an experiment.
    Report { dir: PathBuf },
    /// Converts a forwarder's configuration for a deployment without health checks, whose targets report
    /// their limits and whose endpoint list reports rates.
    #[command(after_help = "Examples:
  plankhill convert config.json new.json --dry-run
  plankhill convert config.json new.json --retry-after off

The input is never changed, and nothing that exists is overwritten. docs/migration.md has the steps.")]
    Convert {
        file: PathBuf,
        /// The file for the converted configuration; must not exist.
        to: PathBuf,
        /// Whether a rejection may have a retry-after; unchanged if omitted.
        #[arg(long, value_name = "WORD")]
        retry_after: Option<Switch>,
        /// Prints which keys would be set and left, and writes nothing.
        #[arg(long)]
        dry_run: bool,
    },
    /// Lists the scenarios that come with the program, or prints one.
    Scenarios {
        /// Prints this scenario, to be edited and run as a file.
        name: Option<String>,
    },
    /// Prints a completion script for a shell.
    Completions { shell: Shell },
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Switch {
    On,
    Off,
}

fn main() -> ExitCode {
    match run(Arguments::parse().subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !matches!(error, CliError::OutputClosed) {
                eprintln!("plankhill: {error}");
            }
            ExitCode::from(error.exit_status())
        }
    }
}

fn run(subcommand: PlankhillCommand) -> Result<(), CliError> {
    let mut out = std::io::stdout().lock();
    match subcommand {
        PlankhillCommand::Emulate {
            scenario,
            seed,
            set,
            json,
        } => emulate::emulate(&mut out, &scenario, seed, &set, json),
        PlankhillCommand::Experiment {
            file,
            out: dir,
            jobs,
            quiet,
        } => experiment::experiment(&mut out, &file, &dir, jobs, quiet),
        PlankhillCommand::Convert {
            file,
            to,
            retry_after,
            dry_run,
        } => convert::convert(
            &mut out,
            &file,
            &to,
            retry_after.map(|switch| switch == Switch::On),
            dry_run,
        ),
        PlankhillCommand::Report { dir } => experiment::report(&mut out, &dir),
        PlankhillCommand::Scenarios { name } => emulate::scenarios(&mut out, name.as_deref()),
        PlankhillCommand::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Arguments::command(), "plankhill", &mut script);
            out.write_all(&script)?;
            Ok(())
        }
    }
}
