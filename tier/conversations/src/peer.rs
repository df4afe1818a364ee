//! What stores ask of each other.

use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, NodeId, ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};
use plankhill_protocol::tables::{StoreMember, StoreView};
use serde::{Deserialize, Serialize};

use crate::account::{Account, TurnState};

/// A call of one store to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCall {
    /// The caller's view. A store refuses calls of older views than its own.
    pub epoch: StoreEpoch,
    /// What is asked.
    pub body: PeerRequest,
}

/// What one store asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Take in the turn's reservation, sync it, and tell all that is known of the program.
    Reserve {
        /// The program.
        program: ProgramId,
        /// The turn.
        turn: RequestId,
        /// Tokens that it generates at most.
        most: u64,
        /// Its `Previous`: that chain is not to expire while the turn runs.
        previous: Option<RequestId>,
    },
    /// Take in what became of a turn, and sync it.
    End(EndedTurn),
    /// Send the turn and those of its ancestors that are here.
    Chain {
        /// The newest turn of the chain.
        turn: RequestId,
    },
    /// Say whether the turn is here.
    Locate {
        /// The turn.
        turn: RequestId,
    },
    /// Keep the turn and its ancestors that are here at least this long from now on, also after a restart.
    Extend {
        /// The turn.
        turn: RequestId,
        /// How long, in milliseconds.
        keep_ms: u64,
    },
    /// Take in what was missed, and sync it.
    Repair(Vec<EndedTurn>),
    /// Keep in mind that a store has missed what became of a turn. Best effort.
    KeepHint {
        /// The store that missed it.
        node: NodeId,
        /// The program.
        program: ProgramId,
        /// The turn.
        turn: RequestId,
    },
    /// List the programs that belong to the caller in a set, in the order of their names.
    ListPrograms {
        /// The set.
        set: StoreSet,
        /// The caller.
        store: StoreMember,
        /// Where to go on; None to begin.
        after: Option<ProgramId>,
    },
    /// Send accounts and the names of turns.
    OutlinePrograms {
        /// Which.
        programs: Vec<ProgramId>,
    },
    /// Send turns.
    FetchTurns {
        /// Which; the answer may hold fewer.
        turns: Vec<RequestId>,
    },
    /// Take this view if it is newer.
    TakeView(StoreView),
}

/// One of the sets of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreSet {
    /// Those that hold everything.
    Serving,
    /// Those that take over.
    Next,
}

/// What became of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: RequestId,
    /// What its budget account holds of it; None without a reservation.
    pub state: Option<TurnState>,
    /// What is kept of it.
    pub kept: Option<KeptTurn>,
}

/// A turn as it goes from store to store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptTurn {
    /// The turn.
    pub record: Arc<TurnRecord>,
    /// How much longer it is kept, in milliseconds.
    pub remaining_ms: u64,
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The answering life of the store; it counts only for the sets that name this life.
    pub incarnation: Incarnation,
    /// The answer.
    pub body: PeerResponse,
}

/// What a store answers to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Synced; all that is known of the program.
    Account(Account),
    /// Done, and synced where something was to be kept.
    Done,
    /// Turns from the newest to older ones.
    Chain {
        /// The turns.
        turns: Vec<Arc<TurnRecord>>,
        /// Where to go on, if the chain is longer than what is here.
        rest: Option<TurnLocation>,
    },
    /// The turn is here.
    Located,
    /// The turn is not here.
    NotHere,
    /// Programs with a digest of all that is known of each; an empty list is the end.
    Programs(Vec<ProgramDigest>),
    /// Accounts and the names of turns.
    Outlines(Vec<ProgramOutline>),
    /// Turns.
    Turns(Vec<KeptTurn>),
    /// The caller's view is older than this one.
    OldEpoch(StoreView),
    /// The caller's view is newer: the caller sends it and asks again.
    Behind,
    /// It can't be done now: a bound is reached or the disk fails.
    Unable,
}

/// A program in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramDigest {
    /// The program.
    pub program: ProgramId,
    /// The same at two stores that hold the same.
    pub digest: u64,
}

/// What a store knows of a program, without the turns themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramOutline {
    /// The program.
    pub program: ProgramId,
    /// Its budget.
    pub account: Account,
    /// The turns kept of it.
    pub turns: Vec<RequestId>,
}
