//! A chain of turns that a coordinator has read.

use std::sync::Arc;

use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};

use crate::node::chain_segment::record_bytes;
use crate::node::state::ChainReservation;

/// A chain that was read completely.
pub(super) struct Chain {
    /// Inputs and outputs of all turns, concatenated from oldest to newest.
    pub(super) history: Arc<[u8]>,
    /// The newest turn of each part of the chain that belongs to one program, newest first.
    pub(super) parts: Vec<TurnLocation>,
    /// Retention time of the newest turn after its end, in milliseconds.
    pub(super) retention_ms: u64,
    /// The memory for the chain, which is held until it has been sent; `None` for an empty chain.
    pub(super) memory: Option<ChainReservation>,
}

impl Chain {
    /// The chain of a turn that continues no other turn.
    pub(super) fn empty() -> Self {
        Chain::from_turns(&[], None)
    }

    /// Creates a chain from its turns, the newest first.
    pub(super) fn from_turns(turns: &[Arc<TurnRecord>], memory: Option<ChainReservation>) -> Self {
        Chain {
            history: join_history(turns),
            parts: newest_of_programs(turns),
            retention_ms: turns.first().map_or(0, |newest| newest.retention_ms),
            memory,
        }
    }
}

/// The outcome of reading a chain.
pub(super) enum ChainLookup {
    Found(Chain),
    /// The newest turn does not exist: it is absent from a read quorum of the stores.
    NotFound,
    /// Too few stores answered, or the chain is incomplete or too long.
    Unavailable,
}

/// The newest turn of each run of turns of one program; `turns` has the newest first.
fn newest_of_programs(turns: &[Arc<TurnRecord>]) -> Vec<TurnLocation> {
    let mut newest: Vec<TurnLocation> = Vec::new();
    for record in turns {
        let part = newest.last();
        if part.is_none_or(|part| part.program != record.program) {
            newest.push(TurnLocation {
                turn: record.turn.clone(),
                program: record.program.clone(),
            });
        }
    }
    newest
}

/// Concatenates inputs and outputs, oldest first; `turns` has the newest first.
fn join_history(turns: &[Arc<TurnRecord>]) -> Arc<[u8]> {
    let bytes = turns.iter().map(|turn| record_bytes(turn)).sum();
    // Filled in place: the conversion of a vector would copy the history once more.
    let mut history: Arc<[u8]> = std::iter::repeat_n(0, bytes).collect();
    let mut unfilled = Arc::get_mut(&mut history).expect("a new history has one owner");
    for turn in turns.iter().rev() {
        for part in [&turn.input, &turn.output] {
            let (target, rest) = unfilled.split_at_mut(part.len());
            target.copy_from_slice(part);
            unfilled = rest;
        }
    }
    history
}
