//! What a proxy asks of the stores, and what comes of it.

use std::sync::Arc;

use plankhill_protocol::ids::{ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{Reservation, StoreCall, TurnLocation, TurnRecord};

/// What a turn needs before it may run.
#[derive(Clone, Debug)]
pub struct BeginTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn's try.
    pub turn: RequestId,
    /// None on a route without budgets.
    pub reservation: Option<Reservation>,
    /// The `Request-Id` that `Previous` names.
    pub previous: Option<RequestId>,
}

/// How [`crate::StoreClient::begin_turn`] ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The turn may run; the caller ends it with [`crate::StoreClient::end_turn`] whatever becomes of it.
    Begun {
        /// Inputs and outputs of the chain, joined from the oldest on.
        history: Arc<[u8]>,
        /// What the turn's own record names as its previous turn.
        previous: Option<TurnLocation>,
    },
    /// 402.
    BudgetSpent,
    /// 404.
    NoSuchTurn,
    /// 503. If a reservation was asked for it may stand: the caller settles it with 0 tokens.
    Unavailable,
}

/// What is to be kept of a turn that ended.
#[derive(Clone, Debug)]
pub struct EndTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn's try.
    pub turn: RequestId,
    /// Tokens handed to the client; Some(0) for a turn that surely has not run; None without a reservation.
    pub tokens: Option<u64>,
    /// What later turns go on from; only for a turn answered whole on a retained route.
    pub record: Option<TurnRecord>,
}

/// How [`crate::StoreClient::end_turn`] ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// On enough disks.
    Ended,
    /// Not known; the answer's last byte must not go to the client.
    Unavailable,
}

impl BeginTurn {
    /// The call for a store.
    pub(crate) fn call(&self, epoch: StoreEpoch) -> StoreCall {
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
    /// The call for a store.
    pub(crate) fn call(&self, epoch: StoreEpoch) -> StoreCall {
        StoreCall::EndTurn {
            epoch,
            program: self.program.clone(),
            turn: self.turn.clone(),
            tokens: self.tokens,
            record: self.record.clone(),
        }
    }
}
