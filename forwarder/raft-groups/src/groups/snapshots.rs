//! Transfer of snapshots to and from other instances.

use super::peer_state::AcceptedConnection;
use super::snapshot_transfer::{IncomingSnapshot, OutgoingSnapshot};
use super::thread::GroupsThread;
use crate::links::channels::PeerIndex;
use crate::wire::message::{PeerMessage, SnapshotChunk};
use crate::wire::raft_message::RaftMessage;
use crate::{GroupId, Purpose};

/// The maximum size of a control group snapshot, in bytes.
const MAX_CONTROL_SNAPSHOT_BYTES: u64 = 64 << 20;

impl GroupsThread {
    /// Begins to send a snapshot, unless the same transfer is already in progress.
    pub(super) fn send_snapshot(
        &mut self,
        group: GroupId,
        peer: PeerIndex,
        mut message: RaftMessage,
    ) {
        let now = self.now();
        let (Some(to), Some(snapshot)) = (self.peers[peer].connected, &mut message.snapshot) else {
            return;
        };
        let outgoing = self.outgoing_snapshots.get(&(group, peer));
        if outgoing.is_some_and(|outgoing| outgoing.is_for(to, message.term)) {
            return;
        }
        let data = std::mem::take(&mut snapshot.data);
        self.outgoing_snapshots
            .insert((group, peer), OutgoingSnapshot::new(to, message, data, now));
        self.send_chunks(group, peer);
    }

    fn send_chunks(&mut self, group: GroupId, peer: PeerIndex) {
        let Some(outgoing) = self.outgoing_snapshots.get_mut(&(group, peer)) else {
            return;
        };
        for chunk in outgoing.next_chunks() {
            self.rings
                .send_to_peer(peer, &PeerMessage::SnapshotChunk { group, chunk });
        }
    }

    /// Continues a transfer after the receiver has acknowledged the data up to `offset`.
    pub(super) fn on_chunk_received(
        &mut self,
        from: AcceptedConnection,
        group: GroupId,
        offset: u64,
    ) {
        let now = self.now();
        let Some(outgoing) = self.outgoing_snapshots.get_mut(&(group, from.peer)) else {
            return;
        };
        if outgoing.to != from.incarnation {
            return;
        }
        outgoing.acknowledged(offset, now);
        if outgoing.is_complete() {
            self.outgoing_snapshots.remove(&(group, from.peer));
        } else {
            self.send_chunks(group, from.peer);
        }
    }

    /// Aborts transfers that make no progress: raft requests the snapshots again.
    pub(super) fn drop_stalled_snapshots(&mut self, now: f64) {
        let timeout = 2.0 * self.instance.fleet.timing.election;
        let peers = &self.peers;
        self.outgoing_snapshots.retain(|(_, peer), outgoing| {
            !outgoing.is_stalled(now, timeout) && peers[*peer].connected == Some(outgoing.to)
        });
    }

    /// Handles a chunk of a snapshot.
    pub(super) fn on_chunk(
        &mut self,
        from: AcceptedConnection,
        group: GroupId,
        mut chunk: SnapshotChunk,
    ) {
        let me = self.incarnation();
        let message = chunk.message.take();
        let Some(hosted) = self.groups.get_mut(&group) else {
            return;
        };
        let max_bytes = match (hosted.replica.purpose(), &self.instance.fleet.replication) {
            (Purpose::EventLog, Some(replication)) => replication.memory,
            _ => MAX_CONTROL_SNAPSHOT_BYTES,
        };
        if let Some(message) = message.filter(|_| chunk.offset == 0) {
            let is_between_us = message.from == from.incarnation.0 && message.to == me.0;
            if !is_between_us || chunk.total > max_bytes || message.snapshot.is_none() {
                return;
            }
            let incoming = IncomingSnapshot::new(from.incarnation, message, chunk.total);
            hosted.incoming_snapshot = Some(incoming);
        }
        let Some(incoming) = &mut hosted.incoming_snapshot else {
            return;
        };
        let Some(received) = incoming.append(from.incarnation, &chunk) else {
            hosted.incoming_snapshot = None;
            return;
        };
        if incoming.is_complete() {
            if let Some(incoming) = hosted.incoming_snapshot.take() {
                self.on_snapshot(group, incoming.into_message());
            }
        }
        self.rings.send_to_peer(
            from.peer,
            &PeerMessage::ChunkReceived {
                group,
                offset: received,
            },
        );
    }

    fn on_snapshot(&mut self, group: GroupId, message: RaftMessage) {
        if let Some(hosted) = self.groups.get_mut(&group) {
            hosted.is_suspended = false;
        }
        if let Some(message) = message.into_raft() {
            self.with_replica(group, |replica, out| replica.step(message, out));
        }
    }
}
