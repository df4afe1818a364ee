//! The replicated state as the process sees it: typed, immutable, replaced as a whole.

use std::sync::Arc;

use plankhill_chain::ViewNumber;
use plankhill_protocol::ids::Revision;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// A state that changes only by operations, the same way on every member.
pub trait ReplicatedState:
    Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// What changes the state.
    type Operation: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// The result of an operation, also where the state rejected the operation.
    type Outcome: Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Applies an operation. The result may depend on nothing but the state, the revision and the
    /// operation.
    fn apply(&mut self, revision: Revision, operation: &Self::Operation) -> Self::Outcome;
}

/// The newest committed state that this member knows.
#[derive(Debug)]
pub struct CommittedState<S: ReplicatedState> {
    /// The last operation that the state contains; 0 before the first.
    pub revision: Revision,
    /// The view in which this member learnt that the operation is committed.
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
