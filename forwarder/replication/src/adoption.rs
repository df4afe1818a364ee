//! What an heir does with each event that it finds in a record. It knows what the marks say; whether a call
//! that was out when the owner was lost has ended, nobody can tell it.

use plankhill_event_log::{Outcome, Owed};

/// What the heir itself knows of that id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finds {
    /// Nothing: a new one.
    Nothing,
    /// It holds the event in another record.
    Held,
    /// It still has a call of its own out, of a time when it led the record before.
    OwnCall,
    /// It brought an event of that id to its end, or is telling that.
    Ended,
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Adopts {
    /// Goes on as after a restart. With a call out, neither it nor the next of its key is sent before then.
    Restore { out_until: Option<f64> },
    /// One id is one event: what was done on both sides adds up, and so do the waits.
    Join { out_until: Option<f64> },
    /// Its end is told again.
    TellAgain(Outcome, Option<f64>),
    /// It waits for the outcome of the heir's own call, which nobody else had.
    Keep,
    /// It has had its end.
    Over,
}

/// The longest that a call is given to be answered, in milliseconds: for a send whose time-out was not noted.
const LONGEST: f64 = 16_000.0;

/// `now`: the moment of the adoption, in milliseconds on the clock that the heir's waits go by. No call of an
/// earlier owner begins after it: its lease ended before. One that began stays out for its time-out, and its
/// process was ended by the kernel if it stood still for longer than `stall`. Twice that: once for the stall
/// itself, once for what its timers and ours may be late.
pub fn adopts(owed: &Owed, finds: Finds, now: f64, stall: f64) -> Adopts {
    let span = owed.time_out.unwrap_or(LONGEST);
    let out_until = owed.was_out.as_ref().map(|_| now + span + 2.0 * stall);
    match (finds, owed.ended) {
        (Finds::OwnCall, _) => Adopts::Keep,
        (Finds::Ended, _) => Adopts::Over,
        // The one that is held gets its end, and one is enough.
        (Finds::Held, Some(_)) => Adopts::Over,
        (Finds::Held, None) => Adopts::Join { out_until },
        (Finds::Nothing, Some((outcome, wait))) => Adopts::TellAgain(outcome, wait),
        (Finds::Nothing, None) => Adopts::Restore { out_until },
    }
}
