//! A guard that aborts a task when its owner is dropped.

use tokio::task::JoinHandle;

/// Aborts the task when dropped.
pub(super) struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Creates a guard for a spawned task.
    pub(super) fn new(task: JoinHandle<()>) -> Self {
        AbortOnDrop(task)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
