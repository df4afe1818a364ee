//! Handling of requests from the event loop.

use super::peer_state::AcceptedConnection;
use super::thread::GroupsThread;
use crate::links::channels::ToLinks;
use crate::wire::message::PeerMessage;
use crate::{GroupEvent, GroupId, GroupRequest, Incarnation};

impl GroupsThread {
    /// Passes this instance's hello to the links thread and the stored state of the control group to the event loop.
    pub(super) fn begin(&mut self) {
        let hello = self.hello_to(self.instance.me);
        self.rings.links.send(ToLinks::SetHello(hello));
        if let Some(control) = self.control.and_then(|group| self.groups.get(&group)) {
            let state = control.replica.state_machine_snapshot();
            self.rings
                .events
                .send(GroupEvent::SnapshotInstalled { state });
        }
        self.remove_dissolved_groups();
    }

    pub(super) fn on_request(&mut self, request: GroupRequest) {
        match request {
            GroupRequest::Create { purpose } => {
                let now = self.now();
                self.found_group(purpose, now);
            }
            GroupRequest::Propose {
                group,
                number,
                command,
            } => self.propose(group, number, command),
            GroupRequest::Report { body } => self.send_report(body),
            GroupRequest::Dissolve { group } => {
                self.with_replica(group, |replica, out| replica.dissolve(out));
            }
        }
    }

    fn propose(&mut self, group: GroupId, number: u64, command: Vec<u8>) {
        self.command_bytes += command.len() as u64;
        if self.groups.contains_key(&group) {
            self.with_replica(group, |replica, out| replica.propose(number, command, out));
        } else {
            self.rings
                .events
                .send(GroupEvent::Discarded { group, number });
        }
    }

    /// Sends a report to the control group's leader if the leader is known and reachable.
    fn send_report(&mut self, body: Vec<u8>) {
        let Some(leader) = self.control_leader() else {
            return;
        };
        if leader == self.incarnation() {
            return self.on_report(
                AcceptedConnection {
                    peer: self.instance.me,
                    incarnation: leader,
                },
                body,
            );
        }
        if let Some(peer) = self.peer_of(leader) {
            self.rings.send_to_peer(peer, &PeerMessage::Report { body });
        }
    }

    fn control_leader(&self) -> Option<Incarnation> {
        let control = self.groups.get(&self.control?)?;
        control.replica.leader()
    }
}
