//! Events observed by clients and members during an exploration, and the invariants checked on
//! them.

use std::collections::BTreeMap;

use plankhill_chain::{Ballot, View, ViewNumber};
use plankhill_protocol::ids::Revision;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two different views have the same number.
    ConflictingViews,
    /// Two different views are proposed with the same ballot, so that both may be decided.
    BallotUsedTwice,
    /// Two members apply different operations at the same revision.
    ConflictingOrders,
    /// The revision of an acknowledged operation is above the base of a later view, which loses the
    /// operation.
    OperationLost,
    /// An operation is applied or acknowledged with too few synced replicas.
    TooFewReplicas,
    /// A read misses an operation that was acknowledged before the read began.
    StaleRead,
}

/// View and revision of an acknowledged operation.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    view: ViewNumber,
    revision: Revision,
}

/// The events observed so far.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Operations in the order in which any member first applied them.
    order: Vec<u8>,
    views: BTreeMap<ViewNumber, View>,
    proposed: BTreeMap<(ViewNumber, Ballot), View>,
    acknowledged: Vec<Acknowledged>,
    /// For each pending read, the highest revision acknowledged before the read began.
    reads: BTreeMap<u64, Revision>,
    pub violation: Option<Violation>,
}

impl History {
    fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Returns whether any view after the first was adopted.
    pub fn has_later_view(&self) -> bool {
        self.views.len() > 1
    }

    /// Returns whether an operation was acknowledged in a view after the first.
    pub fn has_later_acknowledgement(&self) -> bool {
        let is_later = |acknowledged: &Acknowledged| acknowledged.view > ViewNumber(1);
        self.acknowledged.iter().any(is_later)
    }

    /// Records the operations that a member has applied. Returns whether any of them is applied for
    /// the first time.
    pub fn record_applied(&mut self, applied: &[u8]) -> bool {
        let known = self.order.len().min(applied.len());
        if self.order[..known] != applied[..known] {
            self.record_violation(Violation::ConflictingOrders);
        }
        if applied.len() <= self.order.len() {
            return false;
        }
        self.order = applied.to_vec();
        true
    }

    /// Records that a member has adopted a view.
    pub fn record_adopted(&mut self, view: &View) {
        if view.number == ViewNumber(0) {
            return;
        }
        let known = self
            .views
            .entry(view.number)
            .or_insert_with(|| view.clone());
        if known != view {
            self.record_violation(Violation::ConflictingViews);
        }
        self.check_no_operation_lost();
    }

    /// Records that a proposer has sent `Accept` for a view.
    pub fn record_proposed(&mut self, ballot: &Ballot, view: &View) {
        let key = (view.number, ballot.clone());
        let known = self.proposed.entry(key).or_insert_with(|| view.clone());
        if known != view {
            self.record_violation(Violation::BallotUsedTwice);
        }
    }

    /// Checks the number of synced replicas of an operation that is acknowledged or readable.
    pub fn check_replicas(&mut self, replicas: usize, required: usize) {
        if replicas < required {
            self.record_violation(Violation::TooFewReplicas);
        }
    }

    /// Records that an operation was acknowledged.
    pub fn record_acknowledged(&mut self, view: ViewNumber, revision: Revision) {
        self.acknowledged.push(Acknowledged { view, revision });
        self.check_no_operation_lost();
    }

    fn check_no_operation_lost(&mut self) {
        let is_lost = |acknowledged: &Acknowledged| {
            let mut later = self.views.range(acknowledged.view.next()..);
            later.any(|(_, view)| view.base < acknowledged.revision)
        };
        if self.acknowledged.iter().any(is_lost) {
            self.record_violation(Violation::OperationLost);
        }
    }

    /// Records that a read begins.
    pub fn begin_read(&mut self, read_id: u64) {
        let acknowledged = self.acknowledged.iter();
        let newest = acknowledged.map(|acknowledged| acknowledged.revision).max();
        self.reads.insert(read_id, newest.unwrap_or_default());
    }

    /// Records that a read is answered from the state at this revision.
    pub fn record_read(&mut self, read_id: u64, revision: Revision) {
        let expected = self.reads.remove(&read_id);
        if expected.is_some_and(|expected| revision < expected) {
            self.record_violation(Violation::StaleRead);
        }
    }

    /// Drops a pending read that was abandoned.
    pub fn abandon_read(&mut self, read_id: u64) {
        self.reads.remove(&read_id);
    }
}
