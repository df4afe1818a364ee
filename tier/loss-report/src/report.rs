//! The fields of a day's report that the attribution needs, in the JSON format of the bench. Other
//! fields are ignored.

use std::path::Path;

use serde::{Deserialize, Deserializer};

/// An error of reading a report.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    File(#[from] std::io::Error),
    /// The file is not a valid report of a day; the message names the key.
    #[error("is not a valid report of a day: {0}")]
    Content(#[from] serde_json::Error),
}

/// The report of one day.
#[derive(Clone, Debug, Deserialize)]
pub struct DayReport {
    /// The windows in which programs began, in order of time.
    pub windows: Vec<Window>,
    /// Faults and planned work.
    pub events: Vec<Event>,
    /// The deductions from the value.
    #[serde(rename = "prices")]
    pub deductions: Vec<Deduction>,
}

/// Results of the programs that began within one window.
#[derive(Clone, Debug, Deserialize)]
pub struct Window {
    /// The beginning of the window, in seconds from the start of traffic.
    #[serde(rename = "name", deserialize_with = "seconds")]
    pub from: f64,
    /// Number of programs that began in the window.
    #[serde(rename = "n")]
    pub programs: u32,
    /// Number of programs that ended late.
    pub late: u32,
    /// Number of programs that were refused.
    pub refused: u32,
    /// Number of programs that failed.
    pub failed: u32,
    /// The earned value as a share of the value owed.
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
    /// The bench's name for the kind of event.
    pub kind: String,
}

/// A deduction; an array of three values in the report.
#[derive(Clone, Debug, Deserialize)]
pub struct Deduction {
    /// The reason for the deduction.
    pub reason: String,
    /// The amount, in the unit of the reason.
    pub amount: f64,
    /// The amount as a share of the value owed.
    pub share: f64,
}

impl DayReport {
    /// Reads a report.
    ///
    /// # Errors
    /// [`ReportError`] if the file cannot be read or is not a valid report.
    pub fn read(file: &Path) -> Result<Self, ReportError> {
        Ok(serde_json::from_str(&std::fs::read_to_string(file)?)?)
    }
}

fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(serde::de::Error::custom)
}
