//! Operations on their way down the chain, and the commit at its tail.

use std::sync::Arc;

use plankhill_protocol::ids::Revision;

use crate::durable::{Entry, Write};
use crate::effect::{Deferred, Millis};
use crate::machine::StateMachine;
use crate::message::Message;
use crate::timing::RESEND;
use crate::view::{Identity, ViewNumber};

use super::ChainMember;

/// Operations under way at once; the head takes no more.
const UNCOMMITTED: u64 = 1_024;
/// Bytes of operations in one message.
pub(super) const MESSAGE_BYTES: usize = 512 * 1024;
/// Committed operations kept beside the snapshot, by number and by bytes.
const SNAPSHOT_EVERY: u64 = 512;
const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

/// What this link has passed on to the next.
#[derive(Debug, Default)]
pub(super) struct Passing {
    /// The last operation sent.
    sent: Revision,
    /// The last operation that the next link has on disk, as far as is known.
    kept: Revision,
    /// When the next link got on, or when it was sent something while it lacked nothing.
    moved_at: Millis,
}

impl Passing {
    /// The next link is thought to have everything up to here.
    pub(super) fn from(revision: Revision) -> Self {
        Self {
            sent: revision,
            kept: revision,
            moved_at: 0,
        }
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// A proposal reaches the head, or a link that its sender reaches instead of the head.
    pub(super) fn on_forward(&mut self, from: &Identity, view: ViewNumber, entry: Entry) {
        if view != self.view.number || self.is_sealed() || !self.in_chain() {
            return;
        }
        if let Some(outcome) = self.replicated.outcome(&entry.request).cloned() {
            self.tell_outcome(&entry, outcome);
        } else if self.is_head() {
            self.order(entry);
        } else if from.node == entry.origin {
            self.send_to_head(Message::Forward { view, entry });
        }
    }

    fn order(&mut self, entry: Entry) {
        let committed = self.replicated.revision();
        // A log behind what is committed has lost what it had: nothing can be ordered on top of it.
        let Some(under_way) = self.log.last().0.checked_sub(committed.0) else {
            return;
        };
        if under_way < UNCOMMITTED
            && !self.disk_is_away()
            && !self.log.holds_after(committed, &entry.request)
        {
            self.append(vec![entry]);
        }
    }

    fn send_to_head(&mut self, message: Message) {
        if let Some(head) = self.view.head().map(|head| head.identity.clone()) {
            self.send_to(&head, message);
        }
    }

    /// Operations from the link before this one.
    pub(super) fn on_append(
        &mut self,
        from: &Identity,
        view: ViewNumber,
        previous: Revision,
        entries: Vec<Entry>,
    ) {
        let place = self
            .view
            .place(&self.me.identity)
            .and_then(|place| place.checked_sub(1));
        let before = place.and_then(|place| self.view.link(place));
        let from_before = before.is_some_and(|link| link.identity == *from);
        let is_due = view == self.view.number && from_before && previous <= self.log.last();
        if !is_due || self.is_sealed() || self.disk_is_away() {
            return;
        }
        let held = usize::try_from(self.log.last().0 - previous.0).unwrap_or(usize::MAX);
        let new: Vec<_> = entries.into_iter().skip(held).collect();
        self.append(new);
    }

    /// Puts operations at the end of the log, on disk before anything else happens to them.
    pub(super) fn append(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        let mut writes = Vec::with_capacity(entries.len() + 1);
        for entry in entries {
            let revision = self.log.push(entry.clone());
            writes.push(Write::Append { revision, entry });
        }
        writes.push(Write::Committed(self.replicated.revision()));
        self.persist(
            writes,
            Deferred::Position(self.view.number, self.log.last()),
        );
    }

    /// Operations of a view have reached the disk here.
    pub(super) fn on_position(&mut self, view: ViewNumber) {
        if view != self.view.number {
            return;
        }
        if self.is_tail() {
            self.commit_at_tail();
        } else if self.in_chain() {
            self.pass_on();
        }
    }

    fn commit_at_tail(&mut self) {
        if self.view.chain.len() < self.required_links(self.view.voters.len()) {
            return;
        }
        let revision = self.durable.1;
        if revision <= self.replicated.revision() {
            return;
        }
        self.commit_to(revision);
        let view = self.view.number;
        for contact in self.contacts() {
            self.send(contact, Message::Committed { view, revision });
        }
    }

    /// Sends what is on disk here and was not sent yet to the next link.
    fn pass_on(&mut self) {
        if self.durable.0 != self.view.number || self.is_sealed() {
            return;
        }
        let Some(place) = self.view.place(&self.me.identity) else {
            return;
        };
        let Some(next) = self.view.link(place + 1).map(|link| link.identity.clone()) else {
            return;
        };
        let mut previous = self.passing.sent;
        if previous <= self.passing.kept {
            self.passing.moved_at = self.now;
        }
        while previous < self.durable.1 {
            let entries = self.log.range(previous, self.durable.1, MESSAGE_BYTES);
            if entries.is_empty() {
                break;
            }
            let after = Revision(previous.0 + entries.len() as u64);
            self.send_to(
                &next,
                Message::Append {
                    view: self.view.number,
                    previous,
                    entries,
                },
            );
            previous = after;
        }
        self.passing.sent = previous;
    }

    /// The next link says what it has on disk.
    pub(super) fn on_link_position(&mut self, from: &Identity, position: Revision) {
        let Some(place) = self.view.place(&self.me.identity) else {
            return;
        };
        if self.view.link(place + 1).map(|link| &link.identity) != Some(from) {
            return;
        }
        if position > self.passing.kept {
            self.passing.moved_at = self.now;
        }
        self.passing.kept = position.max(self.replicated.revision());
        self.resend_operations();
    }

    /// Sends again what the next link does not seem to have got.
    pub(super) fn resend_operations(&mut self) {
        let kept = self.passing.kept.max(self.log.before());
        let waited = self.now.saturating_sub(self.passing.moved_at) >= RESEND;
        if self.in_chain() && !self.is_tail() && waited && kept < self.durable.1 {
            self.passing.sent = kept;
            self.passing.moved_at = self.now;
            self.pass_on();
        }
    }

    /// Somebody in this view says that operations up to here are committed. All logs of one view are
    /// beginnings of the head's.
    pub(super) fn on_committed(&mut self, from: &Identity, view: ViewNumber, revision: Revision) {
        if view != self.view.number {
            return;
        }
        self.commit_to(revision.min(self.log.last()));
        if revision > self.passing.kept {
            self.passing.kept = revision;
            self.passing.moved_at = self.now;
        }
        self.fetch_if_behind(from, revision);
    }

    /// Applies operations up to a place; they are in the log.
    pub(super) fn commit_to(&mut self, revision: Revision) {
        while self.replicated.revision() < revision {
            let place = Revision(self.replicated.revision().0 + 1);
            let Some(entry) = self.log.get(place).cloned() else {
                return;
            };
            let outcome = self.replicated.apply(&entry);
            self.announce(&entry, outcome);
        }
        self.finish_reads();
        self.snapshot_if_due();
    }

    fn announce(&mut self, entry: &Entry, outcome: Arc<[u8]>) {
        if entry.origin == self.me.identity.node || self.is_tail() {
            self.tell_outcome(entry, outcome);
        }
    }

    fn tell_outcome(&mut self, entry: &Entry, outcome: Arc<[u8]>) {
        let request = entry.request;
        if entry.origin == self.me.identity.node {
            self.on_outcome(request, outcome);
            return;
        }
        let origin = self
            .peers
            .all()
            .find(|peer| peer.heartbeat.member.identity.node == entry.origin);
        if let Some(to) = origin.map(|peer| peer.heartbeat.member.address) {
            self.send(to, Message::Outcome { request, outcome });
        }
    }

    fn snapshot_if_due(&mut self) {
        let revision = self.replicated.revision();
        let many = revision.0 - self.log.before().0 >= SNAPSHOT_EVERY;
        let large = self.log.bytes() >= SNAPSHOT_BYTES && revision > self.log.before();
        if many || large {
            self.snapshot = self.replicated.snapshot();
            self.log.trim(revision);
            let write = Write::Snapshot(self.snapshot.clone());
            self.persist(vec![write, Write::Committed(revision)], Deferred::Nothing);
        }
    }
}
