//! Dispatch of requests to targets, without I/O: the decision module (`plankhill`) applied inside the proxy.
//!
//! The decision module decides which request goes next and when; here stand what the tier knows besides
//! (prefix caches, reported load, attempts, urgency) and the translation between both. Time is passed in as
//! an argument, in milliseconds on the proxy's clock.

pub mod admission;
pub mod affinity;
pub mod allocation;
mod bridge;
pub mod demand;
mod dispatcher;
mod holds;
mod inputs;
mod interface;
pub mod load;
mod module_terms;
mod placement;
mod requests;
pub mod retry;
pub mod settle;
mod targets;

pub use dispatcher::Dispatcher;
pub use interface::*;
pub use plankhill_decisions::interface::{AttemptOutcome, Ms};
