//! Scheduling decisions for events (or requests): when and where they are sent, which attempts are
//! retried, and which events are completed without delivery. The event forwarder and the serving
//! tier's dispatcher share this crate.
//!
//! The crate is a pure state machine without I/O, a clock or threads of its own: a host passes in
//! its inputs and carries out the effects. [`interface`] has the types that a host shares with the
//! scheduler; [`scheduler`] makes every decision.

pub mod interface;
pub mod scheduler;
mod state;
