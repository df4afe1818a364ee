//! Identifies the stream of a turn over all attempts of its client.
//!
//! Every attempt of a client has a `Request-Id` of its own, so an attempt that resumes a stream does not
//! name the one before. What they have in common is the turn itself: its program and session, the turn
//! that it continues, its path and its input.

use std::hash::Hasher;

use plankhill_protocol::ids::{ProgramId, RequestId};
use siphasher::sip128::{Hasher128, SipHasher24};

/// What all attempts of a client at one turn have in common.
#[derive(Clone, Copy, Debug)]
pub struct TurnIdentity<'request> {
    /// The program.
    pub program: &'request ProgramId,
    /// The hash of the session, if the client has stated one.
    pub session: Option<u64>,
    /// The turn that this one continues.
    pub previous: Option<&'request RequestId>,
    /// The path and query.
    pub path: &'request str,
    /// The input that the client sent.
    pub input: &'request [u8],
}

/// The key under which the events of a turn's stream are stored. All proxies derive the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamKey(u128);

impl StreamKey {
    /// Derives the key of a turn.
    pub fn new(turn: &TurnIdentity<'_>) -> Self {
        let previous = turn.previous.map_or("", RequestId::as_str);
        let mut hasher = SipHasher24::new();
        write_field(&mut hasher, turn.program.as_str().as_bytes());
        hasher.write(&[u8::from(turn.session.is_some())]);
        hasher.write(&turn.session.unwrap_or_default().to_le_bytes());
        write_field(&mut hasher, previous.as_bytes());
        write_field(&mut hasher, turn.path.as_bytes());
        write_field(&mut hasher, turn.input);
        StreamKey(hasher.finish128().as_u128())
    }

    /// The program under which the stores keep the events of one generation.
    pub fn program(self, generation: u32) -> ProgramId {
        ProgramId::from(format!("stream/{:032x}/{generation}", self.0).as_str())
    }

    /// The turn as which the stores keep one event of a generation.
    pub fn event(self, generation: u32, event_id: u64) -> RequestId {
        RequestId::from(format!("stream/{:032x}/{generation}/{event_id}", self.0).as_str())
    }
}

/// Hashes a field with its length, so that fields with other boundaries have another hash.
fn write_field(hasher: &mut SipHasher24, field: &[u8]) {
    hasher.write(&(field.len() as u64).to_le_bytes());
    hasher.write(field);
}
