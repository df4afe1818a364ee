//! The turns whose account states may not be on disk: the write of the state is in progress or has failed.

use std::collections::HashMap;

use plankhill_protocol::ids::{ProgramId, RequestId};

/// Identifies one write of a turn's account state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::node) struct StateWrite {
    program: ProgramId,
    turn: RequestId,
    number: u64,
}

/// The newest write of each turn whose account state may not be on disk. Bounded by the accounts in memory.
#[derive(Debug, Default)]
pub(super) struct UnwrittenStates {
    newest: HashMap<(ProgramId, RequestId), u64>,
    last_number: u64,
}

impl UnwrittenStates {
    /// Returns whether the state of a turn may be missing on disk.
    pub(super) fn contains(&self, program: &ProgramId, turn: &RequestId) -> bool {
        if self.newest.is_empty() {
            return false;
        }
        self.newest.contains_key(&(program.clone(), turn.clone()))
    }

    /// Records that a write of a turn's merged account state begins.
    pub(super) fn begin_write(&mut self, program: &ProgramId, turn: &RequestId) -> StateWrite {
        self.last_number += 1;
        self.newest
            .insert((program.clone(), turn.clone()), self.last_number);
        StateWrite {
            program: program.clone(),
            turn: turn.clone(),
            number: self.last_number,
        }
    }

    /// Records that a write is synced. A write that began later may still be in progress.
    pub(super) fn finish_write(&mut self, write: StateWrite) {
        let key = (write.program, write.turn);
        if self.newest.get(&key) == Some(&write.number) {
            self.newest.remove(&key);
        }
    }
}
