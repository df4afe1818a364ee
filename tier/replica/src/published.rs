//! Publishes the state and status of the chain member to the handles.

use std::sync::Arc;

use plankhill_chain::{ChainMember, ViewNumber};
use plankhill_protocol::ids::Revision;
use tokio::sync::watch;

use crate::committed_state::{CommittedState, ReplicatedState};
use crate::status::ReplicaStatus;
use crate::typed_machine::TypedMachine;

/// The newest published state and status.
pub(crate) struct Published<S: ReplicatedState> {
    state: watch::Sender<Arc<CommittedState<S>>>,
    status: watch::Sender<ReplicaStatus>,
    is_current: watch::Sender<bool>,
}

impl<S: ReplicatedState> Published<S> {
    pub(crate) fn new(
        state: watch::Sender<Arc<CommittedState<S>>>,
        status: watch::Sender<ReplicaStatus>,
        is_current: watch::Sender<bool>,
    ) -> Self {
        Self {
            state,
            status,
            is_current,
        }
    }

    /// Returns the last published state.
    pub(crate) fn state(&self) -> Arc<CommittedState<S>> {
        Arc::clone(&self.state.borrow())
    }

    /// Publishes the member's state if its revision or view has changed.
    pub(crate) fn publish_state(&self, member: &ChainMember<TypedMachine<S>>) {
        let revision = member.revision();
        let view = member.view().number;
        if !self.is_published(revision, view) {
            let state = member.machine().committed(revision, view);
            self.state.send_replace(Arc::new(state));
        }
    }

    fn is_published(&self, revision: Revision, view: ViewNumber) -> bool {
        let published = self.state.borrow();
        published.revision == revision && published.view == view
    }

    /// Publishes whether the member is current.
    pub(crate) fn publish_current(&self, is_current: bool) {
        self.is_current.send_if_modified(|published| {
            let has_changed = *published != is_current;
            *published = is_current;
            has_changed
        });
    }

    /// Returns whether `status` differs from the last published one.
    pub(crate) fn is_new_status(&self, status: &ReplicaStatus) -> bool {
        *self.status.borrow() != *status
    }

    /// Publishes the member's status.
    pub(crate) fn publish_status(&self, status: ReplicaStatus) {
        self.status.send_replace(status);
    }
}
