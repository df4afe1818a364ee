//! The decision module: when and where events (or requests) for destinations are sent, what is
//! retried, and what is given up. The event forwarder and the serving tier's dispatcher share it.
//!
//! A pure state machine without I/O, time or threads of its own: a host hands over what came in,
//! and carries out the effects. [`interface`] has the names that a host shares with it,
//! [`scheduler`] makes every decision.

pub mod interface;
pub mod scheduler;
mod state;
