//! Emptying a store before it is taken away.

use hyper::StatusCode;
use plankhill_control::{Operation, Outcome, Retirement};
use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

use super::answer::{failure, invalid, ok, unavailable, unread, Answer};
use super::body::{read_body, ReadableBody};
use super::OUTCOME_TIMEOUT;
use crate::log::ControlLog;
use crate::process::Controller;

/// Largest order.
const MAX_ORDER_BYTES: usize = 4 * 1_024;

/// What the operator may say besides; the time is not needed, since nothing here is done early.
#[derive(Deserialize)]
struct Order {
    #[serde(default, rename = "duration_s")]
    _duration_s: f64,
}

/// How far the emptying is.
#[derive(Serialize)]
struct Progress {
    state: &'static str,
}

/// Starts emptying a store.
pub async fn start<L: ControlLog>(
    controller: &Controller<L>,
    node: NodeId,
    body: impl ReadableBody,
) -> Answer {
    let text = match read_body(body, MAX_ORDER_BYTES).await {
        Ok(text) => text,
        Err(error) => return unread(error),
    };
    if !text.is_empty() {
        if let Err(error) = serde_json::from_slice::<Order>(&text) {
            return invalid(&format!("order cannot be read: {error}"));
        }
    }
    match controller
        .log
        .propose(Operation::RetireStore(node), OUTCOME_TIMEOUT)
        .await
    {
        Ok(Outcome::Applied | Outcome::Repeated) => ok(&Progress {
            state: "in_progress",
        }),
        Ok(Outcome::UnknownStore) => unknown(),
        Ok(Outcome::TooFewStores) => failure(StatusCode::CONFLICT, "too few stores would be left"),
        Ok(_) | Err(_) => unavailable(),
    }
}

/// How far the emptying is.
pub async fn progress<L: ControlLog>(controller: &Controller<L>, node: NodeId) -> Answer {
    let Ok(newest) = controller.log.read(OUTCOME_TIMEOUT).await else {
        return unavailable();
    };
    match newest
        .state
        .retirements()
        .progress(&node, newest.state.stores())
    {
        Some(Retirement::InProgress) => ok(&Progress {
            state: "in_progress",
        }),
        Some(Retirement::Completed) => ok(&Progress { state: "completed" }),
        None => unknown(),
    }
}

fn unknown() -> Answer {
    failure(StatusCode::NOT_FOUND, "no such store is being retired")
}
