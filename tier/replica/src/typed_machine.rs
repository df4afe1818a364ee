//! Adapts the typed state to the state machine interface of the chain. Operations, outcomes and
//! snapshots are encoded with `postcard`.

use std::sync::Arc;

use plankhill_chain::{BadSnapshot, StateMachine, ViewNumber};
use plankhill_protocol::ids::Revision;

use crate::committed_state::{CommittedState, ReplicatedState};

#[cfg(test)]
mod stored_format_tests;

/// The typed state, shared with readers. Copy-on-write: an operation copies the state only while a
/// reader still has a reference to the previous one.
pub(crate) struct TypedMachine<S: ReplicatedState> {
    state: Arc<S>,
}

impl<S: ReplicatedState> TypedMachine<S> {
    /// Creates a state machine in the state before the first operation.
    pub(crate) fn new() -> Self {
        Self {
            state: Arc::new(S::default()),
        }
    }

    /// Returns the state to publish at this revision.
    pub(crate) fn committed(&self, revision: Revision, view: ViewNumber) -> CommittedState<S> {
        CommittedState {
            revision,
            view,
            state: Arc::clone(&self.state),
        }
    }
}

impl<S: ReplicatedState> StateMachine for TypedMachine<S> {
    /// Applies an encoded operation. An operation that cannot be decoded is skipped on every member,
    /// so that all members stay consistent.
    fn apply(&mut self, revision: Revision, operation: &[u8]) -> Vec<u8> {
        let operation = match postcard::from_bytes::<S::Operation>(operation) {
            Ok(operation) => operation,
            Err(error) => {
                tracing::error!(
                    revision = revision.0,
                    %error,
                    "operation cannot be decoded; skipped"
                );
                return Vec::new();
            }
        };
        let outcome = Arc::make_mut(&mut self.state).apply(revision, &operation);
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(&*self.state).unwrap_or_default()
    }

    fn restore(&mut self, revision: Revision, snapshot: &[u8]) -> Result<(), BadSnapshot> {
        let is_initial = snapshot.is_empty() && revision == Revision(0);
        let state = match is_initial {
            true => S::default(),
            false => postcard::from_bytes(snapshot).map_err(|_| BadSnapshot)?,
        };
        self.state = Arc::new(state);
        Ok(())
    }
}
