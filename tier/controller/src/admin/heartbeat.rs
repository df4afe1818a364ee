//! Parses heartbeats from targets.

use std::net::SocketAddr;

use plankhill_protocol::ids::{InstanceId, ServiceName, ZoneName};
use plankhill_protocol::tables::{ServedModel, Target, TargetState};
use serde::Deserialize;

use super::MAX_NAME_BYTES;

/// Maximum number of models in one heartbeat.
const MAX_MODELS: usize = 64;

/// The reason why a heartbeat was rejected.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    /// The text is not valid JSON, lacks a key, or contains a value of the wrong type.
    #[error("heartbeat cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A name is empty or too long.
    #[error("{key}: must have 1 to {max} bytes", max = MAX_NAME_BYTES)]
    NameLength {
        /// The JSON key of the name.
        key: &'static str,
    },
    /// The reported capacity is 0.
    #[error("capacity: must not be 0")]
    ZeroCapacity,
    /// The heartbeat lists more models than allowed.
    #[error("models: at most {max}", max = MAX_MODELS)]
    TooManyModels,
}

#[derive(Deserialize)]
struct HeartbeatBody {
    service: String,
    address: SocketAddr,
    zone: String,
    capacity: u32,
    state: ReportedState,
    #[serde(default, rename = "cold_remaining_ms")]
    warm_up_remaining_ms: f64,
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

impl From<ReportedState> for TargetState {
    fn from(state: ReportedState) -> Self {
        match state {
            ReportedState::Healthy => TargetState::Healthy,
            ReportedState::Draining => TargetState::Draining,
        }
    }
}

#[derive(Deserialize)]
struct ReportedModel {
    name: String,
    #[serde(default)]
    version: u64,
}

impl From<ReportedModel> for ServedModel {
    fn from(model: ReportedModel) -> Self {
        ServedModel {
            name: model.name,
            version: model.version,
        }
    }
}

/// Parses a heartbeat from the target `id`. Unknown keys are ignored.
///
/// # Errors
/// [`HeartbeatError`] if the heartbeat is invalid; its message names the missing or invalid key.
pub fn parse_heartbeat(id: InstanceId, text: &[u8]) -> Result<Target, HeartbeatError> {
    let body: HeartbeatBody = serde_json::from_slice(text)?;
    validate(&body)?;
    Ok(Target {
        id,
        service: ServiceName::from(body.service.as_str()),
        address: body.address,
        zone: ZoneName::from(body.zone.as_str()),
        capacity: body.capacity,
        state: body.state.into(),
        sequence: body.sequence,
        // Truncates to whole milliseconds; the conversion saturates, so negative values become 0.
        warm_up_remaining_ms: body.warm_up_remaining_ms as u64,
        models: body.models.into_iter().map(ServedModel::from).collect(),
    })
}

fn validate(body: &HeartbeatBody) -> Result<(), HeartbeatError> {
    check_name("service", &body.service)?;
    check_name("zone", &body.zone)?;
    if body.capacity == 0 {
        return Err(HeartbeatError::ZeroCapacity);
    }
    if body.models.len() > MAX_MODELS {
        return Err(HeartbeatError::TooManyModels);
    }
    Ok(())
}

fn check_name(key: &'static str, name: &str) -> Result<(), HeartbeatError> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        Ok(())
    } else {
        Err(HeartbeatError::NameLength { key })
    }
}
