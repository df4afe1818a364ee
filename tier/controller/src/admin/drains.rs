//! Taking edges out of service, and back.

use hyper::StatusCode;
use plankhill_control::{ControlState, DrainOrder, Operation, Outcome};
use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};
use serde_json::Deserializer;

use super::answer::{failure, invalid, ok, unavailable, unread, Answer};
use super::body::{read_body, ReadableBody};
use super::OUTCOME_TIMEOUT;
use crate::log::ControlLog;
use crate::process::Controller;

/// Largest order: the names of some thousand machines.
const MAX_ORDER_BYTES: usize = 256 * 1_024;

/// An order as the operator sends it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Order {
    /// The number of the last order that the operator knows of; 0 for none.
    expected: u64,
    /// Whether the edges leave; otherwise they are taken back.
    leave: bool,
    /// The machines.
    #[serde(default)]
    nodes: Vec<String>,
    /// All machines of a zone.
    #[serde(default)]
    zone: Option<String>,
}

/// What is out of service.
#[derive(Serialize)]
struct DrainList {
    /// The number of the last order.
    number: u64,
    drains: Vec<DrainEntry>,
    /// The edges in service, with their zones and lives.
    edges: Vec<EdgeEntry>,
}

#[derive(Serialize)]
struct DrainEntry {
    node: String,
    number: u64,
    state: &'static str,
}

#[derive(Serialize)]
struct EdgeEntry {
    node: String,
    zone: String,
    incarnation: u64,
}

/// Carries out an order.
pub async fn order<L: ControlLog>(controller: &Controller<L>, body: impl ReadableBody) -> Answer {
    let text = match read_body(body, MAX_ORDER_BYTES).await {
        Ok(text) => text,
        Err(error) => return unread(error),
    };
    let order: Order = match serde_path_to_error::deserialize(&mut Deserializer::from_slice(&text))
    {
        Ok(order) => order,
        Err(error) => return invalid(&format!("order cannot be read: {error}")),
    };
    // The zone's machines are those that are known anywhere; a newer order makes the number conflict.
    let Ok(newest) = controller.log.read(OUTCOME_TIMEOUT).await else {
        return unavailable();
    };
    let order = match resolved(order, &newest.state) {
        Ok(order) => order,
        Err(nobody @ NamesNobody::NoMachine) => return invalid(&nobody.to_string()),
        Err(nobody @ NamesNobody::EmptyZone) => {
            return failure(StatusCode::NOT_FOUND, &nobody.to_string())
        }
    };
    match controller
        .log
        .propose(Operation::OrderDrain(order), OUTCOME_TIMEOUT)
        .await
    {
        Ok(Outcome::Applied | Outcome::Repeated) => list(controller).await,
        Ok(Outcome::UnknownEdge) => failure(StatusCode::NOT_FOUND, "no such edge"),
        Ok(Outcome::TooFewEdges) => {
            failure(StatusCode::CONFLICT, "too few edges would stay in service")
        }
        Ok(Outcome::Conflict { current }) => failure(
            StatusCode::PRECONDITION_FAILED,
            &format!("expected: order {current} came before"),
        ),
        Ok(_) | Err(_) => unavailable(),
    }
}

/// What is out of service.
pub async fn list<L: ControlLog>(controller: &Controller<L>) -> Answer {
    let Ok(newest) = controller.log.read(OUTCOME_TIMEOUT).await else {
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
        number: state.drains().number(),
        drains: drains.collect(),
        edges: edges.collect(),
    })
}

/// Why an order names nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum NamesNobody {
    #[error("nodes: no machine is named")]
    NoMachine,
    #[error("zone: no edge is there")]
    EmptyZone,
}

fn resolved(order: Order, state: &ControlState) -> Result<DrainOrder, NamesNobody> {
    let mut nodes: Vec<NodeId> = order
        .nodes
        .iter()
        .map(|node| NodeId::from(node.as_str()))
        .collect();
    if let Some(zone) = &order.zone {
        let of_zone = state
            .edges()
            .iter()
            .filter(|edge| edge.zone.as_str() == zone);
        nodes.extend(of_zone.map(|edge| edge.node.clone()));
    }
    nodes.sort();
    nodes.dedup();
    if nodes.is_empty() {
        return Err(order
            .zone
            .map_or(NamesNobody::NoMachine, |_| NamesNobody::EmptyZone));
    }
    Ok(DrainOrder {
        expected: order.expected,
        nodes,
        leave: order.leave,
    })
}
