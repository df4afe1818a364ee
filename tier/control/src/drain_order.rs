//! The operator's orders that drain edges or return them to service.

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

/// The action of a drain order.
///
/// The order of the variants is part of the stored format: they are encoded as 0 and 1.
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
    /// The number of the order that this order builds on; 0 for none.
    pub expected: u64,
    /// The edges to which the order applies.
    pub nodes: Vec<NodeId>,
    /// The action.
    pub action: DrainAction,
}
