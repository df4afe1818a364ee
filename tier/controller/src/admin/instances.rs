//! Heartbeats of targets, and their end.

use std::time::Instant;

use hyper::StatusCode;
use plankhill_control::{Operation, Outcome};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::Target;
use serde::Serialize;

use super::answer::{failure, invalid, ok, unavailable, unread, Answer};
use super::body::{read_body, ReadableBody};
use super::heartbeat::parse_heartbeat;
use super::OUTCOME_TIMEOUT;
use crate::log::ControlLog;
use crate::process::Controller;

/// Largest report; the same bound as for its answer.
const MAX_HEARTBEAT_BYTES: usize = 4 * 1_024;

/// The answer to a report that was taken; nothing is asked of the target.
#[derive(Serialize)]
struct Acknowledgement {}

/// Takes a report. What says nothing new is answered from the committed state; what does is answered once it is
/// committed.
pub async fn heartbeat<L: ControlLog>(
    controller: &Controller<L>,
    id: InstanceId,
    body: impl ReadableBody,
) -> Answer {
    let text = match read_body(body, MAX_HEARTBEAT_BYTES).await {
        Ok(text) => text,
        Err(error) => return unread(error),
    };
    let report = match parse_heartbeat(id, &text) {
        Ok(report) => report,
        Err(error) => return invalid(&error.to_string()),
    };
    take_report(controller, report).await
}

async fn take_report<L: ControlLog>(controller: &Controller<L>, report: Target) -> Answer {
    controller
        .liveness
        .borrow_mut()
        .heard_target(&report.id, Instant::now());
    let known = controller
        .log
        .state()
        .borrow()
        .state
        .targets()
        .is_known(&report);
    if known && controller.log.is_current() {
        return ok(&Acknowledgement {});
    }
    acknowledge(
        controller
            .log
            .propose(Operation::SetTarget(report), OUTCOME_TIMEOUT)
            .await
            .ok(),
    )
}

/// Forgets a target for good.
pub async fn deregister<L: ControlLog>(controller: &Controller<L>, id: InstanceId) -> Answer {
    acknowledge(
        controller
            .log
            .propose(Operation::RemoveTarget(id), OUTCOME_TIMEOUT)
            .await
            .ok(),
    )
}

fn acknowledge(outcome: Option<Outcome>) -> Answer {
    match outcome {
        None => unavailable(),
        Some(Outcome::Full) => failure(StatusCode::SERVICE_UNAVAILABLE, "too many targets"),
        Some(_) => ok(&Acknowledgement {}),
    }
}
