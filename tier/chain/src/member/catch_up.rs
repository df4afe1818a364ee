//! Members outside the chain take operations from its links, until they can be taken in.

use plankhill_protocol::ids::Revision;

use crate::durable::{Entry, Snapshot, Write};
use crate::effect::{Deferred, Millis};
use crate::log::Log;
use crate::machine::StateMachine;
use crate::message::Message;
use crate::timing::ASK_AGAIN;
use crate::view::{Identity, ViewNumber};

use super::replication::MESSAGE_BYTES;
use super::ChainMember;

/// What this member has asked for.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    asked: Option<Millis>,
}

impl CatchUp {
    /// Nothing is under way any more.
    pub(super) fn restart(&mut self) {
        self.asked = None;
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// A link of the chain has operations that are missing here.
    pub(super) fn fetch_if_behind(&mut self, link: &Identity, position: Revision) {
        let asked = self
            .catch_up
            .asked
            .is_some_and(|at| self.now.saturating_sub(at) < ASK_AGAIN);
        if asked
            || self.disk_is_away()
            || self.in_chain()
            || !self.view.in_chain(link)
            || position <= self.log.last()
        {
            return;
        }
        self.catch_up.asked = Some(self.now);
        let fetch = Message::Fetch {
            view: self.view.number,
            after: self.log.last(),
        };
        self.send_to(link, fetch);
    }

    /// A member outside the chain asks for what is on disk here.
    pub(super) fn on_fetch(&mut self, from: &Identity, view: ViewNumber, after: Revision) {
        if view != self.view.number || self.durable.0 != view || !self.in_chain() {
            return;
        }
        if after < self.log.before() {
            let snapshot = self.snapshot.clone();
            self.send_to(from, Message::Install { view, snapshot });
            return;
        }
        let entries = self.log.range(after, self.durable.1, MESSAGE_BYTES);
        let committed = self.replicated.revision();
        self.send_to(
            from,
            Message::Fetched {
                view,
                after,
                entries,
                committed,
            },
        );
    }

    /// The operations asked for.
    pub(super) fn on_fetched(
        &mut self,
        from: &Identity,
        view: ViewNumber,
        after: Revision,
        entries: Vec<Entry>,
        committed: Revision,
    ) {
        self.catch_up.restart();
        if view != self.view.number
            || self.in_chain()
            || after != self.log.last()
            || self.disk_is_away()
        {
            return;
        }
        self.append(entries);
        self.on_committed(from, view, committed);
    }

    /// A state instead of the operations asked for.
    pub(super) fn on_install(&mut self, from: &Identity, view: ViewNumber, snapshot: Snapshot) {
        self.catch_up.restart();
        let is_due =
            view == self.view.number && !self.in_chain() && snapshot.revision > self.log.last();
        if !is_due || self.disk_is_away() {
            return;
        }
        if self.replicated.restore(&snapshot).is_err() {
            return;
        }
        self.log = Log::new(snapshot.revision, Default::default());
        self.snapshot = snapshot.clone();
        let revision = snapshot.revision;
        let writes = vec![Write::Snapshot(snapshot), Write::Committed(revision)];
        self.persist(writes, Deferred::Position(view, revision));
        self.finish_reads();
        self.fetch_if_behind(from, Revision(revision.0 + 1));
    }
}
