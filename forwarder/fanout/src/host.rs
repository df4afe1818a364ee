//! What a station and its host say to each other.

use plankhill_decisions::interface::{EventId, Ms};

use crate::command::{Outcome, Rejection};
use crate::names::*;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum HostRequest {
    /// The event is to be handed to the module, once written down as any other; [`crate::LocalInstance::fields`] has the rest.
    Submit {
        event: EventId,
        subscriber: Subscriber,
        position: Position,
        deadline: Ms,
    },
    /// The copy's end is told as a notice; [`crate::LocalInstance::on_outcome_acknowledged`] follows once that was heard.
    NotifyOutcome {
        event: EventId,
        subscriber: Subscriber,
        position: Position,
        outcome: Outcome,
    },
    /// The attempt counts: 202.
    Accepted(u64),
    /// It surely does not count, and never will.
    Rejected(u64, Rejection),
    BroadcastCompleted(BroadcastId, [u32; 3]),
}

/// What only the host knows.
pub trait Host {
    /// Whether the ledger still owes the event or a notice of its end.
    fn is_pending(&self, event: &EventId) -> bool;
}
