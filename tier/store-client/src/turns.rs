//! A proxy's requests to the stores for one turn, and their outcomes.

use std::sync::Arc;

use plankhill_protocol::ids::{ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{
    Reservation, StoreCall, TurnLifetime, TurnLocation, TurnRecord,
};

/// The request to begin a turn: reserves its tokens and fetches the turns that it continues.
#[derive(Clone, Debug)]
pub struct BeginTurn {
    /// The program.
    pub program: ProgramId,
    /// The attempt's `Request-Id`, which identifies the turn.
    pub turn: RequestId,
    /// The tokens to reserve; None on a route without budgets.
    pub reservation: Option<Reservation>,
    /// The turn that this one continues: the `Request-Id` in the `Previous` header.
    pub previous: Option<RequestId>,
    /// The turn's lifetime; None on a route without retention.
    pub lifetime: Option<TurnLifetime>,
}

/// The outcome of [`crate::StoreClient::begin_turn`]. Whatever the outcome, a requested reservation may
/// have been made, and the stores never release it by themselves: the caller ends the turn with
/// [`crate::StoreClient::end_turn`], with 0 tokens if it does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The turn may run.
    Begun {
        /// Inputs and outputs of the chain that the turn continues, concatenated from oldest to newest.
        history: Arc<[u8]>,
        /// The storage location of the previous turn, for the turn's own record.
        previous: Option<TurnLocation>,
    },
    /// The turn does not fit into its program's budget (402).
    BudgetExhausted,
    /// The previous turn does not exist (404): it is absent from a read quorum of the stores.
    NoSuchTurn,
    /// No store gave a conclusive reply in time (503).
    Unavailable,
}

/// The request to end a turn: commits its tokens and stores its record.
#[derive(Clone, Debug)]
pub struct EndTurn {
    /// The program.
    pub program: ProgramId,
    /// The attempt's `Request-Id`, which identifies the turn.
    pub turn: RequestId,
    /// Tokens sent to the client; Some(0) for a turn that certainly has not run; None without a
    /// reservation.
    pub tokens: Option<u64>,
    /// The record that later turns may continue; only for a turn that was answered completely on a route
    /// with retention.
    pub record: Option<TurnRecord>,
}

/// The outcome of [`crate::StoreClient::end_turn`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The end of the turn is synced at a write quorum.
    Ended,
    /// No store gave a conclusive reply in time; the last byte of the response must not be sent to the
    /// client.
    Unavailable,
}

impl BeginTurn {
    /// Builds the call to a store.
    pub(crate) fn to_call(&self, epoch: StoreEpoch) -> StoreCall {
        StoreCall::BeginTurn {
            epoch,
            program: self.program.clone(),
            turn: self.turn.clone(),
            reservation: self.reservation.clone(),
            previous: self.previous.clone(),
            lifetime: self.lifetime,
        }
    }
}

impl EndTurn {
    /// Builds the call to a store.
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
