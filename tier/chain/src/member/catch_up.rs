//! Catch-up: a member outside the chain fetches the operations that it lacks from members of the
//! chain, until it can join.

use plankhill_protocol::ids::Revision;

use crate::age::age_of;
use crate::effect::{LogPosition, Millis};
use crate::entry::Entry;
use crate::message::Message;
use crate::outbox::AfterSync;
use crate::state_machine::StateMachine;
use crate::storage::{Snapshot, Write};
use crate::timing::REQUEST_RETRY_INTERVAL;
use crate::view::{Identity, ViewNumber};

use super::replication::MAX_MESSAGE_BYTES;
use super::ChainMember;

/// Time of the pending request for operations, if there is one.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    requested_at: Option<Millis>,
}

impl CatchUp {
    /// Clears the pending request.
    pub(super) fn reset(&mut self) {
        self.requested_at = None;
    }

    /// Returns a copy with the time replaced by its age.
    pub(super) fn with_ages(&self, now: Millis) -> Self {
        Self {
            requested_at: age_of(self.requested_at, now),
        }
    }

    fn is_pending(&self, now: Millis) -> bool {
        match self.requested_at {
            Some(requested_at) => now.saturating_sub(requested_at) < REQUEST_RETRY_INTERVAL,
            None => false,
        }
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Requests missing operations from a chain member that has operations up to `revision`, if
    /// this member is outside the chain and no request is pending.
    pub(super) fn fetch_if_behind(&mut self, from: &Identity, revision: Revision) {
        let is_behind = self.view.is_in_chain(from) && revision > self.log.last();
        if !is_behind || self.is_in_chain() || !self.is_disk_available() {
            return;
        }
        if self.catch_up.is_pending(self.now) {
            return;
        }
        self.catch_up.requested_at = Some(self.now);
        let fetch = Message::Fetch {
            view: self.view.number,
            after: self.log.last(),
        };
        self.send_to(from, fetch);
    }

    /// Answers a member outside the chain with the requested operations that are on disk, or with a
    /// snapshot.
    pub(super) fn on_fetch(&mut self, from: &Identity, view: ViewNumber, after: Revision) {
        if view != self.view.number || !self.is_view_persisted() || !self.is_in_chain() {
            return;
        }
        let answer = if after < self.log.snapshot_revision() {
            Message::Install {
                view,
                snapshot: self.log.snapshot().clone(),
            }
        } else {
            Message::Fetched {
                view,
                after,
                entries: self.log.persisted_after(after, MAX_MESSAGE_BYTES),
                committed: self.log.committed(),
            }
        };
        self.send_to(from, answer);
    }

    /// Appends fetched operations.
    pub(super) fn on_fetched(
        &mut self,
        from: &Identity,
        view: ViewNumber,
        after: Revision,
        entries: Vec<Entry>,
        committed: Revision,
    ) {
        self.catch_up.reset();
        let is_applicable =
            view == self.view.number && !self.is_in_chain() && after == self.log.last();
        if !is_applicable || !self.is_disk_available() {
            return;
        }
        self.append(entries);
        self.on_committed(from, view, committed);
    }

    /// Installs a snapshot received instead of operations. A snapshot that the state machine cannot
    /// decode is ignored.
    pub(super) fn on_install(&mut self, from: &Identity, view: ViewNumber, snapshot: Snapshot) {
        self.catch_up.reset();
        let revision = snapshot.revision;
        let is_applicable =
            view == self.view.number && !self.is_in_chain() && revision > self.log.last();
        if !is_applicable || !self.is_disk_available() {
            return;
        }
        if self.log.install(snapshot.clone()).is_err() {
            return;
        }
        let writes = vec![Write::Snapshot(snapshot), Write::Committed(revision)];
        self.persist(writes, AfterSync::Appended(LogPosition { view, revision }));
        self.finish_reads();
        self.fetch_if_behind(from, Revision(revision.0 + 1));
    }
}
