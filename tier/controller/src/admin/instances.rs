//! `/-/instances/{id}`: heartbeats and deregistration of targets.

use std::time::Instant;

use hyper::StatusCode;
use plankhill_control::{Operation, Outcome};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::Target;
use serde::Serialize;

use super::body::{read_body, ReadableBody};
use super::heartbeat::parse_heartbeat;
use super::response::{bad_request, body_error, error, ok, unavailable, AdminResponse};
use super::OUTCOME_TIMEOUT;
use crate::control_log::ControlLog;
use crate::controller::Controller;

/// Maximum size of a heartbeat in bytes; the same limit applies to its response.
const MAX_HEARTBEAT_BYTES: usize = 4 * 1_024;

/// The response to an accepted request: an empty object, because the controller has no instructions
/// for the target.
#[derive(Serialize)]
struct Acknowledgement {}

/// Handles a heartbeat. A heartbeat that changes nothing is acknowledged immediately if this
/// controller is current; any other is acknowledged once it is committed.
pub(super) async fn heartbeat<L: ControlLog>(
    controller: &Controller<L>,
    id: InstanceId,
    body: impl ReadableBody,
) -> AdminResponse {
    let text = match read_body(body, MAX_HEARTBEAT_BYTES).await {
        Ok(text) => text,
        Err(cause) => return body_error(cause),
    };
    match parse_heartbeat(id, &text) {
        Ok(report) => register(controller, report).await,
        Err(cause) => bad_request(&cause.to_string()),
    }
}

async fn register<L: ControlLog>(controller: &Controller<L>, report: Target) -> AdminResponse {
    controller
        .liveness_mut()
        .record_target(&report.id, Instant::now());
    let is_up_to_date = controller
        .log()
        .state()
        .borrow()
        .state
        .targets()
        .is_up_to_date(&report);
    if is_up_to_date && controller.log().is_current() {
        return ok(&Acknowledgement {});
    }
    propose(controller, Operation::RegisterTarget(report)).await
}

/// Deregisters a target permanently.
pub(super) async fn deregister<L: ControlLog>(
    controller: &Controller<L>,
    id: InstanceId,
) -> AdminResponse {
    propose(controller, Operation::DeregisterTarget(id)).await
}

async fn propose<L: ControlLog>(controller: &Controller<L>, operation: Operation) -> AdminResponse {
    match controller.log().propose(operation, OUTCOME_TIMEOUT).await {
        Ok(Outcome::Full) => error(StatusCode::SERVICE_UNAVAILABLE, "too many targets"),
        Ok(_) => ok(&Acknowledgement {}),
        Err(_) => unavailable(),
    }
}
