//! The end of a turn: what it handed out, and what later turns go on from.

use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::account::TurnState;
use plankhill_conversations::peer::{EndedTurn, KeptTurn, PeerRequest, PeerResponse};
use plankhill_conversations::placement::Tally;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{StoreReply, TurnLocation, TurnRecord};
use plankhill_protocol::tables::StoreView;

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::peers::Peers;

/// Whether enough replicas have written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Written {
    Enough,
    TooFew,
    /// A newer view came up.
    Moved,
}

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    pub(super) async fn end(
        self: &Rc<Self>,
        program: ProgramId,
        turn: RequestId,
        tokens: Option<u64>,
        record: Option<TurnRecord>,
    ) -> StoreReply {
        let state = tokens.map(|tokens| TurnState::Settled { tokens });
        if state.is_none() && record.is_none() {
            return StoreReply::Ended;
        }
        let slack_ms = self.parts.figures.slack_ms;
        let kept = record.map(|record| KeptTurn {
            remaining_ms: record.retention_ms.saturating_add(slack_ms),
            record: Arc::new(record),
        });
        if let Some(kept) = &kept {
            if self.extend_elsewhere(&kept.record, kept.remaining_ms).await != Written::Enough {
                return StoreReply::Unavailable;
            }
        }
        let ended = EndedTurn {
            program,
            turn,
            state,
            kept,
        };
        match self.write_end(ended).await {
            Written::Enough => StoreReply::Ended,
            Written::TooFew | Written::Moved => StoreReply::Unavailable,
        }
    }

    /// Writes what became of a turn to its replicas.
    pub(super) async fn write_end(self: &Rc<Self>, ended: EndedTurn) -> Written {
        let program = ended.program.clone();
        self.write(&program, &PeerRequest::End(ended)).await
    }

    /// A chain that goes on in another program lies at other stores: they are told to keep it as long.
    async fn extend_elsewhere(self: &Rc<Self>, record: &TurnRecord, keep_ms: u64) -> Written {
        match &record.previous {
            Some(TurnLocation { turn, program }) if *program != record.program => {
                let request = PeerRequest::Extend {
                    turn: turn.clone(),
                    keep_ms,
                };
                self.write(program, &request).await
            }
            _ => Written::Enough,
        }
    }

    async fn write(self: &Rc<Self>, program: &ProgramId, request: &PeerRequest) -> Written {
        loop {
            let view = self.view();
            match self.write_in(&view, program, request).await {
                Written::Moved if self.view().epoch > view.epoch => {}
                written => return written,
            }
        }
    }

    async fn write_in(
        self: &Rc<Self>,
        view: &StoreView,
        program: &ProgramId,
        request: &PeerRequest,
    ) -> Written {
        let mut tally = Tally::new(view, program);
        let mut round = self.ask_all(view, tally.members(), request);
        while let Some(answer) = round.recv().await {
            let Some(reply) = answer.reply else { continue };
            match reply.body {
                PeerResponse::Done => tally.written(&answer.member, reply.incarnation),
                PeerResponse::OldEpoch(_) => return Written::Moved,
                _ => {}
            }
            if tally.is_enough() {
                return Written::Enough;
            }
        }
        Written::TooFew
    }
}
