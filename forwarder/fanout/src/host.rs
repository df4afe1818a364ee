//! What a station and its host say to each other.

use plankhill_decisions::interface::{EventId, Ms};

use crate::command::{Outcome, Refusal};
use crate::names::*;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// The event is to be handed to the module, once written down as any other; [`crate::Station::fields`] has the rest.
    HandIn {
        event: EventId,
        subscriber: Subscriber,
        position: Position,
        patience_ends: Ms,
    },
    /// The copy's end is told as a notice; [`crate::Station::over`] follows once that was heard.
    TellEnd {
        event: EventId,
        subscriber: Subscriber,
        position: Position,
        outcome: Outcome,
    },
    /// The attempt counts: 202.
    Took(u64),
    /// It surely does not count, and never will.
    Refused(u64, Refusal),
    AllEnded(BroadcastId, [u32; 3]),
}

/// What only the host knows.
pub trait Host {
    /// Whether the ledger still owes the event or a notice of its end.
    fn owes(&self, event: &EventId) -> bool;
}
