//! What became of turns and is not known to be on disk: it is in memory, and a write of it is under way or has failed.

use std::collections::HashMap;

use plankhill_protocol::ids::{ProgramId, RequestId};

/// One write of a turn's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StateWrite {
    program: ProgramId,
    turn: RequestId,
    number: u64,
}

/// The newest write of each turn whose state may not be on disk. Its size is bounded by the accounts in memory.
#[derive(Debug, Default)]
pub(super) struct UnwrittenStates {
    newest: HashMap<(ProgramId, RequestId), u64>,
    last: u64,
}

impl UnwrittenStates {
    /// Whether the state of a turn may not be on disk.
    pub(super) fn contains(&self, program: &ProgramId, turn: &RequestId) -> bool {
        !self.newest.is_empty() && self.newest.contains_key(&(program.clone(), turn.clone()))
    }

    /// A write of all that is known of a turn begins.
    pub(super) fn begin(&mut self, program: &ProgramId, turn: &RequestId) -> StateWrite {
        self.last += 1;
        self.newest
            .insert((program.clone(), turn.clone()), self.last);
        StateWrite {
            program: program.clone(),
            turn: turn.clone(),
            number: self.last,
        }
    }

    /// A write has reached the disk. One that was begun later may still be under way.
    pub(super) fn written(&mut self, write: StateWrite) {
        let key = (write.program, write.turn);
        if self.newest.get(&key) == Some(&write.number) {
            self.newest.remove(&key);
        }
    }
}
