//! Determines whether this controller may still act as the head of a view.

/// The newest view whose fencing token was rejected. The fencing token of a task is the number of
/// the view whose head proposed it.
///
/// A rejected task shows that the head of a later view has acted. This controller then proposes no
/// more tasks until it is the head of a later view than the rejected one, even if its own chain
/// status still names it as the head.
#[derive(Debug, Default)]
pub struct Fence {
    rejected_view: Option<u64>,
}

impl Fence {
    /// Records that a task proposed under `view` was rejected.
    pub fn record_rejection(&mut self, view: u64) {
        self.rejected_view = self.rejected_view.max(Some(view));
    }

    /// Returns whether the head of `view` may propose tasks.
    pub fn admits(&self, view: u64) -> bool {
        match self.rejected_view {
            Some(rejected) => view > rejected,
            None => true,
        }
    }
}
