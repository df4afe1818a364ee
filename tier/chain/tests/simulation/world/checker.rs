//! Invariants of the simulation, and the history that they are checked on.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use plankhill_chain::{BadSnapshot, StateMachine, View, ViewNumber};
use plankhill_protocol::ids::Revision;

/// An invariant, which is checked at every step or at the end of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// All members apply the same operations in the same order.
    SingleOrder,
    /// No operation is applied twice.
    AppliedOnce,
    /// Only one view exists for each number.
    SingleView,
    /// All acknowledgements of an operation report the same outcome.
    SingleOutcome,
    /// An operation is on at least f+1 disks when it is acknowledged.
    ReplicatedWhenAcknowledged,
    /// A read returns all operations observed before it.
    FreshReads,
    /// All acknowledged operations are in the final state.
    NothingLost,
    /// After the faults have ended, all members are in service and answer clients.
    Availability,
}

/// The events observed so far.
#[derive(Debug, Default)]
pub struct History {
    /// Operations in the order in which any member first applied them.
    order: Vec<u64>,
    views: BTreeMap<ViewNumber, View>,
    acknowledged: BTreeMap<u64, u64>,
    /// The highest revision whose effect was observed outside the chain.
    highest_observed: u64,
    /// Violated invariants, each with a description of its first violation.
    pub violations: BTreeMap<Invariant, String>,
}

impl History {
    pub fn record_violation(&mut self, invariant: Invariant, description: String) {
        self.violations.entry(invariant).or_insert(description);
    }

    /// Records that a member applies an operation.
    pub fn record_applied(&mut self, revision: Revision, operation: u64) {
        let index = revision.0 as usize - 1;
        match self.order.get(index) {
            Some(known) if *known == operation => {}
            Some(known) => self.record_violation(
                Invariant::SingleOrder,
                format!(
                    "revision {} is operation {known} at one member and {operation} at another",
                    revision.0
                ),
            ),
            None => {
                self.order.resize(index, u64::MAX);
                if self.order.contains(&operation) {
                    self.record_violation(
                        Invariant::AppliedOnce,
                        format!("operation {operation} is applied twice"),
                    );
                }
                self.order.push(operation);
            }
        }
    }

    /// Records that a member has adopted a view.
    pub fn record_adopted(&mut self, view: &View) {
        let known = self
            .views
            .entry(view.number)
            .or_insert_with(|| view.clone());
        if known != view {
            let description = format!(
                "two views with number {}: {known:?} and {view:?}",
                view.number.0
            );
            self.record_violation(Invariant::SingleView, description);
        }
    }

    /// Records that a client was notified of an operation committed at a revision.
    pub fn record_acknowledged(&mut self, operation: u64, revision: u64) {
        let before = *self.acknowledged.entry(operation).or_insert(revision);
        if before != revision {
            self.record_violation(
                Invariant::SingleOutcome,
                format!(
                    "operation {operation} was committed at revision {before} and at {revision}"
                ),
            );
        }
        self.highest_observed = self.highest_observed.max(revision);
    }

    /// The minimum revision that a read started now has to return.
    pub fn highest_observed(&self) -> u64 {
        self.highest_observed
    }

    /// Records that a read was answered.
    pub fn record_read(&mut self, expected: u64, revision: u64) {
        if revision < expected {
            self.record_violation(
                Invariant::FreshReads,
                format!("a read returned revision {revision} after {expected} was observed"),
            );
        }
        self.highest_observed = self.highest_observed.max(revision);
    }

    /// Checks that the final state contains every acknowledged operation at its revision.
    pub fn check_nothing_lost(&mut self, state: &[(u64, u64)]) {
        let found: BTreeMap<u64, u64> = state.iter().copied().collect();
        let missing: Vec<_> = self
            .acknowledged
            .iter()
            .filter(|(operation, revision)| found.get(operation) != Some(revision))
            .map(|(operation, revision)| (*operation, *revision, found.get(operation).copied()))
            .collect();
        if !missing.is_empty() {
            let last = state.last();
            self.record_violation(
                Invariant::NothingLost,
                format!("lost operations (operation, revision, found): {missing:?}, last {last:?}"),
            );
        }
    }

    pub fn is_acknowledged(&self, operation: u64) -> bool {
        self.acknowledged.contains_key(&operation)
    }

    pub fn acknowledgements(&self) -> usize {
        self.acknowledged.len()
    }
}

/// State machine that lists operations with their revisions and reports each applied operation to
/// the history.
pub struct RecordingMachine {
    pub applied: Vec<(u64, u64)>,
    history: Rc<RefCell<History>>,
}

impl RecordingMachine {
    pub fn new(history: Rc<RefCell<History>>) -> Self {
        Self {
            applied: Vec::new(),
            history,
        }
    }
}

impl StateMachine for RecordingMachine {
    fn apply(&mut self, revision: Revision, operation: &[u8]) -> Vec<u8> {
        let operation = u64::from_le_bytes(operation.try_into().unwrap());
        self.history
            .borrow_mut()
            .record_applied(revision, operation);
        self.applied.push((operation, revision.0));
        revision.0.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        let rows = self.applied.iter();
        rows.flat_map(|(operation, revision)| {
            [operation.to_le_bytes(), revision.to_le_bytes()].concat()
        })
        .collect()
    }

    fn restore(&mut self, _: Revision, snapshot: &[u8]) -> Result<(), BadSnapshot> {
        let number = |bytes: &[u8]| {
            bytes
                .try_into()
                .map(u64::from_le_bytes)
                .map_err(|_| BadSnapshot)
        };
        let rows = snapshot.chunks(16);
        self.applied = rows
            .map(|row| {
                Ok((
                    number(row.get(..8).ok_or(BadSnapshot)?)?,
                    number(&row[8..])?,
                ))
            })
            .collect::<Result<_, _>>()?;
        Ok(())
    }
}
