//! `/-/retire/{node}`: moves the data of a store to other stores before the machine is removed.

use hyper::StatusCode;
use plankhill_control::{Operation, Outcome, Retirement};
use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

use super::body::{read_body, ReadableBody};
use super::response::{bad_request, body_error, error, ok, unavailable, AdminResponse};
use super::OUTCOME_TIMEOUT;
use crate::control_log::ControlLog;
use crate::controller::Controller;

/// Maximum size of a retire order in bytes.
const MAX_ORDER_BYTES: usize = 4 * 1_024;

/// The body of a retire order. The duration is validated but not used; no step of a retirement
/// depends on it.
#[derive(Deserialize)]
struct OrderBody {
    #[serde(default, rename = "duration_s")]
    _duration_s: f64,
}

#[derive(Serialize)]
struct ProgressBody {
    /// `in_progress` or `completed`.
    state: &'static str,
}

/// Starts the retirement of a store.
pub(super) async fn start<L: ControlLog>(
    controller: &Controller<L>,
    node: NodeId,
    body: impl ReadableBody,
) -> AdminResponse {
    let text = match read_body(body, MAX_ORDER_BYTES).await {
        Ok(text) => text,
        Err(cause) => return body_error(cause),
    };
    if !text.is_empty() {
        if let Err(cause) = serde_json::from_slice::<OrderBody>(&text) {
            return bad_request(&format!("order cannot be read: {cause}"));
        }
    }
    match controller
        .log()
        .propose(Operation::RetireStore(node), OUTCOME_TIMEOUT)
        .await
    {
        Ok(Outcome::Applied | Outcome::Duplicate) => respond_with(Retirement::InProgress),
        Ok(Outcome::UnknownStore) => unknown_store(),
        Ok(Outcome::TooFewStores) => error(StatusCode::CONFLICT, "too few stores would be left"),
        Ok(_) | Err(_) => unavailable(),
    }
}

/// Returns the progress of a retirement.
pub(super) async fn progress<L: ControlLog>(
    controller: &Controller<L>,
    node: NodeId,
) -> AdminResponse {
    let Ok(newest) = controller.log().read(OUTCOME_TIMEOUT).await else {
        return unavailable();
    };
    match newest
        .state
        .retirements()
        .progress(&node, newest.state.stores())
    {
        Some(progress) => respond_with(progress),
        None => unknown_store(),
    }
}

fn respond_with(progress: Retirement) -> AdminResponse {
    let state = match progress {
        Retirement::InProgress => "in_progress",
        Retirement::Completed => "completed",
    };
    ok(&ProgressBody { state })
}

fn unknown_store() -> AdminResponse {
    error(StatusCode::NOT_FOUND, "no such store is being retired")
}
