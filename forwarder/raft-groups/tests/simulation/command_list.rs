//! A state machine that stores all commands.

use plankhill_raft_groups::{CorruptSnapshot, Incarnation, StateMachine, Term};

/// Stores all commands.
#[derive(Default)]
pub struct CommandList(Vec<u64>);

impl StateMachine for CommandList {
    fn apply(&mut self, _: Incarnation, _: Term, command: &[u8]) {
        self.0
            .push(u64::from_le_bytes(command[..8].try_into().unwrap()));
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.iter().flat_map(|c| c.to_le_bytes()).collect()
    }
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot> {
        let all = snapshot.chunks(8).map(|c| {
            c.try_into()
                .map(u64::from_le_bytes)
                .map_err(|_| CorruptSnapshot)
        });
        self.0 = all.collect::<Result<_, _>>()?;
        Ok(())
    }
    fn size(&self) -> usize {
        self.0.len() * 8
    }
}

pub fn decode_commands(state: &[u8]) -> Vec<u64> {
    state
        .chunks(8)
        .map(|c| u64::from_le_bytes(c.try_into().unwrap()))
        .collect()
}
