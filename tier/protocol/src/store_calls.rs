//! What a proxy asks of a store: to begin and to end turns, to reserve and to settle budgets.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{ProgramId, RequestId, StoreEpoch};

/// The budget part of a turn's begin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Tokens that all turns of the program may generate together (`Budget`).
    pub budget: u64,
    /// The most that this turn generates (second number of `Token-Usage`).
    pub max_tokens: u64,
}

/// A turn that is kept so that later turns can go on from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn's name: the `Request-Id` under which it was answered whole.
    pub turn: RequestId,
    /// The program that it ran in.
    pub program: ProgramId,
    /// The turn that it went on from, with the program under which that one is kept.
    pub previous: Option<TurnLocation>,
    /// The input that the client sent.
    #[serde(with = "crate::shared_bytes")]
    pub input: Arc<[u8]>,
    /// The data of each of its events with a line feed behind, in order.
    #[serde(with = "crate::shared_bytes")]
    pub output: Arc<[u8]>,
    /// How long it is kept from its end on, in milliseconds.
    pub retention_ms: u64,
}

/// Where a turn is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TurnLocation {
    /// The turn.
    pub turn: RequestId,
    /// The program whose replicas hold it.
    pub program: ProgramId,
}

/// What a proxy asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reserves the turn's most and fetches what it goes on from. Repeating it is harmless.
    BeginTurn {
        /// The view that the proxy knows.
        epoch: StoreEpoch,
        /// The program.
        program: ProgramId,
        /// The turn's try.
        turn: RequestId,
        /// None on a route without budgets.
        reservation: Option<Reservation>,
        /// The `Request-Id` named by `Previous`.
        previous: Option<RequestId>,
    },
    /// Settles the turn's budget and, for a turn answered whole on a retained route, keeps it. Repeating it is
    /// harmless.
    EndTurn {
        /// The view that the proxy knows.
        epoch: StoreEpoch,
        /// The program.
        program: ProgramId,
        /// The turn's try.
        turn: RequestId,
        /// Tokens handed to the client; None where nothing was reserved.
        tokens: Option<u64>,
        /// What is to be kept.
        record: Option<TurnRecord>,
    },
}

/// The answer to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The turn may run.
    Begun {
        /// For each turn of the chain from the oldest on: its input and then its output, joined.
        #[serde(with = "crate::shared_bytes")]
        history: Arc<[u8]>,
        /// Where `Previous` is kept, to be named in this turn's record.
        previous: Option<TurnLocation>,
    },
    /// One more turn does not fit into the budget (402).
    BudgetExhausted,
    /// Surely no such turn (404).
    NoSuchTurn,
    /// Settled and kept on enough disks.
    Ended,
    /// Too few stores answered, or the store is not in service: ask another, or give up with 503.
    Unavailable,
    /// The caller's view is older than this store's.
    StaleEpoch(StoreEpoch),
}
