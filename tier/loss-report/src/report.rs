//! The fields of a day's report that the attribution needs, as the bench writes them (JSON). Other
//! fields are skipped.

use std::path::Path;

use serde::{Deserialize, Deserializer};

/// Why a report cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    File(#[from] std::io::Error),
    /// The file is no report of a day; the message names the key.
    #[error("is no report of a day: {0}")]
    Content(#[from] serde_json::Error),
}

/// The report of one day.
#[derive(Clone, Debug, Deserialize)]
pub struct DayReport {
    /// Programs by the time at which they began, in order.
    pub windows: Vec<Window>,
    /// Faults and planned work.
    pub events: Vec<Event>,
    /// The deductions.
    pub prices: Vec<Price>,
}

/// Programs that began within one window.
#[derive(Clone, Debug, Deserialize)]
pub struct Window {
    /// The beginning of the window, in seconds from the start of traffic.
    #[serde(rename = "name", deserialize_with = "seconds")]
    pub from: f64,
    /// The programs that began in the window.
    #[serde(rename = "n")]
    pub programs: u32,
    /// Those that ended late.
    pub late: u32,
    /// Those that were refused.
    pub refused: u32,
    /// Those that failed.
    pub failed: u32,
    /// The value earned as a share of the value owed.
    #[serde(rename = "worth")]
    pub value: f64,
}

/// A fault, or planned work.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// The beginning, in seconds from the start of traffic.
    pub at_s: f64,
    /// The end, in seconds from the start of traffic.
    pub to_s: f64,
    /// The kind, as the bench names it.
    pub kind: String,
}

/// One deduction; an array of three values in the report.
#[derive(Clone, Debug, Deserialize)]
pub struct Price {
    /// What the deduction is for.
    pub reason: String,
    /// The amount in its own unit.
    pub amount: f64,
    /// The amount as a share of the value owed.
    pub share: f64,
}

impl DayReport {
    /// Reads a report.
    ///
    /// # Errors
    /// [`ReportError`] if the file cannot be read, or holds something else.
    pub fn read(file: &Path) -> Result<Self, ReportError> {
        Ok(serde_json::from_str(&std::fs::read_to_string(file)?)?)
    }
}

fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(serde::de::Error::custom)
}
