//! `plankhill`: the one command of the project for people. What is wrong with what it is given ends it with
//! one line on standard error and exit status 2; anything else that fails, with 1.

mod convert;
mod emulate;
mod experiment;
mod summary;

use std::io::{ErrorKind, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

#[derive(Parser)]
#[command(
    name = "plankhill",
    version,
    about = "Delivers events; here: plays, compares and reports days of it"
)]
struct Line {
    #[command(subcommand)]
    word: Word,
}

#[derive(Subcommand)]
enum Word {
    /// Plays one scenario and prints what it came to.
    #[command(after_help = "Examples:
  plankhill emulate ordinary-day
  plankhill emulate scenarios/partner-silent.toml --seed 7
  plankhill emulate eid-rush --set forwarders.decisions=backoff --set forwarders.count=12
  plankhill emulate cold-return --json | jq .payoff")]
    Emulate {
        /// A file, or the name of a scenario that `plankhill scenarios` lists.
        scenario: String,
        /// Goes before the scenario's own seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Sets a key over the file, as `troubles.0.strength=3`; may be given again.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Prints the whole outcome as one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Plays days side by side: a sweep over keys, variants and seeds, as the file says.
    #[command(after_help = "Examples:
  plankhill experiment docs/experiments/troubles.toml --out /tmp/troubles
  plankhill report /tmp/troubles

A run that was cut off goes on where it was when it is started again with the same file and folder.")]
    Experiment {
        file: PathBuf,
        /// The folder of the results: new, empty, or that of the same experiment.
        #[arg(long)]
        out: PathBuf,
        /// Days played at once; all cores by default.
        #[arg(long)]
        jobs: Option<usize>,
        /// Shows no progress.
        #[arg(long)]
        quiet: bool,
    },
    /// Writes DIR/report.html from the results of an experiment.
    Report { dir: PathBuf },
    /// Writes the counterpart of a forwarder's configuration for a deployment without pings, whose targets
    /// report their limits and whose list tells rates.
    #[command(after_help = "Examples:
  plankhill convert config.json new.json --dry-run
  plankhill convert config.json new.json --retry-after off

The input is never changed, and nothing that exists is overwritten. docs/migration.md has the steps.")]
    Convert {
        file: PathBuf,
        /// The counterpart; must not exist.
        to: PathBuf,
        /// Whether a dismissal may say when to come back; as it was, if left out.
        #[arg(long, value_name = "WORD")]
        retry_after: Option<Switch>,
        /// Tells what would be set and left, and writes nothing.
        #[arg(long)]
        dry_run: bool,
    },
    /// Lists the scenarios that come with the program, or prints one.
    Scenarios {
        /// Prints this one, to be changed and played as a file.
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

/// Why the command ends without having done its work.
pub enum Fault {
    /// What it was given is wrong: status 2.
    Given(String),
    /// Something outside failed: status 1.
    Outside(String),
    /// Whoever read its output has gone: no fault.
    Unread,
}

impl From<std::io::Error> for Fault {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::BrokenPipe => Fault::Unread,
            _ => Fault::Outside(error.to_string()),
        }
    }
}

fn main() -> ExitCode {
    match run(Line::parse().word) {
        Ok(()) | Err(Fault::Unread) => ExitCode::SUCCESS,
        Err(Fault::Given(what)) => {
            eprintln!("plankhill: {what}");
            ExitCode::from(2)
        }
        Err(Fault::Outside(what)) => {
            eprintln!("plankhill: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run(word: Word) -> Result<(), Fault> {
    let mut out = std::io::stdout().lock();
    match word {
        Word::Emulate {
            scenario,
            seed,
            set,
            json,
        } => emulate::emulate(&mut out, &scenario, seed, &set, json),
        Word::Experiment {
            file,
            out: dir,
            jobs,
            quiet,
        } => experiment::experiment(&mut out, &file, &dir, jobs, quiet),
        Word::Convert {
            file,
            to,
            retry_after,
            dry_run,
        } => convert::convert(
            &mut out,
            &file,
            &to,
            retry_after.map(|word| word == Switch::On),
            dry_run,
        ),
        Word::Report { dir } => experiment::report(&mut out, &dir),
        Word::Scenarios { name } => emulate::scenarios(&mut out, name.as_deref()),
        Word::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Line::command(), "plankhill", &mut script);
            out.write_all(&script)?;
            Ok(())
        }
    }
}
