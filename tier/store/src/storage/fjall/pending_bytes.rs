//! The bound on bytes that wait for the writer.

use std::cell::Cell;
use std::rc::Rc;

use super::super::StorageError;

/// Bytes that wait to be written; a commit beyond fails at once. This bounds the writer's queue, which
/// has no bound of its own.
const MAX_PENDING_BYTES: usize = 24 * 1024 * 1024;

/// Bytes of all commits whose callers wait. Clones share the count.
#[derive(Clone, Default)]
pub(super) struct PendingBytes {
    bytes: Rc<Cell<usize>>,
}

/// The bytes of one commit; they count until the guard is dropped.
pub(super) struct PendingBytesGuard {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl PendingBytes {
    /// Counts the bytes of a commit.
    ///
    /// # Errors
    /// [`StorageError::Busy`] if they exceed the bound.
    pub(super) fn reserve(&self, bytes: usize) -> Result<PendingBytesGuard, StorageError> {
        let pending_bytes = self.bytes.get();
        let total = pending_bytes + bytes;
        if total > MAX_PENDING_BYTES {
            return Err(StorageError::Busy {
                pending_bytes,
                commit_bytes: bytes,
            });
        }
        self.bytes.set(total);
        Ok(PendingBytesGuard {
            total: self.bytes.clone(),
            bytes,
        })
    }
}

impl Drop for PendingBytesGuard {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}
