//! Calls of a proxy to a store: begin and end turns, reserve and commit their budgets. Every call
//! may be repeated.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{ProgramId, RequestId, StoreEpoch};

/// The reservation that a turn makes in the budget of its program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Tokens that all turns of the program may generate together (`Budget`).
    pub budget: u64,
    /// The most tokens that this turn generates (second number of `Token-Usage`).
    pub max_tokens: u64,
}

/// A completed turn that is stored so that later turns can continue it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn's name: the `Request-Id` under which it was answered completely.
    pub turn: RequestId,
    /// The program of the turn.
    pub program: ProgramId,
    /// The turn that this one continued, with the program under which that turn is stored.
    pub previous: Option<TurnLocation>,
    /// The input that the client sent.
    #[serde(with = "crate::shared_bytes")]
    pub input: Arc<[u8]>,
    /// The data of each event of the answer with a line feed behind, in order.
    #[serde(with = "crate::shared_bytes")]
    pub output: Arc<[u8]>,
    /// How long the turn is stored from its end on, in milliseconds.
    pub retention_ms: u64,
}

/// Where a turn is stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TurnLocation {
    /// The turn.
    pub turn: RequestId,
    /// The program whose replicas store the turn.
    pub program: ProgramId,
}

/// A call of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reserves the turn's tokens and fetches the turns that this one continues. Idempotent.
    BeginTurn {
        /// The epoch of the view that the proxy knows.
        epoch: StoreEpoch,
        /// The program.
        program: ProgramId,
        /// The attempt's `Request-Id`, which names the turn.
        turn: RequestId,
        /// `None` on a route without budgets.
        reservation: Option<Reservation>,
        /// The `Request-Id` named by `Previous`.
        previous: Option<RequestId>,
    },
    /// Commits the tokens that the turn has used and, for a turn answered completely on a retained
    /// route, stores it. Idempotent.
    EndTurn {
        /// The epoch of the view that the proxy knows.
        epoch: StoreEpoch,
        /// The program.
        program: ProgramId,
        /// The attempt's `Request-Id`, which names the turn.
        turn: RequestId,
        /// Tokens delivered to the client; `None` where nothing was reserved.
        tokens: Option<u64>,
        /// The turn to store.
        record: Option<TurnRecord>,
    },
}

/// The answer to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The turn may run.
    Begun {
        /// Input and output of each turn that this one continues, from the oldest on, joined.
        #[serde(with = "crate::shared_bytes")]
        history: Arc<[u8]>,
        /// Where the turn named by `Previous` is stored, for this turn's record.
        previous: Option<TurnLocation>,
    },
    /// One more turn does not fit into the budget (402).
    BudgetExhausted,
    /// There certainly is no such turn (404).
    NoSuchTurn,
    /// Committed, and stored on enough disks.
    Ended,
    /// Too few stores answered, or the store is not in service: the proxy asks another one, or
    /// answers 503.
    Unavailable,
    /// The caller's view is older than that of this store, whose epoch this is.
    StaleEpoch(StoreEpoch),
}
