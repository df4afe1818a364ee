//! State machine of a control group that stores lists and broadcasts. The first byte of a command
//! is a tag that identifies the state machine of the command.

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

/// Decodes a command; `None` if its tag is not that of fan-out, or it cannot be decoded.
pub fn decode_command(bytes: &[u8]) -> Option<Command> {
    match bytes.split_first() {
        Some((&COMMAND_TAG, command)) => Command::from_bytes(command),
        _ => None,
    }
}

/// Decodes a snapshot; `None` if that fails.
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
