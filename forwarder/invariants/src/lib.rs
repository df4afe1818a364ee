//! The invariants of the event forwarder, checked against the history of a run.
//!
//! An emulator, or a test of real processes, reports each [`Observation`] to a [`Checker`] in the
//! order of its time. The checker is independent of how decisions are made, and does no I/O.
//! Its memory is bounded by the pending events: an event's record is removed after its completion and
//! its last attempt, a key's record after its cool-down.

mod checker;
mod invariant;
mod observation;

pub use checker::{Bounds, Checker, EventCounts};
pub use invariant::{Invariant, Violation};
pub use observation::{AttemptEnd, Completion, Idempotency, Ms, Observation};
