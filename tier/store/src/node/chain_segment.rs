//! Consecutive turns of a chain, as read from one store.

use std::sync::Arc;

use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};

/// Consecutive turns of a chain, newest first.
#[derive(Default)]
pub(in crate::node) struct ChainSegment {
    pub(in crate::node) turns: Vec<Arc<TurnRecord>>,
    /// The next older turn, if the chain has more turns.
    pub(in crate::node) rest: Option<TurnLocation>,
}

impl ChainSegment {
    /// Total bytes of the inputs and outputs of all turns.
    pub(in crate::node) fn bytes(&self) -> usize {
        self.turns.iter().map(|turn| record_bytes(turn)).sum()
    }
}

/// Bytes of a turn's input and output.
pub(in crate::node) fn record_bytes(record: &TurnRecord) -> usize {
    record.input.len() + record.output.len()
}
