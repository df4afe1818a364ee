//! Messages between stores.
//!
//! Every call names the epoch of the caller's view. A store answers calls of its own epoch only, so that
//! replicas of an older view cannot acknowledge a write that the newer view's replicas do not have.
//! Repairs, hints and views are taken whatever their epoch: they only add to what a store knows.

use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, NodeId, ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};
use plankhill_protocol::tables::{StoreMember, StoreView};
use serde::{Deserialize, Serialize};

use crate::account::{Account, TurnState};

/// A call of one store to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCall {
    /// The epoch of the caller's view.
    pub epoch: StoreEpoch,
    /// The request.
    pub body: PeerRequest,
}

/// A request of one store to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Add a turn's reservation to the program's account, sync the account, and send it.
    Reserve {
        /// The program.
        program: ProgramId,
        /// The turn.
        turn: RequestId,
        /// Tokens that the turn generates at most.
        max_tokens: u64,
        /// The turn that this one continues: its chain must not expire while the turn runs.
        previous: Option<RequestId>,
    },
    /// Merge the update of a turn that has ended, and sync it.
    EndTurn(TurnUpdate),
    /// Send the turn and those of its ancestors that this store has.
    ReadChain {
        /// The newest turn of the chain.
        turn: RequestId,
    },
    /// Say whether this store has the turn.
    LocateTurn {
        /// The turn.
        turn: RequestId,
    },
    /// Retain the turn, and its ancestors at this store, for at least this time from now on, also after
    /// a restart.
    ExtendRetention {
        /// The turn.
        turn: RequestId,
        /// The time in milliseconds.
        retention_ms: u64,
    },
    /// Merge updates that the receiver has missed, and sync them. Without an update: say whether the
    /// receiver can be reached.
    Repair(Vec<TurnUpdate>),
    /// Store the hint that another store has missed an update of a turn. Best effort.
    StoreHint {
        /// The store that missed the update.
        node: NodeId,
        /// The program.
        program: ProgramId,
        /// The turn.
        turn: RequestId,
    },
    /// List programs of which the caller is a replica in a set, in the order of their names.
    ListPrograms {
        /// The set.
        set: StoreSet,
        /// The caller.
        store: StoreMember,
        /// The last program of the page before; None for the first page.
        after: Option<ProgramId>,
    },
    /// Send accounts and the names of retained turns.
    OutlinePrograms {
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// Send retained turns.
    FetchTurns {
        /// The turns; the answer may have fewer.
        turns: Vec<RequestId>,
    },
    /// Install this view if it is newer than the receiver's.
    InstallView(StoreView),
}

/// One of the sets of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreSet {
    /// The stores that have everything.
    Serving,
    /// The stores that take over from the serving ones.
    Next,
}

/// What one store sends to another about a turn. Merging an update twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnUpdate {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: RequestId,
    /// The turn's state in the program's account; None of a turn without a reservation.
    pub state: Option<TurnState>,
    /// The turn itself; None of a turn that is not retained.
    pub retained: Option<RetainedTurn>,
}

/// A turn that later turns can continue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedTurn {
    /// The turn.
    pub record: Arc<TurnRecord>,
    /// How much longer the turn is retained, in milliseconds. Stores send time left, not times of day:
    /// their clocks differ.
    pub remaining_ms: u64,
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The answering store's incarnation; the answer counts only for sets that name it.
    pub incarnation: Incarnation,
    /// The answer.
    pub body: PeerResponse,
}

/// The body of a store's answer to another store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The reservation is synced; the program's account at this store.
    Account(Account),
    /// The request was carried out, and synced where it asks for that.
    Done,
    /// Turns of a chain, from the newest to older ones.
    Chain {
        /// The turns.
        turns: Vec<Arc<TurnRecord>>,
        /// The next older turn, if the chain is longer than what this store has.
        rest: Option<TurnLocation>,
    },
    /// This store has the turn.
    TurnPresent,
    /// This store does not have the turn.
    TurnAbsent,
    /// Programs with digests; an empty list is the end.
    Programs(Vec<ProgramDigest>),
    /// Accounts and the names of retained turns.
    Outlines(Vec<ProgramOutline>),
    /// Retained turns.
    Turns(Vec<RetainedTurn>),
    /// The caller's view is older than this store's, which follows.
    StaleEpoch(StoreView),
    /// The caller's view is newer than this store's: the caller sends its view and calls again.
    ReceiverStale,
    /// The request cannot be carried out now: a bound is reached or the disk fails.
    Unavailable,
}

/// A program in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramDigest {
    /// The program.
    pub program: ProgramId,
    /// Digest of the program's account and of the names of its retained turns; equal at two stores that
    /// know the same.
    pub digest: u64,
}

/// What a store knows of a program, without the turns themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramOutline {
    /// The program.
    pub program: ProgramId,
    /// The program's budget account.
    pub account: Account,
    /// The names of the program's retained turns.
    pub turns: Vec<RequestId>,
}
