//! In-memory log of the operations after the newest snapshot.

use std::collections::{BTreeMap, VecDeque};

use plankhill_protocol::ids::Revision;

use crate::entry::{Entry, RequestNumber};

/// Operations in order, starting after the snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    snapshot_revision: Revision,
    entries: VecDeque<Entry>,
    /// Size in bytes of all operations in `entries`.
    size_bytes: usize,
}

impl Log {
    /// Creates the log from the operations on disk after a snapshot; operations after a gap are
    /// dropped.
    pub(crate) fn new(snapshot_revision: Revision, stored: BTreeMap<Revision, Entry>) -> Self {
        let mut log = Self {
            snapshot_revision,
            ..Self::default()
        };
        for (revision, entry) in stored {
            if revision == log.next() {
                log.push(entry);
            }
        }
        log
    }

    /// Revision of the last operation that the snapshot contains.
    pub(crate) fn snapshot_revision(&self) -> Revision {
        self.snapshot_revision
    }

    /// Revision of the last operation.
    pub(crate) fn last(&self) -> Revision {
        Revision(self.snapshot_revision.0 + self.entries.len() as u64)
    }

    /// Revision of the next operation.
    fn next(&self) -> Revision {
        Revision(self.last().0 + 1)
    }

    /// Size in bytes of the operations after the snapshot.
    pub(crate) fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Appends an operation and returns its revision.
    pub(crate) fn push(&mut self, entry: Entry) -> Revision {
        self.size_bytes += entry.operation.len();
        self.entries.push_back(entry);
        self.last()
    }

    /// The operation with this revision.
    pub(crate) fn get(&self, revision: Revision) -> Option<&Entry> {
        let index = revision.0.checked_sub(self.snapshot_revision.0 + 1)?;
        self.entries.get(usize::try_from(index).ok()?)
    }

    /// Operations after one revision up to and including another, limited to `max_bytes` but at
    /// least one if there is any.
    pub(crate) fn range(&self, after: Revision, up_to: Revision, max_bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        for revision in after.0 + 1..=up_to.0 {
            let Some(entry) = self.get(Revision(revision)) else {
                break;
            };
            size += entry.operation.len();
            if size > max_bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Drops all operations after a revision.
    pub(crate) fn truncate(&mut self, last: Revision) {
        while self.last() > last {
            let Some(dropped) = self.entries.pop_back() else {
                break;
            };
            self.size_bytes -= dropped.operation.len();
        }
    }

    /// Drops the operations that a snapshot contains. If the log ends before the snapshot, the log
    /// becomes empty and continues after the snapshot.
    pub(crate) fn compact(&mut self, snapshot_revision: Revision) {
        while self.snapshot_revision < snapshot_revision {
            match self.entries.pop_front() {
                Some(dropped) => self.size_bytes -= dropped.operation.len(),
                None => {
                    self.snapshot_revision = snapshot_revision;
                    return;
                }
            }
            self.snapshot_revision.0 += 1;
        }
    }

    /// Returns whether the log contains a proposal after the given revision.
    pub(crate) fn contains_after(&self, after: Revision, request: RequestNumber) -> bool {
        let skipped = after.0.saturating_sub(self.snapshot_revision.0);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.entries
            .iter()
            .skip(skipped)
            .any(|entry| entry.request == request)
    }
}
