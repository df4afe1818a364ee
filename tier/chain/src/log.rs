//! The operations after the newest snapshot, in memory.

use std::collections::{BTreeMap, VecDeque};

use plankhill_protocol::ids::Revision;

use crate::durable::{Entry, RequestNumber};

/// Operations in order, from the one after the snapshot on.
#[derive(Debug, Default)]
pub(crate) struct Log {
    before: Revision,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// What a disk held after a snapshot; anything behind a gap is left out.
    pub(crate) fn new(snapshot: Revision, kept: BTreeMap<Revision, Entry>) -> Self {
        let mut log = Self {
            before: snapshot,
            ..Self::default()
        };
        for (revision, entry) in kept {
            if revision == log.next() {
                log.push(entry);
            }
        }
        log
    }

    /// The operation before the first one kept.
    pub(crate) fn before(&self) -> Revision {
        self.before
    }

    /// The last operation.
    pub(crate) fn last(&self) -> Revision {
        Revision(self.before.0 + self.entries.len() as u64)
    }

    /// The place of the next operation.
    pub(crate) fn next(&self) -> Revision {
        Revision(self.last().0 + 1)
    }

    /// Bytes of the operations kept.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends an operation and tells its place.
    pub(crate) fn push(&mut self, entry: Entry) -> Revision {
        self.bytes += entry.operation.len();
        self.entries.push_back(entry);
        self.last()
    }

    /// The operation at a place.
    pub(crate) fn get(&self, revision: Revision) -> Option<&Entry> {
        let index = revision.0.checked_sub(self.before.0 + 1)?;
        self.entries.get(usize::try_from(index).ok()?)
    }

    /// Operations after one place up to another, as many as `bytes` allows, one at least.
    pub(crate) fn range(&self, after: Revision, upto: Revision, bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        for place in after.0 + 1..=upto.0 {
            let Some(entry) = self.get(Revision(place)) else {
                break;
            };
            size += entry.operation.len();
            if size > bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Drops all operations after a place.
    pub(crate) fn truncate(&mut self, last: Revision) {
        while self.last() > last {
            let Some(dropped) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= dropped.operation.len();
        }
    }

    /// Drops the operations that a snapshot holds; starts anew behind it where it lies beyond the end.
    pub(crate) fn trim(&mut self, snapshot: Revision) {
        while self.before < snapshot {
            match self.entries.pop_front() {
                Some(dropped) => self.bytes -= dropped.operation.len(),
                None => {
                    self.before = snapshot;
                    return;
                }
            }
            self.before.0 += 1;
        }
    }

    /// Whether a proposal stands in the log after a place.
    pub(crate) fn holds_after(&self, after: Revision, request: &RequestNumber) -> bool {
        let skipped = usize::try_from(after.0.saturating_sub(self.before.0)).unwrap_or(usize::MAX);
        self.entries
            .iter()
            .skip(skipped)
            .any(|entry| entry.request == *request)
    }
}
