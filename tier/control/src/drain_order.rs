//! The operator's order to drain edges, or to return them to service.

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

/// Whether a drain order takes edges out of service or returns them.
///
/// The order of the variants is format: the values are encoded as 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainAction {
    /// The edges return to service.
    Undrain,
    /// The edges are taken out of service.
    Drain,
}

/// An order that drains edges or returns them to service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainOrder {
    /// The number of the last order that the operator knew of; 0 for none.
    pub expected: u64,
    /// The edges.
    pub nodes: Vec<NodeId>,
    /// What happens to the edges.
    pub action: DrainAction,
}
