//! What a proxy asks of the stores for one turn, and the outcomes.

use std::sync::Arc;

use plankhill_protocol::ids::{ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{Reservation, StoreCall, TurnLocation, TurnRecord};

/// What a turn needs before it may run.
#[derive(Clone, Debug)]
pub struct BeginTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn's attempt.
    pub turn: RequestId,
    /// None on a route without budgets.
    pub reservation: Option<Reservation>,
    /// The `Request-Id` that the header `Previous` names.
    pub previous: Option<RequestId>,
}

/// The outcome of [`crate::StoreClient::begin_turn`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The turn may run; the caller ends it with [`crate::StoreClient::end_turn`] whatever its outcome.
    Begun {
        /// Inputs and outputs of the chain that the turn continues, joined from the oldest on.
        history: Arc<[u8]>,
        /// What the turn's own record names as its previous turn.
        previous: Option<TurnLocation>,
    },
    /// The turn does not fit into its program's budget (402).
    BudgetExhausted,
    /// Surely no store has the previous turn (404).
    NoSuchTurn,
    /// No store could tell in time (503). If a reservation was asked for, it may stand: the caller ends the
    /// turn with 0 tokens.
    Unavailable,
}

/// What is stored of a turn that ended.
#[derive(Clone, Debug)]
pub struct EndTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn's attempt.
    pub turn: RequestId,
    /// Tokens sent to the client; Some(0) of a turn that surely has not run; None without a reservation.
    pub tokens: Option<u64>,
    /// The turn that later turns may continue; only of a turn that was answered completely on a route with
    /// retention.
    pub record: Option<TurnRecord>,
}

/// The outcome of [`crate::StoreClient::end_turn`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The end is synced at a write quorum.
    Ended,
    /// No store could tell in time; the last byte of the answer must not go to the client.
    Unavailable,
}

impl BeginTurn {
    /// The call to a store.
    pub(crate) fn to_call(&self, epoch: StoreEpoch) -> StoreCall {
        StoreCall::BeginTurn {
            epoch,
            program: self.program.clone(),
            turn: self.turn.clone(),
            reservation: self.reservation.clone(),
            previous: self.previous.clone(),
        }
    }
}

impl EndTurn {
    /// The call to a store.
    pub(crate) fn to_call(&self, epoch: StoreEpoch) -> StoreCall {
        StoreCall::EndTurn {
            epoch,
            program: self.program.clone(),
            turn: self.turn.clone(),
            tokens: self.tokens,
            record: self.record.clone(),
        }
    }
}
