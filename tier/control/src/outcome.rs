//! The result of applying an operation, which the chain returns to the controller that proposed it.

use serde::{Deserialize, Serialize};

/// The result of applying an [`Operation`](crate::Operation).
///
/// Every outcome except [`Outcome::Applied`] leaves the replicated tables unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The state changed as requested.
    Applied,
    /// Exactly this request was applied earlier.
    Duplicate,
    /// Nothing to change: the request is older than the state, already applied, or for an earlier
    /// epoch.
    Ignored,
    /// Another configuration, or another drain order, was applied first.
    Conflict {
        /// The current configuration version, or the number of the last drain order.
        current: u64,
    },
    /// The configuration builds on the current one, but its version is not higher than the current
    /// version.
    VersionNotIncreasing {
        /// The current configuration version.
        current: u64,
    },
    /// No store with this name holds data.
    UnknownStore,
    /// Fewer than 2f+1 stores would remain.
    TooFewStores,
    /// No edge with this name is registered or draining.
    UnknownEdge,
    /// The drain would exceed the disruption budget of the edges.
    TooFewEdges,
    /// A table has reached its maximum size.
    Full,
    /// The singleton task was proposed by the head of an older view of the chain.
    Fenced,
    /// The configuration is older than the history, so that it is unknown whether it was accepted
    /// before.
    HistoryTrimmed,
}

impl Outcome {
    /// Returns whether the state changed.
    pub fn is_applied(self) -> bool {
        self == Outcome::Applied
    }
}
