//! Reads a chain of turns: from this store as far as possible, the remainder from other stores.

use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::peer::{PeerRequest, PeerResponse};
use plankhill_conversations::placement::{is_serving, replicas, unique_addresses};
use plankhill_conversations::quorum::Quorum;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};
use plankhill_protocol::tables::{StoreMember, StoreView};

use crate::clock::Clock;
use crate::limits::{MAX_CHAIN_BYTES, PEER_TIMEOUT, PREFERRED_REPLICA_TIMEOUT};
use crate::node::chain_segment::{record_bytes, ChainSegment};
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// A chain that was read completely.
pub(super) struct Chain {
    /// Inputs and outputs of all turns, concatenated from oldest to newest.
    pub(super) history: Arc<[u8]>,
    /// The newest turn of each part of the chain that belongs to one program, newest first.
    pub(super) parts: Vec<TurnLocation>,
    /// Retention time of the newest turn after its end, in milliseconds.
    pub(super) retention_ms: u64,
}

impl Chain {
    /// The chain of a turn that continues no other turn.
    pub(super) fn empty() -> Self {
        Chain::from_turns(&[])
    }

    /// Creates a chain from its turns, the newest first.
    fn from_turns(turns: &[Arc<TurnRecord>]) -> Self {
        Chain {
            history: join_history(turns),
            parts: newest_of_programs(turns),
            retention_ms: turns.first().map_or(0, |newest| newest.retention_ms),
        }
    }
}

/// The outcome of reading a chain.
pub(super) enum ChainLookup {
    Found(Chain),
    /// The newest turn does not exist: it is absent from a read quorum of the stores.
    NotFound,
    /// Too few stores answered, or the chain is incomplete or too long.
    Unavailable,
}

/// Why a segment of a chain could not be read.
enum SegmentError {
    NotFound,
    Unavailable,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Reads the chain that ends with `turn`. `program` is the program of the turn that continues the
    /// chain, and in most cases also the program of `turn`.
    pub(super) async fn read_chain(
        self: &Rc<Self>,
        program: &ProgramId,
        turn: &RequestId,
    ) -> ChainLookup {
        let mut turns: Vec<Arc<TurnRecord>> = Vec::new();
        let mut bytes = 0;
        let mut next = Some(TurnLocation {
            turn: turn.clone(),
            program: program.clone(),
        });
        while let Some(location) = next.take() {
            let segment = match self.read_segment(&location).await {
                Ok(segment) => segment,
                Err(SegmentError::NotFound) if turns.is_empty() => return ChainLookup::NotFound,
                // An ancestor is retained as long as its descendants, so its absence does not show that the
                // chain has expired: the newest turn was found.
                Err(SegmentError::NotFound) => {
                    let ancestor = &location.turn;
                    tracing::warn!(%turn, %ancestor, "conversation chain incomplete");
                    return ChainLookup::Unavailable;
                }
                Err(SegmentError::Unavailable) => return ChainLookup::Unavailable,
            };
            bytes += segment.bytes();
            if bytes > MAX_CHAIN_BYTES {
                tracing::warn!(%turn, bytes, "conversation chain exceeds the size limit");
                return ChainLookup::Unavailable;
            }
            turns.extend(segment.turns);
            next = segment.rest;
        }
        ChainLookup::Found(Chain::from_turns(&turns))
    }

    async fn read_segment(
        self: &Rc<Self>,
        location: &TurnLocation,
    ) -> Result<ChainSegment, SegmentError> {
        let segment = self.local_segment(&location.turn);
        if segment.turns.is_empty() {
            self.read_remote_segment(location).await
        } else {
            Ok(segment)
        }
    }

    /// Reads from the most preferred other replica, or failing that from any store that has the turn.
    async fn read_remote_segment(
        self: &Rc<Self>,
        location: &TurnLocation,
    ) -> Result<ChainSegment, SegmentError> {
        let view = self.view();
        if let Some(preferred) = self.preferred_replica(&view, &location.program) {
            let reading = self.read_segment_from(&view, &preferred, &location.turn);
            // Shorter than the timeout of the call itself, so that the connection stays usable for later
            // calls.
            let read = tokio::time::timeout(PREFERRED_REPLICA_TIMEOUT, reading).await;
            if let Ok(Some(segment)) = read {
                return Ok(segment);
            }
        }
        let member = self.locate_turn(&view, &location.turn).await?;
        let segment = self.read_segment_from(&view, &member, &location.turn).await;
        segment.ok_or(SegmentError::Unavailable)
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
    ) -> Option<ChainSegment> {
        let request = PeerRequest::ReadChain { turn: turn.clone() };
        let reply = self.call(view, member, &request, PEER_TIMEOUT).await.ok()?;
        match reply.body {
            PeerResponse::Chain { turns, rest } if !turns.is_empty() => {
                Some(ChainSegment { turns, rest })
            }
            _ => None,
        }
    }

    /// Finds a store that has the turn. Fails with `NotFound` only if the turn is absent from at least a
    /// read quorum of the serving stores, so that no write quorum can have written it.
    async fn locate_turn(
        self: &Rc<Self>,
        view: &StoreView,
        turn: &RequestId,
    ) -> Result<StoreMember, SegmentError> {
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
            Err(SegmentError::NotFound)
        } else {
            Err(SegmentError::Unavailable)
        }
    }
}

/// The newest turn of each run of turns of one program; `turns` has the newest first.
fn newest_of_programs(turns: &[Arc<TurnRecord>]) -> Vec<TurnLocation> {
    let mut newest: Vec<TurnLocation> = Vec::new();
    for record in turns {
        let part = newest.last();
        if part.is_none_or(|part| part.program != record.program) {
            newest.push(TurnLocation {
                turn: record.turn.clone(),
                program: record.program.clone(),
            });
        }
    }
    newest
}

/// Concatenates inputs and outputs, oldest first; `turns` has the newest first.
fn join_history(turns: &[Arc<TurnRecord>]) -> Arc<[u8]> {
    let bytes = turns.iter().map(|turn| record_bytes(turn)).sum();
    let mut history = Vec::with_capacity(bytes);
    for turn in turns.iter().rev() {
        history.extend_from_slice(&turn.input);
        history.extend_from_slice(&turn.output);
    }
    history.into()
}
