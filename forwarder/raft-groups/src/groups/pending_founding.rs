//! A group on its way to its first leader.

use crate::{GroupId, Incarnation, Purpose};

/// A group that the event loop has asked for.
pub(super) struct PendingFounding {
    pub(super) purpose: Purpose,
    /// In milliseconds since the process's start.
    pub(super) requested_at: f64,
    /// Once its number is stored.
    pub(super) group: Option<GroupId>,
    /// Once they are chosen; this instance is the first.
    pub(super) voters: Vec<Incarnation>,
}

impl PendingFounding {
    pub(super) fn new(purpose: Purpose, requested_at: f64) -> Self {
        PendingFounding {
            purpose,
            requested_at,
            group: None,
            voters: Vec::new(),
        }
    }
}
