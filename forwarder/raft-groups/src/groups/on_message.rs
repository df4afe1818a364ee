//! Handling of messages from other instances.

use super::peer_state::AcceptedConnection;
use super::thread::GroupsThread;
use crate::links::channels::FromLinks;
use crate::replica::PersistedState;
use crate::wire::message::PeerMessage;
use crate::wire::raft_message::{MessageKind, RaftMessage};
use crate::{GroupEvent, GroupId, Incarnation, Purpose};

impl GroupsThread {
    pub(super) fn on_link_event(&mut self, event: FromLinks) {
        match event {
            FromLinks::HelloReceived {
                connection,
                peer,
                hello,
            } => self.on_hello(connection, peer, &hello),
            FromLinks::ReplyReceived { peer, reply } => self.on_hello_reply(peer, reply),
            FromLinks::LinkLost { peer } => self.on_link_lost(peer),
            FromLinks::ConnectionClosed { connection } => {
                self.connections.remove(&connection);
            }
            FromLinks::MessageReceived {
                connection,
                message,
            } => {
                let Some(connection) = self.connections.get(&connection).copied() else {
                    return;
                };
                self.peers[connection.peer].received_at = self.now();
                self.on_message(connection, *message);
            }
        }
    }

    fn on_message(&mut self, from: AcceptedConnection, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat {
                free_bytes,
                control,
            } => {
                let peer = &mut self.peers[from.peer];
                peer.capacity.update(free_bytes, self.command_bytes);
                peer.control = control;
            }
            PeerMessage::Raft { group, message } => self.on_raft_message(from, group, message),
            PeerMessage::SnapshotChunk { group, chunk } => self.on_chunk(from, group, chunk),
            PeerMessage::ChunkReceived { group, offset } => {
                self.on_chunk_received(from, group, offset)
            }
            PeerMessage::FoundGroup {
                group,
                purpose,
                voters,
            } => {
                self.on_found_group(from, group, purpose, &voters);
            }
            PeerMessage::JoinGroup { group, purpose } => {
                if self.may_create(group, purpose) {
                    self.create_group(group, purpose, PersistedState::default());
                }
            }
            PeerMessage::NotMember { group } => {
                if !self.is_led_here_or_unknown(group) {
                    if let Some(hosted) = self.groups.get_mut(&group) {
                        hosted.is_suspended = true;
                    }
                }
            }
            PeerMessage::GroupDissolved { group } => {
                if !self.is_led_here_or_unknown(group) {
                    self.remove_group(group);
                }
            }
            PeerMessage::Report { body } => self.on_report(from, body),
        }
    }

    fn on_found_group(
        &mut self,
        from: AcceptedConnection,
        group: GroupId,
        purpose: Purpose,
        voters: &[Incarnation],
    ) {
        let is_voter = voters.contains(&self.incarnation());
        if is_voter && group.founder == from.incarnation && self.may_create(group, purpose) {
            let state_machine = (self.instance.state_machines)(purpose);
            let state = PersistedState::founded(voters, &*state_machine);
            self.create_group(group, purpose, state);
        }
    }

    /// Passes a report to the event loop if this instance leads the control group.
    pub(super) fn on_report(&mut self, from: AcceptedConnection, body: Vec<u8>) {
        let control = self.control.and_then(|group| self.groups.get(&group));
        if control.is_some_and(|control| control.replica.is_leader()) {
            let name = self.instance.name_of(from.peer);
            let incarnation = from.incarnation;
            self.rings.events.send(GroupEvent::ReportReceived {
                from: name,
                incarnation,
                body,
            });
        }
    }

    fn on_raft_message(&mut self, from: AcceptedConnection, group: GroupId, message: RaftMessage) {
        if message.from != from.incarnation.0 || message.to != self.incarnation().0 {
            return;
        }
        let Some(hosted) = self.groups.get_mut(&group) else {
            if self.dissolved.contains(&group) && !self.creating.contains_key(&group) {
                self.rings
                    .send_to_peer(from.peer, &PeerMessage::GroupDissolved { group });
            }
            return;
        };
        if hosted.replica.is_leader() && !hosted.replica.is_member(from.incarnation) {
            self.rings
                .send_to_peer(from.peer, &PeerMessage::NotMember { group });
            return;
        }
        let is_from_leader = matches!(
            message.kind,
            MessageKind::Append | MessageKind::Heartbeat | MessageKind::Snapshot
        );
        if is_from_leader {
            hosted.is_suspended = false;
        }
        let purpose = hosted.replica.purpose();
        let has_entries = message.kind == MessageKind::Append && !message.entries.is_empty();
        if has_entries && purpose == Purpose::EventLog && self.is_full() {
            // The append is dropped; the leader repeats it until there is capacity.
            return;
        }
        if let Some(message) = message.into_raft() {
            self.with_replica(group, |replica, out| replica.step(message, out));
        }
    }
}
