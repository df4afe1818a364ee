//! What the control group's log keeps: the book of leases. The first byte of a command says whose it is.

use plankhill_connection_quotas::leases::{decode, LeaseTable};
use plankhill_raft_groups::{CorruptSnapshot, Incarnation, StateMachine, Term};

/// Of a command that pools propose.
pub const OF_POOLS: u8 = b'p';

/// A command's bytes, with whose it is before them.
pub fn framed(command: Vec<u8>) -> Vec<u8> {
    let mut framed = command;
    framed.insert(0, OF_POOLS);
    framed
}

/// A command of pools without its frame.
pub fn of_pools(command: &[u8]) -> Option<&[u8]> {
    command
        .split_first()
        .filter(|(first, _)| **first == OF_POOLS)
        .map(|(_, rest)| rest)
}

#[derive(Default)]
pub struct Control {
    book: LeaseTable,
}

impl StateMachine for Control {
    fn apply(&mut self, _: Incarnation, term: Term, command: &[u8]) {
        if let Some(command) = of_pools(command).and_then(decode) {
            // One that does not fit changes nothing, here as on every other instance.
            let _ = self.book.apply(term.0, &command);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.book.snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot> {
        self.book = LeaseTable::restore(snapshot).map_err(|_| CorruptSnapshot)?;
        Ok(())
    }

    fn size(&self) -> usize {
        self.book.size()
    }
}

#[cfg(test)]
mod wire_format_tests;
