//! `/-/drains`: drains edges and returns them to service.

use hyper::StatusCode;
use plankhill_control::{ControlState, DrainAction, DrainOrder, Operation, Outcome};
use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};
use serde_json::Deserializer;

use super::body::{read_body, ReadableBody};
use super::response::{bad_request, body_error, error, ok, unavailable, AdminResponse};
use super::OUTCOME_TIMEOUT;
use crate::control_log::ControlLog;
use crate::controller::Controller;

/// Maximum size of a drain order in bytes; sufficient for the names of several thousand machines.
const MAX_ORDER_BYTES: usize = 256 * 1_024;

/// The body of a drain order.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderBody {
    /// The number of the last order known to the operator; 0 for none.
    expected: u64,
    /// True to drain the edges, false to return them to service.
    leave: bool,
    /// The names of the edges.
    #[serde(default)]
    nodes: Vec<String>,
    /// A zone; selects all its registered edges in addition to `nodes`.
    #[serde(default)]
    zone: Option<String>,
}

/// The drains and the registered edges.
#[derive(Serialize)]
struct DrainList {
    /// The number of the last order.
    number: u64,
    drains: Vec<DrainEntry>,
    edges: Vec<EdgeEntry>,
}

#[derive(Serialize)]
struct DrainEntry {
    node: String,
    number: u64,
    /// `leaving` or `empty`.
    state: &'static str,
}

#[derive(Serialize)]
struct EdgeEntry {
    node: String,
    zone: String,
    incarnation: u64,
}

/// Executes a drain order and returns the list of drains.
pub(super) async fn order<L: ControlLog>(
    controller: &Controller<L>,
    body: impl ReadableBody,
) -> AdminResponse {
    let text = match read_body(body, MAX_ORDER_BYTES).await {
        Ok(text) => text,
        Err(cause) => return body_error(cause),
    };
    let body: OrderBody =
        match serde_path_to_error::deserialize(&mut Deserializer::from_slice(&text)) {
            Ok(body) => body,
            Err(cause) => return bad_request(&format!("order cannot be read: {cause}")),
        };
    // A zone selects edges that may have been registered through any controller, so the newest
    // state is required. If another order is committed after this read, the expected number
    // conflicts.
    let Ok(newest) = controller.log().read(OUTCOME_TIMEOUT).await else {
        return unavailable();
    };
    let order = match resolve_order(body, &newest.state) {
        Ok(order) => order,
        Err(cause @ EmptyOrder::NoNodes) => return bad_request(&cause.to_string()),
        Err(cause @ EmptyOrder::EmptyZone) => {
            return error(StatusCode::NOT_FOUND, &cause.to_string())
        }
    };
    match controller
        .log()
        .propose(Operation::OrderDrain(order), OUTCOME_TIMEOUT)
        .await
    {
        Ok(Outcome::Applied | Outcome::Duplicate) => list(controller).await,
        Ok(Outcome::UnknownEdge) => error(StatusCode::NOT_FOUND, "no such edge"),
        Ok(Outcome::TooFewEdges) => {
            error(StatusCode::CONFLICT, "too few edges would stay in service")
        }
        Ok(Outcome::Conflict { current }) => {
            let reason = format!("expected: order {current} came before");
            error(StatusCode::PRECONDITION_FAILED, &reason)
        }
        Ok(_) | Err(_) => unavailable(),
    }
}

/// Returns the drains and the registered edges.
pub(super) async fn list<L: ControlLog>(controller: &Controller<L>) -> AdminResponse {
    let Ok(newest) = controller.log().read(OUTCOME_TIMEOUT).await else {
        return unavailable();
    };
    let state = &newest.state;
    let drains = state.drains().iter().map(|drain| DrainEntry {
        node: drain.node.to_string(),
        number: drain.number,
        state: if drain.empty { "empty" } else { "leaving" },
    });
    let edges = state.edges().iter().map(|edge| EdgeEntry {
        node: edge.node.to_string(),
        zone: edge.zone.to_string(),
        incarnation: edge.incarnation.0,
    });
    ok(&DrainList {
        number: state.drains().last_number(),
        drains: drains.collect(),
        edges: edges.collect(),
    })
}

/// The reason why an order selects no edges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum EmptyOrder {
    #[error("nodes: no machine is named")]
    NoNodes,
    #[error("zone: no edge is there")]
    EmptyZone,
}

/// Converts the body to a drain order for the edges that it names and those of its zone.
fn resolve_order(body: OrderBody, state: &ControlState) -> Result<DrainOrder, EmptyOrder> {
    let mut nodes: Vec<NodeId> = body
        .nodes
        .iter()
        .map(|node| NodeId::from(node.as_str()))
        .collect();
    if let Some(zone) = &body.zone {
        let in_zone = state
            .edges()
            .iter()
            .filter(|edge| edge.zone.as_str() == zone);
        nodes.extend(in_zone.map(|edge| edge.node.clone()));
    }
    nodes.sort();
    nodes.dedup();
    if nodes.is_empty() {
        return match body.zone {
            Some(_) => Err(EmptyOrder::EmptyZone),
            None => Err(EmptyOrder::NoNodes),
        };
    }
    let action = if body.leave {
        DrainAction::Drain
    } else {
        DrainAction::Undrain
    };
    Ok(DrainOrder {
        expected: body.expected,
        nodes,
        action,
    })
}
