//! Replication of operations along the chain: each member syncs operations before it sends them to
//! its successor.

use plankhill_protocol::ids::Revision;

use crate::age::age;
use crate::effect::{LogPosition, Millis};
use crate::entry::Entry;
use crate::message::Message;
use crate::outbox::AfterSync;
#[cfg(feature = "planted-bugs")]
use crate::planted_bug::PlantedBug;
use crate::state_machine::StateMachine;
use crate::timing::APPEND_RETRY_INTERVAL;
use crate::view::{Identity, ViewNumber};

use super::disk_speed::SYNCS_PER_ANSWER;
use super::ChainMember;

/// Maximum size in bytes of the operations in one message; a single larger operation is still sent.
pub(super) const MAX_MESSAGE_BYTES: usize = 512 * 1024;

/// Progress of replication to the successor.
#[derive(Clone, Debug, Default)]
pub(super) struct SuccessorProgress {
    /// Revision of the last operation sent.
    sent: Revision,
    /// Revision of the last operation that is known to be on the disk of the successor.
    matched: Revision,
    /// Time at which the successor last advanced, or was sent an operation after it had caught up.
    progress_at: Millis,
}

impl SuccessorProgress {
    /// Assumes that the successor has all operations up to this revision.
    pub(super) fn caught_up_to(revision: Revision) -> Self {
        Self {
            sent: revision,
            matched: revision,
            progress_at: 0,
        }
    }

    /// Returns a copy with the time replaced by its age.
    pub(super) fn with_ages(&self, now: Millis) -> Self {
        Self {
            progress_at: age(self.progress_at, now),
            ..self.clone()
        }
    }

    /// Returns whether the successor has all operations that were sent.
    fn is_caught_up(&self) -> bool {
        self.sent <= self.matched
    }

    /// Records that the successor reports this revision as its last one on disk. An operation that
    /// is committed at this member is on every disk of the chain, so that the position must not go
    /// back below `committed`.
    fn on_position(&mut self, revision: Revision, committed: Revision, now: Millis) {
        if revision > self.matched {
            self.progress_at = now;
        }
        self.matched = revision.max(committed);
    }

    /// Records that operations up to this revision are committed, and so on the disk of the
    /// successor.
    fn on_committed(&mut self, revision: Revision, now: Millis) {
        if revision > self.matched {
            self.matched = revision;
            self.progress_at = now;
        }
    }

    /// Returns whether the successor has made no progress for so long that messages count as lost.
    fn has_stalled(&self, retry_interval: Millis, now: Millis) -> bool {
        now.saturating_sub(self.progress_at) >= retry_interval
    }

    /// Resets the send position, so that all operations after this revision are sent again.
    fn rewind_to(&mut self, revision: Revision, now: Millis) {
        self.sent = revision;
        self.progress_at = now;
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Processes operations from the predecessor.
    pub(super) fn on_append(
        &mut self,
        from: &Identity,
        view: ViewNumber,
        previous: Revision,
        entries: Vec<Entry>,
    ) {
        let is_from_predecessor = match self.view.predecessor_of(self.local.identity()) {
            Some(predecessor) => predecessor.identity == *from,
            None => false,
        };
        // Operations after a gap are rejected; the predecessor sends them again.
        let is_contiguous = previous <= self.log.last();
        if view != self.view.number || !is_from_predecessor || !is_contiguous {
            return;
        }
        if self.rejects_operations() || !self.is_disk_available() {
            return;
        }
        let duplicates = usize::try_from(self.log.last().0 - previous.0).unwrap_or(usize::MAX);
        self.append(entries.into_iter().skip(duplicates).collect());
    }

    /// Returns whether this member has promised a ballot for the next view. Its log must then stay
    /// as the promise reports it.
    pub(super) fn rejects_operations(&self) -> bool {
        #[cfg(feature = "planted-bugs")]
        if self.has_bug(PlantedBug::SealIgnored) {
            return false;
        }
        self.acceptor.is_sealed()
    }

    /// Appends operations to the log and persists them; they are replicated or committed only once
    /// they are on disk.
    pub(super) fn append(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        let writes = self.log.append(entries);
        let position = LogPosition {
            view: self.view.number,
            revision: self.log.last(),
        };
        self.persist(writes, AfterSync::Appended(position));
    }

    /// Commits or replicates operations of a view that have reached the disk.
    pub(super) fn on_appended(&mut self, view: ViewNumber) {
        if view != self.view.number {
            return;
        }
        if self.is_tail() {
            self.commit_at_tail();
        } else if self.is_in_chain() {
            self.send_to_successor();
        }
    }

    /// Sends the operations that are on disk and have not been sent yet.
    fn send_to_successor(&mut self) {
        if !self.is_view_persisted() || self.rejects_operations() {
            return;
        }
        let Some(successor) = self.view.successor_of(self.local.identity()) else {
            return;
        };
        let successor = successor.identity.clone();
        if self.successor.is_caught_up() {
            self.successor.progress_at = self.now;
        }
        while self.successor.sent < self.log.persisted().revision {
            let previous = self.successor.sent;
            let entries = self.log.persisted_after(previous, MAX_MESSAGE_BYTES);
            if entries.is_empty() {
                break;
            }
            self.successor.sent = Revision(previous.0 + entries.len() as u64);
            let append = Message::Append {
                view: self.view.number,
                previous,
                entries,
            };
            self.send_to(&successor, append);
        }
    }

    /// Processes the last revision on disk that the heartbeat of a member reports.
    pub(super) fn on_successor_position(&mut self, from: &Identity, revision: Revision) {
        let is_successor = match self.view.successor_of(self.local.identity()) {
            Some(successor) => successor.identity == *from,
            None => false,
        };
        if is_successor {
            self.successor
                .on_position(revision, self.log.committed(), self.now);
            self.resend_operations();
        }
    }

    /// Resends operations if the successor has made no progress for the retry interval.
    pub(super) fn resend_operations(&mut self) {
        if !self.is_in_chain() || self.is_tail() {
            return;
        }
        let retry_interval = self.with_syncs(APPEND_RETRY_INTERVAL, SYNCS_PER_ANSWER);
        if !self.successor.has_stalled(retry_interval, self.now) {
            return;
        }
        let matched = self.successor.matched.max(self.log.snapshot_revision());
        if matched < self.log.persisted().revision {
            self.successor.rewind_to(matched, self.now);
            self.send_to_successor();
        }
    }

    /// Processes a report from another member of this view that operations up to a revision are
    /// committed. All logs of one view are prefixes of the head's log, so that this member has the
    /// same operations.
    pub(super) fn on_committed(&mut self, from: &Identity, view: ViewNumber, revision: Revision) {
        if view != self.view.number {
            return;
        }
        self.commit_to(revision.min(self.log.last()));
        self.successor.on_committed(revision, self.now);
        self.fetch_if_behind(from, revision);
    }
}
