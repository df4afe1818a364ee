//! The interface between a [`crate::LocalInstance`] and its host.

use plankhill_decisions::interface::{EventId, Ms};

use crate::command::{Outcome, Rejection};
use crate::names::*;

/// A request to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum HostRequest {
    /// Submit the event to the decision module, once it is recorded like any other event;
    /// [`crate::LocalInstance::broadcast`] has its other fields.
    Submit {
        event: EventId,
        subscriber: Subscriber,
        position: Position,
        deadline: Ms,
    },
    /// Report the copy's outcome in a notice. The host calls
    /// [`crate::LocalInstance::on_outcome_acknowledged`] once the notice is acknowledged.
    NotifyOutcome {
        event: EventId,
        subscriber: Subscriber,
        position: Position,
        outcome: Outcome,
    },
    /// The submission with this number is committed: the client gets a 202.
    Accepted(u64),
    /// The submission with this number surely is not committed, and never will be.
    Rejected(u64, Rejection),
    /// Every copy of the broadcast has ended: how many completed, were rejected and were abandoned.
    BroadcastCompleted(BroadcastId, [u32; 3]),
}

/// State that only the host has.
pub trait Host {
    /// Whether the event, or a notice of its outcome, is still pending in the host's event log.
    fn is_pending(&self, event: &EventId) -> bool;
}
