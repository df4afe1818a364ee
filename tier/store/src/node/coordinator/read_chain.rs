//! Reads a chain of turns: from this store as far as possible, the remainder from other stores.

use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::peer::{PeerRequest, PeerResponse};
use plankhill_conversations::placement::{is_serving, replicas, unique_addresses};
use plankhill_conversations::quorum::Quorum;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::chain::{Chain, ChainLookup};
use crate::clock::Clock;
use crate::limits::{
    MAX_CHAIN_BYTES, MAX_UNSIZED_CHAIN_BYTES, PEER_TIMEOUT, PREFERRED_REPLICA_TIMEOUT,
};
use crate::node::chain_segment::ChainSegment;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// Why a chain could not be read.
enum ReadError {
    NotFound,
    Unavailable,
    /// The chain exceeds the bytes for which memory was reserved.
    TooLong,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Reads the chain that ends with `turn`, once there is memory for it. `program` is the program of the turn that
    /// continues the chain, and in most cases also the program of `turn`.
    ///
    /// The size of a chain is known in advance if this store has all of its turns. Otherwise the chain is taken
    /// to be short; if it is not, everything read is dropped before memory for the longest chain is
    /// reserved, so that no chain waits while it holds memory.
    pub(super) async fn read_chain(
        self: &Rc<Self>,
        program: &ProgramId,
        turn: &RequestId,
    ) -> ChainLookup {
        let newest = TurnLocation {
            turn: turn.clone(),
            program: program.clone(),
        };
        let extent = self.turns.borrow().chain_extent(turn);
        let expected_bytes = if extent.is_complete {
            extent.bytes
        } else {
            extent.bytes.max(MAX_UNSIZED_CHAIN_BYTES)
        };
        let mut read = Err(ReadError::TooLong);
        if expected_bytes < MAX_CHAIN_BYTES {
            read = self.read_chain_within(&newest, expected_bytes).await;
        }
        if let Err(ReadError::TooLong) = read {
            read = self.read_chain_within(&newest, MAX_CHAIN_BYTES).await;
        }
        match read {
            Ok(chain) => ChainLookup::Found(chain),
            Err(ReadError::NotFound) => ChainLookup::NotFound,
            Err(ReadError::Unavailable) => ChainLookup::Unavailable,
            Err(ReadError::TooLong) => {
                tracing::warn!(%turn, "conversation chain exceeds the size limit");
                ChainLookup::Unavailable
            }
        }
    }

    /// Reads a chain of at most `max_bytes`, once there is memory for it.
    async fn read_chain_within(
        self: &Rc<Self>,
        newest: &TurnLocation,
        max_bytes: usize,
    ) -> Result<Chain, ReadError> {
        let memory = self.chain_memory.reserve(max_bytes).await;
        let mut turns: Vec<Arc<TurnRecord>> = Vec::new();
        let mut bytes_left = max_bytes;
        let mut next = Some(newest.clone());
        while let Some(location) = next.take() {
            let segment = match self.read_segment(&location, bytes_left).await {
                Ok(segment) => segment,
                // An ancestor is retained as long as its descendants, so its absence does not show that the
                // chain has expired: the newest turn was found.
                Err(ReadError::NotFound) if !turns.is_empty() => {
                    let (turn, ancestor) = (&newest.turn, &location.turn);
                    tracing::warn!(%turn, %ancestor, "conversation chain incomplete");
                    return Err(ReadError::Unavailable);
                }
                Err(error) => return Err(error),
            };
            bytes_left = bytes_left
                .checked_sub(segment.bytes())
                .ok_or(ReadError::TooLong)?;
            turns.extend(segment.turns);
            next = segment.rest;
        }
        Ok(Chain::from_turns(&turns, Some(memory)))
    }

    /// Reads at least one turn, if it is not longer than `max_bytes`.
    async fn read_segment(
        self: &Rc<Self>,
        location: &TurnLocation,
        max_bytes: usize,
    ) -> Result<ChainSegment, ReadError> {
        if self.turns.borrow().bytes_of(&location.turn) > max_bytes {
            return Err(ReadError::TooLong);
        }
        let segment = self.local_segment(&location.turn, max_bytes);
        if !segment.turns.is_empty() {
            return Ok(segment);
        }
        let segment = self.read_remote_segment(location, max_bytes).await?;
        if segment.turns.is_empty() {
            return Err(ReadError::TooLong);
        }
        Ok(segment)
    }

    /// Reads from the most preferred other replica, or failing that from any store that has the turn. The segment
    /// has no turn if the first one is longer than `max_bytes`.
    async fn read_remote_segment(
        self: &Rc<Self>,
        location: &TurnLocation,
        max_bytes: usize,
    ) -> Result<ChainSegment, ReadError> {
        let view = self.view();
        if let Some(preferred) = self.preferred_replica(&view, &location.program) {
            let reading = self.read_segment_from(&view, &preferred, &location.turn, max_bytes);
            // Shorter than the timeout of the call itself, so that the connection stays usable for later
            // calls.
            let read = tokio::time::timeout(PREFERRED_REPLICA_TIMEOUT, reading).await;
            if let Ok(Some(segment)) = read {
                return Ok(segment);
            }
        }
        let member = self.locate_turn(&view, &location.turn).await?;
        let segment = self
            .read_segment_from(&view, &member, &location.turn, max_bytes)
            .await;
        segment.ok_or(ReadError::Unavailable)
    }

    fn preferred_replica(&self, view: &StoreView, program: &ProgramId) -> Option<StoreMember> {
        replicas(&view.serving, program, view.tolerated_faults)
            .into_iter()
            .find(|member| member.address != self.identity.address)
            .cloned()
    }

    async fn read_segment_from(
        self: &Rc<Self>,
        view: &StoreView,
        member: &StoreMember,
        turn: &RequestId,
        max_bytes: usize,
    ) -> Option<ChainSegment> {
        let request = PeerRequest::ReadChain {
            turn: turn.clone(),
            max_bytes: Some(max_bytes as u64),
        };
        let reply = self.call(view, member, &request, PEER_TIMEOUT).await.ok()?;
        match reply.body {
            PeerResponse::Chain { turns, rest } => Some(ChainSegment { turns, rest }),
            _ => None,
        }
    }

    /// Finds a store that has the turn. Fails with `NotFound` only if the turn is absent from at least a
    /// read quorum of the serving stores, so that no write quorum can have written it.
    async fn locate_turn(
        self: &Rc<Self>,
        view: &StoreView,
        turn: &RequestId,
    ) -> Result<StoreMember, ReadError> {
        let members = unique_addresses(view.serving.iter().chain(view.next.iter().flatten()));
        let request = PeerRequest::LocateTurn { turn: turn.clone() };
        let mut replies = self.broadcast(view, members, &request, None);
        let mut absent = 0;
        while let Some(member_reply) = replies.recv().await {
            let Some(reply) = member_reply.reply else {
                continue;
            };
            match reply.body {
                PeerResponse::TurnPresent => return Ok(member_reply.member),
                PeerResponse::TurnAbsent => {
                    let replying = StoreMember {
                        incarnation: reply.incarnation,
                        ..member_reply.member
                    };
                    if is_serving(view, &replying) {
                        absent += 1;
                    }
                }
                _ => {}
            }
        }
        if absent >= Quorum::new(view.serving.len(), view.tolerated_faults).read {
            Err(ReadError::NotFound)
        } else {
            Err(ReadError::Unavailable)
        }
    }
}
