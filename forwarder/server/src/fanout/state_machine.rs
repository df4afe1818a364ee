//! State machine of the control group where it keeps lists and broadcasts. The first byte of a command says whose it is.

use plankhill_fanout::{Command, FanoutState};
use plankhill_raft_groups::{CorruptSnapshot, Incarnation, StateMachine, Term};

/// First byte of a command of fan-out.
const COMMAND_TAG: u8 = b'f';

#[derive(Default)]
pub struct FanoutStateMachine(FanoutState);

pub fn encode_command(command: &Command) -> Vec<u8> {
    let mut bytes = vec![COMMAND_TAG];
    bytes.extend(command.to_bytes());
    bytes
}

/// None if the command is another's, or cannot be decoded.
pub fn decode_command(bytes: &[u8]) -> Option<Command> {
    match bytes.split_first() {
        Some((&COMMAND_TAG, command)) => Command::from_bytes(command),
        _ => None,
    }
}

/// None if the snapshot cannot be decoded.
pub fn decode_snapshot(bytes: &[u8]) -> Option<FanoutState> {
    FanoutState::from_bytes(bytes)
}

impl StateMachine for FanoutStateMachine {
    fn apply(&mut self, _: Incarnation, _: Term, command: &[u8]) {
        if let Some(command) = decode_command(command) {
            self.0.apply(command);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_bytes()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot> {
        self.0 = decode_snapshot(snapshot).ok_or(CorruptSnapshot)?;
        Ok(())
    }

    fn size(&self) -> usize {
        self.0.size()
    }
}

#[cfg(test)]
mod wire_format_tests;
