//! Answers that are series of events.

pub mod events;
