//! A task that does not outlive its owner.

use tokio::task::JoinHandle;

/// Aborts the task when dropped.
pub(super) struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Takes over a spawned task.
    pub(super) fn new(task: JoinHandle<()>) -> Self {
        AbortOnDrop(task)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
