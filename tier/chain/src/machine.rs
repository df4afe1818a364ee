//! The replicated state machine with the outcomes of the newest proposals.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use plankhill_protocol::ids::Revision;
use thiserror::Error;

use crate::durable::{Entry, RequestNumber, Snapshot};

/// Outcomes kept. A proposal is repeated for some seconds at most; at the rates of a control plane (some tens
/// of operations a second) this covers more than a minute.
const OUTCOMES: usize = 2_048;

/// A snapshot that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the snapshot cannot be read")]
pub struct BadSnapshot;

/// What the chain replicates.
pub trait StateMachine {
    /// Applies an operation and tells its outcome. The same on every member.
    fn apply(&mut self, revision: Revision, operation: &[u8]) -> Vec<u8>;

    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state; an empty snapshot stands for the state before the first operation.
    ///
    /// # Errors
    /// [`BadSnapshot`] when it is not one of this state machine.
    fn restore(&mut self, revision: Revision, snapshot: &[u8]) -> Result<(), BadSnapshot>;
}

/// The state machine, and what repeats of a proposal are answered.
pub(crate) struct Replicated<M> {
    machine: M,
    revision: Revision,
    order: VecDeque<RequestNumber>,
    outcomes: HashMap<RequestNumber, Arc<[u8]>>,
}

impl<M: StateMachine> Replicated<M> {
    /// Starts from a snapshot.
    pub(crate) fn new(machine: M, snapshot: &Snapshot) -> Result<Self, BadSnapshot> {
        let (order, outcomes) = (VecDeque::new(), HashMap::new());
        let mut replicated = Self {
            machine,
            revision: Revision(0),
            order,
            outcomes,
        };
        replicated.restore(snapshot)?;
        Ok(replicated)
    }

    /// The last operation applied.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// The state machine.
    pub(crate) fn machine(&self) -> &M {
        &self.machine
    }

    /// The outcome of a proposal that was applied lately.
    pub(crate) fn outcome(&self, request: &RequestNumber) -> Option<&Arc<[u8]>> {
        self.outcomes.get(request)
    }

    /// Applies the next operation; a repeat of a proposal changes nothing.
    pub(crate) fn apply(&mut self, entry: &Entry) -> Arc<[u8]> {
        self.revision.0 += 1;
        if let Some(outcome) = self.outcomes.get(&entry.request) {
            return Arc::clone(outcome);
        }
        let outcome: Arc<[u8]> = self.machine.apply(self.revision, &entry.operation).into();
        self.remember(entry.request, Arc::clone(&outcome));
        outcome
    }

    /// The state as it is now.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let kept =
            |request: &RequestNumber| Some((*request, Arc::clone(self.outcomes.get(request)?)));
        let outcomes = self.order.iter().filter_map(kept).collect();
        Snapshot {
            revision: self.revision,
            machine: self.machine.snapshot().into(),
            outcomes,
        }
    }

    /// Replaces the state.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), BadSnapshot> {
        self.machine.restore(snapshot.revision, &snapshot.machine)?;
        self.revision = snapshot.revision;
        self.order.clear();
        self.outcomes.clear();
        for (request, outcome) in &snapshot.outcomes {
            self.remember(*request, Arc::clone(outcome));
        }
        Ok(())
    }

    fn remember(&mut self, request: RequestNumber, outcome: Arc<[u8]>) {
        self.outcomes.insert(request, outcome);
        self.order.push_back(request);
        if self.order.len() > OUTCOMES {
            if let Some(oldest) = self.order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }
}
