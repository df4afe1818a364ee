//! State machine after the last applied operation, with the outcomes of recent proposals.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use plankhill_protocol::ids::Revision;

use crate::entry::{Entry, RequestNumber};
use crate::state_machine::{BadSnapshot, StateMachine};
use crate::storage::Snapshot;

/// Number of retained outcomes. A proposal is retried for some seconds at most; at the rates of a
/// control plane (some tens of operations a second) the retained outcomes cover more than a minute.
const MAX_OUTCOMES: usize = 2_048;

/// The state machine, and the outcomes with which retries of a proposal are answered.
#[derive(Clone)]
pub(crate) struct AppliedState<M> {
    machine: M,
    revision: Revision,
    /// Keys of `outcomes`, oldest first.
    requests: VecDeque<RequestNumber>,
    outcomes: HashMap<RequestNumber, Arc<[u8]>>,
}

impl<M: StateMachine> AppliedState<M> {
    /// Creates the state from a snapshot.
    pub(crate) fn new(machine: M, snapshot: &Snapshot) -> Result<Self, BadSnapshot> {
        let mut state = Self {
            machine,
            revision: Revision(0),
            requests: VecDeque::new(),
            outcomes: HashMap::new(),
        };
        state.restore(snapshot)?;
        Ok(state)
    }

    /// Revision of the last applied operation.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// The state machine.
    pub(crate) fn machine(&self) -> &M {
        &self.machine
    }

    /// Outcome of a recently applied proposal.
    pub(crate) fn outcome(&self, request: RequestNumber) -> Option<&Arc<[u8]>> {
        self.outcomes.get(&request)
    }

    /// Applies the next operation. A retry of an applied proposal has no effect and returns the
    /// same outcome.
    pub(crate) fn apply(&mut self, entry: &Entry) -> Arc<[u8]> {
        self.revision.0 += 1;
        if let Some(outcome) = self.outcomes.get(&entry.request) {
            return Arc::clone(outcome);
        }
        let outcome: Arc<[u8]> = self.machine.apply(self.revision, &entry.operation).into();
        self.record_outcome(entry.request, Arc::clone(&outcome));
        outcome
    }

    /// Takes a snapshot of the current state.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let mut outcomes = Vec::with_capacity(self.requests.len());
        for request in &self.requests {
            if let Some(outcome) = self.outcomes.get(request) {
                outcomes.push((*request, Arc::clone(outcome)));
            }
        }
        Snapshot {
            revision: self.revision,
            machine: self.machine.snapshot().into(),
            outcomes,
        }
    }

    /// Replaces the state with a snapshot.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), BadSnapshot> {
        self.machine.restore(snapshot.revision, &snapshot.machine)?;
        self.revision = snapshot.revision;
        self.requests.clear();
        self.outcomes.clear();
        for (request, outcome) in &snapshot.outcomes {
            self.record_outcome(*request, Arc::clone(outcome));
        }
        Ok(())
    }

    fn record_outcome(&mut self, request: RequestNumber, outcome: Arc<[u8]>) {
        self.outcomes.insert(request, outcome);
        self.requests.push_back(request);
        if self.requests.len() <= MAX_OUTCOMES {
            return;
        }
        if let Some(oldest) = self.requests.pop_front() {
            self.outcomes.remove(&oldest);
        }
    }
}
