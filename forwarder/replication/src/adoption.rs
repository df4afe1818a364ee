//! What an heir does with each event that it finds in a record. It knows what the marks say; whether a call
//! that was out when the owner was lost has ended, nobody can tell it.

use plankhill_event_log::{Outcome, PendingEvent};

/// What the heir itself knows of that id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalKnowledge {
    /// Nothing: a new one.
    Unknown,
    /// It holds the event in another record.
    Pending,
    /// It still has a call of its own out, of a time when it led the record before.
    OwnAttemptInFlight,
    /// It brought an event of that id to its end, or is telling that.
    Completed,
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum AdoptionAction {
    /// Goes on as after a restart. With a call out, neither it nor the next of its key is sent before then.
    Restore { in_flight_until: Option<f64> },
    /// One id is one event: what was done on both sides adds up, and so do the waits.
    Merge { in_flight_until: Option<f64> },
    /// Its end is told again.
    NotifyAgain(Outcome, Option<f64>),
    /// It waits for the outcome of the heir's own call, which nobody else had.
    AwaitOwnAttempt,
    /// It has had its end.
    Discard,
}

/// The longest that a call is given to be answered, in milliseconds: for a send whose time-out was not noted.
const LONGEST: f64 = 16_000.0;

/// `now`: the moment of the adoption, in milliseconds on the clock that the heir's waits go by. No call of an
/// earlier owner begins after it: its lease ended before. One that began stays out for its time-out, and its
/// process was ended by the kernel if it stood still for longer than `stall`. Twice that: once for the stall
/// itself, once for what its timers and ours may be late.
pub fn plan_adoption(
    owed: &PendingEvent,
    finds: LocalKnowledge,
    now: f64,
    stall: f64,
) -> AdoptionAction {
    let span = owed.timeout.unwrap_or(LONGEST);
    let out_until = owed.in_flight.as_ref().map(|_| now + span + 2.0 * stall);
    match (finds, owed.outcome) {
        (LocalKnowledge::OwnAttemptInFlight, _) => AdoptionAction::AwaitOwnAttempt,
        (LocalKnowledge::Completed, _) => AdoptionAction::Discard,
        // The one that is held gets its end, and one is enough.
        (LocalKnowledge::Pending, Some(_)) => AdoptionAction::Discard,
        (LocalKnowledge::Pending, None) => AdoptionAction::Merge {
            in_flight_until: out_until,
        },
        (LocalKnowledge::Unknown, Some((outcome, wait))) => {
            AdoptionAction::NotifyAgain(outcome, wait)
        }
        (LocalKnowledge::Unknown, None) => AdoptionAction::Restore {
            in_flight_until: out_until,
        },
    }
}
