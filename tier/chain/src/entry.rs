//! Operations of the replicated log.

use std::sync::Arc;

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

/// Identifier of a proposed operation. The proposing member draws it at random and uses the same
/// one for each retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestNumber(pub u128);

/// An operation in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier of the proposal.
    pub request: RequestNumber,
    /// The proposing member, which waits for the outcome.
    pub origin: NodeId,
    /// The encoded operation for the state machine.
    pub operation: Arc<[u8]>,
}
