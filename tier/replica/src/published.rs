//! What the handles see of the member.

use std::sync::Arc;

use plankhill_chain::{ChainMember, ViewNumber};
use plankhill_protocol::ids::Revision;
use tokio::sync::watch;

use crate::committed_state::{CommittedState, ReplicatedState};
use crate::status::ReplicaStatus;
use crate::typed_machine::TypedMachine;

/// The newest state and status, as the handles see them.
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

    /// The state that was published last.
    pub(crate) fn state(&self) -> Arc<CommittedState<S>> {
        Arc::clone(&self.state.borrow())
    }

    /// Publishes the member's state where revision or view have changed.
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

    /// Whether this is another status than the one published last.
    pub(crate) fn is_new_status(&self, status: &ReplicaStatus) -> bool {
        *self.status.borrow() != *status
    }

    /// Publishes the member's status.
    pub(crate) fn publish_status(&self, status: ReplicaStatus) {
        self.status.send_replace(status);
    }
}
