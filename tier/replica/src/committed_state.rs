//! The replicated state as exposed to the process: typed, immutable snapshots.

use std::sync::Arc;

use plankhill_chain::ViewNumber;
use plankhill_protocol::ids::Revision;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// A deterministic state machine: the state changes only by operations, identically on every member.
pub trait ReplicatedState:
    Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// An operation that changes the state.
    type Operation: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// The result of an operation, including a rejection.
    type Outcome: Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Applies an operation. The result must be deterministic: it may depend only on the state, the
    /// revision and the operation.
    fn apply(&mut self, revision: Revision, operation: &Self::Operation) -> Self::Outcome;
}

/// The newest committed state on this member.
#[derive(Debug)]
pub struct CommittedState<S: ReplicatedState> {
    /// The revision of the last operation applied to the state; 0 before the first one.
    pub revision: Revision,
    /// The view in which this member learned that the operation is committed.
    pub view: ViewNumber,
    /// The state.
    pub state: Arc<S>,
}

impl<S: ReplicatedState> CommittedState<S> {
    /// Returns the state before the first operation.
    pub fn empty() -> Self {
        Self {
            revision: Revision::default(),
            view: ViewNumber::default(),
            state: Arc::new(S::default()),
        }
    }
}
