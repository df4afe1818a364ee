//! The prompt that a target must receive for a turn: all inputs and outputs before, and the new
//! input.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// The inputs and outputs of a program so far.
#[derive(Debug, Default)]
pub struct History {
    bytes: Vec<u8>,
}

impl History {
    /// Digest of the body that a target receives for a turn with `input`.
    pub fn digest_with(&self, input: &str) -> String {
        digest(&[&self.bytes, input.as_bytes()].concat())
    }

    /// Adds a turn that was answered completely.
    pub fn add(&mut self, input: &str, events: &[&str]) {
        self.bytes.extend_from_slice(input.as_bytes());
        for data in events {
            self.bytes.extend_from_slice(data.as_bytes());
            self.bytes.push(b'\n');
        }
    }
}

/// Digest of a body, short enough to stand in each event.
pub fn digest(body: &[u8]) -> String {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    format!("{:016x}", hasher.finish())
}
