//! The typed state as the chain's state machine.

use std::sync::Arc;

use plankhill_chain::{BadSnapshot, StateMachine, ViewNumber};
use plankhill_protocol::ids::Revision;

use crate::state::{CommittedState, ReplicatedState};

#[cfg(test)]
mod stored_format_tests;

/// The typed state.
pub(crate) struct TypedMachine<S: ReplicatedState> {
    state: Arc<S>,
}

impl<S: ReplicatedState> TypedMachine<S> {
    pub(crate) fn new() -> Self {
        Self {
            state: Arc::new(S::default()),
        }
    }

    /// What others get to see.
    pub(crate) fn publish(&self, revision: Revision, view: ViewNumber) -> CommittedState<S> {
        CommittedState {
            revision,
            view,
            state: Arc::clone(&self.state),
        }
    }
}

impl<S: ReplicatedState> StateMachine for TypedMachine<S> {
    fn apply(&mut self, revision: Revision, operation: &[u8]) -> Vec<u8> {
        let Ok(operation) = postcard::from_bytes::<S::Operation>(operation) else {
            tracing::error!(revision = revision.0, "operation cannot be read; left out");
            return Vec::new();
        };
        let outcome = Arc::make_mut(&mut self.state).apply(revision, &operation);
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(&*self.state).unwrap_or_default()
    }

    fn restore(&mut self, revision: Revision, snapshot: &[u8]) -> Result<(), BadSnapshot> {
        self.state = match snapshot {
            [] if revision.0 == 0 => Arc::new(S::default()),
            bytes => Arc::new(postcard::from_bytes(bytes).map_err(|_| BadSnapshot)?),
        };
        Ok(())
    }
}
