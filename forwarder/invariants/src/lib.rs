//! The six rules, held against what happened. A model, or later the forwarder on scripted sockets, tells a
//! [`Checker`] each fact in the order of its time; the checker knows nothing of how decisions are made.
//! What it keeps ends with what it is about: an event with its end and last send, a key with its rest.

mod checker;
mod facts;

pub use checker::{Bounds, Checker};
pub use facts::{Completion, Cut, Idempotency, Invariant, Ms, Observation, Violation};
