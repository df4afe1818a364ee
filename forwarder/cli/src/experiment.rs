//! `plankhill experiment` and `plankhill report`.

use std::io::Write;
use std::path::Path;
use std::sync::atomic::AtomicBool;

use indicatif::{ProgressBar, ProgressStyle};
use plankhill_experiments::{report as pages, run, shipped, Folder, Plan};
use plankhill_forwarder_config::experiment::Experiment;
use plankhill_forwarder_config::tables::Text;

use crate::error::CliError;

/// Runs the days of an experiment, or those that an earlier run has not completed, and stores their results in `dir`.
///
/// # Errors
/// The experiment or its scenario is invalid, or the folder can't be written.
pub fn experiment(
    out: &mut impl Write,
    file: &Path,
    dir: &Path,
    jobs: Option<usize>,
    quiet: bool,
) -> Result<(), CliError> {
    let text = Text::read(file).map_err(CliError::Usage)?;
    let experiment = Experiment::read(&text).map_err(CliError::Usage)?;
    let sibling = file
        .parent()
        .unwrap_or(Path::new("."))
        .join(&experiment.scenario);
    let scenario = if sibling.is_file() {
        Text::read(&sibling)
    } else {
        shipped::find(&experiment.scenario)
    };
    let scenario =
        scenario.map_err(|reason| CliError::Usage(text.error_at("scenario", &reason)))?;
    let commit = env!("PLANKHILL_COMMIT").to_owned();
    let scenario_text = scenario.text().to_owned();
    let plan = Plan::new(
        experiment,
        text.text().to_owned(),
        &scenario,
        scenario_text,
        commit,
    );
    let plan = plan.map_err(CliError::Usage)?;
    let folder = Folder::open(dir, &plan)?;
    let progress = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(plan.days.len() as u64)
    };
    let style = "{pos} of {len} days, {elapsed} gone, {eta} left {wide_bar}";
    progress.set_style(
        ProgressStyle::with_template(style).map_err(|e| CliError::Failure(e.to_string()))?,
    );
    progress.set_position(folder.completed_days() as u64);
    progress.reset_eta();
    run(
        &plan,
        &folder,
        jobs.unwrap_or(0),
        &AtomicBool::new(false),
        || progress.inc(1),
    )?;
    progress.finish_and_clear();
    let days = plan.days.len();
    let shown = dir.display();
    writeln!(
        out,
        "{days} days in {shown}; `plankhill report {shown}` draws them"
    )?;
    Ok(())
}

/// Writes the report of the results in `dir`.
///
/// # Errors
/// The folder has no results, or can't be written.
pub fn report(out: &mut impl Write, dir: &Path) -> Result<(), CliError> {
    pages::write(dir)?;
    writeln!(out, "{}", dir.join("report.html").display())?;
    Ok(())
}
