//! A group that has no leader yet.

use crate::{GroupId, Incarnation, Purpose};

/// A founding that the event loop has requested.
pub(super) struct PendingFounding {
    pub(super) purpose: Purpose,
    /// The time of the request, in milliseconds since the process's start.
    pub(super) requested_at: f64,
    /// The id of the group, set once its number is stored.
    pub(super) group: Option<GroupId>,
    /// The voters, set once they are selected; this instance is the first.
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
