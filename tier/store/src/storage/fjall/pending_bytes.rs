//! The limit on the bytes of pending commits.

use std::cell::Cell;
use std::rc::Rc;

use super::super::StorageError;

/// Maximum bytes of pending commits; a commit that exceeds the limit fails at once. This limits the
/// writer's queue, which is otherwise unbounded.
const MAX_PENDING_BYTES: usize = 24 * 1024 * 1024;

/// Counts the bytes of all pending commits. Clones share the count.
#[derive(Clone, Default)]
pub(super) struct PendingBytes {
    bytes: Rc<Cell<usize>>,
}

/// The bytes of one commit, which are counted as pending until the guard is dropped.
pub(super) struct PendingBytesGuard {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl PendingBytes {
    /// Adds the bytes of a commit to the count.
    ///
    /// # Errors
    /// [`StorageError::Busy`] if the count would exceed the limit.
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
