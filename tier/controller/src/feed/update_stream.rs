//! Tracks the updates to be sent to one subscriber.

use plankhill_protocol::ids::Revision;
use plankhill_protocol::tables::TablesUpdate;

use crate::change_log::ChangeLog;

/// The messages that a subscriber has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// Updates and heartbeats.
    Updates,
    /// Heartbeats only. Another process sends the updates, and the subscriber only needs to be
    /// notified of new revisions.
    HeartbeatsOnly,
}

/// The revision of a subscriber and the messages that it has requested.
pub(super) struct UpdateStream {
    /// The revision that the subscriber holds after it has applied all updates sent so far; while
    /// the delivery of updates is paused, the newest revision that was announced to it.
    held_revision: Revision,
    delivery: Delivery,
    /// Set when the subscriber could not apply the changes it was sent and requested a snapshot.
    snapshot_requested: bool,
}

impl UpdateStream {
    /// Creates the stream of a subscriber that holds `held_revision`.
    pub(super) fn new(held_revision: Revision) -> Self {
        UpdateStream {
            held_revision,
            delivery: Delivery::Updates,
            snapshot_requested: false,
        }
    }

    /// Makes the next update a snapshot, regardless of the revision that the subscriber holds.
    pub(super) fn request_snapshot(&mut self) {
        self.snapshot_requested = true;
    }

    /// Stops the delivery of updates.
    pub(super) fn pause(&mut self) {
        self.delivery = Delivery::HeartbeatsOnly;
    }

    /// Resumes the delivery of updates from the revision that the subscriber holds.
    pub(super) fn resume(&mut self, held_revision: Revision) {
        self.delivery = Delivery::Updates;
        self.held_revision = held_revision;
    }

    /// Returns whether updates are delivered to the subscriber.
    pub(super) fn delivers_updates(&self) -> bool {
        self.delivery == Delivery::Updates
    }

    /// Advances to the newest revision and returns the update to it; `None` if the subscriber
    /// already holds that revision and has not requested a snapshot. While the delivery is paused,
    /// the caller discards the update and only announces the revision.
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

    /// Returns the revision to announce in a heartbeat. If the subscriber holds a later revision
    /// than this controller, the announced revision shows the subscriber that the controller is
    /// behind.
    pub(super) fn announced_revision(&self, change_log: &ChangeLog) -> Revision {
        self.held_revision.min(change_log.newest().revision)
    }
}
