//! A group's log since its last compaction, in memory, as raft reads it. The disk's copy follows behind; raft itself
//! counts what is not on the disk yet.

use std::cell::Cell;
use std::collections::VecDeque;

use raft::eraftpb::{self, ConfState, Entry};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// An entry's place in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// Counted from 1.
    pub index: u64,
    /// Raft's term of the entry there.
    pub term: u64,
}

/// The entries behind the compaction, in the log's order.
pub struct LogStorage {
    entries: VecDeque<Entry>,
    /// Of the entries, with [`ENTRY_OVERHEAD`] for each.
    byte_size: usize,
    /// The last entry that was compacted.
    compacted: LogPosition,
    initial_hard_state: eraftpb::HardState,
    pub(super) conf_state: ConfState,
    /// Made when a replica turned out to be too far behind for the log.
    pub(super) snapshot: Option<eraftpb::Snapshot>,
    is_snapshot_requested: Cell<bool>,
}

/// What an entry costs beside its bytes.
const ENTRY_OVERHEAD: usize = 64;

fn entry_size(entry: &Entry) -> usize {
    entry.data.len() + entry.context.len() + ENTRY_OVERHEAD
}

impl LogStorage {
    /// The log of a replica that starts.
    pub fn new(
        compacted: LogPosition,
        initial_hard_state: eraftpb::HardState,
        conf_state: ConfState,
        entries: Vec<Entry>,
    ) -> Self {
        LogStorage {
            byte_size: entries.iter().map(entry_size).sum(),
            entries: entries.into(),
            compacted,
            initial_hard_state,
            conf_state,
            snapshot: None,
            is_snapshot_requested: Cell::new(false),
        }
    }

    /// The last entry that was compacted.
    pub fn compacted(&self) -> LogPosition {
        self.compacted
    }

    /// How many entries are kept.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Bytes that the entries take.
    pub fn byte_size(&self) -> usize {
        self.byte_size
    }

    /// The entries behind `index`.
    pub fn entries_after(&self, index: u64) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.compacted.index) as usize;
        self.entries.iter().skip(skipped).cloned().collect()
    }

    /// Adds entries that follow the log or replace its end.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let kept = first.index.saturating_sub(self.compacted.index + 1) as usize;
        while self.entries.len() > kept {
            let removed = self.entries.pop_back();
            self.byte_size -= removed.as_ref().map_or(0, entry_size);
        }
        self.byte_size += entries.iter().map(entry_size).sum::<usize>();
        self.entries.extend(entries.iter().cloned());
    }

    /// Drops the entries up to `index`, which a snapshot has.
    pub fn compact_to(&mut self, index: u64) {
        let Ok(term) = self.term(index) else {
            return;
        };
        while self.compacted.index < index {
            let removed = self.entries.pop_front();
            self.byte_size -= removed.as_ref().map_or(0, entry_size);
            self.compacted = LogPosition {
                index: self.compacted.index + 1,
                term,
            };
        }
    }

    /// A snapshot from the leader, up to `position`, replaces the log.
    pub fn install_snapshot(&mut self, position: LogPosition, conf_state: ConfState) {
        self.entries.clear();
        self.byte_size = 0;
        self.compacted = position;
        self.conf_state = conf_state;
        self.snapshot = None;
    }

    /// Whether raft asked for a snapshot since the last call.
    pub fn take_snapshot_request(&self) -> bool {
        self.is_snapshot_requested.take()
    }

    fn end_index(&self) -> u64 {
        self.compacted.index + self.entries.len() as u64
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState {
            hard_state: self.initial_hard_state.clone(),
            conf_state: self.conf_state.clone(),
        })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if high > self.end_index() + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let max_size = max_size.into().unwrap_or(u64::MAX);
        let first = (low - self.compacted.index - 1) as usize;
        let mut taken = Vec::new();
        let mut size = 0;
        for entry in self.entries.iter().skip(first).take((high - low) as usize) {
            size += entry_size(entry) as u64;
            // Raft is given one entry at least.
            if !taken.is_empty() && size > max_size {
                break;
            }
            taken.push(entry.clone());
        }
        Ok(taken)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted.index {
            return Ok(self.compacted.term);
        }
        if index < self.compacted.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let place = (index - self.compacted.index - 1) as usize;
        let entry = self
            .entries
            .get(place)
            .ok_or(raft::Error::Store(StorageError::Unavailable))?;
        Ok(entry.term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.end_index())
    }

    fn snapshot(&self, least_index: u64, _to: u64) -> raft::Result<eraftpb::Snapshot> {
        let least_index = least_index.max(self.compacted.index);
        match &self.snapshot {
            Some(snapshot) if snapshot.get_metadata().index >= least_index => Ok(snapshot.clone()),
            _ => {
                self.is_snapshot_requested.set(true);
                Err(raft::Error::Store(
                    StorageError::SnapshotTemporarilyUnavailable,
                ))
            }
        }
    }
}
