//! Which turns' account states are in memory and not known to be on disk: a write of them is in progress
//! or has failed.

use std::collections::HashMap;

use plankhill_protocol::ids::{ProgramId, RequestId};

/// One write of a turn's account state.
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
    /// Whether the state of a turn may not be on disk.
    pub(super) fn contains(&self, program: &ProgramId, turn: &RequestId) -> bool {
        if self.newest.is_empty() {
            return false;
        }
        self.newest.contains_key(&(program.clone(), turn.clone()))
    }

    /// Begins a write of all that is known of a turn.
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
