//! The result of applying an operation, which the chain returns to the controller that proposed the
//! operation.

use serde::{Deserialize, Serialize};

/// The result of applying an [`Operation`](crate::Operation).
///
/// Every outcome but [`Outcome::Applied`] leaves the replicated tables unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The state changed as requested.
    Applied,
    /// Exactly this request was applied before.
    Duplicate,
    /// Nothing to change: the request is older than the state, already in the state, or for an
    /// earlier epoch.
    Ignored,
    /// Another configuration, or another drain order, was applied first.
    Conflict {
        /// The current configuration version, or the number of the last drain order.
        current: u64,
    },
    /// The configuration builds on the current one, but its version is not above the current
    /// version.
    VersionNotIncreasing {
        /// The current configuration version.
        current: u64,
    },
    /// No store of that name holds data.
    UnknownStore,
    /// Fewer than 2f+1 stores would remain.
    TooFewStores,
    /// No edge of that name is registered or draining.
    UnknownEdge,
    /// The drain would exceed the disruption budget of the edges.
    TooFewEdges,
    /// A table has reached its maximum size.
    Full,
    /// The singleton task was proposed by the head of an older view of the chain.
    Fenced,
    /// The configuration is older than the remembered history: whether it was accepted before is
    /// unknown.
    HistoryTrimmed,
}

impl Outcome {
    /// Whether the state changed.
    pub fn is_applied(self) -> bool {
        self == Outcome::Applied
    }
}
