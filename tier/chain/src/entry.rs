//! Operations of the replicated log.

use std::sync::Arc;

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

/// Name of a proposed operation, drawn at random by the member that proposes the operation; the
/// same at each retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestNumber(pub u128);

/// One operation in the chain's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the proposal.
    pub request: RequestNumber,
    /// The member that waits for the outcome.
    pub origin: NodeId,
    /// What the state machine is to apply.
    pub operation: Arc<[u8]>,
}
