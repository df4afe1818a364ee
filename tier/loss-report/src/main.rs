//! `plankhill-loss-report REPORT...`: prints the losses of days by cause, computed from the bench's
//! reports.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::{Arg, Parser};
use plankhill_loss_report::{DayReport, LossReport, ReportError};

/// Deductions below this share of the value owed are not printed.
const MIN_DEDUCTION_SHARE: f64 = 0.0005;

fn main() -> ExitCode {
    let files = match arguments() {
        Ok(files) => files,
        Err(error) => {
            eprintln!("{error}; usage: plankhill-loss-report REPORT...");
            return ExitCode::from(2);
        }
    };
    let failed = files
        .iter()
        .filter(|file| print_report(file).is_err())
        .count();
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
        return Err("no report file is given".into());
    }
    Ok(files.into_iter().map(PathBuf::from).collect())
}

/// Prints the losses of one day, or the error if the report cannot be read.
fn print_report(file: &Path) -> Result<(), ReportError> {
    let report =
        DayReport::read(file).inspect_err(|error| eprintln!("{}: {error}", file.display()))?;
    let losses = LossReport::new(&report);
    println!("{}", file.display());
    println!(
        "  {} programs, {} late, {} not served; lost {:.1}",
        losses.programs,
        losses.late,
        losses.not_served,
        losses.total_loss()
    );
    for loss in &losses.losses {
        println!(
            "  {:<36} {:>7.1}  {:.4}",
            loss.cause, loss.programs, loss.share
        );
    }
    for deduction in report
        .deductions
        .iter()
        .filter(|deduction| deduction.share >= MIN_DEDUCTION_SHARE)
    {
        println!(
            "  price: {:<29} {:>7.1}  {:.4}",
            deduction.reason, deduction.amount, deduction.share
        );
    }
    Ok(())
}
