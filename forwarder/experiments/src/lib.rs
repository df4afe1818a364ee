//! Experiments with the emulator: simulate many days, compare them, and report the results.
//!
//! A folder of results contains `experiment.toml` and `scenario.toml` (the input), `days.jsonl` (a record for each
//! day), `days.csv` and `compare.csv` (statistics), and, once requested, `report.html`.

pub mod compare;
mod days;
mod figures;
mod folder;
pub mod report;
pub mod shipped;

pub use days::{Day, Plan, Record};
pub use folder::{ExperimentError, Folder};

use std::sync::atomic::{AtomicBool, Ordering};

use rayon::prelude::*;

/// Simulates all days that the folder has no record of, on `jobs` cores (0: all), and calls `done` after each. A run
/// that was interrupted by `stop` or by the end of the process can be continued with the same plan and folder. The
/// resulting files are identical, byte for byte, for any number of cores and interruptions.
pub fn run(
    plan: &Plan,
    folder: &Folder,
    jobs: usize,
    stop: &AtomicBool,
    done: impl Fn() + Sync,
) -> Result<(), ExperimentError> {
    let missing: Vec<&Day> = plan.days.iter().filter(|day| !folder.has(day)).collect();
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs).build();
    let pool = pool.map_err(|e| ExperimentError::Io(format!("cannot start threads: {e}")))?;
    pool.install(|| {
        missing.par_iter().try_for_each(|day| {
            if stop.load(Ordering::Relaxed) {
                return Err(ExperimentError::Interrupted);
            }
            folder.append(&plan.play(day))?;
            done();
            Ok(())
        })
    })?;
    let records = folder.finish(plan)?;
    folder.write("days.csv", &compare::days_csv(plan, &records)?)?;
    folder.write("compare.csv", &compare::compare_csv(plan, &records)?)
}
