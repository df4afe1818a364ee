//! The invariants of the event forwarder, checked against what happened.
//!
//! An emulator, or a test of real processes, reports each [`Observation`] to a [`Checker`] in the
//! order of its time. The checker knows nothing of how decisions are made, and does no I/O. Its
//! memory is bounded by what is pending: an event's record ends with its completion and its last
//! attempt, a key's with its cool-down.

mod checker;
mod invariant;
mod observation;

pub use checker::{Bounds, Checker, EventCounts};
pub use invariant::{Invariant, Violation};
pub use observation::{AttemptEnd, Completion, Idempotency, Ms, Observation};
