//! Dispatch of client requests to targets, without I/O.
//!
//! The proxy passes in requests, results of attempts and endpoint lists, and receives [`Command`]s.
//! The decision module (`plankhill-decisions`) decides which request is sent next and when; this
//! crate adds the state and rules that are specific to the serving tier (prefix caches, reported
//! load, retries, priorities) and translates between the proxy and the decision module. Time is
//! passed in as an argument, in milliseconds on the proxy's clock.
//!
//! The decision module uses the terms of the event forwarder: a request is an event there, a service
//! is a destination, and the hash of a session is an order key.
//!
//! The path of a request through the crate: [`Dispatcher::enqueue`] sets its queue timeout
//! ([`admission`]), the scheduler determines the targets that are open, that is, to which the request
//! may be sent now, `target_selection` selects the cheapest of them, and
//! [`Dispatcher::on_attempt_ended`] decides by [`retry`] whether another attempt follows.

pub mod admission;
pub mod affinity;
pub mod allocation;
mod attempt;
mod command;
mod command_writer;
mod dispatch_state;
mod dispatcher;
mod pending_requests;
pub mod prefix_cache;
pub mod prefix_chain;
pub mod prefix_demand;
mod queue_timeouts;
pub mod rendezvous;
mod request;
pub mod retry;
mod rng;
mod scheduler_config;
mod scheduler_input;
pub mod session_cooldown;
mod settings;
pub mod target_load;
mod target_selection;
mod targets;

pub use attempt::{AttemptResult, UpstreamLoad};
pub use command::{Command, HealthCheckResult};
pub use dispatcher::Dispatcher;
pub use plankhill_decisions::interface::{AttemptOutcome, Ms};
pub use request::{Idempotency, NewRequest, PrefixPart, RequestKey};
pub use settings::DispatchSettings;
