//! The log of a group since its last cut, in memory, as raft reads it. The disk's copy follows behind; what is
//! not on it yet, raft counts itself.

use std::cell::Cell;
use std::collections::VecDeque;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// Entries, in the log's order, after the cut.
pub struct Store {
    entries: VecDeque<Entry>,
    bytes: usize,
    /// The last entry that was cut off.
    cut: (u64, u64),
    pub(super) hard: HardState,
    pub(super) conf: ConfState,
    /// Made when a voter turned out to be too far behind for the log.
    pub(super) snapshot: Option<Snapshot>,
    wanted: Cell<bool>,
}

/// What an entry costs beside its bytes.
const EACH: usize = 64;

fn weight(entry: &Entry) -> usize {
    entry.data.len() + entry.context.len() + EACH
}

impl Store {
    pub fn new(cut: (u64, u64), hard: HardState, conf: ConfState, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(weight).sum();
        Store {
            entries: entries.into(),
            bytes,
            cut,
            hard,
            conf,
            snapshot: None,
            wanted: Cell::new(false),
        }
    }

    pub fn last(&self) -> u64 {
        self.cut.0 + self.entries.len() as u64
    }

    pub fn cut_at(&self) -> (u64, u64) {
        self.cut
    }

    /// Entries kept, and their bytes.
    pub fn held(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    pub fn after(&self, index: u64) -> Vec<Entry> {
        let skip = index.saturating_sub(self.cut.0) as usize;
        self.entries.iter().skip(skip).cloned().collect()
    }

    /// Entries that follow on the log or replace its end.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.cut.0 + 1) as usize;
        while self.entries.len() > keep {
            let gone = self.entries.pop_back();
            self.bytes -= gone.as_ref().map_or(0, weight);
        }
        self.bytes += entries.iter().map(weight).sum::<usize>();
        self.entries.extend(entries.iter().cloned());
    }

    /// Drops the entries up to `index`, which a snapshot holds.
    pub fn cut(&mut self, index: u64) {
        let Ok(term) = self.term(index) else { return };
        while self.cut.0 < index {
            let gone = self.entries.pop_front();
            self.bytes -= gone.as_ref().map_or(0, weight);
            self.cut = (self.cut.0 + 1, term);
        }
    }

    /// A snapshot from the leader replaces the log.
    pub fn restore(&mut self, index: u64, term: u64, conf: ConfState) {
        self.entries.clear();
        self.bytes = 0;
        self.cut = (index, term);
        self.conf = conf;
        self.snapshot = None;
    }

    /// Whether raft asked for a snapshot since the last time.
    pub fn wanted(&self) -> bool {
        self.wanted.take()
    }
}

impl Storage for Store {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState {
            hard_state: self.hard.clone(),
            conf_state: self.conf.clone(),
        })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.cut.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let limit = max_size.into().unwrap_or(u64::MAX);
        let from = (low - self.cut.0 - 1) as usize;
        let mut size = 0;
        let taken = self
            .entries
            .iter()
            .skip(from)
            .take((high - low) as usize)
            .take_while(|entry| {
                let first = size == 0;
                size += weight(entry) as u64;
                first || size <= limit
            });
        Ok(taken.cloned().collect())
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.cut.0 {
            return Ok(self.cut.1);
        }
        if index < self.cut.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = (index - self.cut.0 - 1) as usize;
        self.entries
            .get(at)
            .map(|e| e.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.cut.0 + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, least: u64, _to: u64) -> Result<Snapshot> {
        let here = self
            .snapshot
            .as_ref()
            .filter(|s| s.get_metadata().index >= least.max(self.cut.0));
        here.cloned().ok_or_else(|| {
            self.wanted.set(true);
            Error::Store(StorageError::SnapshotTemporarilyUnavailable)
        })
    }
}
