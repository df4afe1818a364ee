//! The budget account of a program: what each of its turns may still generate or has handed out.
//!
//! Accounts of several stores are merged in any order and any number of times with the same result.

use std::collections::BTreeMap;

use plankhill_protocol::ids::RequestId;
use plankhill_protocol::store_calls::Reservation;
use serde::{Deserialize, Serialize};

/// Turns that one account holds at most; a program with more gets no further turn.
pub const MAX_TURNS: usize = 8_192;

/// What is known of one turn. Later ones replace earlier ones when two accounts are merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TurnState {
    /// It may run and counts at its most.
    Reserved {
        /// Tokens that it generates at most.
        most: u64,
    },
    /// It did not fit and never runs.
    Refused,
    /// It is over.
    Settled {
        /// Tokens handed to the client.
        tokens: u64,
    },
}

impl TurnState {
    /// Tokens that count against the budget.
    pub fn tokens(self) -> u64 {
        match self {
            TurnState::Reserved { most } => most,
            TurnState::Refused => 0,
            TurnState::Settled { tokens } => tokens,
        }
    }
}

/// All turns of one program that a store knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    turns: BTreeMap<RequestId, TurnState>,
}

/// Whether a turn may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It fits.
    Granted,
    /// It does not fit, or was refused before.
    Spent,
    /// It is over already: the question is a late repeat.
    Over,
}

impl Account {
    /// Takes in what is known of a turn. True if that was news.
    pub fn merge(&mut self, turn: &RequestId, state: TurnState) -> bool {
        match self.turns.get_mut(turn) {
            Some(held) if *held >= state => false,
            Some(held) => {
                *held = state;
                true
            }
            None => {
                self.turns.insert(turn.clone(), state);
                true
            }
        }
    }

    /// Takes in all that another store knows.
    pub fn merge_all(&mut self, other: &Account) {
        for (turn, state) in &other.turns {
            self.merge(turn, *state);
        }
    }

    /// What is known of a turn.
    pub fn state(&self, turn: &RequestId) -> Option<TurnState> {
        self.turns.get(turn).copied()
    }

    /// All turns, in the order of their names.
    pub fn turns(&self) -> impl Iterator<Item = (&RequestId, TurnState)> {
        self.turns.iter().map(|(turn, state)| (turn, *state))
    }

    /// Turns held.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Whether the turn may run, every other turn counted at what is known of it. The account must be the
    /// union of what enough stores know, each with this turn's reservation in it.
    pub fn verdict(&self, turn: &RequestId, reservation: &Reservation) -> Verdict {
        match self.state(turn) {
            Some(TurnState::Refused) => return Verdict::Spent,
            Some(TurnState::Settled { .. }) => return Verdict::Over,
            Some(TurnState::Reserved { .. }) | None => {}
        }
        let others = self.turns().filter(|(other, _)| *other != turn);
        let tokens = others.fold(0_u64, |sum, (_, state)| sum.saturating_add(state.tokens()));
        if tokens.saturating_add(reservation.max_tokens) <= reservation.budget {
            Verdict::Granted
        } else {
            Verdict::Spent
        }
    }
}
