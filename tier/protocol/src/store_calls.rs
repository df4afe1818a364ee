//! Calls of a proxy to a store, which begin and end turns and reserve and commit tokens of their
//! budgets. Every call may be repeated.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::appended_field::none_where_missing;
use crate::ids::{ProgramId, RequestId, StoreEpoch};

/// A reservation of tokens for a turn in the budget of its program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Maximum number of tokens that all turns of the program may generate together (`Budget`).
    pub budget: u64,
    /// Maximum number of tokens that this turn generates (second number of `Token-Usage`).
    pub max_tokens: u64,
}

/// How long a turn may run and is retained afterwards. The chain that it continues has to be retained
/// as long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnLifetime {
    /// Time until the turn's deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Retention time of the turn after its end, in milliseconds.
    pub retention_ms: u64,
}

/// A completed turn that is stored so that later turns can continue it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn's id: the `Request-Id` of the attempt that was answered completely.
    pub turn: RequestId,
    /// The program of the turn.
    pub program: ProgramId,
    /// The location of the turn that this turn continued, if any.
    pub previous: Option<TurnLocation>,
    /// The input that the client sent.
    #[serde(with = "crate::shared_bytes")]
    pub input: Arc<[u8]>,
    /// The data of each event of the answer, in order, each followed by a line feed.
    #[serde(with = "crate::shared_bytes")]
    pub output: Arc<[u8]>,
    /// Retention time of the turn after its end, in milliseconds.
    pub retention_ms: u64,
}

/// The storage location of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TurnLocation {
    /// The turn.
    pub turn: RequestId,
    /// The program whose replicas store the turn.
    pub program: ProgramId,
}

/// A call of a proxy to a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reserves the turn's tokens and fetches the turns that this one continues. Idempotent.
    BeginTurn {
        /// The epoch of the proxy's view of the stores.
        epoch: StoreEpoch,
        /// The program.
        program: ProgramId,
        /// The attempt's `Request-Id`, which identifies the turn.
        turn: RequestId,
        /// The tokens to reserve; `None` on a route without budgets.
        reservation: Option<Reservation>,
        /// The `Request-Id` in the `Previous` header, if any.
        previous: Option<RequestId>,
        /// The turn's lifetime on a route with retention. Proxies of versions without this field do
        /// not send it, and stores of such versions decode a call only up to the previous field.
        #[serde(deserialize_with = "none_where_missing")]
        lifetime: Option<TurnLifetime>,
    },
    /// Commits the tokens that the turn has used, and stores the turn if it was answered completely
    /// on a route with retention. Idempotent.
    EndTurn {
        /// The epoch of the proxy's view of the stores.
        epoch: StoreEpoch,
        /// The program.
        program: ProgramId,
        /// The attempt's `Request-Id`, which identifies the turn.
        turn: RequestId,
        /// Number of tokens delivered to the client; `None` if no tokens were reserved.
        tokens: Option<u64>,
        /// The turn to store, if any.
        record: Option<TurnRecord>,
    },
}

/// The answer to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The turn may start.
    Begun {
        /// The concatenated inputs and outputs of all turns that this turn continues, the oldest
        /// first.
        #[serde(with = "crate::shared_bytes")]
        history: Arc<[u8]>,
        /// The storage location of the turn in the `Previous` header, for this turn's record.
        previous: Option<TurnLocation>,
    },
    /// The remaining budget is too small for the turn (402).
    BudgetExhausted,
    /// The turn to continue definitely does not exist (404).
    NoSuchTurn,
    /// The tokens are committed and the turn is stored on enough disks.
    Ended,
    /// Too few stores answered, or this store is not in service: the proxy calls another store, or
    /// answers 503.
    Unavailable,
    /// The caller's view is older than the view of this store, which has this epoch.
    StaleEpoch(StoreEpoch),
}
