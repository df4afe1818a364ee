//! Operations of this member: in its log, on its disk, in its newest snapshot and applied to its
//! state.
//!
//! The member appends and truncates according to the protocol (`member/replication.rs`,
//! `member/view_change.rs`); this module keeps the four consistent and does not depend on views
//! except for the view number of the position on disk.

use std::sync::Arc;

use plankhill_protocol::ids::Revision;

use crate::applied_state::AppliedState;
use crate::effect::LogPosition;
use crate::entry::{Entry, RequestNumber};
use crate::log::Log;
use crate::state_machine::{BadSnapshot, StateMachine};
use crate::storage::{Snapshot, Write};
use crate::view::ViewNumber;

/// Number of committed operations after the snapshot at which a new snapshot is taken.
const MAX_OPERATIONS_BEFORE_SNAPSHOT: u64 = 512;
/// Size in bytes of the operations after the snapshot at which a new snapshot is taken.
const MAX_BYTES_BEFORE_SNAPSHOT: usize = 4 * 1024 * 1024;

/// Log, snapshot and applied state of one member.
#[derive(Clone)]
pub(crate) struct ReplicatedLog<M> {
    log: Log,
    snapshot: Snapshot,
    applied: AppliedState<M>,
    /// View on disk, and revision of the last operation on disk in that view.
    persisted: LogPosition,
}

impl<M: StateMachine> ReplicatedLog<M> {
    /// Creates the log from the durable state.
    pub(crate) fn new(
        machine: M,
        snapshot: Snapshot,
        log: Log,
        view: ViewNumber,
    ) -> Result<Self, BadSnapshot> {
        let applied = AppliedState::new(machine, &snapshot)?;
        let revision = log.last();
        Ok(Self {
            log,
            snapshot,
            applied,
            persisted: LogPosition { view, revision },
        })
    }

    /// The state machine, with all operations applied that are known to be committed.
    pub(crate) fn machine(&self) -> &M {
        self.applied.machine()
    }

    /// The operations after the snapshot.
    pub(crate) fn log(&self) -> &Log {
        &self.log
    }

    /// Revision of the last operation in the log, which may not be on disk yet.
    pub(crate) fn last(&self) -> Revision {
        self.log.last()
    }

    /// Revision of the last operation that is known to be committed; it is applied.
    pub(crate) fn committed(&self) -> Revision {
        self.applied.revision()
    }

    /// View and last revision on disk.
    pub(crate) fn persisted(&self) -> LogPosition {
        self.persisted
    }

    /// Records the position that a batch of writes has made durable.
    pub(crate) fn set_persisted(&mut self, position: LogPosition) {
        self.persisted = position;
    }

    /// Revision of the last operation that the newest snapshot contains; the log begins after it.
    pub(crate) fn snapshot_revision(&self) -> Revision {
        self.log.snapshot_revision()
    }

    /// The newest snapshot.
    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Outcome of a recently applied proposal.
    pub(crate) fn outcome(&self, request: RequestNumber) -> Option<Arc<[u8]>> {
        self.applied.outcome(request).cloned()
    }

    /// Number of operations in the log that are not known to be committed; `None` if the log ends
    /// before the last committed operation, which means that it has lost entries.
    pub(crate) fn uncommitted(&self) -> Option<u64> {
        self.log.last().0.checked_sub(self.committed().0)
    }

    /// Returns whether the log contains a proposal that is not known to be committed.
    pub(crate) fn contains_uncommitted(&self, request: RequestNumber) -> bool {
        self.log.contains_after(self.committed(), request)
    }

    /// Appends operations and returns the writes that persist them.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) -> Vec<Write> {
        let mut writes = Vec::with_capacity(entries.len() + 1);
        for entry in entries {
            let revision = self.log.push(entry.clone());
            writes.push(Write::Append { revision, entry });
        }
        writes.push(Write::Committed(self.committed()));
        writes
    }

    /// Operations on disk after a revision, limited to `max_bytes` but at least one if there is
    /// any.
    pub(crate) fn persisted_after(&self, after: Revision, max_bytes: usize) -> Vec<Entry> {
        self.log.range(after, self.persisted.revision, max_bytes)
    }

    /// Drops all operations after a revision.
    pub(crate) fn truncate(&mut self, last: Revision) {
        self.log.truncate(last);
    }

    /// Applies the next operation and returns it with its outcome; `None` if the log does not
    /// contain it.
    pub(crate) fn apply_next(&mut self) -> Option<(Entry, Arc<[u8]>)> {
        let next = Revision(self.committed().0 + 1);
        let entry = self.log.get(next)?.clone();
        let outcome = self.applied.apply(&entry);
        Some((entry, outcome))
    }

    /// Replaces state and log with a snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> Result<(), BadSnapshot> {
        self.applied.restore(&snapshot)?;
        self.log = Log::new(snapshot.revision, Default::default());
        self.snapshot = snapshot;
        Ok(())
    }

    /// Takes a snapshot of the applied operations if the log has reached its limit in number or
    /// size, and returns the writes that replace the operations on disk.
    pub(crate) fn compact_if_due(&mut self) -> Option<Vec<Write>> {
        let committed = self.committed();
        let operations = committed.0 - self.log.snapshot_revision().0;
        let is_long = operations >= MAX_OPERATIONS_BEFORE_SNAPSHOT;
        let is_large = self.log.size_bytes() >= MAX_BYTES_BEFORE_SNAPSHOT && operations > 0;
        if !is_long && !is_large {
            return None;
        }
        self.snapshot = self.applied.snapshot();
        self.log.compact(committed);
        Some(vec![
            Write::Snapshot(self.snapshot.clone()),
            Write::Committed(committed),
        ])
    }
}
