//! The prompt that a target must receive for a turn: all earlier inputs and outputs of the program,
//! followed by the new input.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// The inputs and outputs of a program's completed turns.
#[derive(Debug, Default)]
pub struct History {
    bytes: Vec<u8>,
}

impl History {
    /// Digest of the body that a target must receive for a turn with `input`.
    pub fn digest_with(&self, input: &str) -> String {
        digest(&[&self.bytes, input.as_bytes()].concat())
    }

    /// Appends the input and the output events of a completed turn.
    pub fn add_turn(&mut self, input: &str, events: &[&str]) {
        self.bytes.extend_from_slice(input.as_bytes());
        for data in events {
            self.bytes.extend_from_slice(data.as_bytes());
            self.bytes.push(b'\n');
        }
    }
}

/// Digest of a body, short enough to be repeated in each event.
pub fn digest(body: &[u8]) -> String {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    format!("{:016x}", hasher.finish())
}
