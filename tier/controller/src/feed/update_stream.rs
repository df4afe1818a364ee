//! The updates that one subscriber is owed.

use plankhill_protocol::ids::Revision;
use plankhill_protocol::tables::TablesUpdate;

use crate::change_log::ChangeLog;

/// What a subscriber wants to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// Updates and heartbeats.
    Updates,
    /// Heartbeats: another process sends the updates, and the subscriber only needs to hear that
    /// the revision rose.
    HeartbeatsOnly,
}

/// The position of a subscriber in the order of revisions, and what it wants next.
pub(super) struct UpdateStream {
    /// The revision that the subscriber holds once it has applied everything that was sent.
    held_revision: Revision,
    delivery: Delivery,
    /// Set when the changes sent did not fit what the subscriber holds.
    snapshot_requested: bool,
}

impl UpdateStream {
    /// For a subscriber that holds this revision.
    pub(super) fn new(held_revision: Revision) -> Self {
        UpdateStream {
            held_revision,
            delivery: Delivery::Updates,
            snapshot_requested: false,
        }
    }

    /// The next update is a snapshot, whatever the subscriber holds.
    pub(super) fn request_snapshot(&mut self) {
        self.snapshot_requested = true;
    }

    /// Stops sending updates.
    pub(super) fn pause(&mut self) {
        self.delivery = Delivery::HeartbeatsOnly;
    }

    /// Sends updates again, from a revision that the subscriber holds.
    pub(super) fn resume(&mut self, held_revision: Revision) {
        self.delivery = Delivery::Updates;
        self.held_revision = held_revision;
    }

    /// Whether the subscriber is sent updates.
    pub(super) fn delivers_updates(&self) -> bool {
        self.delivery == Delivery::Updates
    }

    /// Advances to the newest revision; `None` if the subscriber holds it and has not requested a
    /// snapshot.
    pub(super) fn advance(&mut self, change_log: &ChangeLog) -> Option<TablesUpdate> {
        let update = if std::mem::take(&mut self.snapshot_requested) {
            change_log.snapshot()
        } else {
            change_log.update_since(self.held_revision)?
        };
        self.held_revision = match &update {
            TablesUpdate::Snapshot(tables) => tables.revision,
            TablesUpdate::Changes { to, .. } => *to,
        };
        Some(update)
    }

    /// The revision to announce in a heartbeat. A subscriber may hold a revision that is not known
    /// here; it must see that this controller is behind.
    pub(super) fn announced_revision(&self, change_log: &ChangeLog) -> Revision {
        self.held_revision.min(change_log.newest().revision)
    }
}
