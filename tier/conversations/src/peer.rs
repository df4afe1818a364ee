//! Messages between stores.
//!
//! Every call contains the epoch of the caller's view. A store accepts only calls of its own epoch, so
//! that replicas of an older view cannot acknowledge a write that the newer view's replicas do not
//! have. Repairs, hints and views are accepted in any epoch: they only add information to a store.

use std::sync::Arc;

use plankhill_protocol::appended_field::none_where_missing;
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
    /// Add a turn's reservation to the program's account, sync the account to disk, and return it.
    Reserve {
        /// The program.
        program: ProgramId,
        /// The turn.
        turn: RequestId,
        /// Maximum number of tokens that the turn generates.
        max_tokens: u64,
        /// The turn that this one continues: its chain must not expire while the turn runs.
        previous: Option<RequestId>,
    },
    /// Merge the update of a turn that has ended, and sync it to disk.
    EndTurn(TurnUpdate),
    /// Return the turn and those of its ancestors that the receiver has.
    ReadChain {
        /// The newest turn of the chain.
        turn: RequestId,
        /// Maximum bytes of the turns in the reply; `None` for the maximum of a chain. Stores of versions
        /// without this field do not send it, and decode a request only up to the previous field.
        #[serde(deserialize_with = "none_where_missing")]
        max_bytes: Option<u64>,
    },
    /// Return whether the receiver has the turn.
    LocateTurn {
        /// The turn.
        turn: RequestId,
    },
    /// Retain the turn, and its ancestors at the receiver, for at least this time from now on. The
    /// extension survives a restart of the receiver.
    ExtendRetention {
        /// The turn.
        turn: RequestId,
        /// The retention time in milliseconds.
        retention_ms: u64,
    },
    /// Merge updates that the receiver has missed, and sync them to disk. An empty list checks whether
    /// the receiver can be reached.
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
    /// List the programs of which the caller is a replica in a set, in the order of their ids.
    ListPrograms {
        /// The set.
        set: StoreSet,
        /// The caller.
        store: StoreMember,
        /// The last program of the previous page; `None` for the first page.
        after: Option<ProgramId>,
    },
    /// Return the accounts of programs, and the ids and retention times of their retained turns.
    OutlinePrograms {
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// Return retained turns.
    FetchTurns {
        /// The turns; the reply may contain fewer.
        turns: Vec<RequestId>,
    },
    /// Install this view if it is newer than the receiver's.
    InstallView(StoreView),
}

/// One of the store sets of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreSet {
    /// The stores that have all data.
    Serving,
    /// The stores that take over from the serving ones.
    Next,
}

/// An update of a turn that one store sends to another. Merging an update is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnUpdate {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: RequestId,
    /// The turn's state in the program's account; `None` for a turn without a reservation.
    pub state: Option<TurnState>,
    /// The turn itself; `None` for a turn that is not retained.
    pub retained: Option<RetainedTurn>,
}

/// A turn that later turns can continue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedTurn {
    /// The turn.
    pub record: Arc<TurnRecord>,
    /// The remaining retention time in milliseconds. Stores send remaining times instead of times of
    /// day, because their clocks differ.
    pub remaining_ms: u64,
}

/// The reply to a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The incarnation of the replying store; the reply counts only for sets that contain this
    /// incarnation.
    pub incarnation: Incarnation,
    /// The response.
    pub body: PeerResponse,
}

/// The body of a store's reply to another store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The reservation is synced to disk; contains the program's account at this store.
    Account(Account),
    /// The request was carried out, and synced to disk if the request requires that.
    Done,
    /// Turns of a chain, from newest to oldest.
    Chain {
        /// The turns; none if already the first one exceeds the maximum of the request.
        turns: Vec<Arc<TurnRecord>>,
        /// The next older turn, if the chain continues beyond the turns that this store has.
        rest: Option<TurnLocation>,
    },
    /// This store has the turn.
    TurnPresent,
    /// This store does not have the turn.
    TurnAbsent,
    /// Programs with their digests; an empty list marks the end of the listing.
    Programs(Vec<ProgramDigest>),
    /// Accounts of programs and the ids of their retained turns.
    Outlines {
        /// The programs.
        programs: Vec<ProgramOutline>,
        /// For each program the remaining retention times of its turns in milliseconds, in the order of
        /// `turns`. Stores of versions without this field do not send it, and decode a reply only up to
        /// the previous field.
        #[serde(deserialize_with = "none_where_missing")]
        remaining_ms: Option<Vec<Vec<u64>>>,
    },
    /// Retained turns.
    Turns(Vec<RetainedTurn>),
    /// The caller's view is older than this store's view, which is included.
    StaleEpoch(StoreView),
    /// The caller's view is newer than this store's: the caller has to send its view and retry.
    ReceiverStale,
    /// The request cannot be carried out now: a limit is reached or the disk fails.
    Unavailable,
}

/// A program in a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramDigest {
    /// The program.
    pub program: ProgramId,
    /// Digest of the program's account and of the ids of its retained turns; equal at two stores that
    /// have the same account and turns.
    pub digest: u64,
}

/// A store's state of a program, without the content of the turns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramOutline {
    /// The program.
    pub program: ProgramId,
    /// The program's budget account.
    pub account: Account,
    /// The ids of the program's retained turns.
    pub turns: Vec<RequestId>,
}
