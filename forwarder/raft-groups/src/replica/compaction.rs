//! Log compaction: a snapshot of the applied state replaces the log, in memory and on disk.

use super::effects::{Effects, PersistRequest};
use super::Replica;

/// The minimum size of the entries, in bytes, above which the log is compacted. The threshold is twice the state
/// machine's size if that is larger, so that writing snapshots costs no more than writing the log.
const COMPACTION_THRESHOLD_BYTES: usize = 4 << 20;
/// The number of entries above which the log is compacted.
const MAX_ENTRIES: usize = 1 << 16;
/// The number of bytes that a file may contain beyond twice the state machine's size without an early compaction.
const MIN_RECLAIMED_BYTES: u64 = 64 << 10;

impl Replica {
    /// Compacts the log if it exceeds a size limit.
    pub(super) fn compact_if_large(&mut self, out: &mut Effects) {
        let max_bytes = COMPACTION_THRESHOLD_BYTES.max(2 * self.state_machine.size());
        let storage = self.node.store();
        let is_large = storage.byte_size() > max_bytes || storage.entry_count() > MAX_ENTRIES;
        if is_large && self.has_applied_entries() {
            self.compact(out);
        }
    }

    /// Compacts the log when disk or memory is scarce, if that reclaims enough. The group's file takes `disk_bytes`.
    pub fn compact_early(&mut self, disk_bytes: u64, out: &mut Effects) {
        let size = self.state_machine.size();
        let is_worthwhile = self.node.store().byte_size() > size / 2
            || disk_bytes > 2 * size as u64 + MIN_RECLAIMED_BYTES;
        if self.fault.is_none() && is_worthwhile && self.has_applied_entries() {
            self.compact(out);
        }
    }

    /// Whether the log contains an applied entry.
    fn has_applied_entries(&self) -> bool {
        self.applied_index > self.node.store().compacted().index
    }

    fn compact(&mut self, out: &mut Effects) {
        let base = self.snapshot_base();
        self.node.mut_store().compact_to(self.applied_index);
        let entries = self.node.store().entries_after(self.applied_index);
        out.persist.push(PersistRequest {
            number: 0,
            hard_state: Some(self.hard_state),
            entries,
            base: Some(base),
        });
    }
}
