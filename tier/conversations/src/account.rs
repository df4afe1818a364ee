//! The token budget account of a program: the tokens that each turn has reserved or generated.
//!
//! Each replica of a program owns an account of the program, and changes it when a turn reserves or
//! commits tokens. Accounts are merged as a state-based CRDT: a turn's state only increases in the
//! order of [`TurnState`], so that merging the accounts of several stores gives the same result in any
//! order, and merging an account again changes nothing.

use std::collections::BTreeMap;

use plankhill_protocol::ids::RequestId;
use plankhill_protocol::store_calls::Reservation;
use serde::{Deserialize, Serialize};

/// Maximum number of turns in one account; beyond it a program gets no further reservation.
pub const MAX_ACCOUNT_TURNS: usize = 8_192;

/// The state of one turn in an account. A merge keeps the greater state: a rejection replaces a
/// reservation, and a commit replaces both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TurnState {
    /// The turn may be running; all that it may generate is charged.
    Reserved {
        /// Maximum number of tokens that the turn generates.
        max_tokens: u64,
    },
    /// The turn did not fit into the budget, and never runs. Written by earlier versions of the stores
    /// only: a turn that was rejected is committed with 0 tokens.
    Rejected,
    /// The turn has ended.
    Committed {
        /// Tokens that were sent to the client.
        tokens: u64,
    },
}

impl TurnState {
    /// Tokens that are charged to the budget for the turn.
    pub fn charged_tokens(self) -> u64 {
        match self {
            TurnState::Reserved { max_tokens } => max_tokens,
            TurnState::Rejected => 0,
            TurnState::Committed { tokens } => tokens,
        }
    }
}

/// The states of all turns of one program that are known to a store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    turns: BTreeMap<RequestId, TurnState>,
}

/// The decision whether a turn may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The turn fits into the budget.
    Granted,
    /// The turn does not fit into the budget, or was rejected before.
    Exhausted,
    /// The turn has ended already: the request is a delayed duplicate.
    AlreadyEnded,
}

impl Account {
    /// Merges a state of a turn into the account. Returns whether the account changed.
    pub fn merge(&mut self, turn: &RequestId, state: TurnState) -> bool {
        match self.turns.get_mut(turn) {
            Some(known) if *known >= state => false,
            Some(known) => {
                *known = state;
                true
            }
            None => {
                self.turns.insert(turn.clone(), state);
                true
            }
        }
    }

    /// Merges all states of another store's account of the same program.
    pub fn merge_all(&mut self, other: &Account) {
        for (turn, state) in &other.turns {
            self.merge(turn, *state);
        }
    }

    /// The state of a turn; `None` if the account does not contain the turn.
    pub fn state(&self, turn: &RequestId) -> Option<TurnState> {
        self.turns.get(turn).copied()
    }

    /// All turns with their states, in the order of their ids.
    pub fn turns(&self) -> impl Iterator<Item = (&RequestId, TurnState)> {
        self.turns.iter().map(|(turn, state)| (turn, *state))
    }

    /// Number of turns in the account.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether the account contains no turn.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Decides whether a turn may run, with every other turn charged according to its state.
    ///
    /// Safe only on the merged accounts of a write quorum, each of which contains this turn's
    /// reservation: at least one of these accounts then contains both of two turns that are decided
    /// concurrently, so that they cannot both take the last tokens.
    pub fn decide(&self, turn: &RequestId, reservation: &Reservation) -> BudgetDecision {
        match self.state(turn) {
            Some(TurnState::Rejected) => return BudgetDecision::Exhausted,
            Some(TurnState::Committed { .. }) => return BudgetDecision::AlreadyEnded,
            Some(TurnState::Reserved { .. }) | None => {}
        }
        let charged = self.tokens_charged_to_others(turn);
        if charged.saturating_add(reservation.max_tokens) <= reservation.budget {
            BudgetDecision::Granted
        } else {
            BudgetDecision::Exhausted
        }
    }

    fn tokens_charged_to_others(&self, turn: &RequestId) -> u64 {
        self.turns()
            .filter(|(other, _)| *other != turn)
            .fold(0, |sum, (_, state)| {
                sum.saturating_add(state.charged_tokens())
            })
    }
}
