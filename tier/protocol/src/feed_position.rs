//! What a feeder has to send one subscriber. Decisions without I/O: the agent's feeder keeps one
//! [`FeedPosition`] for each of its subscribers.

use std::sync::Arc;

use crate::ids::Revision;
use crate::tables::{Tables, TablesUpdate};

/// The tables of a subscriber, as far as its feeder knows them.
#[derive(Clone, Debug)]
pub enum FeedPosition {
    /// The subscriber said that it has this revision; the feeder does not know the contents.
    Claimed(Revision),
    /// The feeder has sent the subscriber exactly these tables.
    Sent(Arc<Tables>),
    /// The subscriber has requested a snapshot.
    Empty,
}

impl FeedPosition {
    /// The update that brings the subscriber to `newest`, which it is taken to have afterwards.
    /// `None` if the subscriber has this revision or a later one.
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
