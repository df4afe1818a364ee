//! Reads what a target reports.

use std::net::SocketAddr;

use plankhill_protocol::ids::{InstanceId, ServiceName, ZoneName};
use plankhill_protocol::tables::{ServedModel, Target, TargetState};
use serde::Deserialize;

/// Longest name in a report, in bytes.
const MAX_NAME_BYTES: usize = 255;
/// Models that one report may name.
const MAX_MODELS: usize = 64;

/// Why a report was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatError {
    /// It is no JSON, lacks a key, or a value is of another type.
    #[error("heartbeat cannot be read: {0}")]
    Unreadable(String),
    /// The value of a key is not allowed.
    #[error("{0}")]
    Invalid(&'static str),
}

#[derive(Deserialize)]
struct Report {
    service: String,
    address: SocketAddr,
    zone: String,
    capacity: u32,
    state: ReportedState,
    #[serde(default)]
    cold_remaining_ms: f64,
    sequence: u64,
    #[serde(default)]
    models: Vec<ReportedModel>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportedState {
    Healthy,
    Draining,
}

#[derive(Deserialize)]
struct ReportedModel {
    name: String,
    #[serde(default)]
    version: u64,
}

/// Reads the report of the target `id`. Keys that nobody knows are skipped.
///
/// # Errors
/// Names the key that is missing or wrong.
pub fn parse_heartbeat(id: InstanceId, text: &[u8]) -> Result<Target, HeartbeatError> {
    let report: Report = serde_json::from_slice(text)
        .map_err(|error| HeartbeatError::Unreadable(error.to_string()))?;
    check(&report)?;
    let served = |model: ReportedModel| ServedModel {
        name: model.name,
        version: model.version,
    };
    Ok(Target {
        id,
        service: ServiceName::from(report.service.as_str()),
        address: report.address,
        zone: ZoneName::from(report.zone.as_str()),
        capacity: report.capacity,
        state: match report.state {
            ReportedState::Healthy => TargetState::Healthy,
            ReportedState::Draining => TargetState::Draining,
        },
        sequence: report.sequence,
        // Whole milliseconds; negative ones and those too large are cut off.
        warm_up_remaining_ms: report.cold_remaining_ms as u64,
        models: report.models.into_iter().map(served).collect(),
    })
}

fn check(report: &Report) -> Result<(), HeartbeatError> {
    let allowed = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
    if !allowed(&report.service) {
        return Err(HeartbeatError::Invalid("service: must have 1 to 255 bytes"));
    }
    if !allowed(&report.zone) {
        return Err(HeartbeatError::Invalid("zone: must have 1 to 255 bytes"));
    }
    if report.capacity == 0 {
        return Err(HeartbeatError::Invalid("capacity: must not be 0"));
    }
    if report.models.len() > MAX_MODELS {
        return Err(HeartbeatError::Invalid("models: at most 64"));
    }
    Ok(())
}
