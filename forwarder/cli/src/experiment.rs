//! Experiments and their reports.

use std::io::Write;
use std::path::Path;
use std::sync::atomic::AtomicBool;

use indicatif::{ProgressBar, ProgressStyle};
use plankhill_experiments::{report as pages, run, shipped, Folder, Plan, Stopped};
use plankhill_forwarder_config::experiment::Experiment;
use plankhill_forwarder_config::tables::Text;

use crate::Fault;

impl From<Stopped> for Fault {
    fn from(stopped: Stopped) -> Self {
        match stopped {
            Stopped::Given(what) => Fault::Given(what),
            Stopped::Outside(what) => Fault::Outside(what),
            Stopped::Asked => Fault::Outside("stopped before its end".into()),
        }
    }
}

pub fn experiment(
    out: &mut impl Write,
    file: &Path,
    dir: &Path,
    jobs: Option<usize>,
    quiet: bool,
) -> Result<(), Fault> {
    let text = Text::read(file).map_err(Fault::Given)?;
    let experiment = Experiment::read(&text).map_err(Fault::Given)?;
    let beside = file
        .parent()
        .unwrap_or(Path::new("."))
        .join(&experiment.scenario);
    let scenario = match beside.is_file() {
        true => Text::read(&beside),
        false => shipped::find(&experiment.scenario),
    };
    let scenario = scenario.map_err(|what| Fault::Given(text.wrong("scenario", &what)))?;
    let commit = env!("PLANKHILL_COMMIT").to_owned();
    let scenario_text = scenario.text().to_owned();
    let plan = Plan::new(
        experiment,
        text.text().to_owned(),
        &scenario,
        scenario_text,
        commit,
    );
    let plan = plan.map_err(Fault::Given)?;
    let folder = Folder::open(dir, &plan)?;
    let bar = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(plan.days.len() as u64)
    };
    let style = "{pos} of {len} days, {elapsed} gone, {eta} left {wide_bar}";
    bar.set_style(ProgressStyle::with_template(style).map_err(|e| Fault::Outside(e.to_string()))?);
    bar.set_position(folder.held() as u64);
    bar.reset_eta();
    run(
        &plan,
        &folder,
        jobs.unwrap_or(0),
        &AtomicBool::new(false),
        || bar.inc(1),
    )?;
    bar.finish_and_clear();
    let (days, shown) = (plan.days.len(), dir.display());
    writeln!(
        out,
        "{days} days in {shown}; `plankhill report {shown}` draws them"
    )?;
    Ok(())
}

pub fn report(out: &mut impl Write, dir: &Path) -> Result<(), Fault> {
    pages::write(dir)?;
    writeln!(out, "{}", dir.join("report.html").display())?;
    Ok(())
}
