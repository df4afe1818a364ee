//! Coordination of the end of a turn: stores the tokens that it generated, and its record for turns that
//! continue it.

use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::account::TurnState;
use plankhill_conversations::peer::{PeerRequest, RetainedTurn, TurnUpdate};
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{StoreReply, TurnLocation, TurnRecord};

use super::replicated_write::WriteOutcome;
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

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    pub(super) async fn end_turn(self: &Rc<Self>, end: TurnEnd) -> StoreReply {
        let state = end.tokens.map(|tokens| TurnState::Committed { tokens });
        let retained = end.record.map(|record| self.retained_turn(record));
        if state.is_none() && retained.is_none() {
            return StoreReply::Ended;
        }
        // The chain first: a turn must not be retained longer than the turns that it continues.
        if let Some(retained) = &retained {
            if !self.retain_chain_of_other_program(retained).await {
                return StoreReply::Unavailable;
            }
        }
        let location = TurnLocation {
            program: end.program.clone(),
            turn: end.turn.clone(),
        };
        let update = TurnUpdate {
            program: end.program,
            turn: end.turn,
            state,
            retained,
        };
        match self.write(&location, &PeerRequest::EndTurn(update)).await {
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
}
