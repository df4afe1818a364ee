//! Coordination of the end of a turn: stores the tokens that it generated, and its record for turns that
//! continue it.

use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::account::TurnState;
use plankhill_conversations::peer::{PeerRequest, PeerResponse, RetainedTurn, TurnUpdate};
use plankhill_conversations::quorum::WriteQuorum;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{StoreReply, TurnRecord};
use plankhill_protocol::tables::StoreView;

use crate::clock::Clock;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// The request to end a turn.
pub(super) struct TurnEnd {
    pub(super) program: ProgramId,
    pub(super) turn: RequestId,
    /// Tokens sent to the client; None without a reservation.
    pub(super) tokens: Option<u64>,
    /// The turn's record, if later turns may continue it.
    pub(super) record: Option<TurnRecord>,
}

/// The outcome of a write to a program's replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    /// A write quorum of every set of the view has synced the write.
    Written,
    TooFewReplicas,
    /// A replica has a newer view.
    ViewChanged,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    pub(super) async fn end_turn(self: &Rc<Self>, end: TurnEnd) -> StoreReply {
        let state = end.tokens.map(|tokens| TurnState::Committed { tokens });
        let retained = end.record.map(|record| self.retained_turn(record));
        if state.is_none() && retained.is_none() {
            return StoreReply::Ended;
        }
        // The chain is extended first: a turn must not be retained longer than the turns that it continues.
        if let Some(retained) = &retained {
            if self.extend_chain_of_other_program(retained).await != WriteOutcome::Written {
                return StoreReply::Unavailable;
            }
        }
        let program = end.program.clone();
        let update = TurnUpdate {
            program: end.program,
            turn: end.turn,
            state,
            retained,
        };
        match self.write(&program, &PeerRequest::EndTurn(update)).await {
            WriteOutcome::Written => StoreReply::Ended,
            WriteOutcome::TooFewReplicas | WriteOutcome::ViewChanged => StoreReply::Unavailable,
        }
    }

    fn retained_turn(&self, record: TurnRecord) -> RetainedTurn {
        let slack_ms = self.limits.retention_slack_ms;
        RetainedTurn {
            remaining_ms: record.retention_ms.saturating_add(slack_ms),
            record: Arc::new(record),
        }
    }

    /// Extends the retention of the chain that a turn continues if the chain belongs to another program,
    /// and so to other replicas. Within the turn's own program the replicas extend the chain when they
    /// store the turn.
    async fn extend_chain_of_other_program(
        self: &Rc<Self>,
        retained: &RetainedTurn,
    ) -> WriteOutcome {
        let Some(previous) = &retained.record.previous else {
            return WriteOutcome::Written;
        };
        if previous.program == retained.record.program {
            return WriteOutcome::Written;
        }
        let request = PeerRequest::ExtendRetention {
            turn: previous.turn.clone(),
            retention_ms: retained.remaining_ms,
        };
        self.write(&previous.program, &request).await
    }

    /// Writes to a program's replicas; retries under the new view if the view changes during an attempt.
    async fn write(self: &Rc<Self>, program: &ProgramId, request: &PeerRequest) -> WriteOutcome {
        loop {
            let view = self.view();
            match self.write_in_view(&view, program, request).await {
                WriteOutcome::ViewChanged | WriteOutcome::TooFewReplicas
                    if self.views.epoch() > view.epoch => {}
                outcome => return outcome,
            }
        }
    }

    async fn write_in_view(
        self: &Rc<Self>,
        view: &StoreView,
        program: &ProgramId,
        request: &PeerRequest,
    ) -> WriteOutcome {
        let mut quorum = WriteQuorum::new(view, program);
        let mut replies = self.broadcast(view, quorum.members(), request);
        while let Some(answer) = replies.recv().await {
            let Some(reply) = answer.reply else { continue };
            match reply.body {
                PeerResponse::Done => quorum.record_write(&answer.member, reply.incarnation),
                PeerResponse::StaleEpoch(_) => return WriteOutcome::ViewChanged,
                _ => {}
            }
            if quorum.is_reached() {
                return WriteOutcome::Written;
            }
        }
        WriteOutcome::TooFewReplicas
    }
}
