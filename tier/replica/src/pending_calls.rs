//! Calls of the handles that wait for an answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use plankhill_chain::RequestNumber;
use tokio::sync::oneshot;

use crate::committed_state::{CommittedState, ReplicatedState};
use crate::random::random_u64;

/// Pending proposals, reads and requests to leave. A caller whose entry is dropped gets
/// [`crate::Unavailable`].
pub(crate) struct PendingCalls<S: ReplicatedState> {
    last_number: u128,
    proposals: BTreeMap<RequestNumber, oneshot::Sender<S::Outcome>>,
    reads: BTreeMap<u64, oneshot::Sender<Arc<CommittedState<S>>>>,
    leaving: Vec<oneshot::Sender<()>>,
}

impl<S: ReplicatedState> PendingCalls<S> {
    /// Creates an empty set of pending calls. Call numbers count up from a random number, so that no
    /// two members or incarnations of a process use the same numbers.
    pub(crate) fn new() -> Self {
        Self {
            last_number: u128::from(random_u64()) << 64 | u128::from(random_u64()),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            leaving: Vec::new(),
        }
    }

    pub(crate) fn add_proposal(&mut self, answer: oneshot::Sender<S::Outcome>) -> RequestNumber {
        let request = RequestNumber(self.next_number());
        self.proposals.insert(request, answer);
        request
    }

    pub(crate) fn add_read(&mut self, answer: oneshot::Sender<Arc<CommittedState<S>>>) -> u64 {
        let read_id = self.next_number() as u64;
        self.reads.insert(read_id, answer);
        read_id
    }

    pub(crate) fn add_leave(&mut self, answer: oneshot::Sender<()>) {
        self.leaving.push(answer);
    }

    /// Completes a committed proposal.
    pub(crate) fn complete_proposal(&mut self, request: RequestNumber, outcome: &[u8]) {
        let Some(answer) = self.proposals.remove(&request) else {
            return;
        };
        if let Ok(outcome) = postcard::from_bytes(outcome) {
            // The caller may have stopped waiting.
            let _ = answer.send(outcome);
        }
    }

    pub(crate) fn abandon_proposal(&mut self, request: RequestNumber) {
        self.proposals.remove(&request);
    }

    /// Completes a read with a state that is at least as new as the read requires.
    pub(crate) fn complete_read(&mut self, read_id: u64, state: Arc<CommittedState<S>>) {
        if let Some(answer) = self.reads.remove(&read_id) {
            // The caller may have stopped waiting.
            let _ = answer.send(state);
        }
    }

    pub(crate) fn abandon_read(&mut self, read_id: u64) {
        self.reads.remove(&read_id);
    }

    /// Completes all requests to leave; called once this member is not part of the chain.
    pub(crate) fn complete_leaves(&mut self) {
        for answer in self.leaving.drain(..) {
            // The caller may have stopped waiting.
            let _ = answer.send(());
        }
    }

    fn next_number(&mut self) -> u128 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }
}
