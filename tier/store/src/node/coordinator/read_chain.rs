//! Reading a chain of turns: from here as far as possible, the rest from other stores.

use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::peer::{PeerRequest, PeerResponse};
use plankhill_conversations::placement::{addresses, is_serving, replicas, Quorum};
use plankhill_conversations::rows::{read_row, turn_key, Table, TurnRow};
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::{FIRST_READ_TIMEOUT, MOST_CHAIN_BYTES, PEER_TIMEOUT};
use crate::peers::Peers;

/// How reading a chain ended.
pub(super) enum ChainEnd {
    Found {
        history: Arc<[u8]>,
        place: Option<TurnLocation>,
    },
    NoSuchTurn,
    Unsure,
}

/// Some turns of a chain, from the newest to older ones.
#[derive(Default)]
pub(super) struct ChainPart {
    turns: Vec<Arc<TurnRecord>>,
    rest: Option<TurnLocation>,
}

/// Why a part of a chain could not be read.
enum NoPart {
    NoSuchTurn,
    Unsure,
}

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Reads the chain that ends with this turn. `program` is the one that asks, most often also the turn's.
    pub(super) async fn read_chain(
        self: &Rc<Self>,
        program: &ProgramId,
        turn: &RequestId,
    ) -> ChainEnd {
        let mut turns: Vec<Arc<TurnRecord>> = Vec::new();
        let mut bytes = 0;
        let mut next = Some(TurnLocation {
            turn: turn.clone(),
            program: program.clone(),
        });
        while let Some(place) = next.take() {
            let part = match self.read_part(&place).await {
                Ok(part) => part,
                // A turn is kept as long as those that go on from it, so its absence is no proof.
                Err(NoPart::NoSuchTurn) if turns.is_empty() => return ChainEnd::NoSuchTurn,
                Err(_) => return ChainEnd::Unsure,
            };
            bytes += part
                .turns
                .iter()
                .map(|turn| turn.input.len() + turn.output.len())
                .sum::<usize>();
            if bytes > MOST_CHAIN_BYTES {
                tracing::warn!(bytes, "chain too long");
                return ChainEnd::Unsure;
            }
            turns.extend(part.turns);
            next = part.rest;
        }
        let place = turns.first().map(|newest| place_of(newest));
        ChainEnd::Found {
            history: join(&turns, bytes),
            place,
        }
    }

    async fn read_part(self: &Rc<Self>, place: &TurnLocation) -> Result<ChainPart, NoPart> {
        let part = self.part_here(&place.turn);
        if part.turns.is_empty() {
            self.part_elsewhere(place).await
        } else {
            Ok(part)
        }
    }

    /// The turn and its ancestors as far as they are here.
    fn part_here(&self, turn: &RequestId) -> ChainPart {
        let mut part = ChainPart::default();
        let mut bytes = 0;
        let mut next = Some(turn.clone());
        while let Some(turn) = next.take() {
            let Some(record) = self.turn_here(&turn) else {
                break;
            };
            bytes += record.input.len() + record.output.len();
            part.rest = record.previous.clone();
            part.turns.push(record);
            if bytes > MOST_CHAIN_BYTES {
                break;
            }
            next = part.rest.as_ref().map(|place| place.turn.clone());
        }
        part
    }

    /// A turn that is kept here.
    pub(super) fn turn_here(&self, turn: &RequestId) -> Option<Arc<TurnRecord>> {
        let state = self.state.borrow();
        state.index.turn(turn)?;
        if let Some(record) = state.unwritten.get(turn) {
            return Some(record.clone());
        }
        let row = match self.parts.disk.read(Table::Turns, &turn_key(turn)) {
            Ok(row) => row?,
            Err(error) => {
                tracing::warn!(%error, "turn not read");
                return None;
            }
        };
        read_row::<TurnRow>(&row).map(|row| row.record)
    }

    /// Asks the first other replica, and then all stores.
    async fn part_elsewhere(self: &Rc<Self>, place: &TurnLocation) -> Result<ChainPart, NoPart> {
        let view = self.view();
        let here = &self.parts.me.address;
        let holders = replicas(&view.serving, &place.program, view.tolerated_faults);
        let first = holders
            .into_iter()
            .find(|member| member.address != *here)
            .cloned();
        if let Some(first) = first {
            let reading = self.part_of(&view, &first, &place.turn);
            // The connection is good for longer than this one answer is waited for.
            if let Ok(Some(part)) = tokio::time::timeout(FIRST_READ_TIMEOUT, reading).await {
                return Ok(part);
            }
        }
        let located = self.locate(&view, &place.turn).await?;
        let part = self.part_of(&view, &located, &place.turn).await;
        part.ok_or(NoPart::Unsure)
    }

    async fn part_of(
        self: &Rc<Self>,
        view: &StoreView,
        member: &StoreMember,
        turn: &RequestId,
    ) -> Option<ChainPart> {
        let request = PeerRequest::Chain { turn: turn.clone() };
        match self
            .ask(view, member, &request, PEER_TIMEOUT)
            .await
            .ok()?
            .body
        {
            PeerResponse::Chain { turns, rest } if !turns.is_empty() => {
                Some(ChainPart { turns, rest })
            }
            _ => None,
        }
    }

    /// A store that holds the turn. That there is none is known only when so many serving stores do not hold
    /// it that it cannot have been written.
    async fn locate(
        self: &Rc<Self>,
        view: &StoreView,
        turn: &RequestId,
    ) -> Result<StoreMember, NoPart> {
        let members = addresses(view.serving.iter().chain(view.next.iter().flatten()));
        let mut round = self.ask_all(view, members, &PeerRequest::Locate { turn: turn.clone() });
        let mut absent = 0;
        while let Some(answer) = round.recv().await {
            let Some(reply) = answer.reply else { continue };
            match reply.body {
                PeerResponse::Located => return Ok(answer.member),
                PeerResponse::NotHere => {
                    let life = StoreMember {
                        incarnation: reply.incarnation,
                        ..answer.member
                    };
                    absent += usize::from(is_serving(view, &life));
                }
                _ => {}
            }
        }
        let enough = Quorum::of(view.serving.len(), view.tolerated_faults).read;
        Err(if absent >= enough {
            NoPart::NoSuchTurn
        } else {
            NoPart::Unsure
        })
    }

    /// Answers another store that reads a chain.
    pub(super) fn chain_here(&self, turn: &RequestId) -> PeerResponse {
        let ChainPart { turns, rest } = self.part_here(turn);
        if turns.is_empty() {
            self.locate_here(turn)
        } else {
            PeerResponse::Chain { turns, rest }
        }
    }

    /// Answers whether a turn is here; one that is but can't be read is no answer.
    pub(super) fn locate_here(&self, turn: &RequestId) -> PeerResponse {
        if self.state.borrow().index.turn(turn).is_none() {
            PeerResponse::NotHere
        } else if self.turn_here(turn).is_some() {
            PeerResponse::Located
        } else {
            PeerResponse::Unable
        }
    }
}

fn place_of(record: &TurnRecord) -> TurnLocation {
    TurnLocation {
        turn: record.turn.clone(),
        program: record.program.clone(),
    }
}

/// Inputs and outputs, oldest first.
fn join(turns: &[Arc<TurnRecord>], bytes: usize) -> Arc<[u8]> {
    let mut history = Vec::with_capacity(bytes);
    for turn in turns.iter().rev() {
        history.extend_from_slice(&turn.input);
        history.extend_from_slice(&turn.output);
    }
    history.into()
}
