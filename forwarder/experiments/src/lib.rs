//! Experiments with the emulator: many days, what they teach side by side, and pages that show it.
//!
//! A folder of results holds `experiment.toml` and `scenario.toml` (what was played), `days.jsonl` (a record
//! for each day), `days.csv` and `compare.csv` (figures), and, once asked for, `report.html`.

pub mod compare;
mod days;
mod figures;
mod folder;
pub mod report;
pub mod shipped;

pub use days::{Day, Plan, Record};
pub use folder::{Folder, Stopped};

use std::sync::atomic::{AtomicBool, Ordering};

use rayon::prelude::*;

/// Plays all days that the folder does not hold yet, on `jobs` cores (0: all), and tells `done` after each.
/// Cut off by `stop` or by the end of the process, it can be started again with the same plan and folder.
/// The files come out the same, to the byte, however many cores there were and however often it was cut off.
pub fn run(
    plan: &Plan,
    folder: &Folder,
    jobs: usize,
    stop: &AtomicBool,
    done: impl Fn() + Sync,
) -> Result<(), Stopped> {
    let missing: Vec<&Day> = plan.days.iter().filter(|day| !folder.has(day)).collect();
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs).build();
    let pool = pool.map_err(|e| Stopped::Outside(format!("no threads: {e}")))?;
    pool.install(|| {
        missing.par_iter().try_for_each(|day| {
            if stop.load(Ordering::Relaxed) {
                return Err(Stopped::Asked);
            }
            folder.keep(&plan.play(day))?;
            done();
            Ok(())
        })
    })?;
    let records = folder.finish(plan)?;
    folder.write("days.csv", &compare::days_csv(plan, &records)?)?;
    folder.write("compare.csv", &compare::compare_csv(plan, &records)?)
}
