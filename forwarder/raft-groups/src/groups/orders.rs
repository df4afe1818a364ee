//! What the loop orders.

use crate::{GroupEvent, GroupId, GroupRequest};

use super::founding::Founding;
use super::peers::Call;
use super::state::Groups;
use crate::wire::said::Said;

impl Groups {
    /// What was there before is told to the loop.
    pub(super) fn begin(&mut self) {
        let hello = self.hello(self.me);
        self.rings
            .links
            .send(crate::links::shared::ToLinks::Hello(hello));
        if let Some(control) = self.control.and_then(|group| self.cores.get(&group)) {
            let state = control.state();
            self.tell(GroupEvent::SnapshotInstalled { state });
        }
        let dissolved: Vec<GroupId> = self
            .cores
            .iter()
            .filter(|(_, c)| c.dissolved())
            .map(|(g, _)| *g)
            .collect();
        for group in dissolved {
            self.bury(group);
        }
    }

    pub(super) fn ordered(&mut self, order: GroupRequest) {
        match order {
            GroupRequest::Create { purpose } => self.found(Founding::ordered(purpose, self.now())),
            GroupRequest::Propose {
                group,
                number,
                command,
            } => {
                self.proposed += command.len() as u64;
                match self.cores.contains_key(&group) {
                    true => self.with(group, |core, out| core.propose(number, command, out)),
                    false => self.tell(GroupEvent::Discarded { group, number }),
                }
            }
            GroupRequest::Report { body } => self.report(body),
            GroupRequest::Dissolve { group } => self.with(group, |core, out| core.dissolve(out)),
        }
    }

    fn report(&mut self, body: Vec<u8>) {
        let core = self.control.and_then(|group| self.cores.get(&group));
        let Some(leader) = core.and_then(|core| core.leader()) else {
            return;
        };
        if leader == self.incarnation() {
            return self.reported(
                Call {
                    peer: self.me,
                    who: leader,
                },
                body,
            );
        }
        if let Some(peer) = self.peer_of(leader) {
            self.say(peer, &Said::Report { body });
        }
    }
}
