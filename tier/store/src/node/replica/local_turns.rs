//! Reads of the turns that are retained at this store.

use std::sync::Arc;

use plankhill_conversations::keys::turn_key;
use plankhill_conversations::peer::{PeerResponse, RetainedTurn};
use plankhill_conversations::rows::{decode_row, Table, TurnRow};
use plankhill_protocol::ids::RequestId;
use plankhill_protocol::store_calls::TurnRecord;
use plankhill_protocol::transport::{CallReply, ReplyGuard};

use crate::clock::Clock;
use crate::limits::{MAX_CHAIN_BYTES, PEER_TIMEOUT};
use crate::node::chain_segment::{record_bytes, ChainSegment};
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Returns a turn that this store retains; None also if its row cannot be read.
    pub(in crate::node) fn local_turn(&self, turn: &RequestId) -> Option<Arc<TurnRecord>> {
        let turns = self.turns.borrow();
        if !turns.contains(turn) {
            return None;
        }
        if let Some(record) = turns.unwritten_turn(turn) {
            return Some(record);
        }
        match self.rows.read(Table::Turns, &turn_key(turn)) {
            Ok(row) => decode_row::<TurnRow>(&row?).map(|row| row.record),
            Err(error) => {
                tracing::warn!(%turn, %error, "reading a turn failed");
                None
            }
        }
    }

    /// Returns a retained turn with its remaining retention time.
    pub(in crate::node) fn local_retained_turn(&self, turn: &RequestId) -> Option<RetainedTurn> {
        let expires_ms = self.turns.borrow().expires_ms(turn)?;
        let record = self.local_turn(turn)?;
        let remaining_ms = expires_ms.saturating_sub(self.now_ms());
        Some(RetainedTurn {
            record,
            remaining_ms,
        })
    }

    /// Returns the turn and its ancestors as far as this store has them, without those that would exceed
    /// `max_bytes`.
    pub(in crate::node) fn local_segment(
        &self,
        turn: &RequestId,
        max_bytes: usize,
    ) -> ChainSegment {
        let mut segment = ChainSegment::default();
        let mut bytes = 0;
        let mut next = Some(turn.clone());
        while let Some(turn) = next.take() {
            if self.turns.borrow().bytes_of(&turn).saturating_add(bytes) > max_bytes {
                break;
            }
            let Some(record) = self.local_turn(&turn) else {
                break;
            };
            bytes += record_bytes(&record);
            segment.rest = record.previous.clone();
            segment.turns.push(record);
            next = segment.rest.as_ref().map(|location| location.turn.clone());
        }
        segment
    }

    /// Answers a store that reads a chain, once there is memory for the reply. If not even the first turn fits into
    /// `max_bytes`, the reply has no turn and continues with the first one.
    pub(super) async fn local_chain(
        &self,
        turn: &RequestId,
        max_bytes: Option<u64>,
    ) -> CallReply<PeerResponse> {
        let limit = max_bytes.map_or(usize::MAX, |bytes| bytes as usize);
        let limit = limit.min(MAX_CHAIN_BYTES);
        let extent = self.turns.borrow().chain_extent(turn);
        let reserving = self.peer_chain_memory.reserve(extent.bytes.min(limit));
        // Nobody waits for a later reply.
        let Ok(memory) = tokio::time::timeout(PEER_TIMEOUT, reserving).await else {
            return PeerResponse::Unavailable.into();
        };
        let segment = self.local_segment(turn, limit);
        if !segment.turns.is_empty() {
            return CallReply {
                body: PeerResponse::Chain {
                    turns: segment.turns,
                    rest: segment.rest,
                },
                guard: Some(ReplyGuard::new(memory)),
            };
        }
        match self.local_presence(turn) {
            PeerResponse::TurnPresent => PeerResponse::Chain {
                turns: Vec::new(),
                rest: self.turns.borrow().location(turn),
            }
            .into(),
            response => response.into(),
        }
    }

    /// Answers whether this store has a turn. A turn that is retained but cannot be read is reported as
    /// neither present nor absent.
    pub(super) fn local_presence(&self, turn: &RequestId) -> PeerResponse {
        if !self.turns.borrow().contains(turn) {
            PeerResponse::TurnAbsent
        } else if self.local_turn(turn).is_some() {
            PeerResponse::TurnPresent
        } else {
            PeerResponse::Unavailable
        }
    }
}
