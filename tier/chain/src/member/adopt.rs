//! Taking over a view that was agreed on, and starting again with the one on disk.

use plankhill_protocol::ids::Revision;

use crate::durable::{Acceptor, Write};
use crate::effect::Deferred;
use crate::machine::StateMachine;
use crate::view::View;

use super::replication::Passing;
use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// After a start: what this member knows to be committed is applied. What the tail has on its disk, every
    /// link before it has as well.
    pub(super) fn resume(&mut self, committed: Revision) {
        let known = if self.is_tail() {
            self.log.last()
        } else {
            committed
        };
        self.commit_to(known);
        self.passing = Passing::from(self.log.last());
    }

    /// Takes over a later view.
    pub(super) fn adopt(&mut self, view: View) {
        if view.number <= self.view.number {
            return;
        }
        let follows = view.number == self.view.number.next();
        let keep = match follows {
            true => view.base.min(self.log.last()),
            false => self.replicated.revision(),
        };
        self.log.truncate(keep);
        self.acceptor = Acceptor::fresh(view.number.next());
        self.view = view;
        self.write_view(keep);
        if follows {
            self.commit_to(keep);
        }
        self.begin_view();
    }

    fn write_view(&mut self, keep: Revision) {
        let writes = vec![
            Write::View(self.view.clone()),
            Write::Truncate(keep),
            Write::Acceptor(self.acceptor.clone()),
        ];
        self.persist(writes, Deferred::View(self.view.number, keep));
    }

    fn begin_view(&mut self) {
        self.attempts.end(self.now);
        self.passing = Passing::from(self.log.last());
        self.catch_up.restart();
        self.peers.forget_confirmations();
        self.presence.forget_confirmation();
        self.restart_proposals();
        self.restart_reads();
        self.send_heartbeats();
    }
}
