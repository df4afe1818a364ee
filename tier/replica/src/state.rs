//! The replicated state as the process sees it: typed, immutable, swapped whole.

use std::sync::Arc;

use plankhill_protocol::ids::Revision;
use serde::de::DeserializeOwned;
use serde::Serialize;

use plankhill_chain::ViewNumber;

/// A state that changes only by operations, the same way on every member.
pub trait ReplicatedState:
    Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// What changes it.
    type Operation: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// What an operation came to, also when the state refused it.
    type Outcome: Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Applies an operation. The result may depend on nothing but the state, the revision and the operation.
    fn apply(&mut self, revision: Revision, operation: &Self::Operation) -> Self::Outcome;
}

/// The newest committed state that this member knows.
#[derive(Debug)]
pub struct CommittedState<S: ReplicatedState> {
    /// How many operations have been committed.
    pub revision: Revision,
    /// The view in which this member learnt it.
    pub view: ViewNumber,
    /// The state.
    pub state: Arc<S>,
}

impl<S: ReplicatedState> CommittedState<S> {
    /// The state before the first operation.
    pub fn empty() -> Self {
        Self {
            revision: Revision::default(),
            view: ViewNumber::default(),
            state: Arc::new(S::default()),
        }
    }
}
