//! The folder of an experiment's results. A folder with other content is left unchanged.

use std::collections::HashSet;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use crate::days::{Day, Plan, Record};

/// Why an experiment did not complete.
#[derive(Debug, PartialEq, Eq)]
pub enum ExperimentError {
    /// The input is invalid.
    InvalidInput(String),
    /// A file could not be read or written.
    Io(String),
    /// The run was asked to stop.
    Interrupted,
}

pub struct Folder {
    path: PathBuf,
    completed: HashSet<usize>,
    days: Mutex<File>,
}

const EXPERIMENT: &str = "experiment.toml";
const SCENARIO: &str = "scenario.toml";
const DAYS: &str = "days.jsonl";

impl Folder {
    /// Opens a folder for a plan: a new or empty folder, or one in which the same plan was begun.
    pub fn open(path: &Path, plan: &Plan) -> Result<Folder, ExperimentError> {
        let name = path.display();
        let outside = |what: &str| {
            let what = what.to_owned();
            move |e: std::io::Error| ExperimentError::Io(format!("{what}: {e}"))
        };
        fs::create_dir_all(path).map_err(outside(&name.to_string()))?;
        let mut entries = fs::read_dir(path).map_err(outside(&name.to_string()))?;
        if entries.next().is_some() {
            let begun = fs::read_to_string(path.join(EXPERIMENT));
            let begun = begun.map_err(|_| {
                ExperimentError::InvalidInput(format!(
                    "{name}: holds something else than an experiment"
                ))
            })?;
            let scenario = fs::read_to_string(path.join(SCENARIO)).unwrap_or_default();
            if begun != plan.experiment_text || scenario != plan.scenario_text {
                return Err(ExperimentError::InvalidInput(format!(
                    "{name}: holds another experiment, or another version of this one"
                )));
            }
        } else {
            fs::write(path.join(SCENARIO), &plan.scenario_text).map_err(outside(SCENARIO))?;
            fs::write(path.join(EXPERIMENT), &plan.experiment_text).map_err(outside(EXPERIMENT))?;
        }
        let completed = recover(&path.join(DAYS), plan)?;
        let days = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.join(DAYS))
            .map_err(outside(DAYS))?;
        Ok(Folder {
            path: path.to_owned(),
            completed,
            days: Mutex::new(days),
        })
    }

    pub fn has(&self, day: &Day) -> bool {
        self.completed.contains(&day.number)
    }

    pub fn completed_days(&self) -> usize {
        self.completed.len()
    }

    /// Appends the record with one write, so that an interrupted run leaves at most one incomplete line.
    pub fn append(&self, record: &Record) -> Result<(), ExperimentError> {
        let mut line = serde_json::to_string(record)
            .map_err(|e| ExperimentError::Io(format!("{DAYS}: {e}")))?;
        line.push('\n');
        let mut days = self.days.lock().expect("no writer panics");
        days.write_all(line.as_bytes())
            .map_err(|e| ExperimentError::Io(format!("{DAYS}: {e}")))
    }

    /// Rewrites the file of records in the order of their days, and returns the records.
    pub fn finish(&self, plan: &Plan) -> Result<Vec<Record>, ExperimentError> {
        let mut records = read(&self.path)?;
        records.sort_by_key(|record| record.number);
        if records.len() != plan.days.len() {
            let (is, all) = (records.len(), plan.days.len());
            return Err(ExperimentError::Io(format!(
                "{DAYS}: holds {is} of {all} days"
            )));
        }
        let lines = records
            .iter()
            .map(serde_json::to_string)
            .collect::<Result<Vec<_>, _>>();
        let mut text = lines
            .map_err(|e| ExperimentError::Io(format!("{DAYS}: {e}")))?
            .join("\n");
        text.push('\n');
        self.write(DAYS, text.as_bytes())?;
        Ok(records)
    }

    /// Writes a file atomically.
    pub fn write(&self, name: &str, bytes: &[u8]) -> Result<(), ExperimentError> {
        write_atomically(&self.path, name, bytes)
    }
}

pub(crate) fn write_atomically(
    folder: &Path,
    name: &str,
    bytes: &[u8],
) -> Result<(), ExperimentError> {
    let new = folder.join(format!("{name}.new"));
    let written = fs::write(&new, bytes).and_then(|()| fs::rename(&new, folder.join(name)));
    written.map_err(|e| ExperimentError::Io(format!("{name}: {e}")))
}

/// The texts of a folder's experiment and scenario.
pub(crate) fn read_inputs(folder: &Path) -> Result<(String, String), ExperimentError> {
    let read = |name: &str| {
        let path = folder.join(name);
        fs::read_to_string(&path)
            .map_err(|e| ExperimentError::InvalidInput(format!("{}: {e}", path.display())))
    };
    Ok((read(EXPERIMENT)?, read(SCENARIO)?))
}

/// The records of a folder.
pub fn read(folder: &Path) -> Result<Vec<Record>, ExperimentError> {
    let path = folder.join(DAYS);
    let text = fs::read_to_string(&path)
        .map_err(|e| ExperimentError::InvalidInput(format!("{}: {e}", path.display())))?;
    let lines = text.lines().enumerate();
    let records = lines.map(|(at, line)| {
        let what = |e| ExperimentError::InvalidInput(format!("{}:{}: {e}", path.display(), at + 1));
        serde_json::from_str(line).map_err(what)
    });
    records.collect()
}

/// Reads the numbers of the days that an earlier run completed. An incomplete last line is truncated; its day is
/// simulated again.
fn recover(path: &Path, plan: &Plan) -> Result<HashSet<usize>, ExperimentError> {
    let outside = |e: std::io::Error| ExperimentError::Io(format!("{}: {e}", path.display()));
    let Ok(bytes) = fs::read(path) else {
        return Ok(HashSet::new());
    };
    let complete_len = bytes
        .iter()
        .rposition(|byte| *byte == b'\n')
        .map_or(0, |at| at + 1);
    if complete_len < bytes.len() {
        let file = OpenOptions::new().write(true).open(path).map_err(outside)?;
        file.set_len(complete_len as u64).map_err(outside)?;
    }
    let mut completed = HashSet::new();
    for (at, line) in bytes[..complete_len]
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .enumerate()
    {
        let record: Record = serde_json::from_slice(line).map_err(|e| {
            ExperimentError::InvalidInput(format!(
                "{}:{}: not a record of a day: {e}",
                path.display(),
                at + 1
            ))
        })?;
        if record.commit != plan.commit {
            let (then, now) = (record.commit, &plan.commit);
            let what =
                format!("was begun with commit {then}, the current commit is {now}: days of different commits cannot be combined");
            return Err(ExperimentError::InvalidInput(format!(
                "{}: {what}",
                path.display()
            )));
        }
        completed.insert(record.number);
    }
    Ok(completed)
}
