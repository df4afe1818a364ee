//! What the control group keeps. Its commands begin with a sign that says whom they concern.

use plankhill_fanout::{Command, FanoutState};
use plankhill_raft_groups::{CorruptSnapshot, Incarnation, StateMachine, Term};

/// Before a command of fan-out.
const FANOUT: u8 = b'f';

#[derive(Default)]
pub struct Control(FanoutState);

pub fn to_bytes(command: &Command) -> Vec<u8> {
    let mut bytes = vec![FANOUT];
    bytes.extend(command.to_bytes());
    bytes
}

/// None if it concerns others, or is no command.
pub fn from_bytes(bytes: &[u8]) -> Option<Command> {
    let (sign, command) = bytes.split_first()?;
    Some(*sign)
        .filter(|sign| *sign == FANOUT)
        .and_then(|_| Command::from_bytes(command))
}

pub fn state(bytes: &[u8]) -> Option<FanoutState> {
    FanoutState::from_bytes(bytes)
}

impl StateMachine for Control {
    fn apply(&mut self, _: Incarnation, _: Term, command: &[u8]) {
        if let Some(command) = from_bytes(command) {
            self.0.apply(command);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_bytes()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot> {
        self.0 = state(snapshot).ok_or(CorruptSnapshot)?;
        Ok(())
    }

    fn size(&self) -> usize {
        self.0.size()
    }
}

#[cfg(test)]
mod wire_format_tests;
