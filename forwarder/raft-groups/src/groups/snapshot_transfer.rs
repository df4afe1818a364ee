//! A snapshot in transfer to or from another instance: sent in chunks with few in flight at a time, so that heartbeats
//! and other groups are not delayed.

use crate::wire::message::SnapshotChunk;
use crate::wire::raft_message::RaftMessage;
use crate::Incarnation;

const CHUNK_BYTES: usize = 256 << 10;
const MAX_BYTES_IN_FLIGHT: usize = 8 * CHUNK_BYTES;

/// A snapshot being sent.
pub(super) struct OutgoingSnapshot {
    pub(super) to: Incarnation,
    /// The message that carries the snapshot, without its data.
    message: RaftMessage,
    data: Vec<u8>,
    sent: usize,
    /// The offset up to which the receiver has acknowledged the data.
    received: usize,
    /// The time of the last acknowledgement, in milliseconds since the start.
    progressed_at: f64,
}

impl OutgoingSnapshot {
    pub(super) fn new(to: Incarnation, message: RaftMessage, data: Vec<u8>, now: f64) -> Self {
        OutgoingSnapshot {
            to,
            message,
            data,
            sent: 0,
            received: 0,
            progressed_at: now,
        }
    }

    /// Whether the snapshot is being sent to that incarnation in that term.
    pub(super) fn is_for(&self, to: Incarnation, term: u64) -> bool {
        self.to == to && self.message.term == term
    }

    /// Returns the chunks that may be sent now.
    pub(super) fn next_chunks(&mut self) -> Vec<SnapshotChunk> {
        let mut chunks = Vec::new();
        while self.sent < self.received + MAX_BYTES_IN_FLIGHT {
            let is_first = self.sent == 0;
            let is_all_sent = self.sent == self.data.len();
            // The first chunk also carries the message, so one chunk is sent even if there is no data.
            if is_all_sent && !is_first {
                break;
            }
            chunks.push(self.next_chunk());
            if self.sent == self.data.len() {
                break;
            }
        }
        chunks
    }

    fn next_chunk(&mut self) -> SnapshotChunk {
        let offset = self.sent;
        let end = (offset + CHUNK_BYTES).min(self.data.len());
        self.sent = end;
        SnapshotChunk {
            message: if offset == 0 {
                Some(self.message.clone())
            } else {
                None
            },
            offset: offset as u64,
            total: self.data.len() as u64,
            bytes: self.data[offset..end].to_vec(),
        }
    }

    /// Records that the receiver has the data up to `offset`.
    pub(super) fn acknowledged(&mut self, offset: u64, now: f64) {
        self.received = self.received.max(offset as usize).min(self.sent);
        self.progressed_at = now;
    }

    /// Whether the receiver has all data.
    pub(super) fn is_complete(&self) -> bool {
        self.received >= self.data.len()
    }

    /// Whether the receiver has acknowledged nothing for `timeout` milliseconds.
    pub(super) fn is_stalled(&self, now: f64, timeout: f64) -> bool {
        now - self.progressed_at >= timeout
    }
}

/// A snapshot being received.
pub(super) struct IncomingSnapshot {
    from: Incarnation,
    /// The message that carries the snapshot, without its data.
    message: RaftMessage,
    total: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    pub(super) fn new(from: Incarnation, message: RaftMessage, total: u64) -> Self {
        IncomingSnapshot {
            from,
            message,
            total,
            data: Vec::new(),
        }
    }

    /// Appends a chunk and returns the offset up to which data has arrived; returns `None` if the chunk does not follow
    /// the previous data.
    pub(super) fn append(&mut self, from: Incarnation, chunk: &SnapshotChunk) -> Option<u64> {
        let is_next = self.from == from
            && self.total == chunk.total
            && self.data.len() as u64 == chunk.offset;
        if !is_next || chunk.offset + chunk.bytes.len() as u64 > self.total {
            return None;
        }
        self.data.extend_from_slice(&chunk.bytes);
        Some(self.data.len() as u64)
    }

    /// Whether all data has arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.data.len() as u64 == self.total
    }

    /// Returns the message with the snapshot's data.
    pub(super) fn into_message(self) -> RaftMessage {
        let mut message = self.message;
        if let Some(snapshot) = &mut message.snapshot {
            snapshot.data = self.data;
        }
        message
    }
}
