//! What a feeder sends to one subscriber: decisions without I/O.

use std::sync::Arc;

use crate::ids::Revision;
use crate::tables::{Tables, TablesUpdate};

/// What a subscriber holds.
#[derive(Clone, Debug)]
pub enum FeedPosition {
    /// It said that it holds this revision; its contents are not known here.
    Revision(Revision),
    /// It was sent exactly these tables.
    Tables(Arc<Tables>),
    /// It asked for a snapshot.
    Nothing,
}

impl FeedPosition {
    /// What brings the subscriber to `newest`, which it is taken to hold afterwards; None if it needs nothing,
    /// or holds a later revision.
    pub fn advance_to(&mut self, newest: &Arc<Tables>) -> Option<TablesUpdate> {
        let update = match self {
            FeedPosition::Revision(held) if *held > newest.revision => return None,
            FeedPosition::Revision(held) if *held == newest.revision => None,
            FeedPosition::Revision(_) | FeedPosition::Nothing => {
                Some(TablesUpdate::Snapshot(Tables::clone(newest)))
            }
            FeedPosition::Tables(held) if held.revision >= newest.revision => return None,
            FeedPosition::Tables(held) => Some(TablesUpdate::Changes {
                from: held.revision,
                to: newest.revision,
                changes: newest.changes_since(held),
            }),
        };
        *self = FeedPosition::Tables(newest.clone());
        update
    }
}
