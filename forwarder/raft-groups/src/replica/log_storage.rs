//! The in-memory log of a group since its last compaction, in the form that raft reads. The log on disk lags behind;
//! raft itself tracks which entries are not persisted yet.

use std::cell::Cell;
use std::collections::VecDeque;

use raft::eraftpb::{self, ConfState, Entry};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// The position of an entry in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// The index, counted from 1.
    pub index: u64,
    /// The term of the entry.
    pub term: u64,
}

/// The entries after the compacted part, in log order.
pub struct LogStorage {
    entries: VecDeque<Entry>,
    /// The size of the entries, including [`ENTRY_OVERHEAD`] for each.
    byte_size: usize,
    /// The position of the last compacted entry.
    compacted: LogPosition,
    initial_hard_state: eraftpb::HardState,
    pub(super) conf_state: ConfState,
    /// Created when a replica needs entries that are compacted.
    pub(super) snapshot: Option<eraftpb::Snapshot>,
    is_snapshot_requested: Cell<bool>,
}

/// The estimated memory overhead of an entry, in bytes.
const ENTRY_OVERHEAD: usize = 64;

fn entry_size(entry: &Entry) -> usize {
    entry.data.len() + entry.context.len() + ENTRY_OVERHEAD
}

impl LogStorage {
    /// Creates the log of a replica that starts.
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

    /// Returns the position of the last compacted entry.
    pub fn compacted(&self) -> LogPosition {
        self.compacted
    }

    /// Returns the number of entries in memory.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the size of the entries in bytes.
    pub fn byte_size(&self) -> usize {
        self.byte_size
    }

    /// Returns the entries after `index`.
    pub fn entries_after(&self, index: u64) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.compacted.index) as usize;
        self.entries.iter().skip(skipped).cloned().collect()
    }

    /// Appends entries that follow the log or replace its tail.
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

    /// Drops the entries up to `index`, which are included in a snapshot.
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

    /// Replaces the log by a snapshot from the leader, up to `position`.
    pub fn install_snapshot(&mut self, position: LogPosition, conf_state: ConfState) {
        self.entries.clear();
        self.byte_size = 0;
        self.compacted = position;
        self.conf_state = conf_state;
        self.snapshot = None;
    }

    /// Whether raft has requested a snapshot since the last call.
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
            // Raft requires at least one entry.
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

    fn snapshot(&self, min_index: u64, _to: u64) -> raft::Result<eraftpb::Snapshot> {
        let min_index = min_index.max(self.compacted.index);
        match &self.snapshot {
            Some(snapshot) if snapshot.get_metadata().index >= min_index => Ok(snapshot.clone()),
            _ => {
                self.is_snapshot_requested.set(true);
                Err(raft::Error::Store(
                    StorageError::SnapshotTemporarilyUnavailable,
                ))
            }
        }
    }
}
