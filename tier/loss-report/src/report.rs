//! The parts of a day's report that the ledger needs. Other fields are skipped.

use std::path::Path;

use serde::{Deserialize, Deserializer};

/// Why a report cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The file.
    #[error("cannot be read: {0}")]
    File(#[from] std::io::Error),
    /// Its content; the message names the key.
    #[error("is no report of a day: {0}")]
    Content(#[from] serde_json::Error),
}

/// One day.
#[derive(Clone, Debug, Deserialize)]
pub struct DayReport {
    /// Programs by the time at which they began, in order.
    pub windows: Vec<Window>,
    /// Faults and planned work.
    pub events: Vec<Event>,
    /// What was deducted.
    pub prices: Vec<Price>,
}

/// Programs that began within one window.
#[derive(Clone, Debug, Deserialize)]
pub struct Window {
    /// When the window begins, in seconds from the start of traffic.
    #[serde(rename = "name", deserialize_with = "seconds")]
    pub from: f64,
    /// Programs.
    #[serde(rename = "n")]
    pub programs: u32,
    /// Those that ended late.
    pub late: u32,
    /// Those that were refused.
    pub refused: u32,
    /// Those that failed.
    pub failed: u32,
    /// The worth earned as a share of what was owed.
    pub worth: f64,
}

/// A fault, or planned work.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// When it began, in seconds from the start of traffic.
    pub at_s: f64,
    /// When it ended.
    pub to_s: f64,
    /// What it was.
    pub kind: String,
}

/// One deduction: what for, the amount in its own unit, and the share of the worth owed.
#[derive(Clone, Debug, Deserialize)]
pub struct Price(pub String, pub f64, pub f64);

impl DayReport {
    /// Reads a report.
    ///
    /// # Errors
    /// [`ReportError`] if the file cannot be read, or holds something else.
    pub fn read(file: &Path) -> Result<Self, ReportError> {
        Ok(serde_json::from_str(&std::fs::read_to_string(file)?)?)
    }
}

fn seconds<'de, D: Deserializer<'de>>(source: D) -> Result<f64, D::Error> {
    let text = String::deserialize(source)?;
    text.parse().map_err(serde::de::Error::custom)
}
