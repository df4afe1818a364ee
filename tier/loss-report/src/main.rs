//! `plankhill-loss-report REPORT...`: where the worth of days was lost, from the bench's reports of them.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::{Arg, Parser};
use plankhill_loss_report::{DayReport, Ledger, ReportError};

/// Prices below this share of the worth owed are left out.
const LEAST_PRICE: f64 = 0.0005;

fn main() -> ExitCode {
    let files = match arguments() {
        Ok(files) => files,
        Err(error) => {
            eprintln!("{error}; usage: plankhill-loss-report REPORT...");
            return ExitCode::from(2);
        }
    };
    let failed = files.iter().filter(|file| tell(file).is_err()).count();
    if failed > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn arguments() -> Result<Vec<PathBuf>, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut files: Vec<OsString> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Value(file) => files.push(file),
            other => return Err(other.unexpected()),
        }
    }
    if files.is_empty() {
        return Err("no report is named".into());
    }
    Ok(files.into_iter().map(PathBuf::from).collect())
}

fn tell(file: &Path) -> Result<(), ReportError> {
    let report =
        DayReport::read(file).inspect_err(|error| eprintln!("{}: {error}", file.display()))?;
    let ledger = Ledger::of(&report);
    println!("{}", file.display());
    println!(
        "  {} programs, {} late, {} not served; lost {:.1}",
        ledger.programs,
        ledger.late,
        ledger.not_served,
        ledger.lost()
    );
    for cause in &ledger.causes {
        println!(
            "  {:<36} {:>7.1}  {:.4}",
            cause.cause, cause.programs, cause.share
        );
    }
    for price in report.prices.iter().filter(|price| price.2 >= LEAST_PRICE) {
        println!("  price: {:<29} {:>7.1}  {:.4}", price.0, price.1, price.2);
    }
    Ok(())
}
