//! Computes the updates for one subscriber, without I/O. The agent's feeder has one
//! [`FeedPosition`] for each of its subscribers.

use std::sync::Arc;

use crate::ids::Revision;
use crate::tables::{Tables, TablesUpdate};

/// The feeder's record of a subscriber's tables.
#[derive(Clone, Debug)]
pub enum FeedPosition {
    /// The subscriber has reported this revision; the feeder has no copy of the subscriber's
    /// tables.
    Claimed(Revision),
    /// The feeder has sent the subscriber exactly these tables.
    Sent(Arc<Tables>),
    /// The subscriber has requested a snapshot.
    Empty,
}

impl FeedPosition {
    /// Returns the update that brings the subscriber to `newest`, and records `newest` as sent.
    /// Returns `None` if the subscriber has this revision or a later one.
    pub fn advance_to(&mut self, newest: &Arc<Tables>) -> Option<TablesUpdate> {
        let update = match self {
            FeedPosition::Claimed(claimed) if *claimed > newest.revision => return None,
            FeedPosition::Claimed(claimed) if *claimed == newest.revision => None,
            FeedPosition::Claimed(_) | FeedPosition::Empty => {
                Some(TablesUpdate::Snapshot(Tables::clone(newest)))
            }
            FeedPosition::Sent(sent) if sent.revision >= newest.revision => return None,
            FeedPosition::Sent(sent) => Some(TablesUpdate::Changes {
                from: sent.revision,
                to: newest.revision,
                changes: newest.changes_since(sent),
            }),
        };
        *self = FeedPosition::Sent(newest.clone());
        update
    }
}
