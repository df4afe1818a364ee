//! State machine of a control group that stores the leases of connection quotas. The first byte of
//! a command is a tag that identifies the state machine of the command.

use plankhill_connection_quotas::leases::{decode, LeaseTable};
use plankhill_raft_groups::{CorruptSnapshot, Incarnation, StateMachine, Term};

/// First byte of a command of connection quotas.
const COMMAND_TAG: u8 = b'p';

/// Puts the tag before an encoded command.
pub fn tag_command(command: Vec<u8>) -> Vec<u8> {
    let mut tagged = command;
    tagged.insert(0, COMMAND_TAG);
    tagged
}

/// Removes the tag; `None` if the tag is not that of connection quotas.
pub fn untag_command(tagged: &[u8]) -> Option<&[u8]> {
    match tagged.split_first() {
        Some((&COMMAND_TAG, command)) => Some(command),
        _ => None,
    }
}

#[derive(Default)]
pub struct LeaseStateMachine {
    leases: LeaseTable,
}

impl StateMachine for LeaseStateMachine {
    fn apply(&mut self, _: Incarnation, term: Term, command: &[u8]) {
        if let Some(command) = untag_command(command).and_then(decode) {
            // An invalid command changes nothing, on this instance as on every other.
            let _ = self.leases.apply(term.0, &command);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.leases.snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot> {
        self.leases = LeaseTable::restore(snapshot).map_err(|_| CorruptSnapshot)?;
        Ok(())
    }

    fn size(&self) -> usize {
        self.leases.size()
    }
}

#[cfg(test)]
mod wire_format_tests;
